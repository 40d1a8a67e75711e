"""Whole answers that are slow are given up only for a retry."""

import pytest

from tests.platform.site import running_gateway

# The route's timeout is 4 s and its limit on a first try 2 s.
SLOW_MS = 2_500


@pytest.fixture(scope="module")
def site():
    with running_gateway() as running:
        running.plain_faults(delay_ms=SLOW_MS)
        yield running


def test_a_slow_answer_is_waited_for_while_no_retry_is_left(site):
    """The try was aborted at its limit, and the request failed with time left."""
    ports = site.start_gateway("g2", retries={"ratio": 0.0, "slack": 0})
    answer = site.ask("/again/slow", request_id="slow-1", port=ports[0])
    assert (answer.status, answer.whole) == (200, True)
    assert len(site.ran("slow-1")) == 1


def test_a_slow_answer_is_given_up_for_a_retry(site):
    site.ask("/again/slow", request_id="slow-2")
    assert len(site.ran("slow-2")) == 2
