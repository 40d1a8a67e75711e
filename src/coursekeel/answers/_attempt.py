"""An attempt: one run on one endpoint that extends a generation from a position."""

from attrs import define, field

from coursekeel.answers._events import StreamHead, Way
from coursekeel.charts import Machine, load_chart

__all__ = ["Attempt", "ExpectedModel"]


@define(frozen=True)
class ExpectedModel:
    """The model that a stream's head must name before its tokens are accepted."""

    model: str
    adapter: str
    version: str

    def matches(self, head: StreamHead) -> bool:
        """Return whether the stream is served by exactly this model."""
        return (head.model, head.adapter, head.version) == (
            self.model,
            self.adapter,
            self.version,
        )


@define(eq=False)
class Attempt:
    """State of one attempt.

    The engine must echo ``label``, so that a stream of another request is refused
    before its first token. ``copy_id`` is the endpoint that keeps a copy of the run's
    KV cache, empty if none does. ``may_have_run`` is false once the attempt ended in a
    way that proves it never ran. ``opened_ms``, ``last_received_ms`` and
    ``first_piece_ms`` are times of the caller's clock.
    """

    number: int
    endpoint_id: str
    way: Way
    from_position: int
    label: str
    opened_ms: float
    run_id: str = ""
    copy_id: str = ""
    last_received_ms: float = field(init=False)
    first_piece_ms: float | None = None
    suspected: bool = False
    may_have_run: bool = True
    machine: Machine = field(factory=lambda: load_chart("attempt").machine())

    def __attrs_post_init__(self) -> None:
        self.last_received_ms = self.opened_ms

    @property
    def has_progressed(self) -> bool:
        """Whether the attempt extended the ledger."""
        return self.first_piece_ms is not None

    @property
    def live(self) -> bool:
        """Whether tokens of this attempt may still be accepted."""
        return self.machine.state in ("opening", "streaming")

    @property
    def streaming(self) -> bool:
        """Whether the stream's head arrived and was right."""
        return self.machine.state == "streaming"

    def accept_head(self, head: StreamHead, expected: ExpectedModel) -> bool:
        """Check the stream's head and return whether it is right.

        A wrong head drops the attempt.
        """
        right = (
            expected.matches(head)
            and head.label == self.label
            and head.from_position == self.from_position
        )
        self.machine.feed("head_right" if right else "head_wrong")
        self.run_id = head.run_id
        return right
