"""Pools whose endpoints all name a limit are used near what they offer."""

from itertools import cycle
from random import Random

import pytest

from coursekeel.limits import holder_rate_per_s
from tests.common.limit_world import allowed, most_sent
from tests.common.limited_pool import QUEUE_MS, LimitedPool

PER_S = 2.1
PLAYED_MS = 24_000.0
INTERVAL_MS = 1_000 / holder_rate_per_s(PER_S, share=1.0)


def assert_kept(pool: LimitedPool) -> None:
    for sent_ms in pool.sent_ms.values():
        assert most_sent(sent_ms) <= allowed(PER_S)


@pytest.mark.parametrize("size", [3, 9])
@pytest.mark.parametrize("gap_ms", [300, 400, 450, 500])
def test_a_permit_that_is_due_between_bursts_is_waited_for(size, gap_ms):
    """The burst before it waits for as long as the queue allows.

    So each is used within the gap less the time in the queue.
    """
    pool, random = LimitedPool(size, 1, PER_S), Random(gap_ms)
    begun_ms = pool.now_ms
    while pool.now_ms < begun_ms + PLAYED_MS:
        burst_ms = pool.now_ms
        for name in random.sample(pool.names * 5, 15):
            pool.ask(name)
            pool.run(2.0)
        pool.run(gap_ms - (pool.now_ms - burst_ms))
    used = len(pool.sent_ms[pool.endpoints[0]])
    assert used >= PLAYED_MS // (INTERVAL_MS + gap_ms - QUEUE_MS)
    assert_kept(pool)


def test_the_next_permit_goes_to_an_instance_whose_request_may_wait_for_it():
    """All three lack permits, and one is due well within the time in the queue."""
    pool = LimitedPool(3, 1, PER_S)
    sent_ms = pool.sent_ms[pool.endpoints[0]]
    names = cycle(pool.names)
    while len(sent_ms) < 3:
        pool.ask(next(names))
        pool.run(10.0)
    for name in pool.names:
        pool.ask(name)
    pool.run(sent_ms[-1] + INTERVAL_MS - 150.0 - pool.now_ms)
    for name in pool.names:
        pool.ask(name)
    pool.run(300.0)
    assert len(sent_ms) == 4
    assert_kept(pool)


@pytest.mark.parametrize("size", [3, 9])
@pytest.mark.parametrize("asked_per_s", [3.0, 6.0, 12.0])
def test_a_permit_that_no_request_needs_is_left_to_other_instances(size, asked_per_s):
    """Each request asks for permits of all three endpoints, and uses one."""
    pool, random = LimitedPool(size, 3, PER_S), Random(1)
    begun_ms, asked = pool.now_ms, 0
    while pool.now_ms < begun_ms + PLAYED_MS:
        pool.ask(random.choice(pool.names))
        asked += 1
        pool.run(round(random.expovariate(asked_per_s / 1_000)))
    served = sum(map(len, pool.sent_ms.values()))
    offered = 3 * PER_S * PLAYED_MS / 1_000
    assert served >= 0.5 * min(asked, offered)
    assert_kept(pool)
