"""Asks one member of the group for a table, once.

Owns nothing. Relies on `Fetcher` for the question and on `_reading_codec` for what the
answer says; who is asked, and what an answer is worth, `SharedSource` decides.
"""

from http import HTTPStatus
from urllib.parse import quote

from attrs import define, frozen

from coursekeel.fetch import Fetcher, HttpReply
from coursekeel.forwarding import StoreMoment
from coursekeel.gateway._adapters import Table
from coursekeel.gateway.members._peer_server import TABLES_PATH
from coursekeel.gateway.members._reading_codec import (
    RelayedReading,
    UnreadableReading,
    decode_reading,
)

__all__ = ["MemberFailed", "MemberReader", "NothingNewer"]


@frozen
class NothingNewer:
    """A member knows no more than this instance does."""


@frozen
class MemberFailed:
    """A member gave no answer that can be used; ``reason`` is for the log.

    ``received_bytes`` of an answer that was given up had come.
    """

    reason: str
    received_bytes: int = 0


@define(eq=False)
class MemberReader:
    """Asks one member for a table."""

    fetcher: Fetcher
    group: str

    async def ask(
        self,
        address: str,
        table: Table,
        since: StoreMoment | None,
        wait_ms: float,
        timeout_ms: float,
    ) -> RelayedReading | NothingNewer | MemberFailed:
        """Ask once; the answer must begin within ``timeout_ms``."""
        query = f"wait_ms={int(wait_ms)}"
        if since is not None:
            query += f"&since={since}"
        return await self._ask(address, table, query, timeout_ms)

    async def ask_above(
        self, address: str, version: int, timeout_ms: float
    ) -> RelayedReading | NothingNewer | MemberFailed:
        """Ask for the configuration, if it is later than a version."""
        query = f"wait_ms=0&above={version}"
        return await self._ask(address, Table.CONFIGURATION, query, timeout_ms)

    async def _ask(
        self, address: str, table: Table, query: str, timeout_ms: float
    ) -> RelayedReading | NothingNewer | MemberFailed:
        group = quote(self.group, safe="")
        url = f"http://{address}{TABLES_PATH}{table.value}?group={group}&{query}"
        outcome = await self.fetcher.ask("GET", url, timeout_ms)
        if not isinstance(outcome, HttpReply):
            return MemberFailed(outcome.reason, outcome.received_bytes)
        if outcome.status == HTTPStatus.NOT_FOUND:
            return NothingNewer()
        if outcome.status != HTTPStatus.OK:
            return MemberFailed(f"status {outcome.status}")
        reading = decode_reading(outcome.body)
        if isinstance(reading, UnreadableReading):
            return MemberFailed(f"unreadable answer: {reading.fault}")
        return reading
