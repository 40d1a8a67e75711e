"""Entries die, freeze and stop, and their callers come back elsewhere."""

import signal

import pytest

from standins.site import Http, Site, wait_until
from tests.common.sites import (
    FAST,
    answers_of,
    begun,
    busy_engine,
    check,
    check_logs,
    comes_back,
    dossier,
    reading,
    running_site,
    until_holding,
    until_stored,
)


@pytest.fixture
def site():
    with running_site(engines=3, entries=3) as running:
        yield running


def test_a_caller_gets_the_rest_from_another_entry_after_a_kill(site):
    caller, thread = begun(site)
    site.processes["entry-1"].kill()
    thread.join(10)
    check(comes_back(caller, site.entries["entry-2"].port))


def test_entry_and_engine_killed_together(site):
    caller, thread = begun(site)
    site.processes[busy_engine(site)].kill()
    site.processes["entry-1"].kill()
    thread.join(10)
    check(comes_back(caller, site.entries["entry-2"].port))


def test_entry_and_its_adopter_killed(site):
    caller, thread = begun(site, tokens=250)
    site.processes["entry-1"].kill()
    thread.join(10)
    port = site.entries["entry-2"].port
    thread = reading(caller, port, follow=True)
    wait_until(lambda: answers_of(site, "entry-2") or answers_of(site, "entry-3"), "")
    adopter = "entry-2" if answers_of(site, "entry-2") else "entry-3"
    left = "entry-3" if adopter == "entry-2" else "entry-2"
    site.processes[adopter].kill()
    thread.join(10)
    check(comes_back(caller, site.entries[left].port))


def test_a_frozen_owner_that_wakes_sends_nothing_of_what_is_anothers(site):
    """Found beside load: the woken owner sent one or two tokens more (5 runs of 60).

    The entry asked whether it may speak, wrote the token into its connection's buffer,
    and was stopped before the reactor emptied the buffer; beside load it waits for the
    processor there. It woke when the answer was another's, and the buffer left first.
    A line at the socket showed it: in each of 5 failed runs, and in no other, one event
    left 2,801 to 3,261 ms after the right had been asked for, 1,917 to 2,352 ms after
    it had lapsed. `test_pauses_on_a_tokens_way.py` stops the entry just there.
    """
    caller, thread = begun(site, tokens=300)
    first = list(caller.tokens)
    site.processes["entry-1"].signal(signal.SIGSTOP)
    other = dossier(300)
    other.request, other.request_id = caller.request, caller.request_id
    other.tokens, other.event_id = list(caller.tokens), caller.event_id
    check(comes_back(other, site.entries["entry-2"].port))
    held = len(caller.tokens)
    site.processes["entry-1"].signal(signal.SIGCONT)
    thread.join(15)
    assert len(first) <= held == len(caller.tokens)
    assert "moved" in caller.events or "cut" in caller.events
    check(comes_back(caller, site.entries["entry-1"].port))
    assert caller.tokens == other.tokens


def test_a_durable_answer_ends_without_its_caller_or_its_owner(site):
    caller = dossier(120)
    entry = site.entries["entry-1"]
    entry.key = "ikeja-key"
    headers = {"prefer": "respond-async", "idempotency-key": caller.request_id}
    status, body = entry.ask("POST", "/v1/completions", caller.request, headers=headers)
    assert status == 202, body
    site.processes["entry-1"].kill()
    check(comes_back(caller, site.entries["entry-3"].port))


def test_a_planned_stop_cuts_no_stream(site):
    caller, thread = begun(site)
    assert site.processes["entry-1"].end() == 0
    thread.join(10)
    check(caller)


