"""Asks endpoints for their status, to know whether they answer now.

One whose streams have just sent tokens isn't asked.

Owns the questions that are under way: one at a time for each endpoint, whatever the
number of answers that ask.
"""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from coursekeel.endpoints import EngineAdapter, SilenceWatch, Unreachable
from coursekeel.reactor import Reactor
from coursekeel.runtime import Clock, spawn

__all__ = ["EndpointQuestions"]

# A status takes some ms; an endpoint that takes longer has been silent.
_TIME_LIMIT_S = 0.15
# Far less than the silence after which a run counts as stalled.
_RECENT_MS = 100.0

_OnTold = Callable[[bool], None]


@define(eq=False)
class EndpointQuestions:
    """The questions of one entry.

    ``adapter`` returns an endpoint's adapter by id; ``on_refused`` is called with the
    id of an endpoint that refuses connections.
    """

    reactor: Reactor
    clock: Clock
    silence: SilenceWatch
    adapter: Callable[[str], EngineAdapter | None]
    on_refused: Callable[[str], None]
    _askers: dict[str, list[_OnTold]] = field(factory=dict)

    def ask(self, endpoint_id: str, on_told: _OnTold) -> None:
        """Call ``on_told`` once, maybe at once, with whether the endpoint answers."""
        since_ms = self.clock.now_ms() - _RECENT_MS
        if self.silence.has_sent_tokens(endpoint_id, since_ms):
            on_told(True)
            return
        if endpoint_id in self._askers:
            self._askers[endpoint_id].append(on_told)
            return
        askers = self._askers[endpoint_id] = [on_told]
        timer = self.reactor.callLater(_TIME_LIMIT_S, self._tell, endpoint_id, False)
        spawn(self._ask(endpoint_id, askers, timer), "ask_successor", self.reactor)

    async def _ask(self, endpoint_id: str, askers: list[_OnTold], timer: Any) -> None:
        answers = False
        try:
            answers = await self._answers(endpoint_id)
        finally:
            if self._askers.get(endpoint_id) is askers:
                timer.cancel()
                self._tell(endpoint_id, answers)

    async def _answers(self, endpoint_id: str) -> bool:
        adapter = self.adapter(endpoint_id)
        if adapter is None:
            return False
        status = await adapter.status(new_connection=True)
        if not isinstance(status, Unreachable):
            return True
        if status.refused:
            self.on_refused(endpoint_id)
        return False

    def _tell(self, endpoint_id: str, answers: bool) -> None:
        for on_told in self._askers.pop(endpoint_id):
            on_told(answers)
