"""Responses that were given up because they exceed a bound: their log line and count.

Owns the count of this process.
"""

import logging
from enum import Enum

from attrs import define

from coursekeel.observe import log_event

__all__ = ["OVERRUNS", "Overrun", "ResponseCount", "record_overrun"]


class Overrun(Enum):
    """The part of a response that exceeds its bound; the value is for logs.

    ``HEAD`` includes interim responses, ``FRAMING`` is what encloses the body, and
    ``EVENT`` is an event of a stream.
    """

    HEAD = "head_too_large"
    FRAMING = "framing_too_large"
    BODY = "body_too_large"
    EVENT = "event_too_large"


@define
class ResponseCount:
    """How many responses this process has given up, for one reason."""

    total: int = 0


OVERRUNS = ResponseCount()


def record_overrun(overrun: Overrun, peer: str, received_bytes: int) -> None:
    """Log and count a response that was given up after ``received_bytes``.

    ``peer`` is the address or the id of who sent it.
    """
    OVERRUNS.total += 1
    log_event(
        "response_overrun",
        logging.WARNING,
        peer=peer,
        reason=overrun.value,
        received_bytes=received_bytes,
    )
