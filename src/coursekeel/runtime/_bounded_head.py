"""The head of a request, bounded by the limit that is in force when it is read.

A connection outlives changes of the limit, so that it is asked for at each head. A head
that has begun is read by the larger of the limits at its start and now: its sender
could not know of a change. Twisted's own bounds on the length of a line and on the
number of fields give way to it. After a head that is too large nothing more is read.

Owns the bound on one connection's heads.
"""

from typing import Any

__all__ = ["BoundedHead"]


class BoundedHead:
    """Bounds heads; a mixin to put before Twisted's channel class.

    ``last_line`` is the last one received. Twisted holds it back, as the next one may
    go on with its field.
    """

    head_is_too_large = False
    last_line = b""
    maxHeaders: int
    MAX_LENGTH: int
    totalHeadersSize: int
    _receivedHeaderSize: int
    _buffer: bytes

    def head_limit_bytes(self) -> int:
        """The limit on a head's size that is in force now."""
        raise NotImplementedError

    def head_too_large(self, size_bytes: int) -> None:
        """Called once when a head exceeds its limit; ``size_bytes`` were received."""
        raise NotImplementedError

    def connectionMade(self) -> None:
        self._update_limit()
        twisted: Any = super()
        twisted.connectionMade()

    def dataReceived(self, data: bytes) -> None:
        if self.head_is_too_large:
            return
        self._update_limit()
        twisted: Any = super()
        twisted.dataReceived(data)

    def lineReceived(self, line: bytes) -> None:
        if not self._receivedHeaderSize:
            self._update_limit()
        if self._receivedHeaderSize + len(line) > self.totalHeadersSize:
            self.lineLengthExceeded(line)
            return
        self.last_line = line
        twisted: Any = super()
        twisted.lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        self.head_is_too_large = True
        # Else the lines that follow would be read as those of another request.
        self._buffer = b""
        self.head_too_large(self._receivedHeaderSize + len(line))

    def _update_limit(self) -> None:
        limit_bytes = self.head_limit_bytes()
        has_begun = self._receivedHeaderSize > 0
        if has_begun:
            limit_bytes = max(limit_bytes, self.totalHeadersSize)
        self.totalHeadersSize = self.MAX_LENGTH = limit_bytes
        # A field takes a byte at least, so that this is no bound of its own.
        self.maxHeaders = limit_bytes
