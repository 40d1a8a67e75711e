"""Resume and give up: what follows when a run of an answer is lost or doubted.

Rule: an answer goes on in the cheapest way that is left: the engine's own run read
again, if the engine still lives; a copy of the run's memory; a new run that reads the
prompt and what is held again. Where several runs were lost and none went on for a
while between, the request itself is taken to stop engines, and it gets its final word.
A run that is silent for too long is doubted: it runs on beside its successor (`races`),
or is closed first. An answer that waits for longer than its class's patience is given
up.

Owns what speaks against endpoints, how many runs died one after the other, and since
when the answer waits. Every time and limit stands in `AnswerPolicy`. A core: each
moment is given, in ms.
"""

import math
from collections.abc import Callable

from attrs import define, field

from coursekeel.answers._attempt import Attempt
from coursekeel.answers._attempts import AttemptSet
from coursekeel.answers._events import (
    Action,
    CancelAttempt,
    Interrupt,
    Loss,
    RunState,
    SeekEndpoint,
    SetAlarm,
    Way,
)
from coursekeel.answers._policy import AnswerPolicy
from coursekeel.charts import Machine

__all__ = ["Recovery"]


@define(eq=False)
class Recovery:
    """Recovers one answer; ``position`` gives the place after the last piece held.

    ``bad_endpoints`` lost a run of this answer since its last progress, or wouldn't
    take one. ``deaths`` counts runs lost since one went on for ``sound_after_ms``.
    """

    policy: AnswerPolicy
    attempts: AttemptSet
    machine: Machine
    position: Callable[[], int]
    bad_endpoints: set[str] = field(factory=set)
    deaths: int = 0
    waiting_since_ms: float | None = None
    retry_after_ms: int = field(init=False)
    _own_stream_tries: int = 0
    _seeking: bool = False

    def __attrs_post_init__(self) -> None:
        self.retry_after_ms = self.policy.retry_after_ms

    @property
    def run_state(self) -> RunState:
        """What may truthfully be said of whether the request was run."""
        if self.position():
            return RunState.RAN
        ran = self.attempts.may_have_run
        return RunState.UNKNOWN if ran else RunState.NOT_RUN

    def progressed(self, for_ms: float) -> None:
        """A piece came, ``for_ms`` after its run's first: losses are made good.

        A request that stops its engines may give some pieces each time before it does,
        and would stop one after the other without end.
        """
        self.waiting_since_ms = None
        self._own_stream_tries = 0
        if for_ms >= self.policy.sound_after_ms:
            self.deaths = 0
        if self.bad_endpoints:
            self.bad_endpoints.clear()

    # Attempts begin.

    def begin(self, now_ms: float) -> None:
        """The answer waits for its first piece."""
        self.waiting_since_ms = now_ms

    def seek(self) -> list[Action]:
        """Ask for an endpoint; one question at a time."""
        if self._seeking:
            return []
        self._seeking = True
        busy = {each.endpoint_id for each in self.attempts.live}
        excluded = frozenset(self.bad_endpoints | busy)
        continuing = len(self.attempts) > 0
        return [SeekEndpoint(excluded, continuing, self.position())]

    def granted(self, endpoint_id: str, now_ms: float) -> list[Action]:
        """An endpoint was found; it is used unless a doubted stream spoke again."""
        self._seeking = False
        if self.attempts.sound:
            return []
        given_up = self.attempts.make_room()
        self.machine.feed("granted")
        attempt = self._new(endpoint_id, Way.PREFILL, now_ms)
        return [*given_up, *self.open(attempt)]

    def open(self, attempt: Attempt) -> list[Action]:
        """Open an attempt, which changes what the alarm is for."""
        return [self.attempts.open(attempt), self.alarm()]

    def _new(
        self, endpoint_id: str, way: Way, now_ms: float, of_run: Attempt | None = None
    ) -> Attempt:
        return self.attempts.new(endpoint_id, way, self.position(), now_ms, of_run)

    # Losses.

    def drop(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """An attempt gave what can't be the answer's: it and its endpoint are out."""
        attempt.machine.feed("lost")
        return self.rejected(attempt, now_ms)

    def rejected(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """An attempt is out already; close it, and don't go back to its endpoint."""
        self.bad_endpoints.add(attempt.endpoint_id)
        return [CancelAttempt(attempt.number), *self._search_on(now_ms)]

    def reread(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """Pieces are missing between what is held and what came: read them again."""
        attempt.machine.feed("lost")
        return [
            CancelAttempt(attempt.number, stops_run=False),
            *self._own_stream_or_else(attempt, now_ms),
        ]

    def ended(self, attempt: Attempt, loss: Loss, now_ms: float) -> list[Action]:
        """An attempt's stream ended without a finish marker."""
        was_streaming = attempt.streaming
        attempt.machine.feed("lost")
        if was_streaming:
            return self._own_stream_or_else(attempt, now_ms)
        if loss not in (Loss.NOT_SENT, Loss.REFUSED):
            return self._died(attempt, now_ms)
        attempt.may_have_run = False
        if attempt.way is Way.OWN_STREAM:
            return self._died(attempt, now_ms)
        self.bad_endpoints.add(attempt.endpoint_id)
        return self._search_on(now_ms)

    def _own_stream_or_else(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """The engine's own run is the cheapest way on, if the engine still lives."""
        if not attempt.run_id or self._own_stream_tries >= self.policy.own_stream_tries:
            return self._died(attempt, now_ms)
        self._own_stream_tries += 1
        self._mark_lost(now_ms)
        self.machine.feed("granted")
        again = self._new(attempt.endpoint_id, Way.OWN_STREAM, now_ms, attempt)
        # If the engine doesn't answer, the same run's copy is the next way on.
        again.copy_id = attempt.copy_id
        return self.open(again)

    def _died(self, attempt: Attempt, now_ms: float) -> list[Action]:
        self.deaths += 1
        self.bad_endpoints.add(attempt.endpoint_id)
        if self.deaths >= self.policy.deaths_before_stop:
            return self._give_up("request_stops_engines", "unstoppable")
        return self._copy_or_else(attempt, now_ms)

    def _copy_or_else(self, lost: Attempt, now_ms: float) -> list[Action]:
        """A copy of the run's memory goes on without reading the prompt again."""
        if not self._has_copy(lost) or self.attempts.sound:
            return self._search_on(now_ms)
        self._mark_lost(now_ms)
        return self._open_copy(lost, now_ms)

    def _has_copy(self, attempt: Attempt) -> bool:
        return bool(attempt.copy_id) and attempt.copy_id not in self.bad_endpoints

    def _open_copy(self, attempt: Attempt, now_ms: float) -> list[Action]:
        # A grant that is still on its way finds a live attempt and opens nothing.
        self.machine.feed("granted")
        copy = self._new(attempt.copy_id, Way.COPY, now_ms, attempt)
        # An engine that never named its run knows the copy by the attempt's label.
        copy.run_id = attempt.run_id or attempt.label
        return self.open(copy)

    def _search_on(self, now_ms: float) -> list[Action]:
        if self.attempts.sound:
            return []
        self._mark_lost(now_ms)
        return [*self.seek(), self.alarm()]

    def _mark_lost(self, now_ms: float) -> None:
        if self.waiting_since_ms is None:
            self.waiting_since_ms = now_ms
        if self.machine.state == "running" and not self.attempts.live:
            self.machine.feed("lost")

    # Silence.

    def doubt(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """An attempt was silent for too long, or its whole endpoint was."""
        attempt.doubted = True
        self.bad_endpoints.add(attempt.endpoint_id)
        if self.waiting_since_ms is None:
            self.waiting_since_ms = now_ms
        if self.policy.races:
            return self._race(attempt, now_ms)
        attempt.machine.feed("lost")
        return [
            CancelAttempt(attempt.number),
            *self._copy_or_else(attempt, now_ms),
        ]

    def _race(self, doubted: Attempt, now_ms: float) -> list[Action]:
        """A second run beside one that may speak again; from its copy if it has one."""
        if not self._has_copy(doubted):
            return [*self.seek(), self.alarm()]
        return [*self.attempts.make_room(), *self._open_copy(doubted, now_ms)]

    def tick(self, now_ms: float) -> list[Action]:
        """The alarm rang: give up, or doubt whatever has been silent for too long."""
        since_ms = self.waiting_since_ms
        if since_ms is not None and now_ms >= since_ms + self.policy.patience_ms:
            return self._give_up("interrupted", "patience_over")
        actions: list[Action] = []
        for each in self.attempts.live:
            if not each.doubted and now_ms >= self._due_ms(each):
                actions += self.doubt(each, now_ms)
        return [*actions, self.alarm()]

    def alarm(self) -> SetAlarm:
        """The next moment at which silence or waiting will have been too long."""
        live = self.attempts.live
        due = [self._due_ms(each) for each in live if not each.doubted]
        if self.waiting_since_ms is not None:
            due.append(self.waiting_since_ms + self.policy.patience_ms)
        return SetAlarm(min(due, default=math.inf))

    def _due_ms(self, attempt: Attempt) -> float:
        if attempt.progressed:
            return attempt.heard_ms + self.policy.silence_ms
        if attempt.way is Way.COPY:
            return attempt.opened_ms + self.policy.copy_first_ms
        return attempt.opened_ms + self.policy.first_token_ms

    # The end.

    def _give_up(self, code: str, chart_input: str) -> list[Action]:
        stopped = self.attempts.cancel_all()
        if self.machine.state == "running":
            # The last attempt may be doubted and still open when patience ends.
            self.machine.feed("lost")
        self.machine.feed(chart_input)
        word = Interrupt(code, self.run_state, self.position(), self.retry_after_ms)
        return [*stopped, word]
