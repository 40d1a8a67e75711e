"""Engines crash, freeze, cut streams and send wrong ones, on real sockets."""

import signal

import pytest

from standins.site import wait_until
from tests.common.sites import (
    busy_engine,
    dossier,
    reading,
    running_site,
    wait_for_tokens,
)


@pytest.fixture(scope="module")
def site():
    with running_site(engines=4) as running:
        yield running


def test_an_answer_continues_when_its_engine_is_killed(site):
    caller = dossier(120)
    thread = reading(caller, site.entries["entry-1"].port)
    wait_for_tokens(caller, 20)
    site.processes[busy_engine(site)].kill()
    thread.join(30)
    assert caller.whole, (caller.error, caller.events, len(caller.tokens))


def test_an_answer_continues_when_its_engine_freezes_and_resumes(site):
    caller = dossier(150)
    thread = reading(caller, site.entries["entry-1"].port)
    wait_for_tokens(caller, 20)
    frozen = site.processes[busy_engine(site)]
    frozen.signal(signal.SIGSTOP)
    wait_for_tokens(caller, 60)
    frozen.signal(signal.SIGCONT)
    thread.join(30)
    assert caller.whole, (caller.error, caller.events, len(caller.tokens))


def test_a_cut_connection_causes_no_repeated_engine_work(site):
    before = generated_tokens(site)
    caller = dossier(100)
    thread = reading(caller, site.entries["entry-1"].port)
    wait_for_tokens(caller, 20)
    site.engines[busy_engine(site)].fault(cut_all=True)
    thread.join(30)
    assert caller.whole, (caller.error, caller.events, len(caller.tokens))
    assert generated_tokens(site) - before == 100


def generated_tokens(site) -> int:
    return sum(
        engine.get("/status")["counters"]["generated_tokens"]
        for name, engine in site.engines.items()
        if site.processes[name].running
    )


FAULTS = [
    "skip_at",
    "cut_at",
    "repeat_at",
    "reorder_at",
    "cross_at",
    "cross_line_at",
    "no_finish_marker",
    "cross_next_head",
]


@pytest.mark.parametrize("fault", FAULTS)
def test_an_answer_is_complete_despite_the_engine_fault(site, fault):
    for name, engine in site.engines.items():
        if site.processes[name].running:
            engine.fault(**{fault: 30})
    caller = dossier(80)
    caller.post(site.entries["entry-2"].port)
    assert caller.whole, (caller.error, caller.events, len(caller.tokens))
    for name, engine in site.engines.items():
        if site.processes[name].running:
            engine.fault(**{fault: None})


def test_an_engine_that_claims_another_version_gets_no_answer(site):
    running = [n for n in site.engines if site.processes[n].running]
    for name in running[1:]:
        site.engines[name].fault(claims_version="2")
    caller = dossier(20)
    caller.post(site.entries["entry-1"].port)
    assert caller.whole, (caller.error, caller.events)
    for name in running[1:]:
        site.engines[name].fault(claims_version="1")


def test_a_leaving_engine_gets_no_new_work_and_keeps_its_runs(site):
    caller = dossier(150)
    thread = reading(caller, site.entries["entry-1"].port)
    wait_for_tokens(caller, 10)
    leaving = busy_engine(site)
    site.engines[leaving].fault(leaving=True)
    entries = site.entries.values()
    wait_until(lambda: all(_has_leaving(e, leaving) for e in entries), "seen")
    runs = site.engines[leaving].get("/status")["counters"]["runs"]
    for _ in range(10):
        assert dossier(5).post(site.entries["entry-2"].port).whole
    thread.join(30)
    assert caller.whole, (caller.error, caller.events, len(caller.tokens))
    assert site.engines[leaving].get("/status")["counters"]["runs"] == runs
    site.engines[leaving].fault(leaving=False)


def _has_leaving(entry, name) -> bool:
    endpoints = entry.get("/operator/endpoints")["endpoints"]
    return any(e["endpoint_id"] == name and not e["takes_new_work"] for e in endpoints)
