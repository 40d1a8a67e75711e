"""Which new requests a stopping gateway admits, and until when it serves.

Rule: until the balancer has noticed the stop, every request for a whole answer is
admitted, because most retries would return here; afterwards only one that can be
answered before the end. A stream is admitted until then at most, and only if a long one
of its route can still finish, because a stream that is cut starts again elsewhere. The
estimate doesn't foresee runs that their endpoints preempt. Idle kept-alive connections
are closed once the balancer has noticed. What is still open at the end is refused, or
cut if its answer has begun, early enough that the replies are sent before the exit.

Owns the times of the stop. Relies on the grace of the settings, and on
`StreamDurations` for the duration of streams.
"""

from attrs import define, frozen

from coursekeel.forwarding import Route

__all__ = ["Shutdown", "StopWindow"]

# The balancer checks readiness every second and removes an instance after two failures,
# so within 2 s; 0.6 s more for connections that are being opened.
_BALANCER_SETTLE_MS = 2_600.0

# A grace shorter than twice `_BALANCER_SETTLE_MS` is split in halves.
_MAX_SETTLE_SHARE = 0.5

# Shares of the grace to send what was written when the last requests were ended, and
# then for the process to exit: 0.24 s each of 8 s.
_SEND_SHARE = 0.03
_EXIT_SHARE = 0.03

# Without an estimate of a route's stream duration, streams are admitted during this
# first share of the time until `last_ms`. Where long streams took 9 s of a grace of
# 8 s, two to four of a day with rolling stops still began and were cut at its end.
_STREAM_START_SHARE = 0.096


@frozen
class StopWindow:
    """The times of a stop, in ms of this process's clock.

    Until ``balancer_settled_ms`` the balancer may still send new connections here.
    Requests that are open at ``last_ms`` are ended; at ``exit_ms`` connections are
    dropped.
    """

    started_ms: float
    balancer_settled_ms: float
    last_ms: float
    exit_ms: float

    @classmethod
    def starting_at(cls, now_ms: float, grace_ms: float) -> "StopWindow":
        """Return the window of a stop that begins now and lasts ``grace_ms``."""
        settle_ms = min(_BALANCER_SETTLE_MS, _MAX_SETTLE_SHARE * grace_ms)
        exit_ms = now_ms + (1 - _EXIT_SHARE) * grace_ms
        last_ms = exit_ms - _SEND_SHARE * grace_ms
        return cls(now_ms, now_ms + settle_ms, last_ms, exit_ms)

    def has_time_for(
        self, route: Route, now_ms: float, stream_estimate_ms: float | None = None
    ) -> bool:
        """Return whether a request that arrives now can be answered before the end.

        ``stream_estimate_ms`` is the duration of a long stream of the route, None if
        there is no estimate yet.
        """
        if route.kind.streams:
            if now_ms > self.balancer_settled_ms:
                return False
            if stream_estimate_ms is not None:
                return now_ms + stream_estimate_ms <= self.last_ms
            grace_ms = self.last_ms - self.started_ms
            return now_ms - self.started_ms <= _STREAM_START_SHARE * grace_ms
        return (
            now_ms <= self.balancer_settled_ms
            or now_ms + route.timeout_ms <= self.last_ms
        )


@define
class Shutdown:
    """Whether this instance is stopping; ``window`` is None until the stop begins."""

    window: StopWindow | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the stop has begun."""
        return self.window is not None
