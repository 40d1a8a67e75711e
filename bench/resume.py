"""How long callers wait when their engine dies or freezes, beside the naive way.

An entry is measured with copies of its runs' memory kept by other engines, and
without, where the prompt and what was made are read again.

The naive caller runs in the same run against the same engines: round robin, one
second of patience, the answer run again from its start and what was held skipped.
"""

import json
import signal
import socket
import threading
import time
from collections import Counter
from http.client import HTTPConnection, HTTPException

from bench._tools import longest_ms, percentiles
from coursekeel.entry.answers._requests import text_tokens
from standins.caller import Caller
from standins.site import Site, sample_intent, wait_until
from tests.common.sites import FAST

GAP_MS = 10
TOKENS = 90
PROMPT_WORDS = 6_000
PROFILES = {
    "head_office": {"profile": "dossier"},
    "inspection": {"profile": "defect_review"},
}
NAIVE_TIMEOUT_S = 1.0


class NaiveCaller:
    """What a caller without coursekeel would do."""

    def __init__(self, request: dict, ports: list[int]) -> None:
        self.request = request
        self.ports = ports
        self.times: list[float] = []
        self.held = 0
        self.made = 0

    def run(self) -> None:
        for turn in range(20):
            port = self.ports[turn % len(self.ports)]
            try:
                if self._once(port):
                    return
            except (OSError, HTTPException, ValueError):
                continue

    def _once(self, port: int) -> bool:
        connection = HTTPConnection("127.0.0.1", port, timeout=NAIVE_TIMEOUT_S)
        order = {"for": "x/1", "prefix_tokens": [], "request": self.request}
        connection.request("POST", "/generate", json.dumps(order))
        position = 0
        for raw in connection.getresponse():
            said = json.loads(raw)
            for _ in said.get("t", []):
                position += 1
                self.made += 1
                if position > self.held:
                    self.held = position
                    self.times.append(time.monotonic())
            if "finish" in said:
                return True
        return False


def measure(runs: int = 10) -> list[dict]:
    rows = []
    for profile, policy in PROFILES.items():
        for fault in ("killed", "frozen"):
            for copies in (True, False):
                rows.append(_entry_row(profile, policy, fault, runs, copies))
            rows.append(_naive_row(profile, policy, fault, runs))
    return rows


def _start(site: Site, policy: dict, copies: bool = True) -> None:
    site.copies = copies
    site.start_platform()
    site.start_engines(4, "--gap-ms", str(GAP_MS))
    timers = {
        **FAST,
        "silence_floor_ms": 400 if policy["profile"] == "dossier" else 2000,
    }
    site.start_entries(1, **timers)
    site.until_ready()
    intent = sample_intent(list(site.engines), [])
    intent["classes"][0] = {"name": "dossier", **policy}
    site.put_in_force(intent)
    site.until_serving()


def _entry_row(profile: str, policy: dict, fault: str, runs: int, copies: bool) -> dict:
    waits, made_again, read_again, whole = [], [], [], 0
    with Site() as site:
        _start(site, policy, copies)
        for number in range(runs):
            caller = Caller(_request(number), "ikeja-key", f"bench-{number}")
            before = _work(site)
            lost = _one(site, caller, fault)
            extra = _work(site) + lost - before
            whole += caller.whole
            waits.append(longest_ms(caller.times))
            made_again.append(extra["generated_tokens"] - TOKENS)
            read_again.append(extra["prefilled_tokens"] - text_tokens(_prompt(number)))
    return {
        "profile": profile,
        "fault": fault,
        "runs": runs,
        "way": "entry" if copies else "entry_without_copies",
        "whole": whole,
        "resume_ms": percentiles(waits),
        "extra_tokens": percentiles(made_again),
        "tokens_read_again": percentiles(read_again),
    }


def _naive_row(profile: str, policy: dict, fault: str, runs: int) -> dict:
    waits, made_again = [], []
    with Site() as site:
        _start(site, policy)
        for number in range(runs):
            rival = NaiveCaller(_request(number), _ports(site))
            _one_naive(site, rival, fault)
            waits.append(longest_ms(rival.times))
            made_again.append(rival.made - TOKENS)
    return {
        "profile": profile,
        "fault": fault,
        "runs": runs,
        "way": "naive",
        "resume_ms": percentiles(waits),
        "extra_tokens": percentiles(made_again),
    }


def _prompt(number: int) -> str:
    return f"dossier {number} " + "page " * (PROMPT_WORDS - 2)


def _request(number: int) -> dict:
    prompt = _prompt(number)
    return {"model": "summary", "prompt": prompt, "max_tokens": TOKENS, "seed": number}


def _ports(site: Site) -> list[int]:
    return [each.port for each in site.engines.values()]


def _work(site: Site) -> Counter:
    """What the engines did; one that was killed counts from nought again."""
    work: Counter = Counter()
    for engine in site.engines.values():
        work.update(engine.get("/status")["counters"])
    return work


def _one(site: Site, caller: Caller, fault: str) -> Counter:
    port = site.entries["entry-1"].port
    thread = threading.Thread(target=caller.post, args=(port, 60))
    thread.start()
    wait_until(lambda: len(caller.tokens) >= TOKENS // 3, "under way")
    return _harm(site, fault, thread)


def _one_naive(site: Site, caller: NaiveCaller, fault: str) -> None:
    thread = threading.Thread(target=caller.run)
    thread.start()
    wait_until(lambda: caller.held >= TOKENS // 3, "under way")
    _harm(site, fault, thread)


def _harm(site: Site, fault: str, thread: threading.Thread) -> Counter:
    """Kill or freeze the engine that works, and mend it afterwards.

    Returns the work that went out of the count with a killed engine.
    """
    name = wait_until(lambda: _busy(site), "an engine is busy")
    process = site.processes[name]
    if fault == "frozen":
        process.signal(signal.SIGSTOP)
        thread.join(60)
        process.signal(signal.SIGCONT)
        wait_until(lambda: not _busy(site), "engines are idle")
        return Counter()
    counters = site.engines[name].get("/status")["counters"]
    process.kill()
    thread.join(60)
    port = site.engines[name].port
    until_free(port)
    options = ["--name", name, "--gap-ms", str(GAP_MS), "--port", str(port)]
    site.start(name, "standins", "engine", *options).listening()
    site.until_serving()
    return Counter(counters)


def until_free(port: int) -> None:
    def free() -> bool:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
            return True

    wait_until(free, "the port is free")


def _busy(site: Site) -> str:
    for name, engine in site.engines.items():
        if engine.get("/status")["running"]:
            return name
    return ""


if __name__ == "__main__":
    for row in measure():
        print(row)
