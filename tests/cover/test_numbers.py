"""Numbers in text from other programs are read, or refused, whatever their length."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.forwarding import StorePosition, event_number
from coursekeel.gateway.relay._relay_wire import (
    _TRIES_HEADER,
    RELAY_HEADER,
    BadRelayTerms,
    read_terms,
)
from coursekeel.group import MemberState, News
from coursekeel.group._members import Members
from coursekeel.numbers import MAX_INT64, parse_port, parse_whole, saturating_whole

# Python's `int` refuses to convert more than 4,300 digits.
LONG = "9" * 5_000


@given(st.integers(0, MAX_INT64), st.integers(0, 5_000))
def test_a_whole_number_is_read_with_any_number_of_zeros_before_it(number, zeros):
    text = "0" * zeros + str(number)
    assert parse_whole(text) == parse_whole(text.encode()) == number


@given(st.text() | st.binary(), st.integers(0, MAX_INT64))
def test_any_text_gives_a_number_in_bounds_or_none(text, most):
    for number in (parse_whole(text, most), saturating_whole(text, most)):
        assert number is None or 0 <= number <= most


@pytest.mark.parametrize(
    "text", ["", "-1", "+1", "1_0", " 1", "1\n", "1.0", "1e3", "٣"]
)
def test_text_that_is_no_plain_number_is_refused(text):
    assert parse_whole(text) is None
    assert saturating_whole(text) is None


def test_a_number_above_the_bound_is_refused_or_saturates():
    for text in (str(MAX_INT64 + 1), LONG):
        assert parse_whole(text) is None
        assert saturating_whole(text) == MAX_INT64
        assert saturating_whole(text, 100) == 100


@pytest.mark.parametrize(
    ("text", "port"),
    [("1", 1), ("65535", 65_535), ("0", None), ("65536", None), (LONG, None)],
)
def test_a_port_is_one_that_can_be_connected_to(text, port):
    assert parse_port(text) == port


@pytest.mark.parametrize("digits", [LONG, "1" + "0" * 5_000])
def test_long_numbers_of_peers_are_refused_by_each_reader(digits):
    """Guards against `ValueError` where a reader's own error is expected."""
    assert event_number(f"id: {digits}\ndata: x\n\n".encode()) is None
    terms = [(RELAY_HEADER, b"g"), (_TRIES_HEADER, digits.encode())]
    assert isinstance(read_terms(terms), BadRelayTerms)
    with pytest.raises(ValueError, match=r"expected ERA\.VERSION"):
        StorePosition.parse(f"{digits}.1")
    members = Members(lambda _: None, lambda _: None)
    members.apply(News(f"127.0.0.1:{digits}", "z", 1, MemberState.ALIVE), 0.0)
    assert not members.alive()
