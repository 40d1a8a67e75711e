"""An entry is suspended with its machine, and another takes its answers over."""

import signal

from tests.common.sites import (
    begun,
    check,
    comes_back,
    pause_first_entry,
    three_entries,
    twin_of,
)


def test_an_owner_that_was_suspended_sends_nothing_of_an_adopted_answer():
    """Callers could get the rest of an answer from an entry that had lost it.

    1. The owner's machine is suspended; its lease ends, and another adopts the answer.
    2. It wakes, and reads what the engine has sent meanwhile.
    3. By a clock that stood still its lease goes on, so it speaks until the table says
       that the answer is another's.

    Cause: CLOCK_MONOTONIC, which stands still while a machine is suspended.
    Evidence: 165 tokens came after the wake by that clock, in both runs, and none by
    one that counts the time.
    """
    with three_entries("tests.common.suspended_entry") as site:
        caller, thread = begun(site, tokens=300)
        pause_first_entry(site)
        other = twin_of(caller)
        check(comes_back(other, site.entries["entry-2"].port))
        held = len(caller.tokens)
        site.processes["entry-1"].signal(signal.SIGCONT)
        thread.join(15)
        assert len(caller.tokens) == held
        check(comes_back(caller, site.entries["entry-1"].port))
        assert caller.tokens == other.tokens
