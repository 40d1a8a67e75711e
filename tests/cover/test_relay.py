"""Relayed answers keep to their reader's pace."""

import asyncio

from coursekeel.entry.control._peers_task import PeersTask


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
