"""Intents, plans and confirmations among entries that start, pause and crash."""

import copy
import signal
import threading

import pytest

from standins.site import Site, sample_intent, wait_until
from tests.common.sites import FAST, dossier, running_site


@pytest.fixture
def site():
    with running_site(engines=2, entries=3) as running:
        yield running


def intent_of(site, loads=7):
    intent = sample_intent(list(site.engines), [])
    return {**intent, "loads_per_minute": loads}


def plan(site, entry="entry-1", **changes):
    status, body = site.entries[entry].ask(
        "POST", "/operator/plans", intent_of(site, **changes)
    )
    assert status == 200, body
    return body["plan_id"]


def confirm(site, plan_id, entry="entry-1", body=None):
    path = f"/operator/plans/{plan_id}/confirm"
    return site.entries[entry].ask("POST", path, body)


def applied_revision(site, name):
    return site.entries[name].get("/operator/status")["applied_revision"]


def rollout_status(site, entry="entry-1"):
    return site.entries[entry].get("/operator/intent")


def test_accepted_means_in_force_while_the_list_lags():
    with Site() as site:
        site.start_platform("--lag-ms", "4000")
        site.start_engines(1)
        site.start_entries(3, **FAST)
        site.until_ready()
        site.put_in_force(sample_intent(list(site.engines), []))
        assert [applied_revision(site, name) for name in site.entries] == [1, 1, 1]


def test_a_paused_entry_delays_the_rollout_and_is_named(site):
    site.processes["entry-3"].signal(signal.SIGSTOP)
    assert confirm(site, plan(site))[0] == 200
    wait_until(lambda: rollout_status(site)["waiting_for"] == ["entry-3"], "named")
    assert rollout_status(site)["state"] == "committed"
    site.processes["entry-3"].signal(signal.SIGCONT)
    wait_until(lambda: site.accepted("entry-1"), "accepted")
    assert applied_revision(site, "entry-3") == 2


def test_a_pending_rollout_says_what_is_known_of_the_entry_it_waits_for(site):
    site.processes["entry-3"].signal(signal.SIGSTOP)
    assert confirm(site, plan(site))[0] == 200
    wait_until(lambda: rollout_status(site)["waiting_for"] == ["entry-3"], "named")
    [waiting] = rollout_status(site)["waiting"]
    assert (waiting["instance_id"], waiting["applied_revision"]) == ("entry-3", 1)
    assert waiting["address"].startswith("127.0.0.1:")
    assert not waiting["refused_connection"]
    assert "event=plan_pending" in site.log_of("entry-1")
    site.processes["entry-3"].signal(signal.SIGCONT)
    wait_until(lambda: site.accepted("entry-1"), "accepted")
    assert rollout_status(site)["waiting"] == []


def test_a_superseded_revision_is_not_accepted_before_the_newer_one(site):
    """An entry without the newer revision may lack the older one too."""
    site.processes["entry-3"].signal(signal.SIGSTOP)
    first = plan(site, loads=5)
    assert confirm(site, first)[0] == 200
    assert confirm(site, plan(site, loads=6))[0] == 200
    status, body = confirm(site, first)
    assert (status, body["revision"], body["state"]) == (200, 2, "committed")
    site.processes["entry-3"].signal(signal.SIGCONT)
    wait_until(lambda: confirm(site, first)[1]["state"] == "accepted", "accepted")


def test_a_rollout_does_not_wait_for_a_known_stopped_entry(site):
    site.processes["entry-3"].signal(signal.SIGSTOP)
    body = {"known_stopped": ["entry-3"]}
    assert confirm(site, plan(site), body=body)[0] == 200
    wait_until(lambda: site.accepted("entry-1"), "accepted")


def test_a_killed_entry_does_not_delay_a_rollout(site):
    site.processes["entry-3"].kill()
    assert confirm(site, plan(site))[0] == 200
    wait_until(lambda: site.accepted("entry-1"), "accepted")


def test_a_stale_plan_is_refused_with_the_changes(site):
    stale_plan = plan(site, loads=5)
    assert confirm(site, plan(site, "entry-2", loads=4), "entry-2")[0] == 200
    status, body = confirm(site, stale_plan)
    assert status == 409
    assert body["error"]["code"] == "stale_plan"
    assert body["in_force"] == 2


