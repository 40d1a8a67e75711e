"""What a group of gateways costs and how soon it knows, at several sizes.

The cores of `coursekeel.group` on one simulated clock, with datagrams that take up to
20 ms and of which one in a hundred is lost. Processor time is this process's own, for
the cores and the form of the messages, without sockets. `python -m bench.membership`.
"""

import time
from random import Random

from coursekeel.group import Outgoing, Swim, decode_message, encode_message

__all__ = ["measure"]

SIZES = (6, 74, 380)
ZONES = 4
TICK_MS = 150.0
WAY_MS = 20.0
LOSS = 0.01
SETTLING_MS = 30_000.0
MEASURED_MS = 10_000.0
_HEADERS_BYTES = 28  # IPv4 and UDP


class _Group:
    def __init__(self, size: int) -> None:
        self.random = Random(size)
        self.now_ms = 0.0
        addresses = [f"10.0.{n // 250}.{n % 250}:7215" for n in range(size)]
        seeds = tuple(addresses[:3])
        self.members = {
            each: Swim(each, f"zone-{n % ZONES}", "g", seeds, Random(n))
            for n, each in enumerate(addresses)
        }
        self.way: list[tuple[float, Outgoing, bytes]] = []
        self.sent = self.sent_bytes = 0
        self.busy_s = 0.0

    def run(self, for_ms: float) -> None:
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.step()

    def step(self) -> None:
        self.now_ms += TICK_MS
        started = time.process_time()
        due, self.way = self.way, []
        for _, outgoing, data in due:
            member = self.members.get(outgoing.address)
            if member is not None:
                message = decode_message(data)
                self._send(member.received(message, self.now_ms))
        for member in self.members.values():
            self._send(member.tick(self.now_ms))
            member.events.clear()
        self.busy_s += time.process_time() - started

    def _send(self, messages: list[Outgoing]) -> None:
        for each in messages:
            data = encode_message(each.message)
            self.sent += 1
            self.sent_bytes += len(data) + _HEADERS_BYTES
            if self.random.random() >= LOSS:
                self.way.append((self.now_ms + WAY_MS, each, data))

    def until(self, condition) -> float:
        """How long it takes until a condition holds, in ms."""
        started_ms = self.now_ms
        while not condition() and self.now_ms - started_ms < 120_000:
            self.step()
        return self.now_ms - started_ms


def _row(size: int) -> dict:
    group = _Group(size)
    joined_ms = group.until(
        lambda: all(len(each.alive()) == size for each in group.members.values())
    )
    group.run(SETTLING_MS - min(joined_ms, SETTLING_MS))
    group.sent = group.sent_bytes = 0
    group.busy_s = 0.0
    group.run(MEASURED_MS)
    per = size * MEASURED_MS / 1000
    holders = {m.store_reader(m.zone) for m in group.members.values()}
    row = {
        "instances": size,
        "all_joined_ms": round(joined_ms),
        "datagrams_a_s": round(group.sent / per, 2),
        "bytes_a_s": round(group.sent_bytes / per),
        "core_share_percent": round(100 * group.busy_s / per, 3),
        "holders": len(holders),
    }
    dead = sorted(group.members)[size // 2]
    del group.members[dead]
    known_ms = group.until(
        lambda: all(dead not in each.alive() for each in group.members.values())
    )
    gone_ms = group.until(
        lambda: all(
            not m.counts or address != dead
            for each in group.members.values()
            for address, m in each._members._members.items()
        )
    )
    return row | {
        "death_suspected_ms": round(known_ms),
        "death_sure_ms": round(known_ms + gone_ms),
    }


def measure() -> list[dict]:
    """A row for each size."""
    return [_row(size) for size in SIZES]


if __name__ == "__main__":
    for each in measure():
        print(each)
