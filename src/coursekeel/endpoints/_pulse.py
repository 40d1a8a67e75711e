"""Tell a silent endpoint from one quiet stream, and from a slow fleet.

An endpoint that batches sends something on one of its streams every few milliseconds,
so silence on all of them shows a freeze long before one stream's patience runs out.
"""

from attrs import define, field

__all__ = ["FleetPulse", "PulseSettings"]

_NEWEST_SHARE = 0.1


@define(frozen=True)
class PulseSettings:
    """When silence counts.

    An endpoint is silent after ``floor_ms``, or after ``gaps`` of its own usual gaps
    if that is longer. If more than ``mass_share`` of the busy endpoints fall silent
    together, it is taken for a slow-down, not for deaths. A round that comes more than
    ``own_pause_ms`` late shows that this process was paused: it judges nobody.
    """

    floor_ms: float = 400
    gaps: float = 12
    mass_share: float = 0.5
    mass_at_least: int = 3
    own_pause_ms: float = 250


@define
class _Beat:
    heard_ms: float
    usual_gap_ms: float = 0.0
    streams: int = 0
    reported: bool = False


@define
class FleetPulse:
    """Hears every endpoint's streams and names those that fell silent."""

    settings: PulseSettings = field(factory=PulseSettings)
    _beats: dict[str, _Beat] = field(factory=dict)
    _due_ms: float | None = None
    slow_downs: int = 0

    def opened(self, endpoint_id: str, now_ms: float) -> None:
        """A stream at the endpoint sent its first token."""
        beat = self._beats.setdefault(endpoint_id, _Beat(now_ms))
        if beat.streams == 0:
            beat.heard_ms = now_ms
            beat.reported = False
        beat.streams += 1

    def closed(self, endpoint_id: str) -> None:
        """A stream that `opened` told of has ended."""
        beat = self._beats[endpoint_id]
        beat.streams -= 1
        if beat.streams == 0:
            beat.usual_gap_ms = 0.0

    def heard(self, endpoint_id: str, now_ms: float) -> None:
        """Tokens came from the endpoint, on whichever stream."""
        beat = self._beats.get(endpoint_id)
        if beat is None:
            return
        gap_ms = now_ms - beat.heard_ms
        beat.usual_gap_ms += _NEWEST_SHARE * (gap_ms - beat.usual_gap_ms)
        beat.heard_ms = now_ms
        beat.reported = False

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
        busy = {name: beat for name, beat in self._beats.items() if beat.streams}
        silent = [name for name, beat in busy.items() if self._silent(beat, now_ms)]
        if self._is_slow_down(len(silent), len(busy)):
            self.slow_downs += 1
            return []
        fresh = [name for name in silent if not busy[name].reported]
        for name in fresh:
            busy[name].reported = True
        return fresh

    def _forgive_pause(self, now_ms: float) -> None:
        for beat in self._beats.values():
            beat.heard_ms = now_ms

    def _silent(self, beat: _Beat, now_ms: float) -> bool:
        limit_ms = max(self.settings.floor_ms, self.settings.gaps * beat.usual_gap_ms)
        return now_ms - beat.heard_ms > limit_ms

    def _is_slow_down(self, silent: int, busy: int) -> bool:
        return (
            silent >= self.settings.mass_at_least
            and silent > self.settings.mass_share * busy
        )
