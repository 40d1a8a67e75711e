"""A request body that stays in memory, and is bounded before it is read.

Instances have no disks, and Twisted would write a large body to a temporary file. Owns
a request's body; mixed into Twisted's request classes, in front of them.
"""

from io import BytesIO
from typing import Any

__all__ = ["BoundedBody"]


class BoundedBody:
    """Collects a body up to a limit, and tells once of one that is larger."""

    content: Any
    body_is_too_large = False
    _received_bytes = 0

    def body_limit_bytes(self) -> int:
        """The most bytes that are taken now."""
        raise NotImplementedError

    def body_too_large(self) -> None:
        """The body is larger; nothing more of it is kept."""

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
