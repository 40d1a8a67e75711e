"""Programs for building the product; nothing here ships with it."""
