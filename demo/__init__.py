"""A demonstration with real processes: ``make demo``."""
