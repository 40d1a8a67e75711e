"""Relays pause for slow readers and drop replies sent without a valid lease."""

import asyncio

import pytest

from coursekeel.answers import Ledger
from coursekeel.entry.answers._relay import RelayFreshness, serve_follow
from coursekeel.entry.control._peers_task import PeersTask
from coursekeel.peers import peer_pb2


class Call:
    """A stream of replies that counts the replies read."""

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
    """Only the part that `_follow` needs."""

    def __init__(self, call):
        self.call = call

    def _stub(self, instance_id):
        class Stub:
            Follow = staticmethod(lambda request: self.call)

        return Stub


def test_a_slow_reader_pauses_reading_from_the_peer():
    call = Call(100)
    reader = {"free": False}
    replies_taken = []

    async def run():
        following = asyncio.ensure_future(
            Peers(call)._follow(
                "peer",
                None,
                lambda r: replies_taken.append(r) or True,
                lambda: reader["free"],
            )
        )
        while not replies_taken:
            await asyncio.sleep(0)
        for _ in range(1_000):
            await asyncio.sleep(0)
        read_while_paused = call.read
        reader["free"] = True
        await following
        return read_while_paused

    assert asyncio.run(run()) == 1
    assert len(replies_taken) == 100


class Answer:
    """The part of an answer's task that a relay uses."""

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
        self.before_send()

    def before_send(self):
        """Hook that runs before the reply is sent."""

    def remove_follower(self, follower):
        self.readers.remove(follower)


def first_reply(answer):
    """The first reply with content to a reader."""
    request = peer_pb2.FollowRequest(team="ikeja", request_id="1")

    async def run():
        replies = serve_follow(request, lambda team, request_id: answer)
        assert (await anext(replies)).found
        return await asyncio.wait_for(anext(replies), 1.0)

    return asyncio.run(run())


def test_a_reply_states_the_owners_remaining_lease_time():
    reply = first_reply(Answer())
    assert list(reply.tokens) == [1, 2, 3]
    assert reply.right_ms == 800


def test_an_unlimited_lease_time_is_sent_as_zero():
    answer = Answer()
    answer.left_ms = float("inf")
    assert first_reply(answer).right_ms == 0


def test_a_fenced_owner_replies_that_the_answer_moved():
    answer = Answer()

    def fence():
        answer.gone = True

    def lapse():
        answer.left_ms = 0.0
        asyncio.get_running_loop().call_later(0.1, fence)

    answer.before_send = lapse
    reply = first_reply(answer)
    assert reply.moved
    assert not reply.tokens


def test_a_waiting_reply_is_sent_once_the_lease_is_renewed():
    answer = Answer()

    def lapse():
        answer.left_ms = 0.0
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, lambda: setattr(answer, "left_ms", 500.0))

    answer.before_send = lapse
    reply = first_reply(answer)
    assert list(reply.tokens) == [1, 2, 3]
    assert reply.right_ms == 500


@pytest.mark.parametrize(
    ("times_ms", "accepted_count"),
    [
        ([10, 20, 30], 3),
        ([10, 809, 1_608], 3),
        ([10, 810], 1),
        ([800], 0),
        ([10, 3_000], 1),
    ],
)
def test_a_reply_is_accepted_within_its_lease_time_after_the_previous_one(
    times_ms, accepted_count
):
    freshness = RelayFreshness(0.0)
    reply = peer_pb2.FollowReply(found=True, tokens=[1], right_ms=800)
    assert [freshness.accepts(reply, now_ms) for now_ms in times_ms].count(
        True
    ) == accepted_count


def test_a_reply_without_a_lease_time_is_accepted():
    """For answers that can't be taken over, and entries of older versions."""
    freshness = RelayFreshness(0.0)
    assert freshness.accepts(peer_pb2.FollowReply(found=True), 60_000.0)
