"""A request's body that is sent in pieces without being joined."""

from collections.abc import Iterator
from typing import Any

from twisted.internet import defer
from twisted.internet.task import CooperativeTask, cooperate
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

__all__ = ["ChunkedBody"]

# What is written to a socket at a time, the usual size of a socket's buffer.
_PIECE_BYTES = 64 * 1024


@implementer(IBodyProducer)
class ChunkedBody:
    """Sends byte strings one after the other without joining them."""

    def __init__(self, chunks: list[bytes]) -> None:
        self._chunks = chunks
        self.length = sum(len(each) for each in chunks)
        self._task: CooperativeTask[Any] | None = None

    def startProducing(self, consumer: Any) -> "defer.Deferred[None]":
        """Start to write; fires when everything was written."""
        self._task = cooperate(self._pieces(consumer))
        done: defer.Deferred[Any] = self._task.whenDone()
        # A task that is stopped fails its deferred; the connection's loss is told
        # elsewhere.
        return done.addCallbacks(lambda _: None, lambda _: None)

    def _pieces(self, consumer: Any) -> Iterator[None]:
        for chunk in self._chunks:
            view = memoryview(chunk)
            for start in range(0, len(chunk), _PIECE_BYTES):
                consumer.write(bytes(view[start : start + _PIECE_BYTES]))
                yield None

    def pauseProducing(self) -> None:
        """Wait until the connection has room."""
        if self._task is not None:
            self._task.pause()

    def resumeProducing(self) -> None:
        """Go on."""
        if self._task is not None:
            self._task.resume()

    def stopProducing(self) -> None:
        """The connection is lost."""
        if self._task is not None:
            self._task.stop()
