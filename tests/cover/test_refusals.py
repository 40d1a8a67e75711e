"""The `Retry-After` of refusals."""

from random import Random

import pytest

from coursekeel.gateway.admission._refusals import NOT_READY_RETRY_MS, refusal_retry_ms


@pytest.mark.parametrize("code", ["no_configuration", "no_endpoint"])
def test_an_outage_for_all_instances_spreads_a_long_retry_after(code):
    """Retries within half a second would all fail during an outage of seconds."""
    waits_ms = [refusal_retry_ms(code, 50, 25_000, Random(seed)) for seed in range(50)]
    assert min(waits_ms) >= 1_800
    assert max(waits_ms) <= 3_200
    assert len(set(waits_ms)) > 40, "spread at random"


def test_a_caller_with_little_time_gets_a_short_retry_after():
    assert refusal_retry_ms("no_endpoint", 50, 1_000, Random(1)) == NOT_READY_RETRY_MS
    assert refusal_retry_ms("no_endpoint", 50, None, Random(1)) == NOT_READY_RETRY_MS


def test_the_usual_retry_after_stays_if_another_instance_can_serve():
    assert refusal_retry_ms("stopping", 50, 25_000, Random(1)) == 50
    assert refusal_retry_ms("belief_old", 50, 25_000, Random(1)) == 50
