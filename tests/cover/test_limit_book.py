"""Which limit of an endpoint is believed, and for how long."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.limits import (
    LimitBook,
    LimitEventKind,
    LimitNews,
    NamedLimit,
    NoLimitNamed,
    UnreadableLimit,
    UnreadableLimitMessage,
    decode_limit,
    decode_limit_message,
)

NOT_NAMED = NoLimitNamed()


@pytest.fixture
def book():
    """A book with a limit of 2 a second, named at 1,000 ms."""
    book = LimitBook()
    book.answered("e", NamedLimit(2.0), sent_ms=900, now_ms=1_000)
    return book


def test_a_limit_is_in_force_from_the_first_answer_that_names_it(book):
    assert book.per_s("e") == 2.0
    assert [event.kind for event in book.events] == [LimitEventKind.NAMED]


def test_a_late_answer_to_an_earlier_request_does_not_end_a_limit(book):
    for number in range(10):
        book.answered("e", NOT_NAMED, sent_ms=1_000, now_ms=5_000 + number)
    assert book.per_s("e") == 2.0


def test_an_answer_to_a_later_request_ends_a_limit_not_named_lately(book):
    book.answered("e", NOT_NAMED, sent_ms=2_100, now_ms=2_200)
    assert book.per_s("e") is None
    assert book.events[-1].kind is LimitEventKind.ENDED


def test_three_answers_in_a_row_end_a_limit_at_once(book):
    for number in range(3):
        assert book.per_s("e") == 2.0
        book.answered("e", NOT_NAMED, sent_ms=1_010 + number, now_ms=1_100 + number)
    assert book.per_s("e") is None


def test_a_limit_named_by_every_second_answer_stays(book):
    for now_ms in range(1_200, 20_000, 400):
        book.answered("e", NOT_NAMED, sent_ms=now_ms - 100, now_ms=now_ms)
        assert book.per_s("e") == 2.0
        book.answered("e", NamedLimit(2.0), now_ms + 100, now_ms + 200)


def test_of_answers_that_may_have_overtaken_each_other_the_lower_limit_counts(book):
    book.answered("e", NamedLimit(9.0), sent_ms=950, now_ms=1_010)
    assert book.per_s("e") == 2.0
    book.answered("e", NamedLimit(1.0), sent_ms=950, now_ms=1_020)
    assert book.per_s("e") == 1.0
    book.answered("e", NamedLimit(9.0), sent_ms=1_030, now_ms=1_040)
    assert book.per_s("e") == 9.0


def test_an_unreadable_limit_changes_nothing_and_is_counted(book):
    for number in range(5):
        word = UnreadableLimit("limit: got b'abc'")
        book.answered("e", word, 2_000 + number, 3_000 + number)
        book.answered("other", word, 2_000 + number, 3_000 + number)
    assert (book.per_s("e"), book.per_s("other")) == (2.0, None)
    assert book.unreadable == 10


def test_news_of_a_member_count_if_they_are_later(book):
    book.told(LimitNews("e", 5.0, age_ms=600), "m2", now_ms=1_500)
    assert book.per_s("e") == 2.0
    book.told(LimitNews("e", 5.0, age_ms=100), "m2", now_ms=1_500)
    assert book.per_s("e") == 5.0
    book.told(LimitNews("e", None, age_ms=0), "m2", now_ms=1_600)
    assert book.per_s("e") is None


def test_old_news_do_not_bring_an_ended_limit_back(book):
    book.answered("e", NOT_NAMED, sent_ms=2_100, now_ms=2_200)
    book.told(LimitNews("e", 2.0, age_ms=300), "m2", now_ms=2_400)
    assert book.per_s("e") is None
    book.told(LimitNews("e", 2.0, age_ms=100), "m2", now_ms=2_400)
    assert book.per_s("e") == 2.0


@pytest.mark.parametrize(
    ("value", "per_s"),
    [(b"2.1", 2.1), (b"4", 4.0), (b"0.05", 0.05), (b"0012", 12.0)],
)
def test_decimal_numbers_above_zero_are_limits(value, per_s):
    assert decode_limit([value]) == NamedLimit(per_s)


@pytest.mark.parametrize(
    "values",
    [
        [b""],
        [b"abc"],
        [b"-1"],
        [b"0"],
        [b"0.0"],
        [b"nan"],
        [b"inf"],
        [b"1e999"],
        [b"1e3"],
        [b"2.1, 4.2"],
        [b"2.1", b"2.1"],
        [b"9" * 100_000],
        ["٣".encode()],
    ],
    ids=lambda values: repr(values)[:20],
)
def test_anything_else_is_unreadable_with_a_short_fault(values):
    word = decode_limit(values)
    assert isinstance(word, UnreadableLimit)
    assert len(word.fault) < 200


@given(st.binary(max_size=300))
def test_any_datagram_is_decoded_or_refused(data):
    decoded = decode_limit_message(b"L" + data)
    assert isinstance(decoded, UnreadableLimitMessage | tuple)
