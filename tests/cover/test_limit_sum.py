"""The sum over all instances keeps an endpoint's limit, whatever each knows of others.

The bound of every test is the users' rule.
"""

from random import Random

import pytest
import xxhash

from coursekeel.limits import (
    ALLOWED_EXTRA,
    ALLOWED_FACTOR,
    PERMIT_VALID_S,
    SETTLING_MS,
    TRIAL_PER_S,
    WINDOW_S,
    PermitIssuer,
    holder_rate_per_s,
)
from tests.common.limit_world import ENDPOINT, LimitWorld, allowed, most_sent

SIZES = (9, 73, 195, 380)
LIMITS = (0.05, 0.5, 2.1, 4.2, 40.0)
SETTLED_MS = SETTLING_MS + 1_000


def group_of(size: int) -> list[str]:
    return [f"m{number}" for number in range(size)]


def by_rank(members: list[str]) -> list[str]:
    """The members, the holder of the endpoint first."""
    return sorted(members, key=lambda m: -_weight(m))


def _weight(member: str) -> int:
    return xxhash.xxh64_intdigest(f"{ENDPOINT}/{member}".encode())


def assert_kept(world: LimitWorld) -> None:
    assert most_sent(world.sent_ms) <= allowed(world.per_s)


@pytest.mark.parametrize("per_s", LIMITS)
def test_two_holders_at_once_fit_the_worst_window(per_s):
    """A permit at the window's start, and all that are used in it."""
    rate_per_s = holder_rate_per_s(per_s, share=1.0)
    most = rate_per_s * (WINDOW_S + PERMIT_VALID_S) + 1
    assert 2 * most <= ALLOWED_FACTOR * per_s * WINDOW_S + ALLOWED_EXTRA + 1e-9


@pytest.mark.parametrize("per_s", LIMITS)
def test_a_holder_offers_most_of_the_limit(per_s):
    assert holder_rate_per_s(per_s, share=1.0) >= min(0.69 * per_s, per_s)
    assert holder_rate_per_s(per_s, share=0.0) == TRIAL_PER_S


@pytest.mark.parametrize(
    ("size", "per_s"),
    [*((9, per_s) for per_s in LIMITS), (73, 2.1), (195, 2.1), (380, 2.1), (380, 40.0)],
)
def test_members_that_agree_keep_the_limit_and_use_it(size, per_s):
    members = group_of(size)
    world = LimitWorld(per_s, members, lambda member, now_ms: members, seed=size)
    world.run(SETTLED_MS + 12_000)
    assert_kept(world)
    used_per_s = len(world.sent_ms) / 12.0
    assert used_per_s >= 0.5 * min(per_s, 10.0) - 0.1


@pytest.mark.parametrize("per_s", LIMITS)
@pytest.mark.parametrize("returning", [0.3, 0.9])
def test_permits_that_go_back_keep_the_limit(per_s, returning):
    """Two members take themselves for the holder for good."""
    members = by_rank(group_of(9))
    stale = set(members[1::2])

    def alive(member, now_ms):
        return members[1:] if member in stale else members

    world = LimitWorld(per_s, members, alive, seed=1)
    world.returning = returning
    world.run(SETTLED_MS + 32_000)
    assert world.returned > 0
    assert_kept(world)


def test_a_permit_comes_back_once_and_only_while_it_is_the_last():
    issuer = PermitIssuer()

    def is_given(number: int, now_ms: float) -> bool:
        return issuer.issue(ENDPOINT, "m1", number, rate_per_s=4.0, now_ms=now_ms).given

    assert is_given(1, 0.0)
    assert is_given(2, 250.0)
    issuer.returned_by(ENDPOINT, "m1", 1, 251.0)
    issuer.returned_by(ENDPOINT, "m2", 2, 251.0)
    assert not is_given(3, 252.0)
    issuer.returned_by(ENDPOINT, "m1", 2, 253.0)
    assert is_given(4, 254.0)
    issuer.returned_by(ENDPOINT, "m1", 2, 255.0)
    assert not is_given(5, 256.0)
    issuer.returned_by(ENDPOINT, "m1", 4, 257.0)
    issuer.returned_by(ENDPOINT, "m1", 4, 257.0)
    assert is_given(6, 258.0)
    assert not is_given(7, 259.0)


