"""Checks the heads of responses before anything else reads them.

Rule: a head that isn't valid HTTP/1 (RFC 9112) is no response, whoever reads it: passed
on, the next program would read it differently. Twisted's parser takes whatever `int`
takes as a status, and any bytes as a field's value.

Owns the count of this process.
"""

import logging
import re

from coursekeel.fetch._overruns import ResponseCount
from coursekeel.observe import log_event

__all__ = [
    "MALFORMED",
    "MalformedHead",
    "check_field",
    "check_status_line",
    "record_malformed",
]

# RFC 9112 4, with the classes of RFC 9110 15; some servers leave the reason out.
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [^\x00\r\n]*)?")
# RFC 9110 5.6.2.
_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# RFC 9110 5.5.
_FORBIDDEN_IN_VALUES = b"\x00\r\n"
# Longer texts are cut, to keep log lines short.
_MAX_SHOWN_BYTES = 60
_MAX_FAULT_CHARACTERS = 300


class MalformedHead(Exception):
    """The head isn't valid; the text says what was received and what is expected."""


MALFORMED = ResponseCount()


def check_status_line(line: bytes) -> None:
    """Raise `MalformedHead` unless this is a status line of HTTP/1."""
    if _STATUS_LINE.fullmatch(line) is None:
        raise MalformedHead(
            f"status line: got {_cut(line)}, expected HTTP/1.1 and a status from 100 "
            "to 599"
        )


def check_field(name: bytes, value: bytes) -> None:
    """Raise `MalformedHead` unless name and value of a header field are valid."""
    if _TOKEN.fullmatch(name) is None:
        raise MalformedHead(f"field name: got {_cut(name)}, expected a token")
    if len(value.translate(None, _FORBIDDEN_IN_VALUES)) != len(value):
        raise MalformedHead(
            f"field {_cut(name)}: got {_cut(value)}, expected no NUL, CR or LF"
        )


def record_malformed(peer: str, fault: str) -> None:
    """Log and count a response whose head isn't valid; ``peer`` is its sender."""
    MALFORMED.total += 1
    shown = fault[:_MAX_FAULT_CHARACTERS]
    log_event("response_malformed", logging.WARNING, peer=peer, fault=shown)


def _cut(data: bytes) -> str:
    return repr(data[:_MAX_SHOWN_BYTES])