def test_a_stopping_entry_adopts_nothing_and_the_next_one_does(site):
    site.processes["entry-3"].kill()
    caller, thread = begun(site, tokens=200)
    last = dossier(400)
    last_thread = reading(last, site.entries["entry-2"].port)
    until_holding(last, 10)
    site.processes["entry-2"].signal(signal.SIGTERM)
    wait_until(lambda: "event=entry_stopping" in site.log_of("entry-2"), "stopping")
    site.processes["entry-1"].kill()
    thread.join(10)
    last_thread.join(20)
    check(last)
    wait_until(lambda: not site.processes["entry-2"].running, "entry-2 ends")
    assert "event=answer_adopted" not in site.log_of("entry-2")
    site.launch_entry("entry-3", **FAST)
    site.entry_listening("entry-3")
    site.until_ready_at("entry-3")
    check(comes_back(caller, site.entries["entry-3"].port))


def test_an_entry_that_never_reached_the_store_can_be_stopped():
    with Site() as site:
        site.platform = Http(1)
        site.launch_entry("entry-1", **FAST)
        site.processes["entry-1"].listening()
        assert site.processes["entry-1"].end(10) == 0
        check_logs(site)


def test_answers_go_on_through_a_platform_outage_and_are_stored_after_it(site):
    site.platform.fault(outage=True)
    caller = dossier(60)
    caller.post(site.entries["entry-1"].port)
    check(caller)
    site.platform.fault(outage=False)
    other = dossier(60)
    other.request, other.request_id = caller.request, caller.request_id
    wait_until(
        lambda: other.follow(site.entries["entry-2"].port).status == 200, "it is kept"
    )
    assert other.tokens == caller.tokens


def test_engine_killed_during_a_platform_outage(site):
    caller, thread = begun(site)
    site.platform.fault(outage=True)
    site.processes[busy_engine(site)].kill()
    thread.join(30)
    check(caller)


def test_another_teams_answer_is_not_found(site):
    caller, thread = begun(site, tokens=60)
    stranger = dossier(60, team="wuse")
    stranger.request_id = caller.request_id
    for name in ("entry-1", "entry-2"):
        assert stranger.follow(site.entries[name].port).status == 404
    thread.join(20)
    check(caller)


def test_a_restarted_entry_adopts_what_its_former_life_left(site):
    caller, thread = begun(site)
    for name in ("entry-2", "entry-3"):
        site.processes[name].kill()
    site.processes["entry-1"].kill()
    thread.join(10)
    site.launch_entry("entry-1", **FAST)
    site.entry_listening("entry-1")
    site.until_ready_at("entry-1")
    check(comes_back(caller, site.entries["entry-1"].port))


def test_the_same_request_at_two_entries_is_one_answer(site):
    caller, twin = dossier(60), dossier(60)
    twin.request, twin.request_id = caller.request, caller.request_id
    threads = [
        reading(caller, site.entries["entry-1"].port),
        reading(twin, site.entries["entry-2"].port),
    ]
    for thread in threads:
        thread.join(30)
    check(caller)
    check(twin)
    assert caller.tokens == twin.tokens


def test_another_body_under_the_same_id_never_replaces_the_first(site):
    caller = dossier(200)
    caller.request["prompt"] = "first " * 10_000
    thread = reading(caller, site.entries["entry-1"].port)
    until_stored(caller)
    rival = dossier(200)
    rival.request_id = caller.request_id
    rival.request["prompt"] = "second " * 10_000
    rival_thread = reading(rival, site.entries["entry-2"].port)
    until_holding(rival, 1)
    site.processes[busy_engine(site)].kill()
    site.processes["entry-1"].kill()
    thread.join(10)
    check(comes_back(caller, site.entries["entry-3"].port))
    rival_thread.join(10)


def test_delivery_after_the_journal_never_restarts():
    with running_site(engines=3, entries=2, delivery="after_journal") as site:
        caller, thread = begun(site)
        site.processes[busy_engine(site)].kill()
        site.processes["entry-1"].kill()
        thread.join(10)
        check(comes_back(caller, site.entries["entry-2"].port))
        assert "restart" not in caller.events
