"""The bodies of whole answers that are collected at once are bounded in sum."""

from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from coursekeel.gateway.whole._collected_body import (
    BodyReader,
    CollectedBodies,
    CollectedBody,
)

MAX_BYTES = 1_000
CHUNK_BYTES = 100
WAIT_S = 1.5


@define(eq=False)
class Reader(BodyReader):
    """Reads one body, and records whether it is paused or given up."""

    bodies: CollectedBodies
    paused: bool = False
    given_up_bytes: int = 0
    body: CollectedBody = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.body = CollectedBody(self.bodies)

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def body_given_up(self, size_bytes: int) -> None:
        self.given_up_bytes = size_bytes

    def read(self, chunks: int = 1) -> None:
        for _ in range(chunks):
            self.body.add(b"x" * CHUNK_BYTES, self)


@define(eq=False)
class World:
    clock: Clock = field(factory=Clock)
    unsent_bytes: int = 0
    bodies: CollectedBodies = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.bodies = CollectedBodies(
            self.clock, lambda: MAX_BYTES, lambda: self.unsent_bytes
        )

    def reader(self, chunks: int) -> Reader:
        reader = Reader(self.bodies)
        reader.read(chunks)
        return reader


def test_bodies_within_the_bound_are_read_without_a_wait():
    world = World()
    readers = [world.reader(chunks=5) for _ in range(2)]
    assert [each.paused for each in readers] == [False, False]
    assert [each.body.take() for each in readers] == [b"x" * 500] * 2
    assert world.bodies.total_bytes == 0


def test_over_the_bound_only_the_oldest_body_is_read_on():
    world = World()
    oldest, second, third = (world.reader(chunks=5) for _ in range(3))
    oldest.read(5)
    assert [each.paused for each in (oldest, second, third)] == [False, False, True]
    oldest.body.take()
    assert not third.paused
    assert world.clock.getDelayedCalls() == [] or not world.bodies._waiting


def test_bodies_wait_for_what_callers_have_not_taken_yet():
    world = World(unsent_bytes=MAX_BYTES)
    oldest, second = world.reader(chunks=1), world.reader(chunks=1)
    assert (oldest.paused, second.paused) == (False, True)
    world.unsent_bytes = 0
    world.clock.advance(0.1)
    assert not second.paused


def test_after_a_long_wait_the_largest_body_is_given_up_and_short_ones_stay():
    world = World()
    short, large, other = (world.reader(chunks) for chunks in (1, 8, 4))
    for _ in range(int(WAIT_S / 0.1) + 1):
        world.clock.advance(0.1)
    assert large.given_up_bytes == 800
    assert short.given_up_bytes == other.given_up_bytes == 0
    assert not other.paused
    assert world.bodies.given_up == 1


@given(st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=60))
def test_the_sum_exceeds_its_bound_by_a_chunk_of_each_body_and_the_oldest_at_most(
    steps,
):
    """Readers read unless they are paused; a step may end a body instead."""
    world = World()
    readers = [Reader(world.bodies) for _ in range(5)]
    for number, ends in steps:
        reader = readers[number]
        if ends:
            reader.body.take()
        elif not reader.paused:
            reader.read()
        total = sum(each.body.size_bytes for each in readers)
        assert world.bodies.total_bytes == total
        started = [each.body for each in readers if each.body.size_bytes]
        oldest = next(iter(world.bodies._open), None)
        others = total - (oldest.size_bytes if oldest is not None else 0)
        assert others <= MAX_BYTES + CHUNK_BYTES * len(started)
        if oldest is not None:
            assert not next(each for each in readers if each.body is oldest).paused
