"""A request body that is kept in memory, with a limit on its size.

Instances have no disks, and Twisted would write a large body to a temporary file. Owns
the body of a request.
"""

from io import BytesIO
from typing import Any

from coursekeel.numbers import saturating_whole

__all__ = ["BoundedBody", "with_bounded_length"]

_LENGTH = b"content-length:"


def with_bounded_length(line: bytes) -> bytes:
    """A header line that Twisted can parse: a length of any number of digits is cut.

    It stays above each limit on bodies. Twisted raises `ValueError` for a long one.
    """
    if line[: len(_LENGTH)].lower() != _LENGTH:
        return line
    length = saturating_whole(line[len(_LENGTH) :].strip(b" \t"))
    return line if length is None else _LENGTH + str(length).encode()


class BoundedBody:
    """Collects a body up to a limit; a mixin to put before Twisted's request class."""

    content: Any
    body_is_too_large = False
    _received_bytes = 0

    def body_limit_bytes(self) -> int:
        """The current limit on the body's size."""
        raise NotImplementedError

    def body_too_large(self) -> None:
        """Called once, when the body is found to exceed the limit."""

    def gotLength(self, length: int | None) -> None:
        self.content = BytesIO()
        if length is not None and length > self.body_limit_bytes():
            self._refuse_body()

    def handleContentChunk(self, data: bytes) -> None:
        self._received_bytes += len(data)
        if self.body_is_too_large:
            return
        if self._received_bytes > self.body_limit_bytes():
            self._refuse_body()
        else:
            self.content.write(data)

    def _refuse_body(self) -> None:
        self.body_is_too_large = True
        self.body_too_large()
