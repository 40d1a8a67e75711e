"""All attempts of one answer, by number.

Owns the attempts and their numbers. Has no clock: callers pass the time at which an
attempt is opened, in ms.
"""

from attrs import define, field

from coursekeel.answers._attempt import Attempt
from coursekeel.answers._events import CancelAttempt, OpenAttempt, Way
from coursekeel.errors import InvariantBroken

__all__ = ["AttemptSet"]

# The suspected run and its successor; a third would do the work three times.
_MAX_RACING_ATTEMPTS = 2


@define(eq=False)
class AttemptSet:
    """The attempts of the answer ``label``, by number from 1."""

    label: str
    by_number: dict[int, Attempt] = field(factory=dict)

    def __len__(self) -> int:
        return len(self.by_number)

    def get(self, number: int) -> Attempt:
        """Return an attempt by number; raises `InvariantBroken` if it isn't known."""
        attempt = self.by_number.get(number)
        if attempt is None:
            raise InvariantBroken(
                f"answer {self.label}: attempt {number} was never opened"
            )
        return attempt

    @property
    def live(self) -> list[Attempt]:
        """Attempts whose tokens may still be accepted, oldest first."""
        return [attempt for attempt in self.by_number.values() if attempt.live]

    @property
    def has_healthy(self) -> bool:
        """Whether a live attempt isn't suspected."""
        return any(not attempt.suspected for attempt in self.live)

    @property
    def runs(self) -> int:
        """How many attempts may have run on their endpoints."""
        return sum(attempt.may_have_run for attempt in self.by_number.values())

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run on its endpoint."""
        return self.runs > 0

    def open(self, attempt: Attempt) -> OpenAttempt:
        """Add an attempt and return the action that opens its stream."""
        self.by_number[attempt.number] = attempt
        return OpenAttempt(
            attempt.number,
            attempt.endpoint_id,
            attempt.way,
            attempt.from_position,
            attempt.run_id,
        )

    def new(
        self,
        endpoint_id: str,
        way: Way,
        position: int,
        now_ms: float,
        resumed_attempt: Attempt | None = None,
    ) -> Attempt:
        """Create the next attempt, which continues ``resumed_attempt``'s run if set."""
        number = len(self.by_number) + 1
        label = resumed_attempt.label if resumed_attempt else f"{self.label}/{number}"
        run_id = resumed_attempt.run_id if resumed_attempt else ""
        return Attempt(number, endpoint_id, way, position, label, now_ms, run_id=run_id)

    def cancel(
        self, attempts: list[Attempt], stops_run: bool = True
    ) -> list[CancelAttempt]:
        """Cancel attempts because another replaced them or the answer has ended."""
        for attempt in attempts:
            attempt.machine.feed("superseded")
        return [CancelAttempt(attempt.number, stops_run) for attempt in attempts]

    def cancel_all(self, stops_run: bool = True) -> list[CancelAttempt]:
        """Cancel all live attempts."""
        return self.cancel(self.live, stops_run)

    def cancel_others(self, winner: Attempt) -> list[CancelAttempt]:
        """Cancel all live attempts but the one that extended the ledger."""
        return self.cancel([attempt for attempt in self.live if attempt is not winner])

    def cancel_suspected(self) -> list[CancelAttempt]:
        """Cancel the suspected attempts, as a healthy one goes on."""
        if not self.has_healthy:
            return []
        return self.cancel([attempt for attempt in self.live if attempt.suspected])

    def make_room(self) -> list[CancelAttempt]:
        """Cancel the oldest attempts, so that one more may be opened."""
        return self.cancel(self.live[: 1 - _MAX_RACING_ATTEMPTS])
