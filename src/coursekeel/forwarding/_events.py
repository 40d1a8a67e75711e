"""The events of one stream, each taken once and in order.

Owns the events that were taken and not handed out yet. A core.
"""

from attrs import define, field

from coursekeel.answers import Offer, OfferKind

__all__ = ["EventLedger", "event_number", "split_events"]

_END_OF_EVENT = b"\n\n"


@define(eq=False)
class EventLedger:
    """A ledger of numbered, opaque events, for `AnswerCore`.

    A position is the number of the last event that was taken. Nothing that was handed
    out is kept: instances have little memory, and an endpoint resumes by number.
    """

    next_position: int = 0
    _pending: list[bytes] = field(factory=list)

    def offer(self, position: int, tokens: list[int], texts: list[bytes]) -> Offer:
        """Take the events whose numbers are ``tokens``, the first after ``position``.

        An event that was taken already is left out; one beyond the next is a gap.
        """
        added = 0
        for number, event in zip(tokens, texts, strict=True):
            if number <= self.next_position:
                continue
            if number > self.next_position + 1:
                return Offer(OfferKind.GAP)
            self.next_position = number
            self._pending.append(event)
            added += 1
        kind = OfferKind.EXTENDED if added else OfferKind.REPEATED
        return Offer(kind, added)

    def take(self) -> bytes:
        """The bytes of the events that were taken and not handed out yet."""
        data = b"".join(self._pending)
        self._pending.clear()
        return data


def split_events(buffer: bytearray) -> list[bytes]:
    """Take whole events out of ``buffer``, and leave what is unfinished in it."""
    end = buffer.rfind(_END_OF_EVENT)
    if end < 0:
        return []
    whole = bytes(buffer[: end + len(_END_OF_EVENT)])
    del buffer[: end + len(_END_OF_EVENT)]
    return [each + _END_OF_EVENT for each in whole.split(_END_OF_EVENT)[:-1]]


def event_number(event: bytes) -> int | None:
    """The number in an event's ``id`` line; None if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
