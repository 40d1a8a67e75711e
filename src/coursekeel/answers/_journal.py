"""The journal: the new tokens of an entry's durable answers, one segment an interval.

The store gets one object per entry and interval, not one per token or answer. Segments
are built from the ledgers when they are written and nothing else is buffered, so that
a store outage costs no memory beyond the answers themselves.
"""

import zlib

import orjson
from attrs import define, field, fields, frozen

from coursekeel.answers._ledger import Ledger

__all__ = ["JournalEntry", "JournalReader", "JournalWriter", "Segment"]

# zlib's fastest level, since segments are compressed while answers stream.
_COMPRESSION_LEVEL = 1


@frozen
class JournalEntry:
    """New tokens of one answer from ``position`` on, and the run that generates them.

    ``key`` is the answer's row key. ``endpoint_id``, ``run_id`` and ``label`` let an
    adopting entry read the same run again.
    """

    key: str
    generation: str
    position: int
    tokens: list[int]
    texts: list[str]
    endpoint_id: str = ""
    run_id: str = ""
    label: str = ""


_ENTRY_FIELDS = [attribute.name for attribute in fields(JournalEntry)]


@frozen
class Segment:
    """One interval of the journal of ``owner``, an entry's process incarnation."""

    owner: str
    number: int
    entries: tuple[JournalEntry, ...]

    @property
    def object_key(self) -> str:
        """The segment's key in the object store."""
        return segment_key(self.owner, self.number)

    def to_bytes(self) -> bytes:
        """Encode the segment for the object store."""
        rows = [
            [getattr(entry, name) for name in _ENTRY_FIELDS] for entry in self.entries
        ]
        return zlib.compress(
            orjson.dumps([self.owner, self.number, rows]), _COMPRESSION_LEVEL
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> "Segment":
        """Decode a segment that `to_bytes` encoded."""
        owner, number, rows = orjson.loads(zlib.decompress(data))
        return cls(owner, number, tuple(JournalEntry(*row) for row in rows))


def segment_key(owner: str, number: int) -> str:
    """The object key of segment ``number`` of an owner."""
    return f"journal/{owner}/{number:010d}"


@define
class _TrackedAnswer:
    ledger: Ledger
    durable_tokens: int = 0
    endpoint_id: str = ""
    run_id: str = ""
    label: str = ""
    run_changed: bool = True


@define
class JournalWriter:
    """Builds segments and counts how many tokens of each answer are stored.

    At most one segment is being written at a time: `cut` returns it, and `stored` or
    `failed` must be called with the write's outcome before the next one is built.
    """

    owner: str
    next_segment: int = 1
    _tracked: dict[str, _TrackedAnswer] = field(factory=dict)
    _pending: Segment | None = None
    _keys_by_segment: dict[int, set[str]] = field(factory=dict)

    def track(self, key: str, ledger: Ledger) -> None:
        """Include the answer ``key`` in segments from now on."""
        self._tracked[key] = _TrackedAnswer(ledger)

    def set_run(self, key: str, endpoint_id: str, run_id: str, label: str) -> None:
        """Record which engine run generates the answer, for an entry that adopts it."""
        if key in self._tracked:
            tracked = self._tracked[key]
            tracked.endpoint_id, tracked.run_id = endpoint_id, run_id
            tracked.label, tracked.run_changed = label, True

    def forget(self, key: str) -> list[str]:
        """Stop journalling an answer.

        Returns the object keys of the segments that no tracked answer needs any more.
        """
        self._tracked.pop(key, None)
        for keys in self._keys_by_segment.values():
            keys.discard(key)
        unneeded = [
            number for number, keys in self._keys_by_segment.items() if not keys
        ]
        for number in unneeded:
            del self._keys_by_segment[number]
        return [segment_key(self.owner, number) for number in unneeded]

    def durable_tokens(self, key: str) -> int:
        """How many of the answer's tokens are stored; 0 if it isn't journalled."""
        tracked = self._tracked.get(key)
        return tracked.durable_tokens if tracked else 0

    def cut(self) -> Segment | None:
        """Return the segment to store next, or None if no answer has changed.

        Returns the same segment until `stored` or `failed` is called.
        """
        if self._pending is not None:
            return self._pending
        entries = tuple(
            _make_entry(key, tracked)
            for key, tracked in self._tracked.items()
            if tracked.run_changed
            or tracked.ledger.next_position > tracked.durable_tokens
        )
        if entries:
            self._pending = Segment(self.owner, self.next_segment, entries)
        return self._pending

    def stored(self) -> list[str]:
        """Mark the pending segment as stored; returns the keys of its answers."""
        if self._pending is None:
            return []
        segment, self._pending = self._pending, None
        self.next_segment = segment.number + 1
        stored = [e for e in segment.entries if e.key in self._tracked]
        for entry in stored:
            tracked = self._tracked[entry.key]
            tracked.durable_tokens = entry.position + len(entry.tokens)
            tracked.run_changed = entry.run_id != tracked.run_id
        if stored:
            self._keys_by_segment[segment.number] = {entry.key for entry in stored}
        return [entry.key for entry in stored]

    def failed(self) -> None:
        """Mark the pending segment as not stored; the next one repeats its tokens.

        The next segment gets a new number, because a write that was given up may still
        take effect and must not replace a later, acknowledged segment.
        """
        if self._pending is None:
            return
        segment, self._pending = self._pending, None
        self.next_segment = segment.number + 1
        keys = {entry.key for entry in segment.entries if entry.key in self._tracked}
        if keys:
            self._keys_by_segment[segment.number] = keys


def _make_entry(key: str, tracked: _TrackedAnswer) -> JournalEntry:
    """The entry with an answer's tokens that aren't stored yet."""
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
    """Rebuilds one answer from its owner's segments, read in order.

    ``last`` is the newest entry of the answer, which names its run.
    """

    key: str
    ledger: Ledger
    last: JournalEntry | None = None

    def read(self, segment: Segment) -> None:
        """Add the segment's tokens of this answer to the ledger."""
        for entry in segment.entries:
            if entry.key == self.key and entry.generation == self.ledger.generation:
                self.ledger.offer(entry.position, entry.tokens, entry.texts)
                self.last = entry
