"""Test sites of real processes, and helpers for their callers."""

import contextlib
import signal
import threading
from collections.abc import Iterator
from pathlib import Path

from standins.caller import Caller
from standins.site import Site, sample_intent, wait_until

GAP_MS = 10
FAST = {
    "journal_ms": 100,
    "lease_ms": 1_000,
    "lease_margin_ms": 300,
    "isolation_ms": 1_000,
    "status_ms": 100,
    "list_ms": 200,
    "configuration_ms": 200,
    "greeting_ms": 200,
    "evidence_ms": 1_500,
}


@contextlib.contextmanager
def running_site(
    engines: int = 3, services: int = 0, entries: int = 2, **class_changes
) -> Iterator[Site]:
    """A site whose intent is in force; every entry has evidence of all endpoints."""
    with Site() as site:
        site.start_platform()
        site.start_engines(engines, "--gap-ms", str(GAP_MS), "--prefill-ms", "5")
        if services:
            site.start_services(services)
        site.start_entries(entries, **FAST)
        site.until_ready()
        names = list(site.services)
        site.put_in_force(sample_intent(list(site.engines), names, **class_changes))
        site.until_serving()
        yield site
        check_logs(site)


def check_logs(site: Site) -> None:
    """Check that no entry logged an unhandled failure."""
    for name in site.entries:
        log = site.log_of(name)
        for event in ("unhandled_failure", "task_failed"):
            assert f"event={event}" not in log, log[log.index(event) :][:2_000]


_REQUEST_NUMBERS = iter(range(1, 1_000_000))


def dossier(tokens: int = 100, team: str = "ikeja", words: int = 2) -> Caller:
    """A caller with a unique prompt of ``words`` words and ``tokens`` as max_tokens."""
    number = next(_REQUEST_NUMBERS)
    prompt = f"dossier {number}" + " page" * (words - 2)
    request = {"model": "summary", "prompt": prompt, "max_tokens": tokens, "seed": 1}
    return Caller(request, f"{team}-key", f"request-{number}")


def reading(caller: Caller, port: int, follow: bool = False) -> threading.Thread:
    """Read in a thread, so that the test can cause faults meanwhile."""
    work = caller.follow if follow else caller.post
    thread = threading.Thread(target=work, args=(port,), daemon=True)
    thread.start()
    return thread


def wait_for_tokens(caller: Caller, tokens: int) -> None:
    """Wait until the caller holds at least ``tokens`` tokens, or an error."""
    wait_until(lambda: len(caller.tokens) >= tokens or caller.error, "tokens come")


def busy_engine(site: Site) -> str:
    """The name of an engine that runs a request; waits for one."""

    def find_busy() -> str:
        for name, engine in site.engines.items():
            if site.processes[name].running and engine.get("/status")["running"]:
                return name
        return ""

    return str(wait_until(find_busy, "an engine is busy"))


def begun(site: Site, tokens: int = 150, holding: int = 20):
    """A stored request in progress at the first entry, and the thread that reads it."""
    caller = dossier(tokens)
    thread = reading(caller, site.entries["entry-1"].port)
    wait_until_stored(caller)
    wait_for_tokens(caller, holding)
    return caller, thread


def check(caller: Caller) -> None:
    """Check that the caller holds the complete and consistent answer."""
    assert caller.whole, (caller.error, caller.events, len(caller.tokens))


def wait_until_stored(caller: Caller) -> None:
    """Wait until the caller has received the `stored` event."""
    wait_until(lambda: "stored" in caller.events, "the request is stored")


def reconnect_until_finished(caller: Caller, port: int) -> Caller:
    """Reconnect until the answer is finished or refused."""

    def reconnect() -> bool:
        caller.follow(port, timeout_s=10)
        return caller.finished or caller.error is not None

    wait_until(reconnect, "the answer ends", 20)
    return caller


def answers_of(site: Site, name: str) -> dict[str, int]:
    """How many answers an entry has in each state."""
    return dict(site.entries[name].get("/operator/status")["answers"])


def second_caller_of(caller):
    """Another caller of the same answer that holds the same tokens."""
    twin = dossier(caller.request["max_tokens"])
    twin.request, twin.request_id = caller.request, caller.request_id
    twin.tokens, twin.event_id = list(caller.tokens), caller.event_id
    return twin


@contextlib.contextmanager
def three_entries(*program):
    """Three entries on a site of engines; the first runs ``program`` instead."""
    with Site() as site:
        site.start_platform()
        site.start_engines(3, "--gap-ms", str(GAP_MS), "--prefill-ms", "5")
        site.launch_program("entry-1", program, **FAST)
        for name in ("entry-2", "entry-3"):
            site.launch_entry(name, **FAST)
        for name in ("entry-1", "entry-2", "entry-3"):
            site.entry_listening(name)
        site.until_ready()
        site.put_in_force(sample_intent(list(site.engines), []), "entry-2")
        site.until_serving()
        yield site
        check_logs(site)


def pause_first_entry(site):
    """Have the first entry pause itself at the point that its program names."""
    process = site.processes["entry-1"]
    process.signal(signal.SIGUSR1)
    status = Path(f"/proc/{process.pid}/stat")
    wait_until(lambda: status.read_text().rpartition(") ")[2][0] == "T", "it stops")