def test_of_two_concurrent_confirms_one_wins(site):
    plans = [plan(site, "entry-1", loads=2), plan(site, "entry-2", loads=3)]
    answers = []
    threads = [
        threading.Thread(target=lambda p=p, e=e: answers.append(confirm(site, p, e)))
        for p, e in zip(plans, ("entry-1", "entry-2"), strict=True)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(status for status, _ in answers) == [200, 409]


def test_confirming_a_plan_is_idempotent(site):
    plan_id = plan(site)
    assert confirm(site, plan_id)[1]["revision"] == 2
    assert confirm(site, plan_id, "entry-3")[1]["revision"] == 2


def test_a_confirm_whose_store_reply_was_lost_is_resolved_by_a_retry(site):
    plan_id = plan(site)
    for _ in range(3):
        site.platform.fault(lose_answers=1)
        status, body = confirm(site, plan_id)
        site.platform.fault(lose_answers=0)
        if status == 200:
            break
        assert body["error"]["run"] == "unknown"
    assert confirm(site, plan_id)[1]["revision"] == 2


def test_no_revision_reverts_when_all_entries_restart_at_once(site):
    confirm(site, plan(site))
    wait_until(lambda: site.accepted("entry-1"), "accepted")
    names = list(site.entries)
    for name in names:
        site.processes[name].kill()
    for name in names:
        site.launch_entry(name, **FAST)
    for name in names:
        site.entry_listening(name)
    site.until_ready()
    assert [applied_revision(site, name) for name in names] == [2, 2, 2]


def test_an_entry_that_starts_in_a_store_outage_reads_from_peers(site):
    confirm(site, plan(site))
    wait_until(lambda: site.accepted("entry-1"), "accepted")
    site.platform.fault(store_down=True)
    site.processes["entry-3"].kill()
    site.launch_entry("entry-3", **FAST)
    site.entry_listening("entry-3")
    site.until_ready_at("entry-3")
    assert applied_revision(site, "entry-3") == 2
    assert dossier(10).post(site.entries["entry-3"].port).whole


INVALID_INTENTS = [
    (lambda i: i["endpoints"].append({"endpoint_id": "nobody"}), "endpoints[2]"),
    (lambda i: i["teams"][0].update(models=["nothing"]), "teams[0].models"),
    (lambda i: i["teams"][0].update(open_answers_limit=0), "open_answers_limit"),
    (lambda i: i["endpoints"].clear(), "would lose its last endpoint"),
    (lambda i: i.update(load_per_minute=3), "unknown key load_per_minute"),
    (lambda i: i["classes"][2].update(silence_ms=0), "silence_ms"),
]


def test_invalid_intents_are_refused_with_the_path(site):
    for make_invalid, expected_text in INVALID_INTENTS:
        intent = copy.deepcopy(intent_of(site))
        make_invalid(intent)
        status, body = site.entries["entry-1"].ask("POST", "/operator/plans", intent)
        assert status == 400
        assert expected_text in body["error"]["message"], body
    assert rollout_status(site)["revision"] == 1


def test_a_resumed_entry_sends_no_work_by_its_old_configuration(site):
    paused = site.processes["entry-3"]
    paused.signal(signal.SIGSTOP)
    intent = intent_of(site)
    removed = intent["endpoints"].pop()["endpoint_id"]
    new_plan = site.entries["entry-1"].ask("POST", "/operator/plans", intent)[1]
    body = {"known_stopped": ["entry-3"]}
    assert confirm(site, new_plan["plan_id"], body=body)[0] == 200
    wait_until(lambda: site.accepted("entry-1"), "accepted")
    runs = site.engines[removed].get("/status")["counters"]["runs"]
    wait_until(lambda: _lease_is_gone(site, "entry-3"), "its lease lapsed")
    paused.signal(signal.SIGCONT)
    for _ in range(5):
        assert dossier(3).post(site.entries["entry-3"].port).whole
    assert site.engines[removed].get("/status")["counters"]["runs"] == runs


def _lease_is_gone(site, name):
    return f"leases/entry/{name}" not in site.platform.get("/control/state")["rows"]


def test_an_endpoint_listed_as_leaving_gets_no_new_work(site):
    site.mark_leaving("engine-1")
    for name in site.entries:
        wait_until(lambda n=name: not _takes_work(site, n), "marked")
    runs = site.engines["engine-1"].get("/status")["counters"]["runs"]
    for name in site.entries:
        assert dossier(3).post(site.entries[name].port).whole
    assert site.engines["engine-1"].get("/status")["counters"]["runs"] == runs


def _takes_work(site, entry, endpoint="engine-1"):
    endpoints = site.entries[entry].get("/operator/endpoints")["endpoints"]
    return next(e for e in endpoints if e["endpoint_id"] == endpoint)["takes_new_work"]
