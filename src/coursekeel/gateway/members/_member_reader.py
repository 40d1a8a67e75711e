"""Requests a table from one member of the group, once.

Owns nothing. Relies on `Fetcher` for the request and on `_reading_codec` to decode the
response; `SharedSource` decides which member is queried and whether a response counts.
"""

from http import HTTPStatus
from urllib.parse import quote

from attrs import define, frozen

from coursekeel.fetch import Fetcher, HttpReply
from coursekeel.forwarding import StorePosition
from coursekeel.gateway._adapters import Table
from coursekeel.gateway.members._peer_server import TABLES_PATH
from coursekeel.gateway.members._reading_codec import (
    RelayedTableRead,
    UnreadableTableRead,
    decode_table_read,
)

__all__ = ["MemberFailed", "MemberReader", "NothingNewer"]


@frozen
class NothingNewer:
    """The member has no copy of the table that is recent enough."""


@frozen
class MemberFailed:
    """A member gave no usable response; ``reason`` is for the log.

    ``received_bytes`` is how much of a response had arrived when it was abandoned.
    """

    reason: str
    received_bytes: int = 0


@define(eq=False)
class MemberReader:
    """Requests tables from members; ``group`` is sent with each request."""

    fetcher: Fetcher
    group: str

    async def request(
        self,
        address: str,
        table: Table,
        since: StorePosition | None,
        wait_ms: float,
        timeout_ms: float,
    ) -> RelayedTableRead | NothingNewer | MemberFailed:
        """Request a table's changes after ``since``, or the whole table if it is None.

        The member may hold the request for ``wait_ms``; the response must begin within
        ``timeout_ms``.
        """
        query = f"wait_ms={int(wait_ms)}"
        if since is not None:
            query += f"&since={since}"
        return await self._get(address, table, query, timeout_ms)

    async def request_configuration_above(
        self, address: str, version: int, timeout_ms: float
    ) -> RelayedTableRead | NothingNewer | MemberFailed:
        """Request the configuration if the member's is later than ``version``."""
        query = f"wait_ms=0&above={version}"
        return await self._get(address, Table.CONFIGURATION, query, timeout_ms)

    async def _get(
        self, address: str, table: Table, query: str, timeout_ms: float
    ) -> RelayedTableRead | NothingNewer | MemberFailed:
        group = quote(self.group, safe="")
        url = f"http://{address}{TABLES_PATH}{table.value}?group={group}&{query}"
        outcome = await self.fetcher.ask("GET", url, timeout_ms)
        if not isinstance(outcome, HttpReply):
            return MemberFailed(outcome.reason, outcome.received_bytes)
        if outcome.status == HTTPStatus.NOT_FOUND:
            return NothingNewer()
        if outcome.status != HTTPStatus.OK:
            return MemberFailed(f"status {outcome.status}")
        table_read = decode_table_read(outcome.body)
        if isinstance(table_read, UnreadableTableRead):
            return MemberFailed(f"unreadable response: {table_read.fault}")
        return table_read
