"""All attempts of one answer: opened, known by their number, ended together.

Owns the attempts and their numbers. A core: the moment of an opening is given, in ms.
"""

from attrs import define, field

from coursekeel.answers._attempt import Attempt
from coursekeel.answers._events import CancelAttempt, OpenAttempt, Way
from coursekeel.errors import InvariantBroken

__all__ = ["AttemptSet"]

# A run and one that may overtake it. A third would be work done three times.
_MAX_RACING = 2


@define(eq=False)
class AttemptSet:
    """The attempts of the answer ``label``, by number from 1."""

    label: str
    by_number: dict[int, Attempt] = field(factory=dict)

    def __len__(self) -> int:
        return len(self.by_number)

    def known(self, number: int) -> Attempt:
        """The attempt of this number; only an opened one is ever told of."""
        attempt = self.by_number.get(number)
        if attempt is None:
            raise InvariantBroken(
                f"answer {self.label}: attempt {number} was never opened"
            )
        return attempt

    @property
    def live(self) -> list[Attempt]:
        """Those whose tokens may still be taken, oldest first."""
        return [each for each in self.by_number.values() if each.live]

    @property
    def sound(self) -> bool:
        """Say whether an attempt is at work that nothing speaks against."""
        return any(not each.doubted for each in self.live)

    @property
    def may_have_run(self) -> bool:
        """Say whether any attempt may have run, for all that is known."""
        return any(each.may_have_run for each in self.by_number.values())

    def open(self, attempt: Attempt) -> OpenAttempt:
        """Add an attempt, and ask for it to be opened."""
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
        of_run: Attempt | None = None,
    ) -> Attempt:
        """The next attempt, which takes the run of ``of_run`` up if that is given."""
        number = len(self.by_number) + 1
        label = of_run.label if of_run else f"{self.label}/{number}"
        run_id = of_run.run_id if of_run else ""
        return Attempt(number, endpoint_id, way, position, label, now_ms, run_id=run_id)

    def cancel(
        self, attempts: list[Attempt], stops_run: bool = True
    ) -> list[CancelAttempt]:
        """Give attempts up in favour of another, or because the answer has ended."""
        for each in attempts:
            each.machine.feed("superseded")
        return [CancelAttempt(each.number, stops_run) for each in attempts]

    def cancel_all(self, stops_run: bool = True) -> list[CancelAttempt]:
        """Give up all that are live."""
        return self.cancel(self.live, stops_run)

    def cancel_others(self, winner: Attempt) -> list[CancelAttempt]:
        """Give up all but the one that extended the ledger."""
        return self.cancel([each for each in self.live if each is not winner])

    def make_room(self) -> list[CancelAttempt]:
        """Give up the oldest, so that one more may race."""
        return self.cancel(self.live[: 1 - _MAX_RACING])
