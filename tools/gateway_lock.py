"""Write `requirements-gateway.lock`: what a gateway imports, out of the runtime's lock.

A gateway speaks no TLS, serves no gRPC and has no command line. Twisted imports OpenSSL
whenever it is installed, which costs a process 12 MB, so it isn't.
"""

import re
from pathlib import Path

__all__ = ["GATEWAY_PACKAGES", "gateway_lock"]

ROOT = Path(__file__).parents[1]
GATEWAY_PACKAGES = (
    "aioprometheus",
    "attrs",
    "automat",
    "cattrs",
    "constantly",
    "hyperlink",
    "idna",
    "incremental",
    "json5",
    "multipart",
    "orjson",
    "packaging",
    "quantile-python",
    "treq",
    "twisted",
    "typing-extensions",
    "xxhash",
    "zope-interface",
)
_HEAD = (
    "# Made by `make lock` from requirements-runtime.lock; see tools/gateway_lock.py.\n"
)


def gateway_lock(runtime_lock: str) -> str:
    """The entries of the runtime's lock that a gateway needs, hashes included."""
    entries = re.split(r"\n(?=[A-Za-z0-9])", runtime_lock)
    kept = [each for each in entries if each.split("==")[0] in GATEWAY_PACKAGES]
    return _HEAD + "\n".join(each.rstrip() for each in kept) + "\n"


def main() -> None:
    """Write the file."""
    runtime_lock = (ROOT / "requirements-runtime.lock").read_text()
    (ROOT / "requirements-gateway.lock").write_text(gateway_lock(runtime_lock))


if __name__ == "__main__":
    main()
