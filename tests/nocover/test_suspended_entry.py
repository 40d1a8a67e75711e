"""An entry's machine is suspended, and another entry takes its answers over."""

import signal

from tests.common.sites import (
    begun,
    check,
    pause_first_entry,
    reconnect_until_finished,
    second_caller_of,
    three_entries,
)


def test_an_owner_that_was_suspended_sends_nothing_of_an_adopted_answer():
    """Guards against measuring the lease by a clock that stops during a suspension.

    With CLOCK_MONOTONIC the resumed owner would send tokens after its lease lapsed.
    """
    with three_entries("tests.common.suspended_entry") as site:
        caller, thread = begun(site, tokens=300)
        pause_first_entry(site)
        other = second_caller_of(caller)
        check(reconnect_until_finished(other, site.entries["entry-2"].port))
        received_before = len(caller.tokens)
        site.processes["entry-1"].signal(signal.SIGCONT)
        thread.join(15)
        assert len(caller.tokens) == received_before
        check(reconnect_until_finished(caller, site.entries["entry-1"].port))
        assert caller.tokens == other.tokens
