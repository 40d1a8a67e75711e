"""A stop closes channels under greetings that are on their way."""

import asyncio
import socket
from unittest.mock import Mock

from twisted.internet.defer import ensureDeferred

from coursekeel.entry.control._peers_task import PeersTask
from coursekeel.membership import Greeting


def peers(address: str) -> PeersTask:
    return PeersTask(
        Mock(),
        Mock(now_ms=lambda: 0.0),
        Mock(address=lambda _: address),
        Mock(),
        1_000,
        lambda: Greeting("entry-1", "entry-1/1", 0, 0, False, ()),
        Mock(),
        Mock(),
        Mock(),
        Mock(),
    )


def test_a_greeting_on_its_way_does_not_fail_when_the_entry_stops():
    """Seen once beside load: the round of greetings failed in an entry that stopped."""
    with socket.create_server(("127.0.0.1", 0)) as silent:
        task = peers(f"127.0.0.1:{silent.getsockname()[1]}")

        async def run() -> None:
            greeting = asyncio.ensure_future(task._greet("peer"))
            reading = asyncio.ensure_future(task._read_configuration("peer"))
            while not task._channels:
                await asyncio.sleep(0)
            stopped = ensureDeferred(task.stop())
            await greeting
            assert await reading is None
            assert stopped.called
            await task._greet("peer")
            assert await task._read_configuration("peer") is None

        asyncio.run(run())
