"""A gateway whose machine can be suspended, and whose way to the store can be faulty.

`python -m tests.common.faulted_gateway` runs one as `platform/serve.py` does, on a
machine as `tests.common.suspension` has it. The store is reached by the address that
`COURSEKEEL_STORE_LINK` names, if it is set; the settings name the store itself, whose
address is also the name of the group.
"""

import functools
import os
import sys
from pathlib import Path

from tests.common.suspension import install

_STORE_LINK = "COURSEKEEL_STORE_LINK"
_PLATFORM = Path(__file__).parents[2] / "platform"


def _reach_store_by(link: str) -> None:
    import _rows

    real = _rows.StoreRows.__init__

    @functools.wraps(real)
    def wrapped(self, reactor, _address, *more):
        real(self, reactor, link, *more)

    _rows.StoreRows.__init__ = wrapped


def _main() -> int:
    install()
    sys.path.insert(0, str(_PLATFORM))
    if link := os.environ.get(_STORE_LINK):
        _reach_store_by(link)
    import serve

    return serve.main()


if __name__ == "__main__":
    sys.exit(_main())
