"""One entry is partitioned from the store, but not from callers and peers."""

import pytest

from standins.site import Site, sample_intent, wait_until
from tests.common.sites import (
    FAST,
    GAP_MS,
    check_logs,
    dossier,
    reading,
    reconnect_until_finished,
    wait_for_tokens,
    wait_until_stored,
)


@pytest.fixture
def site():
    with Site() as running:
        running.start_platform()
        running.start_engines(3, "--gap-ms", str(GAP_MS), "--prefill-ms", "5")
        running.link = running.start_link("entry-1")
        running.start_entries(3, **FAST)
        running.until_ready()
        running.put_in_force(sample_intent(list(running.engines), []), "entry-2")
        running.until_serving()
        yield running
        check_logs(running)


def lease_has_lapsed(site):
    rows = site.platform.get("/control/state")["rows"]
    return "leases/entry/entry-1" not in rows


def test_owner_and_adopter_each_serve_one_complete_answer(site):
    caller = dossier(500)
    thread = reading(caller, site.entries["entry-1"].port)
    wait_until_stored(caller)
    wait_for_tokens(caller, 20)
    site.link.fault(swallows=True)
    wait_until(lambda: lease_has_lapsed(site), "its lease lapsed")
    second_caller = dossier(500)
    second_caller.request, second_caller.request_id = caller.request, caller.request_id
    second_thread = reading(second_caller, site.entries["entry-2"].port, follow=True)
    wait_for_tokens(second_caller, 50)
    site.link.fault(swallows=False)
    thread.join(30)
    second_thread.join(30)
    if not second_caller.finished:
        reconnect_until_finished(second_caller, site.entries["entry-2"].port)
    assert second_caller.whole, (
        second_caller.error,
        second_caller.events,
        len(second_caller.tokens),
    )
    if not caller.finished:
        reconnect_until_finished(caller, site.entries["entry-1"].port)
    assert caller.whole, (caller.error, caller.events, len(caller.tokens))
    assert caller.tokens == second_caller.tokens or "moved" not in caller.events


def test_an_entry_partitioned_before_it_lists_its_peers_gets_a_change():
    """It can reach its peers only by what their greetings say."""
    with Site() as site:
        site.start_platform()
        site.start_engines(3)
        link = site.start_link("entry-1")
        site.start_entries(1, **FAST)
        site.until_ready()
        site.put_in_force(sample_intent(list(site.engines), []))
        link.fault(swallows=True)
        for name in ("entry-2", "entry-3"):
            site.launch_entry(name, **FAST)
            site.entry_listening(name)
            site.until_ready_at(name)
        wait_until(lambda: lease_has_lapsed(site), "its lease lapsed")
        intent = {**sample_intent(list(site.engines), []), "loads_per_minute": 9}
        site.put_in_force(intent, "entry-2")
        status = site.entries["entry-1"].get("/operator/status")
        assert status["store_out"]
        assert status["peers_without_address"] == []
        assert not status["isolated"]
        check_logs(site)


def test_a_partitioned_entry_gets_a_change_from_its_peers(site):
    site.link.fault(swallows=True)
    wait_until(lambda: lease_has_lapsed(site), "its lease lapsed")
    intent = {**sample_intent(list(site.engines), []), "loads_per_minute": 9}
    site.put_in_force(intent, "entry-2")
    status = site.entries["entry-1"].get("/operator/status")
    assert status["applied_revision"] == 2
    assert status["store_out"]
    site.link.fault(swallows=False)
    wait_until(
        lambda: not site.entries["entry-1"].get("/operator/status")["store_out"],
        "it is back",
    )
