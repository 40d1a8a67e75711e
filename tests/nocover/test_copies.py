"""Engines keep copies of each other's runs, and answers resume from them."""

import pytest

from standins.site import wait_until
from tests.common.sites import (
    busy_engine,
    dossier,
    reading,
    running_site,
    wait_for_tokens,
)

PROMPT_WORDS = 4_000


@pytest.fixture(scope="module")
def site():
    with running_site(engines=3, entries=1) as running:
        yield running


def counter(site, engine: str, name: str) -> int:
    return site.engines[engine].get("/status")["counters"][name]


def test_copies_are_dropped_when_the_answer_is_complete(site):
    caller = dossier(60, words=PROMPT_WORDS)
    thread = reading(caller, site.entries["entry-1"].port)
    wait_until(lambda: copied_tokens(site), "a copy stands")
    thread.join(30)
    assert caller.whole, (caller.error, caller.events, len(caller.tokens))
    wait_until(lambda: not copied_tokens(site), "the copy is dropped")


def test_an_answer_resumes_from_a_copy_without_prefilling_its_prompt_again(site):
    caller = dossier(150, words=PROMPT_WORDS)
    thread = reading(caller, site.entries["entry-1"].port)
    wait_for_tokens(caller, 20)
    killed = busy_engine(site)
    wait_until(lambda: copied_tokens(site), "a copy stands")
    others = [name for name in site.engines if name != killed]
    before = sum(counter(site, name, "prefilled_tokens") for name in others)
    site.processes[killed].kill()
    thread.join(30)
    assert caller.whole, (caller.error, caller.events, len(caller.tokens))
    assert "way=copy" in site.log_of("entry-1")
    after = sum(counter(site, name, "prefilled_tokens") for name in others)
    assert after - before < PROMPT_WORDS / 10


def copied_tokens(site) -> int:
    """Tokens in the copies that running engines keep for others."""
    running = [name for name in site.engines if site.processes[name].running]
    return sum(site.engines[name].get("/status")["kept_tokens"] for name in running)
