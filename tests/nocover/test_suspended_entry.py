"""An entry is suspended with its machine, and another takes its answers over."""

import signal
from pathlib import Path

import pytest

from standins.site import Site, sample_intent, wait_until
from tests.common.sites import (
    FAST,
    GAP_MS,
    begun,
    check,
    check_logs,
    comes_back,
    twin_of,
)


@pytest.fixture
def site():
    """Three entries, of which the first can be suspended."""
    with Site() as site:
        site.start_platform()
        site.start_engines(3, "--gap-ms", str(GAP_MS), "--prefill-ms", "5")
        site.launch_program("entry-1", ("tests.common.suspended_entry",), **FAST)
        for name in ("entry-2", "entry-3"):
            site.launch_entry(name, **FAST)
        for name in ("entry-1", "entry-2", "entry-3"):
            site.entry_listening(name)
        site.until_ready()
        site.put_in_force(sample_intent(list(site.engines), []), "entry-2")
        site.until_serving()
        yield site
        check_logs(site)


def test_an_owner_that_was_suspended_sends_nothing_of_an_adopted_answer(site):
    """Callers could get the rest of an answer from an entry that had lost it.

    1. The owner's machine is suspended; its lease ends, and another adopts the answer.
    2. It wakes, and reads what the engine has sent meanwhile.
    3. By a clock that stood still its lease goes on, so it speaks until the table says
       that the answer is another's.

    Cause: CLOCK_MONOTONIC, which stands still while a machine is suspended.
    Evidence: 165 tokens came after the wake by that clock, in both runs, and none by
    one that counts the time.
    """
    caller, thread = begun(site, tokens=300)
    process = site.processes["entry-1"]
    process.signal(signal.SIGUSR1)
    status = Path(f"/proc/{process.pid}/stat")
    wait_until(lambda: status.read_text().rpartition(") ")[2][0] == "T", "it stops")
    other = twin_of(caller)
    check(comes_back(other, site.entries["entry-2"].port))
    held = len(caller.tokens)
    process.signal(signal.SIGCONT)
    thread.join(15)
    assert len(caller.tokens) == held
    check(comes_back(caller, site.entries["entry-1"].port))
    assert caller.tokens == other.tokens
