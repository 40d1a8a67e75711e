"""An entry whose machine can be suspended (`tests.common.suspension`).

`python -m tests.common.suspended_entry --settings FILE` runs it.
"""

import sys

from tests.common.suspension import install

if __name__ == "__main__":
    install()
    from coursekeel.cli import main

    sys.argv[1:1] = ["entry"]
    sys.exit(main())
