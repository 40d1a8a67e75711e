"""One run on one endpoint that extends a generation from a position."""

from attrs import define, field

from coursekeel.answers._events import StreamHead, Way
from coursekeel.charts import Machine, load_chart

__all__ = ["Attempt", "Expected"]


@define(frozen=True)
class Expected:
    """What a stream must say of itself before its tokens are taken."""

    model: str
    adapter: str
    version: str

    def matches(self, head: StreamHead) -> bool:
        """Say whether the stream is served by exactly this model."""
        return (head.model, head.adapter, head.version) == (
            self.model,
            self.adapter,
            self.version,
        )


@define(eq=False)
class Attempt:
    """Book-keeping of one attempt; its chart says what may still come of it.

    ``label`` is what the engine must echo, so that a stream that belongs to another
    request is refused before its first token. ``copy_id`` names the endpoint that
    keeps a copy of the run's memory, empty if none does. ``may_have_run`` is false once
    the attempt ended in a way that proves it never ran. ``progressed_ms`` is when its
    first piece came.
    """

    number: int
    endpoint_id: str
    way: Way
    from_position: int
    label: str
    opened_ms: float
    run_id: str = ""
    copy_id: str = ""
    heard_ms: float = field(init=False)
    progressed_ms: float | None = None
    doubted: bool = False
    may_have_run: bool = True
    machine: Machine = field(factory=lambda: load_chart("attempt").machine())

    def __attrs_post_init__(self) -> None:
        self.heard_ms = self.opened_ms

    @property
    def progressed(self) -> bool:
        """Say whether it gave a piece."""
        return self.progressed_ms is not None

    @property
    def live(self) -> bool:
        """Say whether tokens of this attempt may still be taken."""
        return self.machine.state in ("opening", "streaming")

    @property
    def streaming(self) -> bool:
        """Say whether the stream has proved what serves it."""
        return self.machine.state == "streaming"

    def accept_head(self, head: StreamHead, expected: Expected) -> bool:
        """Check the head; a wrong one drops the attempt."""
        right = (
            expected.matches(head)
            and head.label == self.label
            and head.from_position == self.from_position
        )
        self.machine.feed("head_right" if right else "head_wrong")
        self.run_id = head.run_id
        return right
