"""A request that ends the endpoints that run it, before entries that tell each other.

It comes again under other ids and at other entries. Three endpoints may end under it,
and three more while that is told.
"""

import contextlib
import signal
import time

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
    until_holding,
)

GUILTY = "this ends engines"
ENGINES = 9
MOST_ENDED = 6
# After the third end all entries that were in touch know within so long; one that was
# paused or has just begun, after it is back.
BOUND_S = 3.0


@contextlib.contextmanager
def crashable_site(**more):
    with running_site(engines=ENGINES, entries=3, **more) as site:
        for each in [*site.engines.values(), *site.services.values()]:
            each.fault(crashed_by=GUILTY)
        yield site


@pytest.fixture
def site():
    with crashable_site() as running:
        yield running


def ended(site, names=None):
    return sum(not site.processes[each].running for each in names or site.engines)


def guilty(number=0):
    caller = dossier(30)
    caller.request["prompt"] = GUILTY
    caller.request_id = f"guilty-{number}"
    return caller


def refused(caller):
    return caller.error is not None and caller.error["code"] == "request_stops_engines"


def is_barred_at(site, name):
    """Ask under a new id each time; what is asked once too often ends engines."""
    number = time.monotonic_ns()
    return refused(guilty(number).post(site.entries[name].port))


def until_barred_at(site, name):
    wait_until(lambda: is_barred_at(site, name), f"{name} bars it", BOUND_S)


def is_kept(site):
    rows = site.platform.get("/control/state")["rows"]
    return any(key.startswith("suspects/") for key in rows)


def bar(site, name="entry-1"):
    caller = guilty().post(site.entries[name].port)
    assert refused(caller), (caller.error, caller.events)
    return caller


def test_under_other_ids_at_other_entries_it_ends_few_engines_more(site):
    bar(site)
    for name in ("entry-2", "entry-3", "entry-1"):
        until_barred_at(site, name)
    assert ended(site) <= MOST_ENDED
    for entry in site.entries.values():
        check(dossier(30).post(entry.port))


def test_a_refusal_comes_at_once_and_says_when_to_come_back(site):
    bar(site)
    started = time.monotonic()
    caller = guilty(1).post(site.entries["entry-1"].port)
    assert refused(caller)
    assert caller.status == 503
    assert caller.error["retry_after_ms"] > 60_000
    assert time.monotonic() - started < 1.0


def test_three_that_come_at_once_end_few_engines_more(site):
    callers = [guilty(number) for number in range(3)]
    names = list(site.entries)
    threads = [
        reading(caller, site.entries[name].port)
        for caller, name in zip(callers, names, strict=True)
    ]
    for thread in threads:
        thread.join(20)
    for name in names:
        until_barred_at(site, name)
    assert ended(site) <= MOST_ENDED


def test_an_entry_that_was_paused_knows_in_time_after_it_wakes(site):
    site.processes["entry-3"].signal(signal.SIGSTOP)
    bar(site)
    time.sleep(1.5)
    site.processes["entry-3"].signal(signal.SIGCONT)
    before = ended(site)
    until_barred_at(site, "entry-3")
    assert ended(site) - before <= 3


def test_an_entry_that_begins_later_knows_in_time(site):
    bar(site)
    before = ended(site)
    site.launch_entry("entry-4", **FAST)
    site.entry_listening("entry-4")
    site.until_ready_at("entry-4")
    until_barred_at(site, "entry-4")
    assert ended(site) - before <= 3


def test_what_bars_it_outlasts_all_entries(site):
    bar(site)
    wait_until(lambda: is_kept(site), "it is kept")
    before = ended(site)
    for name in list(site.entries):
        site.processes[name].kill()
        site.launch_entry(name, **FAST)
    for name in list(site.entries):
        site.entry_listening(name)
    site.until_ready()
    for name in site.entries:
        until_barred_at(site, name)
    assert ended(site) - before <= 3


def test_a_call_that_ends_its_services_is_barred_at_all_entries():
    with crashable_site(services=8) as site:
        replies = []
        for number in range(12):
            entry = list(site.entries.values())[number % 3]
            headers = {"authorization": "Bearer ikeja-key"}
            path = "/services/booking/confirmations/1"
            replies.append(entry.ask("POST", path, GUILTY.encode(), headers=headers))
        codes = [said["error"]["code"] for _, said in replies]
        assert codes[-3:] == ["request_stops_engines"] * 3, codes
        assert ended(site, site.services) <= MOST_ENDED
        innocent = site.entries["entry-1"].ask("POST", path, b"a slot", headers=headers)
        assert innocent[0] == 200, innocent


def test_whose_engines_are_ended_by_others_is_not_barred(site):
    """It gives for longer than a moment at each of them."""
    caller = dossier(400)
    thread = reading(caller, site.entries["entry-1"].port)
    for held in (120, 240, 360):
        until_holding(caller, held)
        site.processes[busy_engine(site)].kill()
    thread.join(20)
    check(caller)
    again = Caller(caller.request, caller.key, "again")
    assert not refused(again.post(site.entries["entry-2"].port))
