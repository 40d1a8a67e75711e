from hypothesis import given
from hypothesis import strategies as st

from coursekeel.answers import EventId, Ledger, OfferOutcome, digest_of

TOKENS = st.lists(st.integers(0, 2**32 - 1), max_size=30)


def ledger_with(tokens: list[int]) -> Ledger:
    ledger = Ledger("g-1")
    ledger.offer(0, tokens, [f"<{token}>" for token in tokens])
    return ledger


@given(TOKENS, st.data())
def test_each_token_is_added_once_for_any_overlap_of_offers(tokens, data):
    ledger = Ledger("g-1")
    position = 0
    while position < len(tokens):
        start = data.draw(st.integers(0, position))
        end = data.draw(st.integers(position, len(tokens)))
        texts = [f"<{token}>" for token in tokens[start:end]]
        offer = ledger.offer(start, tokens[start:end], texts)
        assert offer.kind in (OfferOutcome.EXTENDED, OfferOutcome.REPEATED)
        position = ledger.next_position
    assert ledger.tokens_from(0) == tokens
    assert ledger.text_between(0, len(tokens)) == "".join(f"<{t}>" for t in tokens)
    assert ledger.texts_from(0) == [f"<{t}>" for t in tokens]


@given(TOKENS)
def test_an_offer_after_a_gap_adds_nothing(tokens):
    ledger = ledger_with(tokens)
    offer = ledger.offer(len(tokens) + 1, [1], ["x"])
    assert offer.kind is OfferOutcome.GAP
    assert ledger.tokens_from(0) == tokens


@given(TOKENS.filter(bool), st.data())
def test_a_diverging_offer_adds_nothing(tokens, data):
    ledger = ledger_with(tokens)
    diverging_position = data.draw(st.integers(0, len(tokens) - 1))
    other = [tokens[diverging_position] ^ 1, 5, 6]
    assert (
        ledger.offer(diverging_position, other, ["", "", ""]).kind
        is OfferOutcome.DIVERGED
    )
    assert ledger.tokens_from(0) == tokens


@given(TOKENS, st.data())
def test_only_an_equal_prefix_matches(tokens, data):
    ledger = ledger_with(tokens)
    position = data.draw(st.integers(0, len(tokens)))
    assert ledger.has_prefix(position, digest_of(tokens[:position]))
    assert not ledger.has_prefix(position, digest_of([*tokens[:position], 1]))
    assert not ledger.has_prefix(len(tokens) + 1, ledger.digest_at(len(tokens)))


@given(TOKENS, TOKENS)
def test_a_continued_generation_shares_only_the_prefix(tokens, more):
    former = ledger_with(tokens)
    latter = former.copy_as("g-2")
    latter.offer(len(tokens), more, [""] * len(more))
    assert former.tokens_from(0) == tokens
    assert latter.tokens_from(0) == tokens + more
    assert latter.digest_at(len(tokens + more)) == digest_of(tokens + more)


@given(st.text("abc~-.1", min_size=1), st.integers(0, 2**40), st.integers(0, 2**64 - 1))
def test_event_ids_round_trip(generation, position, digest):
    event_id = EventId(generation, position, digest)
    assert EventId.parse(str(event_id)) == event_id


@given(st.text(max_size=30))
def test_parsing_any_text_as_an_event_id_does_not_raise(text):
    parsed = EventId.parse(text)
    assert parsed is None or parsed.position >= 0
