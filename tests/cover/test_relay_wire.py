"""What members say to each other about a relayed request, and malformed forms of it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.fetch import ExchangeHead
from coursekeel.gateway.relay._relay_wire import (
    BadRelayTerms,
    RelayTerms,
    read_refusal,
    read_terms,
    terms_headers,
    without_relay_headers,
)

HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            [b"coursekeel-relay", b"coursekeel-relay-tries", b"host", b"x"]
        ),
        st.binary(max_size=20),
    )
)


@given(st.integers(1, 100))
def test_terms_are_read_as_they_were_written(tries):
    terms = RelayTerms("10.200.1.7:8742", tries)
    assert read_terms([(b"host", b"a"), *terms_headers(terms)]) == terms


@given(HEADERS)
def test_any_headers_give_terms_or_a_fault(headers):
    terms = read_terms(headers)
    assert isinstance(terms, BadRelayTerms) or 1 <= terms.tries <= 100


@pytest.mark.parametrize("tries", [b"", b"0", b"-1", b"101", b"2.5", b"9" * 400])
def test_a_number_of_tries_that_cannot_be_read_is_a_fault(tries):
    headers = [(b"coursekeel-relay", b"g"), (b"coursekeel-relay-tries", tries)]
    fault = read_terms(headers)
    assert isinstance(fault, BadRelayTerms)
    assert "tries" in fault.fault and len(fault.fault) < 200


def test_doubled_terms_are_a_fault():
    headers = [*terms_headers(RelayTerms("g", 1)), (b"coursekeel-relay", b"g")]
    assert isinstance(read_terms(headers), BadRelayTerms)


def test_endpoints_and_callers_see_no_header_of_a_relay():
    own = [(b"host", b"a"), (b"accept", b"b")]
    headers = [*own, *terms_headers(RelayTerms("g", 1)), (b"coursekeel-refusal", b"x")]
    assert without_relay_headers(headers) == own


@pytest.mark.parametrize(
    ("value", "expected_ms"),
    [(b"0.25", 250.0), (b"", 0.0), (b"soon", 0.0), (b"-1", 0.0), (b"1e999", 0.0)],
)
def test_a_refusal_has_the_wait_that_the_member_named(value, expected_ms):
    headers = [(b"coursekeel-refusal", b"too_late"), (b"retry-after", value)]
    refusal = read_refusal(ExchangeHead(503, headers))
    assert refusal is not None
    assert (refusal.status, refusal.code) == (503, "too_late")
    assert refusal.retry_after_ms == expected_ms


def test_an_endpoints_answer_is_no_refusal():
    assert read_refusal(ExchangeHead(503, [(b"retry-after", b"1")])) is None
