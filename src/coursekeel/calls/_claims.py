"""The table rows that let a keyed call run at most once."""

from base64 import b64decode, b64encode
from enum import Enum
from typing import Any

import xxhash
from attrs import evolve, frozen

from coursekeel.answers import RunState
from coursekeel.calls._reply import ServiceReply

__all__ = ["ClaimRow", "ClaimState", "claim_key", "fingerprint_of"]

# The largest reply that a claim's row keeps for a second call with its key. Rows are
# small, and a booking's confirmation is some hundred bytes.
_MAX_STORED_BODY_BYTES = 64 * 1024


class ClaimState(Enum):
    """What a claim says of its call."""

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
    """The table key of a call's claim; teams can't meet each other's keys."""
    return f"calls/{team}/{service}/{request_key}"


def fingerprint_of(method: str, path: str, body: bytes) -> str:
    """What a second call with the key must share with the first."""
    return xxhash.xxh128_hexdigest(f"{method} {path}\n".encode() + body)


@frozen
class ClaimRow:
    """A claim. ``attempt_id`` is known to one attempt only, so that its writer can
    tell its own row from another's after a lost answer.
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
        """The row that keeps the call's fate for a second call with the key."""
        if reply is None:
            return evolve(self, state=_STATE_AFTER_RUN[run])
        if len(reply.body) > _MAX_STORED_BODY_BYTES:
            # The call ran, and that must be kept; the body is more than a row holds.
            return evolve(self, state=ClaimState.DONE, status=reply.status)
        return evolve(
            self,
            state=ClaimState.DONE,
            status=reply.status,
            content_type=reply.content_type,
            body=reply.body,
        )

    def to_row(self) -> dict[str, Any]:
        """The row's value as the table keeps it."""
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
        """Read a row back."""
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
