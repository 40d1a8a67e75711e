"""What a refused caller is told of when to come back."""

from random import Random

import pytest

from coursekeel.gateway.admission._refusals import NOT_YET_RETRY_MS, refusal_retry_ms


@pytest.mark.parametrize("code", ["no_configuration", "no_endpoint"])
def test_in_an_outage_for_all_a_caller_with_time_comes_back_later(code):
    """Two tries within half a second are both over while an outage lasts seconds."""
    told = [refusal_retry_ms(code, 50, 25_000, Random(n)) for n in range(50)]
    assert min(told) >= 1_800
    assert max(told) <= 3_200
    assert len(set(told)) > 40, "not all at once"


def test_a_caller_without_time_comes_back_while_it_still_waits():
    assert refusal_retry_ms("no_endpoint", 50, 1_000, Random(1)) == NOT_YET_RETRY_MS
    assert refusal_retry_ms("no_endpoint", 50, None, Random(1)) == NOT_YET_RETRY_MS


def test_where_another_instance_can_serve_the_usual_time_stays():
    assert refusal_retry_ms("stopping", 50, 25_000, Random(1)) == 50
    assert refusal_retry_ms("belief_old", 50, 25_000, Random(1)) == 50
