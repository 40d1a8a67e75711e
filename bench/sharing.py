"""How long a change of the configuration takes to all members of a zone, by its links.

The forms that the instances send are measured as they are, the links worked out from
their bytes. Processor time is this process's own. `python -m bench.sharing`.
"""

import gzip
import time
from random import Random

from coursekeel.forwarding import (
    ForwardingConfiguration,
    Pool,
    PoolShare,
    Route,
    RouteKind,
    RouteTable,
    StorePosition,
)
from coursekeel.gateway import VersionedEntry
from coursekeel.gateway.members._reading_codec import (
    RelayedTableRead,
    TableReadEncoder,
    decode_table_read,
)

__all__ = ["measure"]

ROUTES = (49, 1_469, 5_000)
MEMBERS = 18
LINK_BYTES_PER_MS = 625.0  # 5 Mbit/s, the thinnest of the sites' pages
_NAME_LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"


def _name(random: Random) -> str:
    return "".join(random.choices(_NAME_LETTERS, k=8))


def _configuration(routes: int) -> ForwardingConfiguration:
    random = Random(routes)
    made = tuple(
        Route(
            f"r-{_name(random)}",
            "site.example",
            f"/{_name(random)}/",
            RouteKind.REPEATABLE,
            (PoolShare("plain"),),
            3,
            1_043,
            209,
            5,
        )
        for _ in range(routes)
    )
    return ForwardingConfiguration(7, made, (Pool("plain"),), keyed=True)


def _row(routes: int) -> dict:
    entries = (VersionedEntry(_configuration(routes), StorePosition(0, 7)),)
    table_read = RelayedTableRead(StorePosition(0, 7), False, 0.0, 0.0, False, entries)
    encoder = TableReadEncoder()
    started = time.process_time()
    plain = encoder.encode(table_read)
    encoded = time.process_time()
    told = gzip.compress(encoder.encode(table_read), 1)
    compressed = time.process_time()
    decoded_reading = decode_table_read(plain)
    RouteTable(decoded_reading.entries[0].entry)
    decoded = time.process_time()
    return {
        "routes": routes,
        "plain_bytes": len(plain),
        "told_bytes": len(told),
        "encode_ms": round(1_000 * (encoded - started), 1),
        "tell_one_more_ms": round(1_000 * (compressed - encoded), 1),
        "decode_ms": round(1_000 * (decoded - compressed), 1),
        "to_all_ms": round(MEMBERS * len(told) / LINK_BYTES_PER_MS),
    }


def measure() -> list[dict]:
    """A row for each size."""
    return [_row(routes) for routes in ROUTES]


if __name__ == "__main__":
    for each in measure():
        print(each)
