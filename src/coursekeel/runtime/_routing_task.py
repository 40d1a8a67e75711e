"""The task that drives `Router` and passes its decisions to the requests.

Owns the numbers of requests and the callbacks that wait for decisions. Relies on
`Router`, a core, for every decision.
"""

from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, evolve, field

from coursekeel.reactor import Reactor
from coursekeel.routing import (
    Decision,
    LoadReport,
    PlacementRequest,
    Refuse,
    Router,
)
from coursekeel.runtime._clock import Clock

__all__ = ["RoutingTask"]

# Interval at which waiting requests are reviewed if nothing else happens, so that those
# past their deadline are refused.
_REVIEW_INTERVAL_MS = 50


@define(eq=False)
class RoutingTask:
    """Passes requests and load reports to `Router`, and its decisions to callbacks."""

    reactor: Reactor
    clock: Clock
    router: Router
    _callbacks: dict[int, Callable[[Decision], None]] = field(factory=dict)
    _last_number: int = 0
    _closed_by: Refuse | None = None
    _timer: Any = None

    def place(
        self, request: PlacementRequest, decided: Callable[[Decision], None]
    ) -> int:
        """Request an endpoint; returns the number that the request was given.

        ``decided`` is called once with the decision, possibly before this returns.
        """
        self._last_number += 1
        number = self._last_number
        if self._closed_by is not None:
            decided(evolve(self._closed_by, number=number))
            return number
        self._callbacks[number] = decided
        numbered = evolve(request, number=number)
        self._deliver(self.router.place(numbered, self.clock.now_ms()))
        self._schedule_review()
        return number

    def close(self, refusal: Refuse) -> None:
        """Refuse all waiting requests, and from now on each new one."""
        self._closed_by = refusal
        for number in list(self._callbacks):
            self.router.withdraw(number)
            self._deliver([evolve(refusal, number=number)])

    def withdraw(self, number: int) -> None:
        """Remove a request that no longer needs an endpoint."""
        if self._callbacks.pop(number, None) is not None:
            self.router.withdraw(number)

    def release(self, endpoint_id: str, run_ms: float, failed: bool = False) -> None:
        """Free a granted place after a run of ``run_ms``, which may have ``failed``."""
        now_ms = self.clock.now_ms()
        self._deliver(self.router.release(endpoint_id, run_ms, now_ms, failed))

    def return_unused(self, endpoint_id: str, prompt_tokens: int) -> None:
        """Free a granted place to which nothing was sent."""
        now_ms = self.clock.now_ms()
        self._deliver(self.router.return_unused(endpoint_id, prompt_tokens, now_ms))

    def apply_report(self, report: LoadReport) -> None:
        """Apply an endpoint's load report."""
        self._deliver(self.router.apply_report(report, self.clock.now_ms()))

    def review(self) -> None:
        """Review waiting requests, for example after the endpoints have changed."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        self._deliver(self.router.review(self.clock.now_ms()))
        self._schedule_review()

    def _schedule_review(self) -> None:
        if self._timer is None and self._callbacks:
            self._timer = self.reactor.callLater(
                _REVIEW_INTERVAL_MS / 1000, self.review
            )

    def _deliver(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            callback = self._callbacks.pop(decision.number, None)
            if callback is not None:
                callback(decision)
