"""Slopes for docs/CAPACITY.md: each cost at three sizes or more, cores alone.

``python -m bench.capacity``
"""

import sys
import time
import tracemalloc
from random import Random

import orjson

from coursekeel.answers import JournalWriter, Ledger
from coursekeel.entry.http._common import key_hash, team_of
from coursekeel.intents import (
    Configuration,
    EndpointIntent,
    Intent,
    ModelIntent,
    ModelName,
    TeamIntent,
)
from coursekeel.routing import LoadReport, PlacementRequest, Router

_REPEATS = 200


class _Request:
    def getHeader(self, name: str) -> str:
        return "Bearer some-key"


def intent_of(teams: int, endpoints: int) -> Intent:
    return Intent(
        models=tuple(ModelIntent(f"m{n}", ModelName(f"m{n}")) for n in range(8)),
        endpoints=tuple(
            EndpointIntent(f"e{n}", models=(f"m{n % 8}",)) for n in range(endpoints)
        ),
        teams=tuple(
            TeamIntent(f"team-{n}", (key_hash(f"key-{n}"),), models=("m0",))
            for n in range(teams)
        ),
    )


def _us(work, repeats: int = _REPEATS) -> float:
    started = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - started) / repeats * 1e6


def configurations() -> list[dict]:
    rows = []
    for teams, endpoints in ((100, 60), (1_000, 600), (4_400, 2_600)):
        value = Configuration(1, intent_of(teams, endpoints)).to_json()
        body = orjson.dumps(value)
        tracemalloc.start()
        held = Configuration.from_json(orjson.loads(body))
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        rows.append(
            {
                "slope": "configuration",
                "teams": teams,
                "endpoints": endpoints,
                "row_bytes": len(body),
                "apply_ms": _us(lambda b=body: _apply(b), 3) / 1000,
                "memory_bytes": memory,
                "key_check_us": _us(lambda h=held: team_of(_Request(), h.intent), 50),
            }
        )
    return rows


def _apply(body: bytes) -> Configuration:
    return Configuration.from_json(orjson.loads(body))


def routers() -> list[dict]:
    rows = []
    for endpoints in (16, 64, 256):
        router = Router("z", Random(1), lambda *_: True)
        names = [f"e{n}" for n in range(endpoints)]
        router.endpoints.configure({"m": names}, dict.fromkeys(names, "z"))
        for name in names:
            router.apply_report(LoadReport(name, 0, 0, 1_000_000, 0.0), 0.0)
        numbers = iter(range(1_000_000))

        def decide(router=router, numbers=numbers) -> None:
            request = PlacementRequest(
                "t", "c", 1, "m", 100.0, 1e12, number=next(numbers), prompt_key="p"
            )
            (grant,) = router.place(request, 0.0)
            router.release(grant.endpoint_id, 1.0, 0.0)

        rows.append(
            {"slope": "routing", "endpoints": endpoints, "decision_us": _us(decide)}
        )
    return rows


def ledgers() -> list[dict]:
    rows = []
    for tokens in (1_000, 8_000, 64_000):
        tracemalloc.start()
        ledger = Ledger("g")
        for position in range(tokens):
            ledger.offer(position, [position], [" word"])
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        rows.append(
            {
                "slope": "ledger",
                "tokens": tokens,
                "memory_bytes_a_token": memory / tokens,
                "offer_us": _us(lambda held=ledger: _grow(held), 2_000),
            }
        )
    return rows


def _grow(ledger: Ledger) -> None:
    ledger.offer(ledger.next_position, [7], [" word"])


def journals() -> list[dict]:
    rows = []
    for answers in (10, 40, 160):
        writer = JournalWriter("o")
        for number in range(answers):
            ledger = Ledger(f"g{number}")
            random = Random(number)
            for position in range(26):
                ledger.offer(position, [random.getrandbits(30)], [" word"])
            writer.track(f"answers/team/{number}", ledger)
        segment = writer.cut()
        rows.append(
            {
                "slope": "journal, a second of 26 tokens each",
                "answers": answers,
                "segment_bytes": len(segment.to_bytes()),
                "encode_us": _us(segment.to_bytes),
            }
        )
    return rows


def measure() -> list[dict]:
    return [*configurations(), *routers(), *ledgers(), *journals()]


def main() -> None:
    for row in measure():
        sys.stdout.write(f"{row}\n")


if __name__ == "__main__":
    main()
