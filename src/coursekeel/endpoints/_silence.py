"""Detect stalled endpoints by silence on all of their streams.

Rule: an endpoint is silent when none of its streams sent tokens for the floor, or for
several of its own usual gaps if that is longer. Many endpoints that fall silent
together are taken as a slow-down, not as failures. After a pause of this process no
endpoint is judged. An endpoint that batches sends tokens every few ms on some stream,
so silence on all shows a stall long before the timeout of one stream.

Owns when each endpoint last sent tokens. A core: the caller passes each time, in ms.
"""

from attrs import define, field

__all__ = ["SilenceSettings", "SilenceWatch"]

# Weight of the newest gap in the moving average.
_NEWEST_SHARE = 0.1


@define(frozen=True)
class SilenceSettings:
    """When an endpoint counts as silent.

    That is after ``floor_ms`` (the setting `silence_floor_ms`), or after ``gaps`` of
    its own usual gaps if that is longer. If at least ``mass_at_least`` and more than
    the share ``mass_share`` of the busy endpoints are silent, that is a slow-down. A
    review that is more than ``own_pause_ms`` late shows a pause of this process.
    """

    floor_ms: float = 400
    gaps: float = 12
    mass_share: float = 0.5
    mass_at_least: int = 3
    own_pause_ms: float = 250


@define
class _Activity:
    last_token_ms: float
    usual_gap_ms: float = 0.0
    streams: int = 0
    reported: bool = False


@define
class SilenceWatch:
    """Tracks the tokens of each endpoint's streams and names silent endpoints.

    ``slow_downs`` counts the reviews that found a slow-down.
    """

    settings: SilenceSettings = field(factory=SilenceSettings)
    _activity: dict[str, _Activity] = field(factory=dict)
    _review_due_ms: float | None = None
    slow_downs: int = 0

    def add_stream(self, endpoint_id: str, now_ms: float) -> None:
        """Count a stream that sent its first token."""
        activity = self._activity.setdefault(endpoint_id, _Activity(now_ms))
        if activity.streams == 0:
            activity.last_token_ms = now_ms
            activity.reported = False
        activity.streams += 1

    def remove_stream(self, endpoint_id: str) -> None:
        """Count a stream off that was counted by `add_stream`."""
        activity = self._activity[endpoint_id]
        activity.streams -= 1
        if activity.streams == 0:
            activity.usual_gap_ms = 0.0

    def record_tokens(self, endpoint_id: str, now_ms: float) -> None:
        """Record tokens on any of the endpoint's streams."""
        activity = self._activity.get(endpoint_id)
        if activity is None:
            return
        gap_ms = now_ms - activity.last_token_ms
        activity.usual_gap_ms += _NEWEST_SHARE * (gap_ms - activity.usual_gap_ms)
        activity.last_token_ms = now_ms
        activity.reported = False

    def has_sent_tokens(self, endpoint_id: str, since_ms: float) -> bool:
        """Say whether a stream of the endpoint has sent tokens since a time."""
        activity = self._activity.get(endpoint_id)
        return activity is not None and activity.last_token_ms >= since_ms

    def newly_silent(self, now_ms: float, next_ms: float) -> list[str]:
        """The endpoints that fell silent since the last review, each named once.

        ``next_ms`` is when the next review is due; a review that is late judges none.
        """
        late = self._review_due_ms is not None and (
            now_ms - self._review_due_ms > self.settings.own_pause_ms
        )
        self._review_due_ms = next_ms
        if late:
            self._restart_gaps(now_ms)
            return []
        busy = {
            name: activity
            for name, activity in self._activity.items()
            if activity.streams
        }
        silent = [
            name for name, activity in busy.items() if self._is_silent(activity, now_ms)
        ]
        if self._is_slow_down(len(silent), len(busy)):
            self.slow_downs += 1
            return []
        newly_silent = [name for name in silent if not busy[name].reported]
        for name in newly_silent:
            busy[name].reported = True
        return newly_silent

    def _restart_gaps(self, now_ms: float) -> None:
        for activity in self._activity.values():
            activity.last_token_ms = now_ms

    def _is_silent(self, activity: _Activity, now_ms: float) -> bool:
        limit_ms = max(
            self.settings.floor_ms, self.settings.gaps * activity.usual_gap_ms
        )
        return now_ms - activity.last_token_ms > limit_ms

    def _is_slow_down(self, silent: int, busy: int) -> bool:
        return (
            silent >= self.settings.mass_at_least
            and silent > self.settings.mass_share * busy
        )
