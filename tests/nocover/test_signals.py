"""Signals that reach a process at any moment, also while it logs."""

import signal
import subprocess
import sys
import time

import pytest

from standins.site import wait_until

SIGNALS = 1_500
# A process that logs all the time, and counts the lines whose logging raised.
PROGRAM = """
from coursekeel.runtime import Role, install_reactor, run_role
reactor = install_reactor()
from coursekeel.observe import log_event, set_up_logging

class LoggingRole(Role):
    failed = 0

    async def start(self):
        self.log_lines()
        log_event("started")

    async def stop(self):
        log_event("counted", failed=self.failed)

    def log_lines(self):
        for number in range(50):
            try:
                log_event("line", number=number)
            except Exception:
                self.failed += 1
        reactor.callLater(0, self.log_lines)

set_up_logging("one")
raise SystemExit(run_role(reactor, LoggingRole()))
"""


@pytest.fixture
def process(tmp_path):
    log = tmp_path / "process.log"
    with log.open("wb") as output:
        started = subprocess.Popen([sys.executable, "-c", PROGRAM], stdout=output)
    try:
        wait_until(lambda: "event=started" in log.read_text(), "the process logs")
        yield started, log
    finally:
        started.kill()
        started.wait()


def test_no_log_line_fails_or_is_torn_because_a_signal_interrupts_it(process):
    """Guards against requests that end because their log line raised."""
    running, log = process
    for _ in range(SIGNALS):
        running.send_signal(signal.SIGHUP)
        time.sleep(0.001)
    running.send_signal(signal.SIGTERM)
    assert running.wait(20) == 0
    lines = log.read_text().splitlines()
    assert [each for each in lines if "event=counted failed=0" in each]
    assert [each for each in lines if not each.startswith("time=")] == []
    assert [each for each in lines if each.count("time=") > 1] == []
