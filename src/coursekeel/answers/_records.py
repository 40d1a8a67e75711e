"""The table rows that say who owns a durable answer and how it ended."""

from enum import Enum
from typing import Any

import cattrs
from attrs import frozen

__all__ = ["AnswerRecord", "PriorJournal", "RecordState", "answer_key", "owned_key"]

# Enough that keys sort by number for a process that orders a million answers a second
# for a week. A stored form: it can't change.
_ORDER_DIGITS = 12


class RecordState(Enum):
    """What a durable answer's row says of it."""

    RUNNING = "running"
    FINISHED = "finished"
    INTERRUPTED = "interrupted"
    CANCELLED = "cancelled"
    REFUSED = "refused"


@frozen
class PriorJournal:
    """Where a former owner's words of an answer stand."""

    owner: str
    generation: str
    first_segment: int
    last_segment: int


@frozen
class AnswerRecord:
    """One durable answer's row.

    ``owner`` is the owning incarnation and ``epoch`` grows with each takeover.
    ``order`` is the place of the answer in its owner's index, oldest first.
    ``first_segment`` is the owner's first journal segment that may speak of it, and
    ``prior`` where the former owner's journal stands, which counts until the present
    owner's speaks of the answer. Small prompts and results lie in the row itself.
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
        """The row's key in the table."""
        return answer_key(self.team, self.request_id)

    @property
    def index_key(self) -> str:
        """The key of the row that lists the answer under its owner."""
        return owned_key(self.owner, self.order)

    def to_row(self) -> dict[str, Any]:
        """The row's value as the table keeps it."""
        row: dict[str, Any] = cattrs.unstructure(self)
        return row

    @classmethod
    def from_row(cls, value: dict[str, Any]) -> "AnswerRecord":
        """Read a row back."""
        return cattrs.structure(value, cls)


def answer_key(team: str, request_id: str) -> str:
    """The key of an answer's row."""
    return f"answers/{team}/{request_id}"


def owned_key(owner: str, order: int) -> str:
    """The key under which an owner's answers are listed, oldest first."""
    return f"owned/{owner}/{order:0{_ORDER_DIGITS}d}"
