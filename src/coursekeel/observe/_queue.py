"""A bounded queue of log lines that drops the least important lines first."""

from collections import deque

from attrs import define, field

__all__ = ["LogQueue"]


@define
class LogQueue:
    """Log lines by level; ``max_bytes`` limits their total size.

    Requests must not wait for a slow log reader. When the queue is full, the oldest
    line of the lowest level is dropped; a new line is dropped only if all queued lines
    have a higher level. ``dropped`` counts these lines.
    """

    max_bytes: int
    dropped: int = 0
    _queued_bytes: int = 0
    _last_number: int = 0
    _by_level: dict[int, deque[tuple[int, bytes]]] = field(factory=dict)

    def add(self, level: int, line: bytes) -> None:
        """Queue a line; if it is full, drops the least important line first."""
        while self._queued_bytes + len(line) > self.max_bytes:
            lowest = min(self._by_level, default=level + 1)
            if lowest > level:
                self.dropped += 1
                return
            self._drop_oldest(lowest)
        self._last_number += 1
        self._by_level.setdefault(level, deque()).append((self._last_number, line))
        self._queued_bytes += len(line)

    def _drop_oldest(self, level: int) -> None:
        _, line = self._by_level[level].popleft()
        self._queued_bytes -= len(line)
        self.dropped += 1
        if not self._by_level[level]:
            del self._by_level[level]

    def pop(self) -> bytes:
        """Remove and return the oldest line; empty if there is none."""
        if not self._by_level:
            return b""
        oldest = min(self._by_level, key=lambda level: self._by_level[level][0][0])
        _, line = self._by_level[oldest].popleft()
        if not self._by_level[oldest]:
            del self._by_level[oldest]
        self._queued_bytes -= len(line)
        return line

    def pop_dropped_count(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    @property
    def empty(self) -> bool:
        """Return whether no line is queued."""
        return not self._by_level
