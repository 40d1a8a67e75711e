"""Entries crash, freeze and stop, and their callers reconnect to other entries."""

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
    dossier,
    reading,
    reconnect_until_finished,
    running_site,
    wait_for_tokens,
    wait_until_stored,
)


@pytest.fixture
def site():
    with running_site(engines=3, entries=3) as running:
        yield running


def test_a_caller_gets_the_rest_from_another_entry_after_a_crash(site):
    caller, thread = begun(site)
    site.processes["entry-1"].kill()
    thread.join(10)
    check(reconnect_until_finished(caller, site.entries["entry-2"].port))


def test_an_answer_survives_entry_and_engine_killed_together(site):
    caller, thread = begun(site)
    site.processes[busy_engine(site)].kill()
    site.processes["entry-1"].kill()
    thread.join(10)
    check(reconnect_until_finished(caller, site.entries["entry-2"].port))


def test_an_answer_survives_its_owner_and_its_adopter_killed(site):
    caller, thread = begun(site, tokens=250)
    site.processes["entry-1"].kill()
    thread.join(10)
    port = site.entries["entry-2"].port
    thread = reading(caller, port, follow=True)
    wait_until(lambda: answers_of(site, "entry-2") or answers_of(site, "entry-3"), "")
    adopter = "entry-2" if answers_of(site, "entry-2") else "entry-3"
    remaining = "entry-3" if adopter == "entry-2" else "entry-2"
    site.processes[adopter].kill()
    thread.join(10)
    check(reconnect_until_finished(caller, site.entries[remaining].port))


def test_an_owner_that_was_paused_sends_nothing_of_an_adopted_answer(site):
    """Guards against sending buffered tokens of an answer that has been adopted.

    `test_pauses_on_a_tokens_way.py` pauses the entry at each point of a token's path.
    """
    caller, thread = begun(site, tokens=300)
    received_at_pause = list(caller.tokens)
    site.processes["entry-1"].signal(signal.SIGSTOP)
    other = dossier(300)
    other.request, other.request_id = caller.request, caller.request_id
    other.tokens, other.event_id = list(caller.tokens), caller.event_id
    check(reconnect_until_finished(other, site.entries["entry-2"].port))
    received_before = len(caller.tokens)
    site.processes["entry-1"].signal(signal.SIGCONT)
    thread.join(15)
    assert len(received_at_pause) <= received_before == len(caller.tokens)
    assert "moved" in caller.events or "cut" in caller.events
    check(reconnect_until_finished(caller, site.entries["entry-1"].port))
    assert caller.tokens == other.tokens


def test_a_durable_answer_completes_without_its_caller_or_its_owner(site):
    caller = dossier(120)
    entry = site.entries["entry-1"]
    entry.key = "ikeja-key"
    headers = {"prefer": "respond-async", "idempotency-key": caller.request_id}
    status, body = entry.ask("POST", "/v1/completions", caller.request, headers=headers)
    assert status == 202, body
    site.processes["entry-1"].kill()
    check(reconnect_until_finished(caller, site.entries["entry-3"].port))


def test_a_planned_stop_completes_open_streams(site):
    caller, thread = begun(site)
    assert site.processes["entry-1"].end() == 0
    thread.join(10)
    check(caller)


def test_a_stopping_entry_adopts_nothing_and_the_next_entry_does(site):
    site.processes["entry-3"].kill()
    caller, thread = begun(site, tokens=200)
    open_caller = dossier(400)
    open_thread = reading(open_caller, site.entries["entry-2"].port)
    wait_for_tokens(open_caller, 10)
    site.processes["entry-2"].signal(signal.SIGTERM)
    wait_until(lambda: "event=entry_stopping" in site.log_of("entry-2"), "stopping")
    site.processes["entry-1"].kill()
    thread.join(10)
    open_thread.join(20)
    check(open_caller)
    wait_until(lambda: not site.processes["entry-2"].running, "entry-2 ends")
    assert "event=answer_adopted" not in site.log_of("entry-2")
    site.launch_entry("entry-3", **FAST)
    site.entry_listening("entry-3")
    site.until_ready_at("entry-3")
    check(reconnect_until_finished(caller, site.entries["entry-3"].port))


def test_an_entry_that_never_reached_the_store_can_be_stopped():
    with Site() as site:
        site.platform = Http(1)
        site.launch_entry("entry-1", **FAST)
        site.processes["entry-1"].listening()
        assert site.processes["entry-1"].end(10) == 0
        check_logs(site)


def test_answers_continue_through_a_store_outage_and_are_stored_after_it(site):
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


def test_an_answer_survives_an_engine_killed_during_a_store_outage(site):
    caller, thread = begun(site)
    site.platform.fault(outage=True)
    site.processes[busy_engine(site)].kill()
    thread.join(30)
    check(caller)


def test_another_teams_answer_is_not_found(site):
    caller, thread = begun(site, tokens=60)
    other_team_caller = dossier(60, team="wuse")
    other_team_caller.request_id = caller.request_id
    for name in ("entry-1", "entry-2"):
        assert other_team_caller.follow(site.entries[name].port).status == 404
    thread.join(20)
    check(caller)


def test_a_restarted_entry_adopts_the_answers_of_its_previous_incarnation(site):
    caller, thread = begun(site)
    for name in ("entry-2", "entry-3"):
        site.processes[name].kill()
    site.processes["entry-1"].kill()
    thread.join(10)
    site.launch_entry("entry-1", **FAST)
    site.entry_listening("entry-1")
    site.until_ready_at("entry-1")
    check(reconnect_until_finished(caller, site.entries["entry-1"].port))


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
    wait_until_stored(caller)
    other_caller = dossier(200)
    other_caller.request_id = caller.request_id
    other_caller.request["prompt"] = "second " * 10_000
    other_thread = reading(other_caller, site.entries["entry-2"].port)
    wait_for_tokens(other_caller, 1)
    site.processes[busy_engine(site)].kill()
    site.processes["entry-1"].kill()
    thread.join(10)
    check(reconnect_until_finished(caller, site.entries["entry-3"].port))
    other_thread.join(10)


def test_delivery_after_the_journal_never_restarts():
    with running_site(engines=3, entries=2, delivery="after_journal") as site:
        caller, thread = begun(site)
        site.processes[busy_engine(site)].kill()
        site.processes["entry-1"].kill()
        thread.join(10)
        check(reconnect_until_finished(caller, site.entries["entry-2"].port))
        assert "restart" not in caller.events
