"""Event streams: the ledger of one stream's events, and parsing of their bytes.

Rule: each event is accepted once and in order. Owns the events that were accepted and
not yet sent to the caller. A core.
"""

from attrs import define, field

from coursekeel.answers import OfferOutcome, OfferResult
from coursekeel.numbers import parse_whole

__all__ = ["EventLedger", "event_number", "split_events"]

_END_OF_EVENT = b"\n\n"


@define(eq=False)
class EventLedger:
    """A ledger of numbered, opaque events, for `AnswerCore`.

    ``next_position`` is the number of the last accepted event, or of the one to resume
    after. Events are dropped once `take` returned them: an endpoint resumes by number.
    """

    next_position: int = 0
    _pending: list[bytes] = field(factory=list)

    def offer(
        self, position: int, tokens: list[int], texts: list[bytes]
    ) -> OfferResult:
        """Accept events whose numbers are ``tokens`` and whose bytes are ``texts``.

        Events that were accepted before are skipped. A number beyond the next one is a
        gap, and ends the offer. ``position`` isn't used.
        """
        added = 0
        for number, event in zip(tokens, texts, strict=True):
            if number <= self.next_position:
                continue
            if number > self.next_position + 1:
                return OfferResult(OfferOutcome.GAP)
            self.next_position = number
            self._pending.append(event)
            added += 1
        kind = OfferOutcome.EXTENDED if added else OfferOutcome.REPEATED
        return OfferResult(kind, added)

    def take(self) -> bytes:
        """Remove and return the bytes of the accepted events."""
        data = b"".join(self._pending)
        self._pending.clear()
        return data


def split_events(buffer: bytearray, searched: int = 0) -> list[bytes]:
    """Remove the whole events from ``buffer``, and leave an unfinished one in it.

    The first ``searched`` bytes were left by the call before, so no event ends in them.
    """
    end = buffer.rfind(_END_OF_EVENT, max(0, searched - 1))
    if end < 0:
        return []
    whole = bytes(buffer[: end + len(_END_OF_EVENT)])
    del buffer[: end + len(_END_OF_EVENT)]
    return [event + _END_OF_EVENT for event in whole.split(_END_OF_EVENT)[:-1]]


def event_number(event: bytes) -> int | None:
    """The number in an event's ``id`` line; None if it has no valid one."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return parse_whole(line[3:].strip())
    return None
