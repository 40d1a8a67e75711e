"""Checks before each send whether a request is barred, and broadcasts changes.

Rule: `coursekeel.quarantine` decides which requests are barred. It is consulted before
every send, also of the same request, since another member may have sent an update
meanwhile. A request that runs on trial may be sent until its record changes. One that
isn't barred may have to wait before its next run (`RunPacing`).

A request is barred too while a part of its prompt is. Each part that isn't known to be
sound (`SoundParts`) gets the strikes of the requests that hold it, so that requests of
which no two are alike are recognized by what they share. An answer clears the parts of
its request, at all members.

Owns only the trials of this instance's requests. Relies on `Quarantine` for the
records, and on ``broadcast`` to send changed ones to the other members.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import define, field

from coursekeel.quarantine import (
    Barred,
    Quarantine,
    SuspectRecord,
    Trial,
    cut_fingerprint,
)
from coursekeel.runtime import Clock
from coursekeel.suspects._fingerprint import is_part
from coursekeel.suspects._isolated_cuts import IsolatedCuts
from coursekeel.suspects._lost_runs import Suspect
from coursekeel.suspects._pacing import PacingSettings, RunPacing, WantedRun
from coursekeel.suspects._sound_parts import SoundParts

__all__ = ["FingerprintedRequest", "QuarantineGate", "QuarantinePass"]


class FingerprintedRequest(Protocol):
    """A request that may be suspect."""

    @property
    def fingerprint(self) -> str:
        """The same for equal requests of one team, whatever their ids and instances."""

    @property
    def part_fingerprints(self) -> tuple[str, ...]:
        """Those of the parts of its prompt that other requests may share."""


@define(eq=False)
class QuarantineGate:
    """Checks requests against the quarantine and reports how their runs ended.

    ``broadcast`` sends records to all other members; before it, ``on_change`` is called
    with the fingerprint of each request whose record changed here. Without ``pacing``
    only copies of a request at this instance wait for each other.
    """

    clock: Clock
    quarantine: Quarantine
    broadcast: Callable[[list[SuspectRecord]], None]
    on_change: Callable[[str], None]
    pacing: RunPacing = field()
    cuts: IsolatedCuts = field(factory=IsolatedCuts)
    sound_parts: SoundParts = field(factory=SoundParts)

    @pacing.default
    def _default_pacing(self) -> RunPacing:
        return RunPacing(self.quarantine, "", tuple, PacingSettings(0.0, 0.0))

    def barred_ms(self, call: FingerprintedRequest) -> float:
        """For how long a request may not be sent; 0 if it may be."""
        verdicts = self._verdicts(call).values()
        return max(
            (x.remaining_ms for x in verdicts if isinstance(x, Barred)), default=0
        )

    def begin_trial(self, call: FingerprintedRequest) -> SuspectRecord | None:
        """Begin a trial of a request whose bar is over; None if it needs none."""
        for fingerprint, verdict in self._verdicts(call).items():
            if isinstance(verdict, Trial):
                now_ms = self.clock.now_ms()
                trial_record = self.quarantine.begin_trial(fingerprint, now_ms)
                self._publish([trial_record])
                return trial_record
        return None

    def probe_begun(self, suspect: Suspect) -> None:
        """Hold a request whose lost run may have crashed its endpoint."""
        self.pacing.run_lost(suspect.fingerprint, self.clock.now_ms())

    def report_alive(self, endpoint_id: str, suspects: Iterable[Suspect]) -> None:
        """Record that the endpoint of these requests answers; it may have cut them."""
        for suspect in suspects:
            self.pacing.settled(suspect.fingerprint)
            if suspect.closed and not is_part(suspect.fingerprint):
                self._record_cut(endpoint_id, suspect)

    def run_cut(self, call: FingerprintedRequest, endpoint_id: str) -> None:
        """Note that an endpoint closed a run's connection, whatever its cause."""
        self.cuts.add(endpoint_id, call.fingerprint, self.clock.now_ms())

    def _record_cut(self, endpoint_id: str, suspect: Suspect) -> None:
        fingerprint = cut_fingerprint(suspect.fingerprint)
        record = self.quarantine.record(fingerprint)
        known = {x.endpoint_id for x in record.strikes} if record else set()
        strikes = self.cuts.strikes_of(endpoint_id, suspect, known)
        records = [
            self.quarantine.add_strike(fingerprint, x.endpoint_id, x.sign, x.at_ms)
            for x in strikes
        ]
        self._publish(records[-1:])

    def report_crash(self, endpoint_id: str, suspects: Iterable[Suspect]) -> None:
        """Record that an endpoint crashed while it had these requests."""
        now_ms = self.clock.now_ms()
        records = []
        for suspect in suspects:
            if self.sound_parts.is_sound(suspect.fingerprint, now_ms):
                continue
            self.pacing.endpoint_crashed(suspect.fingerprint, now_ms)
            record = self.quarantine.add_strike(
                suspect.fingerprint, endpoint_id, suspect.sign, suspect.lost_ms
            )
            records.append(record)
        self._publish(records)

    def report_success(self, call: FingerprintedRequest) -> None:
        """Clear a request that ran without crashing its endpoint, and its parts."""
        self.report_parts_sound(call)
        if not (len(self.quarantine) or self.cuts.has_suspects):
            return
        now_ms, fingerprint = self.clock.now_ms(), call.fingerprint
        self.cuts.clear(fingerprint)
        cleared = [
            self.quarantine.clear(each, now_ms)
            for each in (fingerprint, cut_fingerprint(fingerprint))
        ]
        self._publish(cleared)

    def report_parts_sound(self, call: FingerprintedRequest) -> None:
        """Clear the parts of a request that an endpoint has begun to answer."""
        parts, now_ms = call.part_fingerprints, self.clock.now_ms()
        self.sound_parts.answered(parts, now_ms)
        if len(self.quarantine):
            self._publish([self.quarantine.clear(each, now_ms) for each in parts])

    def news_received(self, fingerprints: Iterable[str]) -> None:
        """Clear what a member suspects, of the parts that are known to be sound here.

        Called with the fingerprints of the records that it sent.
        """
        now_ms = self.clock.now_ms()
        known = [x for x in fingerprints if self.sound_parts.is_sound(x, now_ms)]
        self._publish([self.quarantine.clear(each, now_ms) for each in known])

    def _publish(self, records: list[SuspectRecord | None]) -> None:
        """Report changed records; None stands for an update that changed nothing."""
        changed = [record for record in records if record is not None]
        for record in changed:
            self.on_change(record.fingerprint)
        if changed:
            self.broadcast(changed)

    def _verdicts(self, call: FingerprintedRequest) -> dict[str, Barred | Trial]:
        """The verdicts by crashes and by cuts, by the fingerprint of the record.

        The request's fingerprint is computed only while a request is barred.
        """
        if not self.quarantine.barred:
            return {}
        now_ms = self.clock.now_ms()
        verdicts = {
            each: self.quarantine.verdict(each, now_ms)
            for each in (
                call.fingerprint,
                cut_fingerprint(call.fingerprint),
                *call.part_fingerprints,
            )
        }
        return {each: found for each, found in verdicts.items() if found is not None}


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
        if self._may_be_held:
            now_ms = self.gate.clock.now_ms()
            self.gate.pacing.run_started(self.call.fingerprint, id(self), now_ms)
        return True

    def hold_ms(self, since_ms: float) -> float:
        """How long a run that waits since ``since_ms`` must wait from now at least.

        Less if the request is cleared or barred meanwhile; 0 if it needs no wait.
        """
        if not self._may_be_held:
            return 0.0
        run = WantedRun(self.call.fingerprint, id(self), since_ms)
        return self.gate.pacing.hold_ms(run, self.gate.clock.now_ms())

    @property
    def _may_be_held(self) -> bool:
        """Whether any request may be held: fingerprints are computed only then."""
        return len(self.gate.quarantine) > 0 or self.gate.pacing.is_waiting

    @property
    def barred_ms(self) -> float:
        """For how long the request may not be sent; 0 if it may be."""
        return self.gate.barred_ms(self.call)
