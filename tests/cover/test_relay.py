"""Relayed answers keep to their reader's pace, and come from who may speak for them."""

import asyncio

import pytest

from coursekeel.answers import Ledger
from coursekeel.entry.answers._relay import RelayFreshness, serve_follow
from coursekeel.entry.control._peers_task import PeersTask
from coursekeel.peers import peer_pb2


class Call:
    """A stream of replies that counts how many were read."""

    def __init__(self, count):
        self.left = count
        self.read = 0

    def __aiter__(self):
        return self

    async def __anext__(self):
        if self.read == self.left:
            raise StopAsyncIteration
        self.read += 1
        return self.read

    def cancel(self):
        self.left = self.read


class Peers(PeersTask):
    """Only what following needs."""

    def __init__(self, call):
        self.call = call

    def _stub(self, instance_id):
        class Stub:
            Follow = staticmethod(lambda request: self.call)

        return Stub


def test_a_slow_reader_stops_the_reading_from_the_peer():
    call = Call(100)
    room = {"free": False}
    took = []

    async def run():
        following = asyncio.ensure_future(
            Peers(call)._follow(
                "peer", None, lambda r: took.append(r) or True, lambda: room["free"]
            )
        )
        while not took:
            await asyncio.sleep(0)
        for _ in range(1_000):
            await asyncio.sleep(0)
        held_up_at = call.read
        room["free"] = True
        await following
        return held_up_at

    assert asyncio.run(run()) == 1
    assert len(took) == 100


class Answer:
    """As much of an answer's task as a relay sees."""

    def __init__(self):
        self.ledger = Ledger("entry-1~a-1")
        self.ledger.offer(0, [1, 2, 3], ["a", "b", "c"])
        self.stored = self.gone = self.fenced = self.ended = False
        self.deliverable_end = 3
        self.left_ms = 800.0
        self.readers = []

    def may_send(self):
        return self.left_ms > 0

    def right_left_ms(self):
        return self.left_ms

    def follow(self, follower):
        self.readers.append(follower)
        follower.wake()
        self.reply_is_made()

    def reply_is_made(self):
        """What happens before the reply goes."""

    def remove_follower(self, follower):
        self.readers.remove(follower)


def followed(answer):
    """The first reply to a reader that tells something."""
    request = peer_pb2.FollowRequest(team="ikeja", request_id="1")

    async def run():
        replies = serve_follow(request, lambda team, request_id: answer)
        assert (await anext(replies)).found
        return await asyncio.wait_for(anext(replies), 1.0)

    return asyncio.run(run())


def test_an_owner_says_how_long_it_may_still_speak():
    reply = followed(Answer())
    assert list(reply.tokens) == [1, 2, 3]
    assert reply.right_ms == 800


def test_a_right_without_an_end_is_told_as_none():
    answer = Answer()
    answer.left_ms = float("inf")
    assert followed(answer).right_ms == 0


def test_an_owner_that_was_fenced_tells_a_relay_to_look_elsewhere():
    answer = Answer()

    def fence():
        answer.gone = True

    def lapse():
        answer.left_ms = 0.0
        asyncio.get_running_loop().call_later(0.1, fence)

    answer.reply_is_made = lapse
    reply = followed(answer)
    assert reply.moved
    assert not reply.tokens


def test_a_reply_that_waits_goes_once_the_right_is_there_again():
    answer = Answer()

    def lapse():
        answer.left_ms = 0.0
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, lambda: setattr(answer, "left_ms", 500.0))

    answer.reply_is_made = lapse
    reply = followed(answer)
    assert list(reply.tokens) == [1, 2, 3]
    assert reply.right_ms == 500


@pytest.mark.parametrize(
    ("times_ms", "passed"),
    [
        ([10, 20, 30], 3),
        ([10, 809, 1_608], 3),
        ([10, 810], 1),
        ([800], 0),
        ([10, 3_000], 1),
    ],
)
def test_a_reply_that_comes_within_its_right_of_the_one_before_is_passed_on(
    times_ms, passed
):
    freshness = RelayFreshness(0.0)
    reply = peer_pb2.FollowReply(found=True, tokens=[1], right_ms=800)
    assert [freshness.accepts(reply, each) for each in times_ms].count(True) == passed


def test_an_owner_that_says_nothing_of_its_right_is_believed():
    """Answers that nobody takes over, and entries that don't know of this yet."""
    freshness = RelayFreshness(0.0)
    assert freshness.accepts(peer_pb2.FollowReply(found=True), 60_000.0)
