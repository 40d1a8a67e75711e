"""Orders to endpoints under leases, with lease holders that are paused and resumed."""

import signal

import pytest

from standins.site import Site, sample_intent, wait_until
from tests.common.sites import FAST

ORDER_FAST = {**FAST, "order_ms": 300}


@pytest.fixture(params=["checks epochs", "does not check"])
def site(request):
    checks = ["--checks-epochs"] if request.param == "checks epochs" else []
    with Site() as running:
        running.start_platform()
        running.start_engines(2, *checks)
        running.start_entries(2, **ORDER_FAST)
        running.until_ready()
        running.checks_epochs = bool(checks)
        running.put_in_force(intent_of(running))
        running.until_serving()
        yield running


def intent_of(site):
    intent = sample_intent(list(site.engines), [])
    for endpoint in intent["endpoints"]:
        endpoint["checks_epochs"] = site.checks_epochs
    return intent


def confirm_version(site, version, entry):
    intent = intent_of(site)
    intent["models"][0]["serves"]["version"] = version
    intent["loads_per_minute"] = 60
    plan = site.entries[entry].ask("POST", "/operator/plans", intent)[1]
    path = f"/operator/plans/{plan['plan_id']}/confirm"
    assert site.entries[entry].ask("POST", path)[0] == 200


def loaded_versions(site):
    return [engine.get("/status")["models"][0][2] for engine in site.engines.values()]


def lease_holder(site):
    for name, entry in site.entries.items():
        if entry.get("/operator/status")["group_leases"]:
            return name
    return ""


def test_endpoints_load_the_configured_version(site):
    confirm_version(site, "2", "entry-1")
    wait_until(lambda: loaded_versions(site) == ["2", "2"], "both load version 2")


def test_a_resumed_holder_does_not_undo_its_successors_orders(site):
    first = wait_until(lambda: lease_holder(site), "somebody holds the lease")
    other = next(name for name in site.entries if name != first)
    site.processes[first].signal(signal.SIGSTOP)
    confirm_version(site, "2", other)
    wait_until(
        lambda: loaded_versions(site) == ["2", "2"], "the successor gives the orders"
    )
    epoch = site.entries[other].get("/operator/status")["group_leases"]["default"]
    assert epoch > 1
    site.processes[first].signal(signal.SIGCONT)
    wait_until(lambda: site.accepted(other), "the sleeper applies the revision")
    wait_until(lambda: loaded_versions(site) == ["2", "2"], "it stands")
