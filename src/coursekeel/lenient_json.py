"""Parses JSON lists whose items may hold text that isn't valid Unicode.

Rule: an item with such text must not make the others unreadable. orjson refuses a lone
surrogate, a byte that isn't UTF-8 or a raw control character for the whole document.
Here the text holds lone surrogates in their place, which `is_encodable` finds. Owns no
state.
"""

import json
import math
from typing import Any, NoReturn

import orjson

__all__ = ["is_encodable", "parse_json_leniently"]

# The digits of a number of 64 bits; orjson takes longer ones as floats.
_MAX_INT_DIGITS = 19


def parse_json_leniently(data: bytes) -> Any:
    """Parse JSON; raises `ValueError` where its structure or a number isn't valid."""
    try:
        return orjson.loads(data)
    except ValueError as failure:
        text = data.decode("utf-8", "surrogateescape")
        try:
            return json.loads(
                text,
                strict=False,
                parse_int=_whole,
                parse_float=_finite,
                parse_constant=_refuse_constant,
            )
        except RecursionError:
            raise failure from None


def is_encodable(text: str) -> bool:
    """Whether text can be sent or logged: it holds no lone surrogate."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _whole(digits: str) -> int | float:
    return int(digits) if len(digits) <= _MAX_INT_DIGITS else _finite(digits)


def _finite(digits: str) -> float:
    number = float(digits)
    if not math.isfinite(number):
        raise ValueError(f"got {digits:.20}, expected a number that a float holds")
    return number


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"got {name}, expected a number")
