"""A process tells when its memory grew and when its reactor stood still."""

from coursekeel.runtime._resources import MemoryWatch, StallWatch

MIB = 1 << 20


def test_growth_of_the_memory_is_told_once_for_each_step():
    watch = MemoryWatch(60 * MIB)
    told = [watch.has_grown(peak * MIB) for peak in (60, 70, 76, 76, 91, 92)]
    assert told == [False, False, True, False, False, True]


def test_a_reactor_that_stood_still_is_told_with_the_time():
    watch = StallWatch(500.0, 1_000.0)
    assert watch.check(1_510.0, 0.0) == 0.0
    assert watch.check(3_010.0, 0.0) == 1_000.0
    assert watch.check(3_520.0, 0.0) == 0.0


def test_a_suspension_is_no_stall_of_the_reactor():
    watch = StallWatch(500.0, 1_000.0)
    assert watch.check(4_510.0, 3_000.0) == 0.0
