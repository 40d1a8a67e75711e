"""Table rows that record who owns a durable answer and how it ended."""

from enum import Enum
from typing import Any

import cattrs
from attrs import frozen

__all__ = [
    "AnswerRecord",
    "PriorJournal",
    "RecordState",
    "answer_key",
    "owner_index_key",
]

# Zero-padded so that keys sort by number, up to a million answers a second for a week.
# Stored keys contain it, so it can't change.
_ORDER_DIGITS = 12


class RecordState(Enum):
    """The state of a durable answer in its row."""

    RUNNING = "running"
    FINISHED = "finished"
    INTERRUPTED = "interrupted"
    CANCELLED = "cancelled"
    REFUSED = "refused"


@frozen
class PriorJournal:
    """The range of a former owner's journal segments that contain an answer."""

    owner: str
    generation: str
    first_segment: int
    last_segment: int


@frozen
class AnswerRecord:
    """One durable answer's row.

    ``owner`` is the owning entry's process incarnation and ``epoch`` grows with each
    takeover. ``order`` is the answer's place in its owner's index, oldest first.
    ``first_segment`` is the owner's first journal segment that may contain the answer,
    and ``prior`` the former owner's segments, used until the owner's own journal
    contains it. Small prompts and results are in the row itself, others in the objects
    ``prompt_object`` and ``result_object``.
    """

    team: str
    request_id: str
    request_class: str
    owner: str
    epoch: int
    order: int
    generation: str
    state: RecordState
    model: str = ""
    first_segment: int = 0
    prior: PriorJournal | None = None
    prompt: str = ""
    prompt_object: str = ""
    result: str = ""
    result_object: str = ""
    finish_reason: str = ""
    error_code: str = ""
    held_tokens: int = 0
    expires_at_s: int = 0

    @property
    def key(self) -> str:
        """The key of this row in the table."""
        return answer_key(self.team, self.request_id)

    @property
    def index_key(self) -> str:
        """The key of the row that lists the answer under its owner."""
        return owner_index_key(self.owner, self.order)

    def to_row(self) -> dict[str, Any]:
        """The row's value as the table stores it."""
        row: dict[str, Any] = cattrs.unstructure(self)
        return row

    @classmethod
    def from_row(cls, value: dict[str, Any]) -> "AnswerRecord":
        """Decode a row's value."""
        return cattrs.structure(value, cls)


def answer_key(team: str, request_id: str) -> str:
    """The table key of an answer's row."""
    return f"answers/{team}/{request_id}"


def owner_index_key(owner: str, order: int) -> str:
    """The key that lists an answer under its owner; keys sort oldest first."""
    return f"owned/{owner}/{order:0{_ORDER_DIGITS}d}"
