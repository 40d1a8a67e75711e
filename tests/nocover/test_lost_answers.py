"""Engines that leave while answers are lost or the platform fails in series."""

import signal
import time

import pytest

from standins.site import Http, Site, sample_intent, wait_until
from tests.common.sites import FAST, GAP_MS, check_logs, dossier

# "A leaving endpoint receives no new work after a few seconds."
_A_FEW_S = 3.0
_LOOK_S = 0.02


class Link:
    """A link of its own to a port; what is open over it can lose its answers."""

    def __init__(self, site: Site, name: str, port: int) -> None:
        link = site.start(name, "standins.faulty_links", "1", str(port))
        control, self.port = link.listening()
        self._control = Http(control)

    def lose_answers(self) -> None:
        self._control.ask("POST", "/links/0", {"silence": True})


@pytest.fixture(scope="module")
def site():
    """One entry, with links to the platform and to two engines; a test has its own."""
    with Site() as running:
        running.start_platform()
        running.start_engines(8, "--gap-ms", str(GAP_MS), "--prefill-ms", "5")
        running.to_platform = Link(running, "to-platform", running.platform.port)
        running.links["entry-1"] = running.to_platform.port
        running.to_engines = {}
        for name in ("engine-1", "engine-2"):
            link = Link(running, f"to-{name}", running.engines[name].port)
            running.to_engines[name] = link
            line = {"instance_id": name, "address": f"127.0.0.1:{link.port}"}
            running.platform.ask("POST", "/control/instances", [line])
        running.start_entries(1, **FAST)
        running.until_ready()
        running.put_in_force(sample_intent(list(running.engines), []))
        running.until_serving()
        yield running
        check_logs(running)


def takes_work(site: Site, endpoint: str) -> bool:
    endpoints = site.entries["entry-1"].get("/operator/endpoints")["endpoints"]
    return any(e["takes_new_work"] for e in endpoints if e["endpoint_id"] == endpoint)


def takes_work_for(site: Site, endpoint: str, for_s: float) -> list[bool]:
    """Look again and again whether an endpoint takes new work."""
    seen, end_s = [], time.monotonic() + for_s
    while time.monotonic() < end_s:
        seen.append(takes_work(site, endpoint))
        time.sleep(_LOOK_S)
    return seen


def wait_until_unused(site: Site, endpoint: str) -> None:
    what = f"{endpoint} takes no new work"
    wait_until(lambda: not takes_work(site, endpoint), what, _A_FEW_S)


def test_an_engine_whose_answers_were_lost_stays_in_use(site):
    site.to_engines["engine-2"].lose_answers()
    assert all(takes_work_for(site, "engine-2", 4.0))


def test_a_leaving_is_known_though_the_engines_answers_are_lost(site):
    site.to_engines["engine-1"].lose_answers()
    site.engines["engine-1"].fault(leaving=True)
    wait_until_unused(site, "engine-1")
    assert not any(takes_work_for(site, "engine-1", 2.0))


def test_a_leaving_is_read_from_the_list_though_answers_of_the_platform_are_lost(site):
    site.to_platform.lose_answers()
    site.mark_leaving("engine-3")
    wait_until_unused(site, "engine-3")


def test_an_engines_own_word_counts_though_answers_of_the_platform_are_lost(site):
    site.to_platform.lose_answers()
    site.engines["engine-4"].fault(leaving=True)
    wait_until_unused(site, "engine-4")


def test_an_older_list_gives_no_work_to_an_engine_that_said_it_leaves(site):
    site.engines["engine-5"].fault(leaving=True)
    wait_until_unused(site, "engine-5")
    site.engines["engine-5"].fault(leaving=False)
    site.mark_leaving("engine-5")
    time.sleep(2 * FAST["list_ms"] / 1000)
    site.mark_leaving("engine-5", leaving=False)
    assert not any(takes_work_for(site, "engine-5", 1.0))


def test_an_engine_whose_registration_lapsed_is_used_once_it_is_listed_again(site):
    gone = {"instance_id": "engine-6", "gone": True}
    site.platform.ask("POST", "/control/instances", [gone])
    wait_until_unused(site, "engine-6")
    address = f"127.0.0.1:{site.engines['engine-6'].port}"
    site.list_instance("engine-6", "engine", "yaba", address)
    wait_until(lambda: takes_work(site, "engine-6"), "it is used again", _A_FEW_S)
    assert dossier(3).post(site.entries["entry-1"].port).whole


def fail_in_series(site: Site) -> None:
    """Short outages of the platform, one after the other."""
    for _ in range(3):
        site.platform.fault(outage=True)
        time.sleep(0.5)
        site.platform.fault(outage=False)
        time.sleep(0.3)


def test_outages_in_series_keep_no_engine_in_use_that_left_unmarked(site):
    site.platform.fault(outage=True)
    gone = {"instance_id": "engine-7", "gone": True}
    site.platform.ask("POST", "/control/instances", [gone])
    removed_s = time.monotonic()
    fail_in_series(site)
    assert time.monotonic() - removed_s < _A_FEW_S
    assert not any(takes_work_for(site, "engine-7", 0.5))


def test_outages_in_series_renew_no_evidence_of_an_engine_that_says_nothing(site):
    engine = site.processes["engine-8"]
    engine.signal(signal.SIGSTOP)
    try:
        time.sleep(FAST["evidence_ms"] / 1000 + 0.2)
        fail_in_series(site)
        assert not any(takes_work_for(site, "engine-8", 0.5))
    finally:
        engine.signal(signal.SIGCONT)
    wait_until(lambda: takes_work(site, "engine-8"), "it is used again", _A_FEW_S)
