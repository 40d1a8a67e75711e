"""The one sequence of tokens that makes up a generation.

The ledger is what keeps tokens exact: it takes a token only at the next position, it
compares a repeated one with what it holds, and it never skips. It is kept compact (8
bytes a token beside its text), because an entry holds hundreds of them for minutes.
"""

from array import array
from enum import Enum
from itertools import pairwise

import xxhash
from attrs import frozen

__all__ = ["EventId", "Ledger", "Offer", "OfferKind", "digest_of"]

_TOKEN_CODE = "I"
_OFFSET_CODE = "I"


class OfferKind(Enum):
    """What became of tokens that an attempt offered."""

    EXTENDED = "extended"
    REPEATED = "repeated"
    GAP = "gap"
    DIVERGED = "diverged"


@frozen
class Offer:
    """The outcome of an offer; ``added_tokens`` is 0 unless the ledger grew."""

    kind: OfferKind
    added_tokens: int = 0


@frozen
class EventId:
    """The id of a server-sent event: ``generation.position.digest``.

    ``position`` counts the tokens the caller holds after the event and ``digest`` is
    the 64-bit xxHash of their ids, so an entry that never saw the answer can tell
    whether what it holds is the same sequence.
    """

    generation: str
    position: int
    digest: int

    def __str__(self) -> str:
        return f"{self.generation}.{self.position}.{self.digest:016x}"

    @classmethod
    def parse(cls, text: str) -> "EventId | None":
        """Read an id back; None if it isn't one that coursekeel gave out."""
        parts = text.rsplit(".", 2)
        if len(parts) != 3 or not parts[0]:
            return None
        try:
            event_id = cls(parts[0], int(parts[1]), int(parts[2], 16))
        except ValueError:
            return None
        return event_id if event_id.position >= 0 else None


def digest_of(tokens: "array[int] | list[int]") -> int:
    """Digest a whole token sequence as event ids do."""
    return xxhash.xxh64_intdigest(array(_TOKEN_CODE, tokens).tobytes())


class Ledger:
    """The tokens of one generation, their texts and their rolling digest."""

    __slots__ = ("_offsets", "_rolling", "_text", "_tokens", "generation")

    def __init__(self, generation: str) -> None:
        self.generation = generation
        self._tokens = array(_TOKEN_CODE)
        self._offsets = array(_OFFSET_CODE, [0])
        self._text = bytearray()
        self._rolling = xxhash.xxh64()

    def __repr__(self) -> str:
        return f"<Ledger {self.event_id}>"

    @property
    def next_position(self) -> int:
        """How many tokens stand, which is the position of the next one."""
        return len(self._tokens)

    @property
    def event_id(self) -> EventId:
        """The id of an event that brings a caller up to the end of the ledger."""
        return EventId(self.generation, len(self._tokens), self._rolling.intdigest())

    def offer(self, position: int, tokens: list[int], texts: list[str]) -> Offer:
        """Take the tokens that stand at ``position`` and after.

        What is held already must be equal, otherwise the attempt has diverged and
        nothing of the offer is taken.
        """
        held = len(self._tokens)
        if position > held:
            return Offer(OfferKind.GAP)
        known = min(held - position, len(tokens))
        if (
            known
            and self._tokens[position : position + known].tolist() != tokens[:known]
        ):
            return Offer(OfferKind.DIVERGED)
        if known == len(tokens):
            return Offer(OfferKind.REPEATED)
        self._append(tokens[known:], texts[known:])
        return Offer(OfferKind.EXTENDED, len(tokens) - known)

    def _append(self, tokens: list[int], texts: list[str]) -> None:
        fresh = array(_TOKEN_CODE, tokens)
        self._tokens.extend(fresh)
        self._rolling.update(fresh.tobytes())
        for text in texts:
            self._text += text.encode()
            self._offsets.append(len(self._text))

    def tokens_from(self, position: int, end: int | None = None) -> list[int]:
        """The token ids from ``position`` up to ``end``."""
        return self._tokens[position:end].tolist()

    def text_between(self, position: int, end: int) -> str:
        """The text of the tokens from ``position`` up to ``end``."""
        return self._text[self._offsets[position] : self._offsets[end]].decode()

    def texts_from(self, position: int, end: int | None = None) -> list[str]:
        """The text of each token from ``position`` up to ``end``."""
        last = self.next_position if end is None else end
        cuts = self._offsets[position : last + 1]
        return [self._text[start:stop].decode() for start, stop in pairwise(cuts)]

    def agrees_with(self, position: int, digest: int) -> bool:
        """Say whether a caller that holds ``position`` tokens holds these ones."""
        if position > len(self._tokens):
            return False
        if position == len(self._tokens):
            return self._rolling.intdigest() == digest
        return digest_of(self._tokens[:position]) == digest

    def digest_at(self, position: int) -> int:
        """The digest of the first ``position`` tokens."""
        if position == len(self._tokens):
            return self._rolling.intdigest()
        return digest_of(self._tokens[:position])

    def continued_as(self, generation: str) -> "Ledger":
        """A new generation that has this one's tokens as its prefix."""
        copy = Ledger(generation)
        copy._tokens.extend(self._tokens)
        copy._offsets = self._offsets[:]
        copy._text += self._text
        copy._rolling = self._rolling.copy()
        return copy
