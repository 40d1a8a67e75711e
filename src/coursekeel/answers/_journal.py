"""The journal: what all of an entry's durable answers gained, one object an interval.

The cost on the store is per entry and interval, not per token or answer. Nothing is
buffered here: a segment is cut from the ledgers when it is due, so that a store outage
costs no memory beyond the answers themselves.
"""

import zlib

import orjson
from attrs import define, field, fields, frozen

from coursekeel.answers._ledger import Ledger

__all__ = ["JournalEntry", "JournalReader", "JournalWriter", "Segment"]

# zlib's fastest level: segments are small, and written while answers run.
_FAST = 1


@frozen
class JournalEntry:
    """What one answer gained: tokens from ``position`` on, and where it runs."""

    key: str
    generation: str
    position: int
    tokens: list[int]
    texts: list[str]
    endpoint_id: str = ""
    run_id: str = ""
    label: str = ""


_ENTRY_FIELDS = [each.name for each in fields(JournalEntry)]


@frozen
class Segment:
    """One interval of one owner's journal."""

    owner: str
    number: int
    entries: tuple[JournalEntry, ...]

    @property
    def object_key(self) -> str:
        """Where the segment lies in the object store."""
        return segment_key(self.owner, self.number)

    def to_bytes(self) -> bytes:
        """Encode the segment for the object store."""
        rows = [
            [getattr(each, name) for name in _ENTRY_FIELDS] for each in self.entries
        ]
        return zlib.compress(orjson.dumps([self.owner, self.number, rows]), _FAST)

    @classmethod
    def from_bytes(cls, data: bytes) -> "Segment":
        """Decode a segment."""
        owner, number, rows = orjson.loads(zlib.decompress(data))
        return cls(owner, number, tuple(JournalEntry(*row) for row in rows))


def segment_key(owner: str, number: int) -> str:
    """The object key of an owner's segment."""
    return f"journal/{owner}/{number:010d}"


@define
class _Tracked:
    ledger: Ledger
    durable_tokens: int = 0
    endpoint_id: str = ""
    run_id: str = ""
    label: str = ""
    run_changed: bool = True


@define
class JournalWriter:
    """Cuts segments and knows how much of each answer is safe in the store.

    At most one segment is on its way at a time; `cut` gives the next one, `stored`
    or `failed` says how it went.
    """

    owner: str
    next_segment: int = 1
    _tracked: dict[str, _Tracked] = field(factory=dict)
    _cut: Segment | None = None
    _mentions: dict[int, set[str]] = field(factory=dict)

    def track(self, key: str, ledger: Ledger) -> None:
        """Journal this answer from now on."""
        self._tracked[key] = _Tracked(ledger)

    def runs_at(self, key: str, endpoint_id: str, run_id: str, label: str) -> None:
        """Note which engine run makes the answer's tokens, for an adopter's sake."""
        if key in self._tracked:
            tracked = self._tracked[key]
            tracked.endpoint_id, tracked.run_id = endpoint_id, run_id
            tracked.label, tracked.run_changed = label, True

    def forget(self, key: str) -> list[str]:
        """Stop journalling; returns the object keys that nobody needs any more."""
        self._tracked.pop(key, None)
        for keys in self._mentions.values():
            keys.discard(key)
        done = [number for number, keys in self._mentions.items() if not keys]
        for number in done:
            del self._mentions[number]
        return [segment_key(self.owner, number) for number in done]

    def durable_tokens(self, key: str) -> int:
        """How many of the answer's tokens the store holds."""
        tracked = self._tracked.get(key)
        return tracked.durable_tokens if tracked else 0

    def cut(self) -> Segment | None:
        """The next segment to store; None if nothing was gained since the last."""
        if self._cut is not None:
            return self._cut
        entries = tuple(
            _entry(key, tracked)
            for key, tracked in self._tracked.items()
            if tracked.run_changed
            or tracked.ledger.next_position > tracked.durable_tokens
        )
        if entries:
            self._cut = Segment(self.owner, self.next_segment, entries)
        return self._cut

    def stored(self) -> list[str]:
        """The cut segment is safe; returns the answers that gained by it."""
        if self._cut is None:
            return []
        segment, self._cut = self._cut, None
        self.next_segment = segment.number + 1
        gained = [e for e in segment.entries if e.key in self._tracked]
        for entry in gained:
            tracked = self._tracked[entry.key]
            tracked.durable_tokens = entry.position + len(entry.tokens)
            tracked.run_changed = entry.run_id != tracked.run_id
        if gained:
            self._mentions[segment.number] = {entry.key for entry in gained}
        return [entry.key for entry in gained]

    def failed(self) -> None:
        """The cut segment may not be stored; the next cut repeats what it held.

        A number is never used twice: a write that was given up on may still land, and
        must not then replace a later segment that was acknowledged.
        """
        if self._cut is None:
            return
        segment, self._cut = self._cut, None
        self.next_segment = segment.number + 1
        keys = {entry.key for entry in segment.entries if entry.key in self._tracked}
        if keys:
            self._mentions[segment.number] = keys


def _entry(key: str, tracked: _Tracked) -> JournalEntry:
    start = tracked.durable_tokens
    return JournalEntry(
        key,
        tracked.ledger.generation,
        start,
        tracked.ledger.tokens_from(start),
        tracked.ledger.texts_from(start),
        tracked.endpoint_id,
        tracked.run_id,
        tracked.label,
    )


@define
class JournalReader:
    """Puts one answer together from its owner's segments, read in order."""

    key: str
    ledger: Ledger
    last: JournalEntry | None = None

    def read(self, segment: Segment) -> None:
        """Take what the segment says of this answer."""
        for entry in segment.entries:
            if entry.key == self.key and entry.generation == self.ledger.generation:
                self.ledger.offer(entry.position, entry.tokens, entry.texts)
                self.last = entry
