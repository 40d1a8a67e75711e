"""Doubt an endpoint: tell a silent one from a quiet stream, and from a slow fleet.

Rule: an endpoint is silent when none of its streams gave anything for its class's
floor, or for several of its own usual gaps if that is longer. When many endpoints fall
silent together it is a slow-down, not deaths. When this process was paused, nobody is
judged. Reason: an endpoint that batches sends something on one of its streams every few
milliseconds, so silence on all of them shows a freeze long before one stream's patience
runs out.

Owns when each endpoint was last heard. A core: each moment is given, in ms.
"""

from attrs import define, field

__all__ = ["SilenceSettings", "SilenceWatch"]

# How much of the usual gap each new one replaces.
_NEWEST_SHARE = 0.1


@define(frozen=True)
class SilenceSettings:
    """When silence counts.

    An endpoint is silent after ``floor_ms``, or after ``gaps`` of its own usual gaps
    if that is longer. If more than ``mass_share`` of the busy endpoints fall silent
    together, it is taken for a slow-down, not for deaths. A round that comes more than
    ``own_pause_ms`` late shows that this process was paused: it judges nobody.

    The floor is the setting `silence_floor_ms`; resume latency with it is measured by
    `bench.resume` (docs/design/answers.md).
    """

    floor_ms: float = 400
    gaps: float = 12
    mass_share: float = 0.5
    mass_at_least: int = 3
    own_pause_ms: float = 250


@define
class _Activity:
    heard_ms: float
    usual_gap_ms: float = 0.0
    streams: int = 0
    reported: bool = False


@define
class SilenceWatch:
    """Hears every endpoint's streams and names those that fell silent."""

    settings: SilenceSettings = field(factory=SilenceSettings)
    _activity: dict[str, _Activity] = field(factory=dict)
    _due_ms: float | None = None
    slow_downs: int = 0

    def opened(self, endpoint_id: str, now_ms: float) -> None:
        """A stream at the endpoint sent its first token."""
        activity = self._activity.setdefault(endpoint_id, _Activity(now_ms))
        if activity.streams == 0:
            activity.heard_ms = now_ms
            activity.reported = False
        activity.streams += 1

    def closed(self, endpoint_id: str) -> None:
        """A stream that `opened` told of has ended."""
        activity = self._activity[endpoint_id]
        activity.streams -= 1
        if activity.streams == 0:
            activity.usual_gap_ms = 0.0

    def heard(self, endpoint_id: str, now_ms: float) -> None:
        """Tokens came from the endpoint, on whichever stream."""
        activity = self._activity.get(endpoint_id)
        if activity is None:
            return
        gap_ms = now_ms - activity.heard_ms
        activity.usual_gap_ms += _NEWEST_SHARE * (gap_ms - activity.usual_gap_ms)
        activity.heard_ms = now_ms
        activity.reported = False

    def review(self, now_ms: float, next_ms: float) -> list[str]:
        """Name the endpoints that fell silent since the last review.

        ``next_ms`` is when the next review is due; one that comes late is skipped.
        """
        late = self._due_ms is not None and (
            now_ms - self._due_ms > self.settings.own_pause_ms
        )
        self._due_ms = next_ms
        if late:
            self._forgive_pause(now_ms)
            return []
        busy = {
            name: activity
            for name, activity in self._activity.items()
            if activity.streams
        }
        silent = [
            name for name, activity in busy.items() if self._silent(activity, now_ms)
        ]
        if self._is_slow_down(len(silent), len(busy)):
            self.slow_downs += 1
            return []
        fresh = [name for name in silent if not busy[name].reported]
        for name in fresh:
            busy[name].reported = True
        return fresh

    def _forgive_pause(self, now_ms: float) -> None:
        for activity in self._activity.values():
            activity.heard_ms = now_ms

    def _silent(self, activity: _Activity, now_ms: float) -> bool:
        limit_ms = max(
            self.settings.floor_ms, self.settings.gaps * activity.usual_gap_ms
        )
        return now_ms - activity.heard_ms > limit_ms

    def _is_slow_down(self, silent: int, busy: int) -> bool:
        return (
            silent >= self.settings.mass_at_least
            and silent > self.settings.mass_share * busy
        )
