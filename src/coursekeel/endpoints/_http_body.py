"""A request body that is sent in chunks without joining them."""

from collections.abc import Iterator
from typing import Any

from twisted.internet import defer
from twisted.internet.task import CooperativeTask, cooperate
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

__all__ = ["ChunkedBody"]

# The usual size of a socket's buffer.
_WRITE_BYTES = 64 * 1024


@implementer(IBodyProducer)
class ChunkedBody:
    """Sends byte strings one after the other without joining them."""

    def __init__(self, chunks: list[bytes]) -> None:
        self._chunks = chunks
        self.length = sum(len(chunk) for chunk in chunks)
        self._task: CooperativeTask[Any] | None = None

    def startProducing(self, consumer: Any) -> "defer.Deferred[None]":
        """Start writing; the deferred fires when everything was written."""
        self._task = cooperate(self._writes(consumer))
        done: defer.Deferred[Any] = self._task.whenDone()
        # A stopped task fails its deferred; the lost connection is reported by the
        # request itself.
        return done.addCallbacks(lambda _: None, lambda _: None)

    def _writes(self, consumer: Any) -> Iterator[None]:
        for chunk in self._chunks:
            view = memoryview(chunk)
            for start in range(0, len(chunk), _WRITE_BYTES):
                consumer.write(bytes(view[start : start + _WRITE_BYTES]))
                yield None

    def pauseProducing(self) -> None:
        """Pause until the connection's buffer has room."""
        if self._task is not None:
            self._task.pause()

    def resumeProducing(self) -> None:
        """Continue writing."""
        if self._task is not None:
            self._task.resume()

    def stopProducing(self) -> None:
        """Stop writing, since the connection is lost."""
        if self._task is not None:
            self._task.stop()
