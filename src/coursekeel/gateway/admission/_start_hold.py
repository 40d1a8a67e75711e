"""Hold requests that arrive before the first configuration and endpoint list.

Rule: while the first reads are pending a request waits, for about as long as its
`Retry-After` would be (`refusal_retry_ms`). When both tables are loaded, all held
requests are served in order of arrival; when a read fails, all resume and are refused,
like requests that arrive before a later read succeeds. Reason: after a restart the
first read takes a fraction of a second, and callers whose answers were cut retry once.

Owns the held requests. A core: the caller owns the timers.
"""

from collections.abc import Callable
from enum import Enum

from attrs import define, field

__all__ = ["FirstReads", "StartHold"]

_Resume = Callable[[], None]


class FirstReads(Enum):
    """The state of this instance's first reads of its tables."""

    COMING = "coming"
    KNOWN = "known"
    FAILED = "failed"


@define(eq=False)
class StartHold:
    """The held requests; each one's ``resume`` is called once, unless withdrawn."""

    state: FirstReads = FirstReads.COMING
    _waiting: dict[int, _Resume] = field(factory=dict)
    _last_number: int = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, resume: _Resume) -> int:
        """Hold a request; returns its number for `release` and `withdraw`."""
        self._last_number += 1
        self._waiting[self._last_number] = resume
        return self._last_number

    def withdraw(self, number: int) -> None:
        """Drop a held request whose caller has left."""
        self._waiting.pop(number, None)

    def release(self, number: int) -> None:
        """Resume a request at the end of its longest wait, if it is still held."""
        resume = self._waiting.pop(number, None)
        if resume is not None:
            resume()

    def known(self) -> None:
        """Resume all held requests: both tables are loaded."""
        self.state = FirstReads.KNOWN
        self._release_all()

    def failed(self) -> None:
        """Resume all held requests, which are refused: a first read failed."""
        if self.state is FirstReads.COMING:
            self.state = FirstReads.FAILED
            self._release_all()

    def _release_all(self) -> None:
        for number in list(self._waiting):
            self.release(number)
