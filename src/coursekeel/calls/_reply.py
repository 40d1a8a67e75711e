"""The reply of a plain service."""

from attrs import frozen

__all__ = ["ServiceReply"]

# The first status code of server errors (RFC 9110). Cores don't import `http`.
_FIRST_SERVER_ERROR = 500


@frozen
class ServiceReply:
    """A service's reply; ``headers`` are those to forward to the caller."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()

    @property
    def failed(self) -> bool:
        """Whether it is a server error, so that another endpoint may succeed."""
        return self.status >= _FIRST_SERVER_ERROR
