"""What the cases of the second review share."""
