"""Hold what comes before the first routes and endpoints are known here.

Rule: while the first readings are on their way a request waits for them, for no longer
than it would otherwise be told to stay away (`refusal_retry_ms`). Once both are known
all that wait are served, in the order in which they came; once a reading has failed all
are refused at once, and so is whatever comes before the next one succeeds. Reason:
instances that start together are a fraction of a second from their first configuration,
and their callers have just been cut and come back once: a refusal would use that up.

Owns the requests that wait. A core: timers belong to whoever asks.
"""

from collections.abc import Callable
from enum import Enum

from attrs import define, field

__all__ = ["FirstReadings", "StartHold"]

_Resume = Callable[[], None]


class FirstReadings(Enum):
    """How far the first readings of this instance's tables are."""

    COMING = "coming"
    KNOWN = "known"
    FAILED = "failed"


@define(eq=False)
class StartHold:
    """The requests that wait; each is told once, by its ``resume``, to go on."""

    state: FirstReadings = FirstReadings.COMING
    _waiting: dict[int, _Resume] = field(factory=dict)
    _last_number: int = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, resume: _Resume) -> int:
        """Let a request wait; the number is for `release` and `withdraw`."""
        self._last_number += 1
        self._waiting[self._last_number] = resume
        return self._last_number

    def withdraw(self, number: int) -> None:
        """The request's caller has left."""
        self._waiting.pop(number, None)

    def release(self, number: int) -> None:
        """The request has waited for as long as it may."""
        resume = self._waiting.pop(number, None)
        if resume is not None:
            resume()

    def known(self) -> None:
        """Routes and endpoints are known: nothing waits for them any more."""
        self.state = FirstReadings.KNOWN
        self._release_all()

    def failed(self) -> None:
        """A first reading failed; when the next one comes nobody knows."""
        if self.state is FirstReadings.COMING:
            self.state = FirstReadings.FAILED
            self._release_all()

    def _release_all(self) -> None:
        for number in list(self._waiting):
            self.release(number)
