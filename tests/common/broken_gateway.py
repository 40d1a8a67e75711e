"""A gateway in which an invariant breaks when it receives SIGUSR1.

`python -m tests.common.broken_gateway` runs a gateway as `platform/serve.py` does.
`COURSEKEEL_BREAKS_IN` says where: in a `callback` of the reactor or in a `task`.
"""

import os
import signal
import sys
from pathlib import Path

_PLATFORM = Path(__file__).parents[2] / "platform"


def _break_on_signal(reactor) -> None:
    from coursekeel.errors import InvariantBroken
    from coursekeel.runtime import spawn

    def break_in_callback() -> None:
        raise InvariantBroken("broken by a test")

    async def break_in_task() -> None:
        break_in_callback()

    def break_now() -> None:
        if os.environ.get("COURSEKEEL_BREAKS_IN") == "task":
            spawn(break_in_task(), "broken", reactor)
        else:
            reactor.callLater(0, break_in_callback)

    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(break_now))


def _main() -> int:
    sys.path.insert(0, str(_PLATFORM))
    import serve

    original = serve.install_reactor

    def install_reactor():
        reactor = original()
        _break_on_signal(reactor)
        return reactor

    serve.install_reactor = install_reactor
    return serve.main()


if __name__ == "__main__":
    sys.exit(_main())
