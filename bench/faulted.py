"""Many answers under faults, all at once, with real processes.

``python -m bench.faulted [ROUNDS]``: each round has 100 answers through three entries
while engines cut, skip, repeat, reorder and cross lines, and one engine is killed and
started again. Every answer must be whole.
"""

import sys
import threading
import time
from random import Random

from bench._tools import longest_ms, percentiles
from bench.resume import until_free
from standins.caller import Caller
from standins.site import Site, sample_intent, wait_until
from tests.common.sites import FAST

ENGINES = 6
ANSWERS = 100
TOKENS = 60
FAULTS = (
    "skip_at",
    "cut_at",
    "repeat_at",
    "reorder_at",
    "cross_at",
    "cross_line_at",
    "no_finish_marker",
)


def measure(rounds: int = 10, seed: int = 1) -> list[dict]:
    random = Random(seed)
    callers: list[Caller] = []
    with Site() as site:
        site.start_platform()
        site.start_engines(ENGINES, "--gap-ms", "10", "--slots", "200")
        site.start_entries(3, **FAST)
        site.until_ready()
        site.put_in_force(sample_intent(list(site.engines), []))
        site.until_serving()
        started = time.monotonic()
        for number in range(rounds):
            callers += _round(site, number, random)
        took_s = time.monotonic() - started
    broken = [c for c in callers if not c.whole]
    return [
        {
            "answers": len(callers),
            "whole": len(callers) - len(broken),
            "refused": sum(c.error is not None for c in broken),
            "restarted": sum("restart" in c.events for c in callers),
            "longest_wait_ms": percentiles([longest_ms(c.times) for c in callers]),
            "seed": seed,
            "took_s": round(took_s, 1),
        }
    ]


def _round(site: Site, number: int, random: Random) -> list[Caller]:
    callers = []
    threads = []
    ports = [each.port for each in site.entries.values()]
    for index in range(ANSWERS):
        prompt = f"round {number} answer {index}"
        request = {"model": "summary", "prompt": prompt, "max_tokens": TOKENS}
        caller = Caller(request, "ikeja-key", f"f-{number}-{index}")
        callers.append(caller)
        port = ports[index % len(ports)]
        threads.append(threading.Thread(target=caller.post, args=(port, 60)))
    for thread in threads:
        thread.start()
    for engine in site.engines.values():
        engine.fault(**{random.choice(FAULTS): random.randint(0, TOKENS // 2)})
    wait_until(lambda: sum(len(c.tokens) for c in callers) > ANSWERS * 10, "running")
    _kill_and_restart(site, random.choice(list(site.engines)))
    for thread in threads:
        thread.join(90)
    return callers


def _kill_and_restart(site: Site, name: str) -> None:
    port = site.engines[name].port
    site.processes[name].kill()
    until_free(port)
    options = ["--name", name, "--gap-ms", "10", "--slots", "200", "--port", str(port)]
    site.start(name, "standins", "engine", *options).listening()


if __name__ == "__main__":
    for row in measure(int(sys.argv[1]) if len(sys.argv) > 1 else 10):
        print(row)
