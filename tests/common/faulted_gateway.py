"""A gateway whose machine can be suspended, and whose way to the store can be faulty.

`python -m tests.common.faulted_gateway` runs a gateway as `platform/serve.py` does. The
store is reached by the address that `COURSEKEEL_STORE_LINK` names, if it is set; the
settings name the store itself, whose address is also the name of the group.

SIGUSR1 stops it until somebody sends SIGCONT, and its steady clock with it: what
`time.monotonic` gives goes on from the moment of the stop, for timers too, while
CLOCK_BOOTTIME and the time of day count the time between.
"""

import functools
import os
import signal
import sys
import time
from pathlib import Path

_STORE_LINK = "COURSEKEEL_STORE_LINK"
_PLATFORM = Path(__file__).parents[2] / "platform"
_monotonic = time.monotonic


class _SteadyClock:
    """Stands in for `time.monotonic`."""

    def __init__(self) -> None:
        self.stood_still_s = 0.0

    def __call__(self) -> float:
        return _monotonic() - self.stood_still_s

    def suspend(self, _number: int, _frame: object) -> None:
        begun_s = _monotonic()
        os.kill(os.getpid(), signal.SIGSTOP)
        self.stood_still_s += _monotonic() - begun_s


def _reach_store_by(link: str) -> None:
    import _rows

    real = _rows.StoreRows.__init__

    @functools.wraps(real)
    def wrapped(self, reactor, _address, *more):
        real(self, reactor, link, *more)

    _rows.StoreRows.__init__ = wrapped


def _main() -> int:
    clock = _SteadyClock()
    time.monotonic = clock
    signal.signal(signal.SIGUSR1, clock.suspend)
    sys.path.insert(0, str(_PLATFORM))
    if link := os.environ.get(_STORE_LINK):
        _reach_store_by(link)
    import serve

    return serve.main()


if __name__ == "__main__":
    sys.exit(_main())
