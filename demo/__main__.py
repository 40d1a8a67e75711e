"""Serve a long generation while its engine is killed, and confirm a slot once."""

import sys
import threading
from itertools import pairwise

from standins.caller import Caller
from standins.site import Site, sample_intent, wait_until

_TOKENS = 200
_KILL_AT = 60
_GAP_MS = 20


def main() -> int:
    """Run the demonstration; 0 only if every token came exactly once."""
    with Site() as site:
        _start(site)
        caller, killed, made_before = _long_generation(site)
        confirmed = _confirm_slot(site)
        return 0 if _report(site, caller, killed, made_before) and confirmed else 1


def _start(site: Site) -> None:
    print("starting: 1 platform, 2 engines, 1 plain service, 3 entries in 3 zones")
    site.start_platform()
    site.start_engines(2, "--gap-ms", str(_GAP_MS))
    site.start_services(1)
    site.start_entries(3)
    site.until_ready()
    intent = sample_intent(list(site.engines), list(site.services))
    revision = site.put_in_force(intent)
    site.until_serving()
    print(f"intent planned, confirmed and accepted everywhere: revision {revision}")


def _long_generation(site: Site) -> tuple[Caller, str, int]:
    """The caller, the engine that was killed, and how many tokens that had made."""
    request = {
        "model": "summary",
        "prompt": "Summarise the applicant's file.",
        "max_tokens": _TOKENS,
        "seed": 7,
    }
    caller = Caller(request, "ikeja-key", "dossier-1")
    port = site.entries["entry-2"].port
    reading = threading.Thread(target=caller.post, args=(port,))
    reading.start()
    wait_until(lambda: len(caller.tokens) >= _KILL_AT, "the answer is under way")
    killed = wait_until(lambda: _busy_engine(site), "an engine runs it")
    print(f"killing {killed} after {len(caller.tokens)} tokens")
    made_before = _counters(site, killed)["generated_tokens"]
    site.processes[killed].kill()
    reading.join(60)
    return caller, killed, made_before


def _counters(site: Site, engine: str) -> dict[str, int]:
    return dict(site.engines[engine].get("/status")["counters"])


def _busy_engine(site: Site) -> str:
    for name, engine in site.engines.items():
        if engine.get("/status")["running"]:
            return name
    return ""


def _confirm_slot(site: Site) -> bool:
    entry = site.entries["entry-1"]
    entry.key = "ikeja-key"
    path = "/services/booking/confirmations/42"
    headers = {"idempotency-key": "slot-42"}
    answers = [entry.ask("POST", path, {"slot": 42}, headers=headers) for _ in range(2)]
    ran = site.services["booking-1"].get("/control/ran")["slot-42"]
    print(f"slot confirmation sent twice by the caller, ran {ran} time(s)")
    return ran == 1 and [status for status, _ in answers] == [200, 200]


def _report(site: Site, caller: Caller, killed: str, made_before: int) -> bool:
    gaps = [after - before for before, after in pairwise(caller.times)]
    survivor = next(name for name in site.engines if name != killed)
    counters = _counters(site, survivor)
    extra = made_before + counters["generated_tokens"] - _TOKENS
    print(f"answer whole, each token exactly once: {caller.whole}")
    print(
        f"resume latency: {max(gaps, default=0) * 1000:.0f} ms (one gap is {_GAP_MS})"
    )
    print(
        f"extra use: {counters['prefilled_tokens']} tokens prefilled again on the "
        f"surviving engine, {max(0, extra)} tokens made and thrown away"
    )
    return caller.whole


if __name__ == "__main__":
    sys.exit(main())
