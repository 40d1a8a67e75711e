"""Which requests are barred after crashes of endpoints, and how they are cleared."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.quarantine import (
    Barred,
    Quarantine,
    Sign,
    Strike,
    SuspectRecord,
    Trial,
    merge_records,
    record_of,
    to_sent_record,
)

DAY_MS = 86_400_000.0
BAR_MS = 120_000.0


def bar(quarantine: Quarantine, fingerprint: str = "f", at_ms: float = 0.0) -> None:
    for number in range(3):
        quarantine.add_strike(
            fingerprint, f"e{number}", Sign.BEGAN, at_ms + number * 100
        )


def test_three_endpoints_bar_a_request_and_two_do_not():
    quarantine = Quarantine()
    for number, verdict in enumerate((None, None, Barred(BAR_MS))):
        quarantine.add_strike("f", f"e{number}", Sign.BEGAN, number * 100)
        assert quarantine.verdict("f", number * 100) == verdict
    assert quarantine.verdict("another", 0) is None


def test_repeated_strikes_of_one_endpoint_count_once():
    quarantine = Quarantine()
    for number in range(9):
        quarantine.add_strike("f", f"e{number % 2}", Sign.BEGAN, number * 100)
    assert quarantine.verdict("f", 1_000) is None


@pytest.mark.parametrize("sign", [Sign.GAVE, Sign.UNSEEN])
def test_a_request_with_a_weaker_sign_than_another_is_not_barred(sign):
    quarantine = Quarantine()
    for number in range(9):
        at_ms = number * 100
        quarantine.add_strike("guilty", f"e{number}", Sign.BEGAN, at_ms)
        quarantine.add_strike("beside", f"e{number}", sign, at_ms)
    assert quarantine.verdict("guilty", 1_000) is not None
    assert quarantine.verdict("beside", 1_000) is None


def test_a_request_without_a_response_head_is_barred_if_no_sign_is_stronger():
    """A server may crash before it sends a response head."""
    quarantine = Quarantine()
    for number in range(3):
        quarantine.add_strike("f", f"e{number}", Sign.UNSEEN, number * 100)
    assert quarantine.verdict("f", 300) is not None


@given(st.integers(0, 2**32))
def test_a_zone_failure_bars_no_request(seed):
    """A request runs at every endpoint of two zones, which fail a second apart."""
    random = Random(seed)
    quarantine = Quarantine()
    for zone in range(2):
        for number in range(random.randint(1, 30)):
            at_ms = zone * 1_000 + random.uniform(0, 25)
            quarantine.add_strike("popular", f"z{zone}e{number}", Sign.BEGAN, at_ms)
    assert quarantine.verdict("popular", 1_100) is None


@pytest.mark.parametrize("first_crashed", [12, 13, 40])
def test_a_request_that_crashed_many_endpoints_at_once_is_barred_later(first_crashed):
    """A record has room for twelve strikes, which may all coincide."""
    quarantine = Quarantine()
    for number in range(first_crashed):
        quarantine.add_strike("f", f"a{number:02}", Sign.BEGAN, number / 4)
    assert quarantine.verdict("f", 50) is None
    quarantine.add_strike("f", "b", Sign.BEGAN, 100)
    assert quarantine.verdict("f", 100) is None
    quarantine.add_strike("f", "c", Sign.BEGAN, 200)
    assert quarantine.verdict("f", 200) is not None


def test_a_cleared_request_ignores_records_of_earlier_epochs():
    quarantine = Quarantine()
    bar(quarantine)
    old = quarantine.record("f")
    assert quarantine.clear("f", 400) is not None
    assert quarantine.verdict("f", 400) is None
    assert not quarantine.merge(old, 500)
    assert quarantine.verdict("f", 500) is None
    assert quarantine.clear("f", 600) is None


def test_clearing_an_unsuspected_request_adds_no_record():
    quarantine = Quarantine()
    assert quarantine.clear("f", 0) is None
    assert len(quarantine) == 0


def test_a_successful_trial_clears_the_request():
    quarantine = Quarantine()
    bar(quarantine)
    after_ms = 200 + BAR_MS
    assert isinstance(quarantine.verdict("f", after_ms - 1), Barred)
    assert quarantine.verdict("f", after_ms) == Trial()
    trial_record = quarantine.begin_trial("f", after_ms)
    assert isinstance(quarantine.verdict("f", after_ms), Barred)
    assert quarantine.is_trial_valid(trial_record)
    quarantine.clear("f", after_ms + 500)
    assert quarantine.verdict("f", after_ms + 500) is None


def test_a_crash_ends_the_trial_and_bars_the_request_longer():
    quarantine = Quarantine()
    bar(quarantine)
    at_ms = 200 + BAR_MS
    trial_record = quarantine.begin_trial("f", at_ms)
    quarantine.add_strike("f", "e3", Sign.BEGAN, at_ms + 100)
    assert not quarantine.is_trial_valid(trial_record)
    assert quarantine.verdict("f", at_ms + 100) == Barred(10 * BAR_MS)


def test_a_request_that_always_crashes_endpoints_gets_three_trials_in_a_day():
    quarantine = Quarantine()
    bar(quarantine)
    now_ms, trials = 0.0, 0
    while now_ms < DAY_MS:
        now_ms += 10_000
        if quarantine.verdict("f", now_ms) == Trial():
            trials += 1
            quarantine.begin_trial("f", now_ms)
            quarantine.add_strike("f", f"t{trials}", Sign.BEGAN, now_ms + 100)
    assert trials == 3


def test_a_record_expires_a_day_after_its_bar():
    quarantine = Quarantine()
    quarantine.add_strike("f", "e0", Sign.BEGAN, 0)
    quarantine.forget(BAR_MS + DAY_MS - 1)
    assert len(quarantine) == 1
    old = quarantine.record("f")
    quarantine.forget(BAR_MS + DAY_MS)
    assert len(quarantine) == 0
    assert not quarantine.merge(old, BAR_MS + DAY_MS)


def test_barred_requests_are_not_evicted_by_a_flood_of_suspects():
    quarantine = Quarantine()
    bar(quarantine)
    for number in range(5_000):
        quarantine.add_strike(f"r{number}", f"x{number}", Sign.BEGAN, 1_000 + number)
    assert len(quarantine) <= 512
    assert quarantine.verdict("f", 9_000) is not None


def test_each_change_of_a_bar_adds_one_event():
    quarantine = Quarantine()
    bar(quarantine)
    bar(quarantine)
    quarantine.clear("f", 900)
    assert [event.barred for event in quarantine.events] == [True, False]
    assert quarantine.events[0].endpoint_ids == ("e0", "e1", "e2")


STRIKES = st.builds(
    Strike,
    st.sampled_from([f"e{n}" for n in range(15)]),
    st.sampled_from(Sign),
    st.integers(0, 500).map(float),
)


@st.composite
def records(draw):
    record = SuspectRecord(
        "f",
        draw(st.integers(0, 1)),
        draw(st.integers(0, 2)),
        float(draw(st.integers(0, 500))),
    )
    for strike in draw(st.lists(STRIKES, max_size=15)):
        record = record.with_strike(strike)
    return record


@given(records(), records(), records())
def test_merging_records_is_commutative_associative_and_idempotent(a, b, c):
    assert merge_records(a, b).content == merge_records(b, a).content
    assert (
        merge_records(merge_records(a, b), c).content
        == merge_records(a, merge_records(b, c)).content
    )
    assert merge_records(a, a) == a


@given(records(), st.floats(500, 1e6))
def test_a_record_survives_conversion_to_its_sent_form_and_back(record, now_ms):
    converted = record_of(to_sent_record(record, now_ms), now_ms)
    assert converted.content == record.content
    for one, other in zip(converted.strikes, record.strikes, strict=True):
        assert abs(one.at_ms - other.at_ms) < 0.2
