"""SuspensionWatch detects suspensions of the machine."""

from coursekeel.runtime import Clock
from coursekeel.runtime._suspension import SuspensionWatch


def test_only_the_suspended_time_since_the_previous_check_is_returned():
    watch = SuspensionWatch(1_000.0)
    assert watch.check(1_000.4) == 0.0
    assert watch.check(4_000.4) == 3_000.0
    assert watch.check(4_000.9) == 0.0


def test_the_time_between_the_two_clock_reads_is_no_suspension():
    watch = SuspensionWatch(Clock().suspended_ms())
    assert all(watch.check(Clock().suspended_ms()) == 0.0 for _ in range(1_000))
