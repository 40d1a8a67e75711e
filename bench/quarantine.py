"""What barred requests cost an instance: at each request, at each end, and to tell.

Bytes are those of the datagrams as they are sent; what a whole group sends is worked
out from them. Processor time is this process's own. `python -m bench.quarantine`.
"""

import time
from random import Random

from coursekeel.quarantine import (
    Quarantine,
    QuarantineGossip,
    QuarantineKind,
    QuarantineMessage,
    Sign,
    encode_quarantine,
)

__all__ = ["measure"]

GROUPS = (9, 74, 380)
REMEMBERED = 512
_ROUNDS = 2_000
_FANOUT = 3


def _full(barred: int) -> Quarantine:
    """A memory that is full, with some requests barred."""
    quarantine = Quarantine()
    for number in range(REMEMBERED):
        ends = 3 if number < barred else 1
        for each in range(ends):
            name, endpoint = f"{number:024x}", f"i-{number:08x}{each}"
            quarantine.add_strike(name, endpoint, Sign.BEGAN, 100.0 * each)
    return quarantine


def _gossip(quarantine: Quarantine, members: int) -> QuarantineGossip:
    others = [f"10.0.{n // 250}.{n % 250}:7215" for n in range(1, members)]
    return QuarantineGossip("10.0.0.0:7215", "g", quarantine, Random(1), lambda: others)


def _us_each(act) -> float:
    started = time.process_time()
    for number in range(_ROUNDS):
        act(number)
    return round(1e6 * (time.process_time() - started) / _ROUNDS, 1)


def _row(members: int) -> dict:
    quarantine = _full(barred=10)
    gossip = _gossip(quarantine, members)
    record = quarantine.record(f"{0:024x}")
    started = time.process_time()
    told = gossip.learned([record], 1_000.0)
    tell_ms = round(1_000 * (time.process_time() - started), 1)
    bytes_each = len(encode_quarantine(told[0].message))
    take = QuarantineMessage("g", QuarantineKind.TAKE, "10.0.0.1:7215", "d")
    take_token = gossip.receive_digest("10.0.0.1:7215", "other")[0].message.answer_token
    everything = gossip.received(
        QuarantineMessage("g", take.kind, take.sender, "d", take_token), 1_000.0
    )
    return {
        "instances": members,
        "verdict_us": _us_each(lambda n: quarantine.verdict(f"{n % 600:024x}", 1e6)),
        "strike_us": _us_each(
            lambda n: quarantine.add_strike(f"f{n}", f"e{n}", Sign.BEGAN, 1_000.0 + n)
        ),
        "one_record_bytes": bytes_each,
        "origin_sends_bytes": bytes_each * len(told),
        "each_other_sends_bytes": bytes_each * _FANOUT,
        "tell_all_ms": tell_ms,
        "everything_datagrams": len(everything),
        "everything_bytes": sum(len(encode_quarantine(x.message)) for x in everything),
    }


def measure() -> list[dict]:
    """One row for each size of the group."""
    return [_row(members) for members in GROUPS]


if __name__ == "__main__":
    for each in measure():
        print(each)
