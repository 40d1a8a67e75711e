"""What a service answered."""

from attrs import frozen

__all__ = ["ServiceReply"]

# The first status of a server's own failures (RFC 9110). A core imports no http.
_FIRST_SERVER_ERROR = 500


@frozen
class ServiceReply:
    """What the service answered; ``headers`` are those to pass on, if any are."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()

    @property
    def failed(self) -> bool:
        """Say whether the service itself failed, so that another may do better."""
        return self.status >= _FIRST_SERVER_ERROR
