"""Bar: may a request be sent, under which endpoints have ended?

Rule: `coursekeel.quarantine` says which requests are barred; each send asks anew, since
another member may have learned something since the last one. What this instance learns
is told to all others at once. One that is let run on trial may be sent until something
is learned of it.

Owns nothing but the trials of its own requests. Relies on `Quarantine` for what is
known, and on ``tell`` for the others.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import define

from coursekeel.quarantine import (
    Barred,
    Quarantine,
    SuspectRecord,
    Trial,
)
from coursekeel.runtime import Clock
from coursekeel.suspects._lost_runs import Suspect

__all__ = ["AskedRequest", "QuarantineGate", "QuarantinePass"]


class AskedRequest(Protocol):
    """A request that may be suspect."""

    @property
    def fingerprint(self) -> str:
        """The same for what the same team asks again, whatever its id and instance."""


@define(eq=False)
class QuarantineGate:
    """Asks and tells of suspect requests.

    ``tell`` gives records to all members; ``touched`` is told before of each request
    of which this instance learned something by itself.
    """

    clock: Clock
    quarantine: Quarantine
    tell: Callable[[list[SuspectRecord]], None]
    touched: Callable[[str], None]

    def barred_ms(self, call: AskedRequest) -> float:
        """For how long a request may not be sent; 0 if it may be."""
        verdict = self._verdict(call)
        return verdict.left_ms if isinstance(verdict, Barred) else 0.0

    def begin_trial(self, call: AskedRequest) -> SuspectRecord | None:
        """Let a request whose bar is over run once; None if it needs no trial."""
        if not isinstance(self._verdict(call), Trial):
            return None
        now_ms = self.clock.now_ms()
        tried = self.quarantine.begin_trial(call.fingerprint, now_ms)
        self._tell([tried])
        return tried

    def struck(self, endpoint_id: str, suspects: Iterable[Suspect]) -> None:
        """An endpoint ended while it had these requests."""
        found = [
            self.quarantine.strike(
                each.fingerprint, endpoint_id, each.sign, each.lost_ms
            )
            for each in suspects
        ]
        self._tell(found)

    def proved_sound(self, call: AskedRequest) -> None:
        """A request ran, and its endpoint lives."""
        if len(self.quarantine):
            now_ms = self.clock.now_ms()
            self._tell([self.quarantine.proved_sound(call.fingerprint, now_ms)])

    def _tell(self, found: list[SuspectRecord | None]) -> None:
        learned = [each for each in found if each is not None]
        for each in learned:
            self.touched(each.fingerprint)
        if learned:
            self.tell(learned)

    def _verdict(self, call: AskedRequest) -> Barred | Trial | None:
        """Nothing is computed of a request while no request is barred."""
        if not self.quarantine.barred:
            return None
        return self.quarantine.verdict(call.fingerprint, self.clock.now_ms())


@define(eq=False)
class QuarantinePass:
    """One request's leave to be sent, which ends when something is learned of it."""

    gate: QuarantineGate
    call: AskedRequest
    _trial: SuspectRecord | None = None

    def may_send(self) -> bool:
        """Say whether the request may be sent now."""
        if self._trial is not None:
            return self.gate.quarantine.trial_stands(self._trial)
        if self.gate.barred_ms(self.call):
            return False
        self._trial = self.gate.begin_trial(self.call)
        return True

    @property
    def barred_ms(self) -> float:
        """For how long the request may not be sent."""
        return self.gate.barred_ms(self.call)
