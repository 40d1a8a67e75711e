"""The sequence of tokens that makes up a generation.

The ledger keeps tokens exact: it appends a token only at the next position, compares a
repeated one with the held one, and never leaves a gap. It uses 8 bytes a token beside
the text, because an entry holds hundreds of ledgers for minutes.
"""

from array import array
from enum import Enum
from itertools import pairwise

import xxhash
from attrs import frozen

__all__ = ["EventId", "Ledger", "OfferOutcome", "OfferResult", "digest_of"]

# Array type codes: unsigned 32-bit integers.
_TOKEN_TYPECODE = "I"
_OFFSET_TYPECODE = "I"


class OfferOutcome(Enum):
    """How the ledger handled the tokens of an offer."""

    EXTENDED = "extended"
    REPEATED = "repeated"
    GAP = "gap"
    DIVERGED = "diverged"


@frozen
class OfferResult:
    """The result of `Ledger.offer`; ``added_tokens`` is 0 unless the ledger grew."""

    kind: OfferOutcome
    added_tokens: int = 0


@frozen
class EventId:
    """The id of a server-sent event: ``generation.position.digest``.

    ``position`` counts the tokens the caller holds after the event and ``digest`` is
    the 64-bit xxHash of their ids. Any entry can thus check whether the caller holds a
    prefix of the sequence that the entry has read from the store.
    """

    generation: str
    position: int
    digest: int

    def __str__(self) -> str:
        return f"{self.generation}.{self.position}.{self.digest:016x}"

    @classmethod
    def parse(cls, text: str) -> "EventId | None":
        """Parse an id; None if ``text`` isn't in the form of an event id."""
        parts = text.rsplit(".", 2)
        if len(parts) != 3 or not parts[0]:
            return None
        try:
            event_id = cls(parts[0], int(parts[1]), int(parts[2], 16))
        except ValueError:
            return None
        return event_id if event_id.position >= 0 else None


def digest_of(tokens: "array[int] | list[int]") -> int:
    """The digest of a token sequence, as event ids contain it."""
    return xxhash.xxh64_intdigest(array(_TOKEN_TYPECODE, tokens).tobytes())


class Ledger:
    """The tokens of one generation, their texts and their rolling digest.

    The texts are stored as one byte string and the offset of each token's end.
    """

    __slots__ = ("_offsets", "_rolling_digest", "_text", "_tokens", "generation")

    def __init__(self, generation: str) -> None:
        self.generation = generation
        self._tokens = array(_TOKEN_TYPECODE)
        self._offsets = array(_OFFSET_TYPECODE, [0])
        self._text = bytearray()
        self._rolling_digest = xxhash.xxh64()

    def __repr__(self) -> str:
        return f"<Ledger {self.event_id}>"

    @property
    def next_position(self) -> int:
        """The position of the next token, which is the number of held tokens."""
        return len(self._tokens)

    @property
    def event_id(self) -> EventId:
        """The id of an event that ends at the end of the ledger."""
        return EventId(
            self.generation, len(self._tokens), self._rolling_digest.intdigest()
        )

    def offer(self, position: int, tokens: list[int], texts: list[str]) -> OfferResult:
        """Append those of the tokens from ``position`` on that aren't held yet.

        Tokens that are already held must be equal to the offered ones. Otherwise the
        attempt has diverged, and none of the offered tokens is appended.
        """
        held = len(self._tokens)
        if position > held:
            return OfferResult(OfferOutcome.GAP)
        repeated = min(held - position, len(tokens))
        if (
            repeated
            and self._tokens[position : position + repeated].tolist()
            != tokens[:repeated]
        ):
            return OfferResult(OfferOutcome.DIVERGED)
        if repeated == len(tokens):
            return OfferResult(OfferOutcome.REPEATED)
        self._append(tokens[repeated:], texts[repeated:])
        return OfferResult(OfferOutcome.EXTENDED, len(tokens) - repeated)

    def _append(self, tokens: list[int], texts: list[str]) -> None:
        new_tokens = array(_TOKEN_TYPECODE, tokens)
        self._tokens.extend(new_tokens)
        self._rolling_digest.update(new_tokens.tobytes())
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

    def has_prefix(self, position: int, digest: int) -> bool:
        """Return whether the ledger's first ``position`` tokens have this digest."""
        if position > len(self._tokens):
            return False
        if position == len(self._tokens):
            return self._rolling_digest.intdigest() == digest
        return digest_of(self._tokens[:position]) == digest

    def digest_at(self, position: int) -> int:
        """The digest of the first ``position`` tokens."""
        if position == len(self._tokens):
            return self._rolling_digest.intdigest()
        return digest_of(self._tokens[:position])

    def copy_as(self, generation: str) -> "Ledger":
        """Copy the ledger into a new generation, which continues after these tokens."""
        copy = Ledger(generation)
        copy._tokens.extend(self._tokens)
        copy._offsets = self._offsets[:]
        copy._text += self._text
        copy._rolling_digest = self._rolling_digest.copy()
        return copy
