"""Bounded measurements on loopback: ``make bench``."""
