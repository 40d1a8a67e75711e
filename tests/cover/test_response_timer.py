"""How late a response of the store may be."""

from hypothesis import given
from hypothesis import strategies as st

from coursekeel.gateway.site._response_timer import ResponseTimer


def test_a_store_that_responds_soon_is_given_up_soon():
    timer = ResponseTimer(200, 600)
    for _ in range(9):
        timer.responded(5)
    assert timer.limit_ms == 200


def test_responses_that_are_late_as_usual_are_waited_for():
    timer = ResponseTimer(200, 600)
    for _ in range(9):
        timer.responded(350)
    assert 350 < timer.limit_ms <= 600


def test_the_limit_doubles_until_a_response_comes():
    timer = ResponseTimer(200, 600)
    limits_ms = []
    for _ in range(3):
        timer.lost()
        limits_ms.append(timer.limit_ms)
    assert limits_ms == [400, 600, 600]
    timer.responded(5)
    assert timer.limit_ms == 200


@given(st.lists(st.one_of(st.none(), st.floats(0, 1e6))))
def test_the_limit_stays_within_its_bounds(delays_ms):
    timer = ResponseTimer(200, 600)
    for delay_ms in delays_ms:
        timer.lost() if delay_ms is None else timer.responded(delay_ms)
        assert 200 <= timer.limit_ms <= 600
