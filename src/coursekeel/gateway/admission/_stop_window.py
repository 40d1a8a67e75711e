"""When a gateway that was told to stop takes new requests, and until when it serves.

Rule: until the balancer can know of the stop, every whole answer that is asked for is
taken, because most would come back here. Afterwards one is taken only if it can be
given before the end. A stream is taken at any time only if a long one of its route can
still end: it has seconds to begin elsewhere, and if it is cut it begins anew. Kept
connections that wait for nothing are closed once the balancer knows.

Owns the moments of the stop. Relies on the grace that the settings give, and on
`StreamLengths` for how long streams take.
"""

from attrs import define, frozen

from coursekeel.forwarding import Route

__all__ = ["Shutdown", "StopWindow"]

# The balancer asks for readiness every second and takes an instance out after two
# refusals (the users' page on the wire): 2 s at the most, and 0.6 s for new connections
# on their way.
_BALANCER_SETTLE_MS = 2_600.0

# A grace shorter than twice that is split in halves. No site has one.
_MAX_SETTLE_SHARE = 0.5

# What is left of the grace for the process to end by itself, after the last answer.
# 0.48 s of the usual 8.
_EXIT_SHARE = 0.06

# Before an instance has seen how long streams take, one is taken so early in the grace.
# Where long ones took 9 s of a grace of 8, it let two to four streams of a day with
# stops in turn begin and be cut at the end of the grace.
_STREAM_START_SHARE = 0.096


@frozen
class StopWindow:
    """The moments of a stop, in ms of this process's clock.

    Until ``settled_ms`` the balancer may still send new connections here; what runs at
    ``last_ms`` is cut.
    """

    started_ms: float
    settled_ms: float
    last_ms: float

    @classmethod
    def beginning(cls, now_ms: float, grace_ms: float) -> "StopWindow":
        """The window of a stop that begins now and has ``grace_ms``."""
        settle_ms = min(_BALANCER_SETTLE_MS, _MAX_SETTLE_SHARE * grace_ms)
        last_ms = now_ms + (1 - _EXIT_SHARE) * grace_ms
        return cls(now_ms, now_ms + settle_ms, last_ms)

    def has_time_for(
        self, route: Route, now_ms: float, stream_estimate_ms: float | None = None
    ) -> bool:
        """Say whether a request that comes now can be answered before the end.

        ``long_stream_ms`` is what a long stream of the route takes, if that is known. A
        call that came 7.5 s after SIGTERM was once passed on, and cut 33 ms later.
        """
        if route.kind.streams:
            if stream_estimate_ms is not None:
                return now_ms + stream_estimate_ms <= self.last_ms
            grace_ms = self.last_ms - self.started_ms
            return now_ms - self.started_ms <= _STREAM_START_SHARE * grace_ms
        return now_ms <= self.settled_ms or now_ms + route.timeout_ms <= self.last_ms


@define
class Shutdown:
    """Whether this instance is stopping; ``window`` is None until it is told to."""

    window: StopWindow | None = None

    @property
    def begun(self) -> bool:
        """Say whether the instance was told to stop."""
        return self.window is not None
