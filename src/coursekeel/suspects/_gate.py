"""Checks before each send whether a request is barred, and broadcasts changes.

Rule: `coursekeel.quarantine` decides which requests are barred. It is consulted before
every send, also of the same request, since another member may have sent an update
meanwhile. A request that runs on trial may be sent until its record changes.

Owns only the trials of this instance's requests. Relies on `Quarantine` for the
records, and on ``broadcast`` to send changed ones to the other members.
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

__all__ = ["FingerprintedRequest", "QuarantineGate", "QuarantinePass"]


class FingerprintedRequest(Protocol):
    """A request that may be suspect."""

    @property
    def fingerprint(self) -> str:
        """The same for equal requests of one team, whatever their ids and instances."""


@define(eq=False)
class QuarantineGate:
    """Checks requests against the quarantine and reports how their runs ended.

    ``broadcast`` sends records to all other members; before it, ``on_change`` is called
    with the fingerprint of each request whose record changed here.
    """

    clock: Clock
    quarantine: Quarantine
    broadcast: Callable[[list[SuspectRecord]], None]
    on_change: Callable[[str], None]

    def barred_ms(self, call: FingerprintedRequest) -> float:
        """For how long a request may not be sent; 0 if it may be."""
        verdict = self._verdict(call)
        return verdict.remaining_ms if isinstance(verdict, Barred) else 0.0

    def begin_trial(self, call: FingerprintedRequest) -> SuspectRecord | None:
        """Begin a trial of a request whose bar is over; None if it needs none."""
        if not isinstance(self._verdict(call), Trial):
            return None
        now_ms = self.clock.now_ms()
        trial_record = self.quarantine.begin_trial(call.fingerprint, now_ms)
        self._publish([trial_record])
        return trial_record

    def report_crash(self, endpoint_id: str, suspects: Iterable[Suspect]) -> None:
        """Record that an endpoint crashed while it had these requests."""
        records = [
            self.quarantine.add_strike(
                suspect.fingerprint, endpoint_id, suspect.sign, suspect.lost_ms
            )
            for suspect in suspects
        ]
        self._publish(records)

    def report_success(self, call: FingerprintedRequest) -> None:
        """Clear a request that ran without crashing its endpoint."""
        if len(self.quarantine):
            now_ms = self.clock.now_ms()
            self._publish([self.quarantine.clear(call.fingerprint, now_ms)])

    def _publish(self, records: list[SuspectRecord | None]) -> None:
        """Report changed records; None stands for an update that changed nothing."""
        changed = [record for record in records if record is not None]
        for record in changed:
            self.on_change(record.fingerprint)
        if changed:
            self.broadcast(changed)

    def _verdict(self, call: FingerprintedRequest) -> Barred | Trial | None:
        """The verdict; the fingerprint is computed only while a request is barred."""
        if not self.quarantine.barred:
            return None
        return self.quarantine.verdict(call.fingerprint, self.clock.now_ms())


@define(eq=False)
class QuarantinePass:
    """One request's permission to be sent, checked again before each send."""

    gate: QuarantineGate
    call: FingerprintedRequest
    _trial_record: SuspectRecord | None = None

    def may_send(self) -> bool:
        """Say whether the request may be sent now; begins a trial if it needs one."""
        if self._trial_record is not None:
            return self.gate.quarantine.is_trial_valid(self._trial_record)
        if self.gate.barred_ms(self.call):
            return False
        self._trial_record = self.gate.begin_trial(self.call)
        return True

    @property
    def barred_ms(self) -> float:
        """For how long the request may not be sent; 0 if it may be."""
        return self.gate.barred_ms(self.call)
