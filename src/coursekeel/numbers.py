"""Reads whole numbers that other programs send as text.

Rule: no number from outside is converted before its length is checked. Python's `int`
raises for more than 4,300 digits (`sys.int_info`), and takes signs, underscores, blanks
and the digits of other scripts. Owns no state.
"""

import re

__all__ = ["MAX_INT64", "parse_port", "parse_whole", "saturating_whole"]

# What other programs hold in a signed integer of 64 bits.
MAX_INT64 = 2**63 - 1
# The highest TCP port (RFC 9293).
_MAX_PORT = 65_535
_DIGITS = re.compile("[0-9]+")


def parse_whole(text: str | bytes, most: int = MAX_INT64) -> int | None:
    """The number that ASCII digits give; None for other text or one above ``most``."""
    digits = _significant_digits(text)
    if digits is None or len(digits) > len(str(most)):
        return None
    number = int(digits)
    return number if number <= most else None


def saturating_whole(text: str | bytes, most: int = MAX_INT64) -> int | None:
    """As `parse_whole`, but ``most`` for a number above it."""
    if _significant_digits(text) is None:
        return None
    number = parse_whole(text, most)
    return most if number is None else number


def parse_port(text: str | bytes) -> int | None:
    """A port to connect to, from 1 to 65,535; None for other text."""
    return parse_whole(text, _MAX_PORT) or None


def _significant_digits(text: str | bytes) -> str | None:
    decoded = text.decode("latin-1") if isinstance(text, bytes) else text
    if _DIGITS.fullmatch(decoded) is None:
        return None
    return decoded.lstrip("0") or "0"
