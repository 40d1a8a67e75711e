"""At once or after the journal: what each costs when engine and entry die together."""

import threading
import time

from bench._tools import longest_ms, percentiles
from standins.caller import Caller
from standins.site import Site, sample_intent, wait_until
from tests.common.sites import FAST

TOKENS = 150
GAP_MS = 10


def measure(runs: int = 5) -> list[dict]:
    rows = []
    for delivery in ("at_once", "after_journal"):
        restarts, gaps, bursts, whole = 0, [], [], 0
        for number in range(runs):
            caller, steady_ms = _double_loss(delivery, number)
            restarts += caller.events.count("restart")
            whole += caller.whole
            gaps.append(longest_ms(caller.times))
            bursts.append(steady_ms)
        rows.append(
            {
                "delivery": delivery,
                "runs": runs,
                "whole": whole,
                "restarts": restarts,
                "longest_wait_ms": percentiles(gaps),
                "usual_longest_wait_ms": percentiles(bursts),
            }
        )
    return rows


def _double_loss(delivery: str, number: int) -> tuple[Caller, float]:
    with Site() as site:
        site.start_platform()
        site.start_engines(2, "--gap-ms", str(GAP_MS))
        site.start_entries(2, **FAST)
        site.until_ready()
        intent = sample_intent(list(site.engines), [], delivery=delivery)
        site.put_in_force(intent)
        site.until_serving()
        request = {
            "model": "summary",
            "prompt": f"d {number}",
            "max_tokens": TOKENS,
            "seed": number,
        }
        caller = Caller(request, "ikeja-key", f"d-{delivery}-{number}")
        thread = threading.Thread(
            target=caller.post, args=(site.entries["entry-1"].port,)
        )
        thread.start()
        wait_until(lambda: len(caller.tokens) >= TOKENS // 3, "under way")
        steady_ms = longest_ms(caller.times)
        busy = next(
            name
            for name, engine in site.engines.items()
            if engine.get("/status")["running"]
        )
        site.processes[busy].kill()
        site.processes["entry-1"].kill()
        thread.join(10)
        give_up = time.monotonic() + 30
        while not (caller.finished or caller.error) and time.monotonic() < give_up:
            caller.follow(site.entries["entry-2"].port)
    return caller, steady_ms


if __name__ == "__main__":
    for row in measure():
        print(row)
