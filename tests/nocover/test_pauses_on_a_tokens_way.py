"""An owner is paused at a point of a token's path, and another entry takes over.

Guards against a pause between the lease check and the send of a token: the owner must
not send the token after another entry has adopted the answer.
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
    dossier,
    pause_first_entry,
    reading,
    reconnect_until_finished,
    second_caller_of,
    three_entries,
    wait_for_tokens,
)


def site_with_pause(point):
    """Three entries; the first pauses at ``point`` after SIGUSR1."""
    return three_entries("tests.common.paused_entry", point)


@pytest.mark.parametrize("point", OWN_CALLER_POINTS)
def test_a_token_is_not_sent_after_a_pause_and_takeover(point):
    with site_with_pause(point) as site:
        caller, thread = begun(site, tokens=300)
        pause_first_entry(site)
        other = second_caller_of(caller)
        check(reconnect_until_finished(other, site.entries["entry-2"].port))
        received_before = len(caller.tokens)
        site.processes["entry-1"].signal(signal.SIGCONT)
        thread.join(15)
        assert len(caller.tokens) == received_before
        assert "moved" in caller.events or "cut" in caller.events
        check(reconnect_until_finished(caller, site.entries["entry-1"].port))
        assert caller.tokens == other.tokens


@pytest.mark.parametrize("point", RELAY_POINTS)
def test_a_relayed_token_is_not_sent_after_a_pause_and_takeover(point):
    with site_with_pause(point) as site:
        caller, thread = begun(site, tokens=300)
        relayed = second_caller_of(caller)
        relayed_thread = reading(relayed, site.entries["entry-2"].port, follow=True)
        wait_for_tokens(relayed, len(relayed.tokens) + 5)
        pause_first_entry(site)
        former_generation = relayed.event_id.partition(".")[0]
        other = second_caller_of(caller)
        other_thread = reading(other, site.entries["entry-3"].port, follow=True)
        wait_for_tokens(other, len(relayed.tokens) + 5)
        received_before = len(relayed.event_ids)
        site.processes["entry-1"].signal(signal.SIGCONT)
        for reader in (thread, relayed_thread, other_thread):
            reader.join(20)
        check(other)
        check(relayed)
        assert relayed.tokens == other.tokens
        received_after = relayed.event_ids[received_before:]
        assert received_after and not any(
            event_id.startswith(former_generation) for event_id in received_after
        )


def test_a_whole_answer_is_not_sent_after_a_pause_and_takeover():
    with site_with_pause(WHOLE_ANSWER_POINT) as site:
        caller = dossier(100)
        caller.request["stream"] = False
        entry = site.entries["entry-1"]
        answers = []

        def request_answer():
            headers = {"idempotency-key": caller.request_id}
            http = Http(entry.port, caller.key)
            try:
                answers.append(
                    http.ask("POST", "/v1/completions", caller.request, headers=headers)
                )
            except (OSError, HTTPException) as failure:
                answers.append((0, failure))

        thread = threading.Thread(target=request_answer, daemon=True)
        thread.start()
        pause_first_entry(site)
        other = second_caller_of(caller)
        check(reconnect_until_finished(other, site.entries["entry-2"].port))
        site.processes["entry-1"].signal(signal.SIGCONT)
        thread.join(15)
        ((status, reply),) = answers
        assert status != 200, reply
        check(reconnect_until_finished(caller, entry.port))
        assert caller.tokens == other.tokens
