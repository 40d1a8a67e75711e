"""A gateway process whose machine can be suspended and whose store link can be faulty.

`python -m tests.common.faulted_gateway` runs a gateway as `platform/serve.py` does,
with suspensions as in `tests.common.suspension`. If `COURSEKEEL_STORE_LINK` is set, the
store is reached by that address. The settings still have the store's own address, since
it is also the name of the group. Its links to servers can be cut
(`tests.common.cut_links`).
"""

import functools
import os
import sys
from pathlib import Path

from tests.common import cut_links
from tests.common.suspension import install

_STORE_LINK = "COURSEKEEL_STORE_LINK"
_PLATFORM = Path(__file__).parents[2] / "platform"


def _use_store_link(link: str) -> None:
    import _rows

    original = _rows.StoreRows.__init__

    @functools.wraps(original)
    def wrapped(self, reactor, _address, *more):
        original(self, reactor, link, *more)

    _rows.StoreRows.__init__ = wrapped


def _install_cuts(serve) -> None:
    """Install the cuts once the reactor is installed."""
    original = serve.install_reactor

    def wrapped():
        reactor = original()
        cut_links.install()
        return reactor

    serve.install_reactor = wrapped


def _main() -> int:
    install()
    sys.path.insert(0, str(_PLATFORM))
    if link := os.environ.get(_STORE_LINK):
        _use_store_link(link)
    import serve

    _install_cuts(serve)
    return serve.main()


if __name__ == "__main__":
    sys.exit(_main())
