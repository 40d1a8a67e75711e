"""An owner is paused at a chosen point of a token's way, and another takes over.

The right to speak for an answer is asked for while a token is on its way to the caller.
A pause between the question and the use of its answer may last until the answer belongs
to another entry. What is still on its way then must not leave.
"""

import signal
import threading
from http.client import HTTPException

import pytest

from standins.site import Http
from tests.common.paused_entry import (
    OWN_CALLER_POINTS,
    RELAY_POINTS,
    WHOLE_ANSWER_POINT,
)
from tests.common.sites import (
    begun,
    check,
    comes_back,
    dossier,
    pause_first_entry,
    reading,
    three_entries,
    twin_of,
    until_holding,
)


def site_that_pauses(point):
    """Three entries; the first stops at the point once it is armed."""
    return three_entries("tests.common.paused_entry", point)


@pytest.mark.parametrize("point", OWN_CALLER_POINTS)
def test_a_token_under_way_in_a_pause_stays_where_it_is(point):
    with site_that_pauses(point) as site:
        caller, thread = begun(site, tokens=300)
        pause_first_entry(site)
        other = twin_of(caller)
        check(comes_back(other, site.entries["entry-2"].port))
        held = len(caller.tokens)
        site.processes["entry-1"].signal(signal.SIGCONT)
        thread.join(15)
        assert len(caller.tokens) == held
        assert "moved" in caller.events or "cut" in caller.events
        check(comes_back(caller, site.entries["entry-1"].port))
        assert caller.tokens == other.tokens


@pytest.mark.parametrize("point", RELAY_POINTS)
def test_a_token_under_way_to_a_relay_in_a_pause_is_not_passed_on(point):
    with site_that_pauses(point) as site:
        caller, thread = begun(site, tokens=300)
        relayed = twin_of(caller)
        relayed_thread = reading(relayed, site.entries["entry-2"].port, follow=True)
        until_holding(relayed, len(relayed.tokens) + 5)
        pause_first_entry(site)
        former = relayed.event_id.partition(".")[0]
        other = twin_of(caller)
        other_thread = reading(other, site.entries["entry-3"].port, follow=True)
        until_holding(other, len(relayed.tokens) + 5)
        held = len(relayed.event_ids)
        site.processes["entry-1"].signal(signal.SIGCONT)
        for each in (thread, relayed_thread, other_thread):
            each.join(20)
        check(other)
        check(relayed)
        assert relayed.tokens == other.tokens
        later = relayed.event_ids[held:]
        assert later and not any(each.startswith(former) for each in later)


def test_a_whole_answer_under_way_in_a_pause_stays_where_it_is():
    with site_that_pauses(WHOLE_ANSWER_POINT) as site:
        caller = dossier(100)
        caller.request["stream"] = False
        entry = site.entries["entry-1"]
        answers = []

        def ask():
            headers = {"idempotency-key": caller.request_id}
            http = Http(entry.port, caller.key)
            try:
                answers.append(
                    http.ask("POST", "/v1/completions", caller.request, headers=headers)
                )
            except (OSError, HTTPException) as failure:
                answers.append((0, failure))

        thread = threading.Thread(target=ask, daemon=True)
        thread.start()
        pause_first_entry(site)
        other = twin_of(caller)
        check(comes_back(other, site.entries["entry-2"].port))
        site.processes["entry-1"].signal(signal.SIGCONT)
        thread.join(15)
        ((status, said),) = answers
        assert status != 200, said
        check(comes_back(caller, entry.port))
        assert caller.tokens == other.tokens
