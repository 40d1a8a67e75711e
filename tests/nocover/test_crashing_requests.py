"""A request that crashes its endpoints is barred at all entries.

It is repeated under other ids and at other entries. It may crash three endpoints, and
three more while the entries exchange their records.
"""

import contextlib
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.caller import Caller
from standins.site import wait_until
from tests.common.sites import (
    FAST,
    busy_engine,
    check,
    dossier,
    reading,
    running_site,
    wait_for_tokens,
)

CRASHING_PROMPT = "this ends engines"
ENGINES = 9
MAX_CRASHED = 6
# Time from the third crash until all connected entries bar the request. An entry that
# was paused or has just started takes as long after it is back.
BARRED_WITHIN_S = 3.0


@contextlib.contextmanager
def crashable_site(**class_changes):
    with running_site(engines=ENGINES, entries=3, **class_changes) as site:
        for endpoint in [*site.engines.values(), *site.services.values()]:
            endpoint.fault(crashed_by=CRASHING_PROMPT)
        yield site


@pytest.fixture
def site():
    with crashable_site() as running:
        yield running


def crashed_count(site, names=None):
    return sum(not site.processes[name].running for name in names or site.engines)


def entry_logs(site):
    """What the entries did, for a failure that shows only under load."""
    return "\n".join(
        (site.folder / f"{name}.log").read_text()[-8_000:] for name in site.entries
    )


def crashing_caller(number=0):
    caller = dossier(30)
    caller.request["prompt"] = CRASHING_PROMPT
    caller.request_id = f"guilty-{number}"
    return caller


def refused(caller):
    return caller.error is not None and caller.error["code"] == "request_stops_engines"


def is_barred_at(site, name):
    """Probe with a new id each time; a request that isn't barred crashes engines."""
    number = time.monotonic_ns()
    return refused(crashing_caller(number).post(site.entries[name].port))


def until_barred_at(site, name):
    wait_until(lambda: is_barred_at(site, name), f"{name} bars it", BARRED_WITHIN_S)


def is_stored(site):
    rows = site.platform.get("/control/state")["rows"]
    return any(key.startswith("suspects/") for key in rows)


def crash_until_barred(site, name="entry-1"):
    caller = crashing_caller().post(site.entries[name].port)
    assert refused(caller), (caller.error, caller.events)
    return caller


def test_repeated_at_other_entries_it_crashes_few_more_engines(site):
    crash_until_barred(site)
    for name in ("entry-2", "entry-3", "entry-1"):
        until_barred_at(site, name)
    assert crashed_count(site) <= MAX_CRASHED
    for entry in site.entries.values():
        check(dossier(30).post(entry.port))


def test_a_barred_request_is_refused_at_once_with_retry_after(site):
    crash_until_barred(site)
    started = time.monotonic()
    caller = crashing_caller(1).post(site.entries["entry-1"].port)
    assert refused(caller)
    assert caller.status == 503
    assert caller.error["retry_after_ms"] > 60_000
    assert time.monotonic() - started < 1.0


def test_three_concurrent_crashing_requests_crash_few_engines(site):
    callers = [crashing_caller(number) for number in range(3)]
    names = list(site.entries)
    threads = [
        reading(caller, site.entries[name].port)
        for caller, name in zip(callers, names, strict=True)
    ]
    for thread in threads:
        thread.join(20)
    for name in names:
        until_barred_at(site, name)
    assert crashed_count(site) <= MAX_CRASHED


def test_three_copies_at_one_entry_crash_few_engines(site):
    """Copies that run in step at one entry, whose crashes coincide."""
    port = site.entries["entry-1"].port
    threads = [reading(crashing_caller(number), port) for number in range(3)]
    for thread in threads:
        thread.join(20)
    for name in site.entries:
        until_barred_at(site, name)
    assert crashed_count(site) <= MAX_CRASHED


def test_copies_at_nine_entries_crash_one_engine_each_and_three_more():
    """No entry can know of the copies elsewhere before the first crash."""
    with running_site(engines=30, entries=9) as site:
        for engine in site.engines.values():
            engine.fault(crashed_by=CRASHING_PROMPT)
        threads = [
            reading(crashing_caller(number), entry.port)
            for number, entry in enumerate(site.entries.values())
        ]
        for thread in threads:
            thread.join(20)
        for name in site.entries:
            until_barred_at(site, name)
        assert crashed_count(site) <= len(site.entries) + 3


def test_a_resumed_entry_bars_the_request_in_time(site):
    site.processes["entry-3"].signal(signal.SIGSTOP)
    crash_until_barred(site)
    time.sleep(1.5)
    site.processes["entry-3"].signal(signal.SIGCONT)
    before = crashed_count(site)
    until_barred_at(site, "entry-3")
    assert crashed_count(site) - before <= 3


def test_a_newly_started_entry_bars_the_request_in_time(site):
    crash_until_barred(site)
    before = crashed_count(site)
    site.launch_entry("entry-4", **FAST)
    site.entry_listening("entry-4")
    site.until_ready_at("entry-4")
    until_barred_at(site, "entry-4")
    assert crashed_count(site) - before <= 3


def test_a_bar_survives_a_restart_of_all_entries(site):
    crash_until_barred(site)
    wait_until(lambda: is_stored(site), "it is kept")
    before = crashed_count(site)
    for name in list(site.entries):
        site.processes[name].kill()
        site.launch_entry(name, **FAST)
    for name in list(site.entries):
        site.entry_listening(name)
    site.until_ready()
    for name in site.entries:
        until_barred_at(site, name)
    assert crashed_count(site) - before <= 3


def test_a_call_that_crashes_services_is_barred_at_all_entries():
    with crashable_site(services=8) as site:
        replies = []
        for number in range(12):
            entry = list(site.entries.values())[number % 3]
            headers = {"authorization": "Bearer ikeja-key"}
            path = "/services/booking/confirmations/1"
            replies.append(
                entry.ask("POST", path, CRASHING_PROMPT.encode(), headers=headers)
            )
        codes = [body["error"]["code"] for _, body in replies]
        assert codes[-3:] == ["request_stops_engines"] * 3, codes
        assert crashed_count(site, site.services) <= MAX_CRASHED
        other_reply = site.entries["entry-1"].ask(
            "POST", path, b"a slot", headers=headers
        )
        assert other_reply[0] == 200, other_reply


def test_calls_repeated_at_all_entries_at_once_crash_few_services():
    """Calls that arrive in step, whose crashes coincide."""
    with crashable_site(services=12) as site:
        headers = {"authorization": "Bearer ikeja-key"}
        path = "/services/booking/confirmations/1"

        def call(entry):
            body = CRASHING_PROMPT.encode()
            return entry.ask("POST", path, body, headers=headers)[1]["error"]["code"]

        with ThreadPoolExecutor(3) as pool:
            for _ in range(4):
                codes = list(pool.map(call, site.entries.values()))
        assert codes == ["request_stops_engines"] * 3, entry_logs(site)
        crashed = crashed_count(site, site.services)
        assert crashed <= MAX_CRASHED, entry_logs(site)


def test_a_request_whose_engines_are_killed_is_not_barred(site):
    """The request streams for longer than a second at each engine."""
    caller = dossier(400)
    thread = reading(caller, site.entries["entry-1"].port)
    for held in (120, 240, 360):
        wait_for_tokens(caller, held)
        site.processes[busy_engine(site)].kill()
    thread.join(20)
    check(caller)
    repeated = Caller(caller.request, caller.key, "again")
    assert not refused(repeated.post(site.entries["entry-2"].port))
