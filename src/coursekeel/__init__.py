"""Coursekeel, a serving system for long generations on model endpoints that fail."""

__all__ = ["__version__"]

__version__ = "0.1.0"
