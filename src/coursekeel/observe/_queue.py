"""Log lines that wait to be written, bounded, the least important dropped first."""

from collections import deque

from attrs import define, field

__all__ = ["LogQueue"]


@define
class LogQueue:
    """Lines by level; ``most_bytes`` bounds all of them together.

    A request must never wait for whoever reads the log, so what doesn't fit is dropped:
    the oldest line of the lowest level, and a new line only when all that waits is more
    important. What was dropped is counted, and said in a line once there is room.
    """

    most_bytes: int
    dropped: int = 0
    _waiting_bytes: int = 0
    _number: int = 0
    _levels: dict[int, deque[tuple[int, bytes]]] = field(factory=dict)

    def add(self, level: int, line: bytes) -> None:
        """Queue a line, at the expense of less important ones if need be."""
        while self._waiting_bytes + len(line) > self.most_bytes:
            lowest = min(self._levels, default=level + 1)
            if lowest > level:
                self.dropped += 1
                return
            self._drop_oldest(lowest)
        self._number += 1
        self._levels.setdefault(level, deque()).append((self._number, line))
        self._waiting_bytes += len(line)

    def _drop_oldest(self, level: int) -> None:
        _, line = self._levels[level].popleft()
        self._waiting_bytes -= len(line)
        self.dropped += 1
        if not self._levels[level]:
            del self._levels[level]

    def take(self) -> bytes:
        """Take the oldest line; empty if none waits."""
        if not self._levels:
            return b""
        oldest = min(self._levels, key=lambda level: self._levels[level][0][0])
        _, line = self._levels[oldest].popleft()
        if not self._levels[oldest]:
            del self._levels[oldest]
        self._waiting_bytes -= len(line)
        return line

    def take_dropped(self) -> int:
        """How many lines were dropped since this was last asked."""
        dropped, self.dropped = self.dropped, 0
        return dropped

    @property
    def empty(self) -> bool:
        """Say whether nothing waits."""
        return not self._levels
