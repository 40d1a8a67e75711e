"""One entry is cut off from the store while callers and peers still reach it."""

import pytest

from standins.site import Site, sample_intent, wait_until
from tests.common.sites import (
    FAST,
    GAP_MS,
    check_logs,
    comes_back,
    dossier,
    reading,
    until_holding,
    until_stored,
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


def lease_is_gone(site):
    rows = site.platform.get("/control/state")["rows"]
    return "leases/entry/entry-1" not in rows


def test_owner_and_adopter_each_give_one_whole_answer(site):
    caller = dossier(500)
    thread = reading(caller, site.entries["entry-1"].port)
    until_stored(caller)
    until_holding(caller, 20)
    site.link.fault(swallows=True)
    wait_until(lambda: lease_is_gone(site), "its lease lapsed")
    other = dossier(500)
    other.request, other.request_id = caller.request, caller.request_id
    other_thread = reading(other, site.entries["entry-2"].port, follow=True)
    until_holding(other, 50)
    site.link.fault(swallows=False)
    thread.join(30)
    other_thread.join(30)
    if not other.finished:
        comes_back(other, site.entries["entry-2"].port)
    assert other.whole, (other.error, other.events, len(other.tokens))
    if not caller.finished:
        comes_back(caller, site.entries["entry-1"].port)
    assert caller.whole, (caller.error, caller.events, len(caller.tokens))
    assert caller.tokens == other.tokens or "moved" not in caller.events


def test_a_change_reaches_the_cut_off_entry_through_its_peers(site):
    site.link.fault(swallows=True)
    wait_until(lambda: lease_is_gone(site), "its lease lapsed")
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
