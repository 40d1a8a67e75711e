"""Stopping an entry while greetings to its peers are pending."""

import asyncio
import socket
from unittest.mock import Mock

from twisted.internet.defer import ensureDeferred

from coursekeel.entry.control._peers_task import PeersTask
from coursekeel.membership import Greeting


def make_peers_task(address: str) -> PeersTask:
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


def test_stopping_cancels_a_pending_greeting_without_failure():
    """Guards against a failed round of greetings in a stopping entry."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        task = make_peers_task(f"127.0.0.1:{listener.getsockname()[1]}")

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
