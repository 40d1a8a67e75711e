"""Non-repeatable calls to a plain service, over real sockets."""

import threading
import time

import pytest

from standins.site import wait_until
from tests.common.sites import running_site

PATH = "/services/booking/confirmations/7"


@pytest.fixture(scope="module")
def site():
    with running_site(engines=1, services=1, entries=2) as running:
        for entry in running.entries.values():
            entry.key = "ikeja-key"
        yield running


@pytest.fixture
def service(site):
    return site.services["booking-1"]


def confirm(site, entry, key, body=b"{}"):
    headers = {"idempotency-key": key} if key else {}
    return site.entries[entry].ask("POST", PATH, body, headers=headers)


def confirm_until_ended(site, entry, key):
    """Repeat a call at another entry while that entry replies that it is in progress.

    A result is returned before it is recorded, so for some milliseconds other entries
    still find the claim running.
    """
    deadline_s = time.monotonic() + 10
    while True:
        status, body = confirm(site, entry, key)
        if status != 409 or body["error"]["code"] != "in_progress":
            return status, body
        assert body["error"]["run"] == "unknown"
        assert body["error"]["retry_after_ms"] > 0
        assert time.monotonic() < deadline_s, "the call is never known to have ended"
        threading.Event().wait(body["error"]["retry_after_ms"] / 1000)


def ran(service, key):
    return service.get("/control/ran").get(key, 0)


def test_a_repeated_key_returns_the_first_calls_result(site, service):
    first = confirm(site, "entry-1", "k-1")
    second = confirm_until_ended(site, "entry-2", "k-1")
    assert first[0] == 200
    assert first == second
    assert ran(service, "k-1") == 1


def test_a_repeated_key_during_the_first_call_is_refused_until_it_ends(site, service):
    service.fault(delay_ms=800)
    answers = []
    first = threading.Thread(
        target=lambda: answers.append(confirm(site, "entry-1", "k-7"))
    )
    first.start()
    wait_until(lambda: ran(service, "k-7"), "the first call has reached the service")
    status, body = confirm(site, "entry-2", "k-7")
    assert (status, body["error"]["code"]) == (409, "in_progress")
    second = confirm_until_ended(site, "entry-2", "k-7")
    first.join()
    service.fault(delay_ms=0)
    assert answers == [second]
    assert second[0] == 200
    assert ran(service, "k-7") == 1


def test_a_call_sent_to_two_entries_at_once_runs_once(site, service):
    service.fault(delay_ms=100)
    answers = []
    threads = [
        threading.Thread(target=lambda e=e: answers.append(confirm(site, e, "k-2")))
        for e in ("entry-1", "entry-2", "entry-1", "entry-2")
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    service.fault(delay_ms=0)
    assert ran(service, "k-2") == 1
    assert {status for status, _ in answers} <= {200, 409}
    for status, body in answers:
        assert status == 200 or body["error"]["run"] == "unknown"


def test_a_call_with_a_lost_response_is_unknown_and_never_repeated(site, service):
    service.fault(lose_answers=1)
    status, body = confirm(site, "entry-1", "k-3")
    assert (status, body["error"]["run"]) == (502, "unknown")
    status, body = confirm_until_ended(site, "entry-2", "k-3")
    assert (status, body["error"]["run"]) == (502, "unknown")
    assert ran(service, "k-3") == 1


def test_a_key_used_for_another_call_is_refused(site, service):
    assert confirm(site, "entry-1", "k-4")[0] == 200
    status, body = confirm(site, "entry-1", "k-4", b'{"other":1}')
    assert (status, body["error"]["code"]) == (422, "key_reused")


def test_without_the_store_a_keyed_call_is_refused_at_once(site, service):
    site.platform.fault(outage=True)
    status, body = confirm(site, "entry-1", "k-5")
    site.platform.fault(outage=False)
    assert status == 503
    assert body["error"]["run"] == "unknown"
    assert body["error"]["retry_after_ms"] > 0
    assert ran(service, "k-5") == 0


def test_a_claim_whose_write_response_was_lost_is_read_back_and_runs_once(
    site, service
):
    site.platform.fault(lose_answers=1)
    confirm(site, "entry-1", "k-6")
    site.platform.fault(lose_answers=0)
    assert confirm(site, "entry-2", "k-6")[0] in (200, 409)
    assert ran(service, "k-6") <= 1


def test_a_safe_method_needs_no_store(site):
    site.platform.fault(outage=True)
    status, _ = site.entries["entry-1"].ask("GET", "/services/booking/slots/3")
    site.platform.fault(outage=False)
    assert status == 200


def test_a_refusal_is_final(site, service):
    """Runs last because it kills the service."""
    site.processes["booking-1"].kill()
    status, body = confirm(site, "entry-1", "k-9")
    assert (status, body["error"]["run"]) == (503, "not_run")
    status, body = confirm(site, "entry-2", "k-9")
    assert (status, body["error"]["code"]) == (409, "refused_before")
    assert body["error"]["run"] == "not_run"
