"""A request body that is kept in memory, with a limit on its size.

Instances have no disks, and Twisted would write a large body to a temporary file. Owns
the body of a request.
"""

from io import BytesIO
from typing import Any

__all__ = ["BoundedBody"]


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
