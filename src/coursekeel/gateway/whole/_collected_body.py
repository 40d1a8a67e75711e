"""Bodies of whole answers while they are collected, bounded in sum.

Rule: each body is bounded by itself, but many may come at once, and a process that
exceeds its machine's memory is killed with all that is open. So while the sum exceeds
its bound, only the oldest body is read on; the others wait. If that lasts too long the
largest body is given up, the oldest of equal ones: answers without end are the first to
go, and short ones aren't touched.

Owns the chunks that have arrived, and the timer of the wait. Relies on `BodyReader` to
pause and to give up.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from attrs import define, field

from coursekeel.fetch import Exchange
from coursekeel.reactor import Reactor

__all__ = ["BodyReader", "CollectedBodies", "CollectedBody"]

_CHECK_S = 0.1
# Checks without an end of any body until one is given up: 1.5 s. Callers that don't
# read are dropped before (`OpenConnections`).
_MAX_CHECKS = 15


class BodyReader(ABC):
    """Reads one body from its exchange."""

    _exchange: Exchange | None

    def pause_reading(self) -> None:
        """Read no more until told."""
        if self._exchange is not None:
            self._exchange.pause()

    def resume_reading(self) -> None:
        """Read on."""
        if self._exchange is not None:
            self._exchange.resume()

    @abstractmethod
    def body_given_up(self, size_bytes: int) -> None:
        """End the answer, of which ``size_bytes`` were dropped."""


@define(eq=False)
class CollectedBody:
    """One body, of which ``size_bytes`` have arrived."""

    bodies: "CollectedBodies"
    size_bytes: int = 0
    _chunks: list[bytes] = field(factory=list)

    def add(self, data: bytes, reader: BodyReader) -> None:
        """Add a chunk that ``reader`` has read."""
        self._chunks.append(data)
        self.size_bytes += len(data)
        self.bodies.added(self, reader, len(data))

    def take(self) -> bytes:
        """Return the whole body, and forget it."""
        whole = b"".join(self._chunks)
        self.drop()
        return whole

    def drop(self) -> None:
        """Forget what has arrived."""
        self.bodies.removed(self)
        self.size_bytes = 0
        self._chunks.clear()


@define(eq=False)
class CollectedBodies:
    """The bodies that are being collected; ``max_bytes`` returns the bound on them.

    Within it counts what callers haven't taken yet, too (``unsent_bytes``).
    ``given_up`` counts the bodies given up so far.
    """

    reactor: Reactor
    max_bytes: Callable[[], int]
    unsent_bytes: Callable[[], int]
    total_bytes: int = 0
    given_up: int = 0
    _open: dict[CollectedBody, BodyReader] = field(factory=dict)
    _waiting: dict[CollectedBody, None] = field(factory=dict)
    _checks: int = 0
    _timer: Any = None

    def added(self, body: CollectedBody, reader: BodyReader, size_bytes: int) -> None:
        """Count a chunk of ``body``, which has to wait if the sum is over its bound."""
        self._open[body] = reader
        self.total_bytes += size_bytes
        if self._is_full and body is not next(iter(self._open)):
            self._waiting[body] = None
            reader.pause_reading()
            if self._timer is None:
                self._checks = 0
                self._check_later()

    @property
    def _is_full(self) -> bool:
        return self.total_bytes + self.unsent_bytes() > self.max_bytes()

    def removed(self, body: CollectedBody) -> None:
        """Stop counting ``body``, which has ended, and read others on."""
        if body in self._open:
            del self._open[body]
            self._waiting.pop(body, None)
            self.total_bytes -= body.size_bytes
            self._checks = 0
            self._read_on()

    def _read_on(self) -> None:
        """Read on what waits: all if there is room, else the oldest body."""
        readable = list(self._open)[:1] if self._is_full else list(self._waiting)
        for body in readable:
            if body in self._waiting:
                del self._waiting[body]
                self._open[body].resume_reading()

    def _check_later(self) -> None:
        self._timer = self.reactor.callLater(_CHECK_S, self._check)

    def _check(self) -> None:
        """Read on if there is room; give up the largest body after a long wait."""
        self._timer = None
        self._checks += 1
        if self._checks < _MAX_CHECKS:
            self._read_on()
        elif self._waiting:
            self._give_up_largest()
        if self._waiting:
            self._check_later()

    def _give_up_largest(self) -> None:
        largest = max(self._open, key=lambda each: each.size_bytes)
        reader, size_bytes = self._open[largest], largest.size_bytes
        largest.drop()
        self.given_up += 1
        reader.body_given_up(size_bytes)
