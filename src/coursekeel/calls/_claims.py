"""Table rows that let a keyed call run at most once."""

from base64 import b64decode, b64encode
from enum import Enum
from typing import Any

import xxhash
from attrs import evolve, frozen

from coursekeel.answers import RunState
from coursekeel.calls._reply import ServiceReply

__all__ = ["ClaimRow", "ClaimState", "claim_key", "fingerprint_of"]

# The largest reply body that a claim's row stores for a second call with its key.
_MAX_STORED_BODY_BYTES = 64 * 1024


class ClaimState(Enum):
    """The state of a claimed call."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    REFUSED = "refused"


_STATE_AFTER_RUN = {
    RunState.RAN: ClaimState.DONE,
    RunState.UNKNOWN: ClaimState.UNKNOWN,
    RunState.NOT_RUN: ClaimState.REFUSED,
}


def claim_key(team: str, service: str, request_key: str) -> str:
    """The table key of a call's claim; request keys are separate for each team."""
    return f"calls/{team}/{service}/{request_key}"


def fingerprint_of(method: str, path: str, body: bytes) -> str:
    """The hash of a request, by which a key's reuse for another request is detected."""
    return xxhash.xxh128_hexdigest(f"{method} {path}\n".encode() + body)


@frozen
class ClaimRow:
    """A claim on a caller's key.

    ``attempt_id`` is unique to one call, so that the writer recognizes its own row
    after a write of unknown outcome. ``owner`` is the writing entry's process
    incarnation, and ``fingerprint`` the request's hash.
    """

    key: str
    attempt_id: str
    owner: str
    fingerprint: str
    state: ClaimState = ClaimState.RUNNING
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    expires_at_s: int = 0

    def settled(self, run: RunState, reply: ServiceReply | None) -> "ClaimRow":
        """The row that records the call's outcome for a second call with the key."""
        if reply is None:
            return evolve(self, state=_STATE_AFTER_RUN[run])
        if len(reply.body) > _MAX_STORED_BODY_BYTES:
            # The body is too large for a row, but that the call ran must be recorded.
            return evolve(self, state=ClaimState.DONE, status=reply.status)
        return evolve(
            self,
            state=ClaimState.DONE,
            status=reply.status,
            content_type=reply.content_type,
            body=reply.body,
        )

    def to_row(self) -> dict[str, Any]:
        """The row's value as the table stores it."""
        return {
            "attempt_id": self.attempt_id,
            "owner": self.owner,
            "fingerprint": self.fingerprint,
            "state": self.state.value,
            "status": self.status,
            "content_type": self.content_type,
            "body": b64encode(self.body).decode(),
            "expires_at_s": self.expires_at_s,
        }

    @classmethod
    def from_row(cls, key: str, value: dict[str, Any]) -> "ClaimRow":
        """Decode a row's value."""
        return cls(
            key,
            value["attempt_id"],
            value["owner"],
            value["fingerprint"],
            ClaimState(value["state"]),
            value["status"],
            value["content_type"],
            b64decode(value["body"]),
            value["expires_at_s"],
        )
