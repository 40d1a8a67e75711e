"""Factors between units, each once.

Owns nothing; names say what is counted in what; a mebibyte is in bytes.
"""

__all__ = ["MEBIBYTE", "MS_PER_MINUTE", "MS_PER_SECOND", "SECONDS_PER_MINUTE"]

MS_PER_SECOND = 1_000  # by definition
SECONDS_PER_MINUTE = 60  # by definition
MS_PER_MINUTE = MS_PER_SECOND * SECONDS_PER_MINUTE
MEBIBYTE = 1 << 20  # by definition (IEC 80000-13)