@pytest.mark.parametrize("size", SIZES)
def test_a_growing_group_keeps_the_limit(size):
    """Members join one after the other, and learn of each other late."""
    members, random = group_of(size), Random(size)
    joins_ms = {m: random.uniform(0, 20_000) for m in members}
    lag_ms = {m: random.uniform(0, 2_000) for m in members}
    visible = sorted((joins_ms[m] + lag_ms[m], m) for m in members)

    def alive(member, now_ms):
        return [m for seen_ms, m in visible if seen_ms <= now_ms or m == member]

    world = LimitWorld(2.1, members, alive, seed=size)
    world.joins_ms = joins_ms
    world.run(34_000)
    assert_kept(world)


@pytest.mark.parametrize("per_s", LIMITS)
def test_members_that_never_learn_of_the_holder_keep_the_limit(per_s):
    """Half of the members, the next holder among them, have a stale view for good."""
    members = by_rank(group_of(9))
    stale = set(members[1::2])

    def alive(member, now_ms):
        return members[1:] if member in stale else members

    world = LimitWorld(per_s, members, alive, seed=1)
    world.run(SETTLED_MS + 16_000)
    assert_kept(world)


@pytest.mark.parametrize(
    ("size", "parts"), [(9, 2), (9, 3), (9, 5), (73, 3), (195, 3), (380, 5)]
)
def test_the_parts_of_a_split_group_keep_the_limit_together(size, parts):
    """Each part loses the others after a while, and stays apart."""
    members = group_of(size)
    part = {member: number % parts for number, member in enumerate(members)}
    split_ms, noticed_ms = 12_000.0, 15_000.0

    def alive(member, now_ms):
        if now_ms < noticed_ms:
            return members
        return [m for m in members if part[m] == part[member]]

    world = LimitWorld(2.1, members, alive, seed=size)
    world.apart = lambda a, b, now_ms: now_ms >= split_ms and part[a] != part[b]
    world.run(noticed_ms + SETTLED_MS + 10_000)
    assert_kept(world)


@pytest.mark.parametrize("seed", range(5))
def test_restarts_of_holders_keep_the_limit(seed):
    """The holder restarts again and again, and is missed by the others only late."""
    members, random = by_rank(group_of(9)), Random(seed)
    missing: dict[str, tuple[float, float]] = {}

    def alive(member, now_ms):
        def is_seen(each):
            begin_ms, end_ms = missing.get(each, (1e9, 1e9))
            return each == member or not begin_ms <= now_ms < end_ms

        return [each for each in members if is_seen(each)]

    world = LimitWorld(2.1, members, alive, seed)
    world.run(SETTLED_MS)
    for _ in range(40):
        restarted = random.choice(members[:3])
        world.restart(restarted)
        begin_ms = world.now_ms + random.uniform(0, 2_000)
        missing[restarted] = (begin_ms, begin_ms + random.uniform(0, 3_000))
        world.run(random.choice([200, 400, 400, 3_000]))
    assert_kept(world)


def test_a_holder_that_restarts_over_and_over_keeps_the_limit():
    members = by_rank(group_of(9))
    world = LimitWorld(2.1, members, lambda member, now_ms: members, seed=1)
    world.run(SETTLED_MS)
    for _ in range(40):
        world.restart(members[0])
        world.run(160)
    assert_kept(world)


def test_a_paused_holder_gives_no_permit_until_it_has_settled_again():
    members = by_rank(group_of(9))
    world = LimitWorld(2.1, members, lambda member, now_ms: members, seed=1)
    world.run(SETTLED_MS)
    holders = world.nodes[members[0]].holders
    assert holders.may_give(ENDPOINT, world.now_ms)
    woken_ms = world.now_ms + 5_000
    holders.observe(members, members[1:], [], woken_ms)
    assert not holders.may_give(ENDPOINT, woken_ms)


def test_a_holder_whose_list_lacks_the_endpoint_keeps_the_limit():
    """It learns of the limit with each question, and forgets it again and again."""
    members = by_rank(group_of(9))
    world = LimitWorld(2.1, members, lambda member, now_ms: members, seed=1)
    world.run(SETTLED_MS)
    for _ in range(60):
        holder = world.nodes[members[0]]
        holder.forget(ENDPOINT)
        holder.forget_old(world.now_ms)
        world.run(160)
    assert_kept(world)


@pytest.mark.parametrize("size", SIZES)
def test_equal_parts_for_each_instance_would_break_the_limit(size):
    """What permits are for: one free request an instance at once is already too much.

    With nine instances the parts fit, but an instance sends one request in 4 s.
    """
    per_s, random = 2.1, Random(size)
    interval_ms = 1_000 * size / per_s
    sent_ms = [0.5 * random.random() for _ in range(size)]
    sent_ms += [each + interval_ms for each in sent_ms]
    assert (most_sent(sent_ms) <= allowed(per_s)) == (size == 9)
