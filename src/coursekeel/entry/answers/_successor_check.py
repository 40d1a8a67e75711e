"""Checks that a stalled run would be left for an endpoint that answers.

Rule: a run whose endpoint stalled is left only once another endpoint has answered a
question for its status: the one that keeps the run's copy or, without a copy, any that
may run it. Otherwise the run is waited on, for two seconds at most. Reason: sound
endpoints may all be silent for a second or so and go on where they were. A run that is
left for one as silent does its work twice, and loses what its own endpoint has of it.

Owns which stalled runs of one answer are waited on. Relies on `EndpointQuestions` for
the endpoints' answers; the answer's task owns the runs.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

from attrs import define, field

from coursekeel.answers import AnswerCore, Attempt, RequestEndpoint
from coursekeel.entry.answers._answer_placement import AnswerPlacement
from coursekeel.entry.answers._endpoint_questions import EndpointQuestions
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.units import MS_PER_SECOND

__all__ = ["SuccessorCheck"]

# How long a run is waited on while no successor answers.
_MAX_WAIT_MS = 2_000.0
_ASK_AGAIN_MS = 250.0
# A successor that was silent as well goes on at about the same time as the run.
_CONFIRM_MS = 100.0


@define(eq=False)
class _Wait:
    """A run that is waited on; ``round`` counts the times that successors were asked.

    ``was_silent`` says that a successor didn't answer the latest time.
    """

    attempt: Attempt
    position: int
    round: int = 0
    was_silent: bool = False


@define(eq=False)
class SuccessorCheck:
    """The check for the answer of ``core``.

    ``on_stalled`` is called with the endpoint of a run that may be left.
    """

    reactor: Reactor
    questions: EndpointQuestions
    core: AnswerCore[Any]
    placement: AnswerPlacement
    on_stalled: Callable[[str], None]
    _waits: dict[int, _Wait] = field(factory=dict)

    def endpoint_stalled(self, endpoint_id: str) -> None:
        """Wait on the runs at an endpoint that has stalled on all its streams."""
        for attempt in list(self.core.attempts.values()):
            if attempt.endpoint_id == endpoint_id:
                self._run_stalled(attempt)

    def suspects_now(self, now_ms: float) -> bool:
        """Return whether the runs that have stalled are suspected at once.

        Those that have begun to stream are waited on instead.
        """
        stalled = [self.core.attempts[n] for n in self.core.stalled_attempts(now_ms)]
        begun = [attempt for attempt in stalled if attempt.has_progressed]
        for attempt in begun:
            self._run_stalled(attempt)
        return not begun

    def _run_stalled(self, attempt: Attempt) -> None:
        position = self.core.ledger.next_position
        known = self._waits.get(attempt.number)
        if known is not None and known.position == position:
            return
        wait = _Wait(attempt, position)
        if self._is_stalled(wait):
            self._waits[attempt.number] = wait
            self.reactor.callLater(_MAX_WAIT_MS / MS_PER_SECOND, self._wait_over, wait)
            self._ask(wait, wait.round)

    def _is_stalled(self, wait: _Wait) -> bool:
        is_open = wait.attempt.live and not wait.attempt.suspected
        is_waiting = wait.position == self.core.ledger.next_position
        return is_open and is_waiting and not self.core.ended

    def stop(self) -> None:
        """Wait on no run any more."""
        self._waits.clear()

    def _is_current(self, wait: _Wait) -> bool:
        is_known = self._waits.get(wait.attempt.number) is wait
        return is_known and self._is_stalled(wait)

    def _ask(self, wait: _Wait, asked_round: int) -> None:
        if wait.round != asked_round or not self._is_current(wait):
            return
        wait.round += 1
        for endpoint_id in self._successors(wait.attempt):
            self.questions.ask(endpoint_id, partial(self._told, wait, wait.round))
        self._ask_later(wait, _ASK_AGAIN_MS)

    def _successors(self, attempt: Attempt) -> list[str]:
        """The endpoints of which one must answer before the run is left."""
        excluded = self.core.excluded_endpoints
        copy_id = attempt.copy_id if attempt.copy_id not in excluded else ""
        if copy_id and self.placement.accepts_work(copy_id):
            return [copy_id]
        busy = {each.endpoint_id for each in self.core.attempts.values() if each.live}
        position = self.core.ledger.next_position
        return self.placement.candidates(
            RequestEndpoint(excluded | busy, True, position)
        )

    def _ask_later(self, wait: _Wait, delay_ms: float) -> None:
        delay_s = delay_ms / MS_PER_SECOND
        self.reactor.callLater(delay_s, self._ask, wait, wait.round)

    def _told(self, wait: _Wait, asked_round: int, answers: bool) -> None:
        if wait.round != asked_round or not self._is_current(wait):
            return
        if not answers:
            wait.was_silent = True
        elif wait.was_silent:
            wait.was_silent = False
            wait.round += 1
            self._ask_later(wait, _CONFIRM_MS)
        else:
            self._leave(wait)

    def _wait_over(self, wait: _Wait) -> None:
        if self._is_current(wait):
            endpoint_id = wait.attempt.endpoint_id
            log_event(
                "successors_silent", request=self.core.label, endpoint=endpoint_id
            )
            self._leave(wait)

    def _leave(self, wait: _Wait) -> None:
        del self._waits[wait.attempt.number]
        self.on_stalled(wait.attempt.endpoint_id)
