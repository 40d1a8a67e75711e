"""The task that owns routing and tells each request what was decided.

Owns the numbers of requests and who waits for which decision. Relies on `Router`, a
core, for every decision.
"""

from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, evolve, field

from coursekeel.reactor import Reactor
from coursekeel.routing import Decision, LoadReport, PlacementRequest, Router
from coursekeel.runtime._clock import Clock

__all__ = ["RoutingTask"]

# How often waiting requests are looked at when nothing else happens, so that those
# whose time is over are refused. A small part of any route's time.
_REVIEW_MS = 50


@define(eq=False)
class RoutingTask:
    """Feeds `Router` and hands its decisions to those who asked."""

    reactor: Reactor
    clock: Clock
    router: Router
    _waiting: dict[int, Callable[[Decision], None]] = field(factory=dict)
    _last_number: int = 0
    _timer: Any = None

    def place(
        self, request: PlacementRequest, decided: Callable[[Decision], None]
    ) -> int:
        """Ask for an endpoint; ``decided`` is called once, maybe before this returns.

        The request gets the number that is returned.
        """
        self._last_number += 1
        number = self._last_number
        self._waiting[number] = decided
        numbered = evolve(request, number=number)
        self._tell(self.router.place(numbered, self.clock.now_ms()))
        self._review_later()
        return number

    def withdraw(self, number: int) -> None:
        """The request needs no endpoint any more."""
        if self._waiting.pop(number, None) is not None:
            self.router.withdraw(number)

    def released(self, endpoint_id: str, run_ms: float, failed: bool = False) -> None:
        """A granted place is free again; ``failed`` if the endpoint failed the run."""
        now_ms = self.clock.now_ms()
        self._tell(self.router.released(endpoint_id, run_ms, now_ms, failed))

    def returned(self, endpoint_id: str, prompt_tokens: int) -> None:
        """A granted place wasn't used, and is free again."""
        now_ms = self.clock.now_ms()
        self._tell(self.router.returned(endpoint_id, prompt_tokens, now_ms))

    def reported(self, report: LoadReport) -> None:
        """An endpoint's load report came."""
        self._tell(self.router.reported(report, self.clock.now_ms()))

    def review(self) -> None:
        """Look again at what waits, since endpoints may have come or gone."""
        self._timer = None
        self._tell(self.router.review(self.clock.now_ms()))
        self._review_later()

    def _review_later(self) -> None:
        if self._timer is None and self._waiting:
            self._timer = self.reactor.callLater(_REVIEW_MS / 1000, self.review)

    def _tell(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            decided = self._waiting.pop(decision.number, None)
            if decided is not None:
                decided(decision)
