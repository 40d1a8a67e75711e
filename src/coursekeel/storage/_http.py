"""The platform over HTTP and JSON, met through `treq`."""

from http import HTTPStatus
from typing import Any
from urllib.parse import quote

import orjson
from attrs import field, mutable

from coursekeel.fetch import (
    AnswerLost,
    Fetcher,
    FetchOutcome,
    HttpReply,
    Transfer,
)
from coursekeel.reactor import Reactor
from coursekeel.storage._interface import (
    Committed,
    Conflict,
    Fetched,
    InstanceList,
    ListedInstance,
    Platform,
    Row,
    Rows,
    Transaction,
    TransactOutcome,
    Unavailable,
    Unsure,
)

__all__ = ["HttpPlatform", "StoreCounters"]

# How an object may come once it has begun. A prompt of 4 MiB takes 7 s at 5 Mbit/s; an
# answer whose prompt had to come within the limit on a call was never adopted over such
# a link.
_OBJECT_TRANSFER = Transfer(pause_ms=1_000, most_ms=20_000, most_bytes=64 << 20)


@mutable
class StoreCounters:
    """How often the store was asked; both users weigh its load."""

    reads: int = 0
    writes: int = 0
    failures: int = 0


@mutable(eq=False)
class HttpPlatform(Platform):
    """A `Platform` whose service is reached at ``base_url``.

    ``timeout_ms`` bounds each call; an object that is read must begin within it.
    """

    reactor: Reactor
    base_url: str
    timeout_ms: int
    counters: StoreCounters = field(factory=StoreCounters)
    _fetcher: Fetcher = field(init=False)
    _object_reader: Fetcher = field(init=False)

    def __attrs_post_init__(self) -> None:
        # The fetcher never repeats a request: that would turn "answer lost" into a
        # second write that coursekeel never decided on.
        self._fetcher = Fetcher(self.reactor, self.timeout_ms)
        self._object_reader = Fetcher(
            self.reactor, self.timeout_ms, transfer=_OBJECT_TRANSFER
        )

    async def transact(self, transaction: Transaction) -> TransactOutcome:
        """Apply a transaction to the table."""
        self.counters.writes += 1
        body = {"expected": transaction.expected, "writes": transaction.writes}
        reply = await self._ask("POST", "/table/transact", orjson.dumps(body))
        if isinstance(reply, HttpReply) and reply.status == HTTPStatus.CONFLICT:
            rows = orjson.loads(reply.body)["rows"]
            return Conflict({key: _row(key, value) for key, value in rows.items()})
        written = self._written(reply)
        if isinstance(written, Committed) and isinstance(reply, HttpReply):
            return Committed(orjson.loads(reply.body)["versions"])
        return written

    async def read(self, keys: list[str]) -> Rows | Unavailable:
        """Read rows by key."""
        self.counters.reads += 1
        body = orjson.dumps({"keys": keys})
        return self._rows(await self._ask("POST", "/table/read", body))

    async def scan(self, prefix: str, limit: int) -> Rows | Unavailable:
        """Read up to ``limit`` rows whose keys start with ``prefix``."""
        self.counters.reads += 1
        path = f"/table/scan?prefix={quote(prefix, safe='')}&limit={limit}"
        return self._rows(await self._ask("GET", path))

    async def put_object(
        self, key: str, data: bytes
    ) -> Committed | Unavailable | Unsure:
        """Store an object whole."""
        self.counters.writes += 1
        return self._written(await self._ask("PUT", _object_path(key), data))

    async def get_object(self, key: str) -> Fetched | Unavailable:
        """Fetch an object."""
        self.counters.reads += 1
        url = self.base_url + _object_path(key)
        reply = await self._object_reader.ask("GET", url, self.timeout_ms)
        if isinstance(reply, HttpReply) and reply.status == HTTPStatus.OK:
            return Fetched(reply.body)
        if isinstance(reply, HttpReply) and reply.status == HTTPStatus.NOT_FOUND:
            return Fetched(None)
        return self._failed(reply)

    async def delete_object(self, key: str) -> Committed | Unavailable | Unsure:
        """Delete an object."""
        self.counters.writes += 1
        return self._written(await self._ask("DELETE", _object_path(key)))

    async def list_instances(self) -> InstanceList | Unavailable:
        """Read the platform's list of instances."""
        reply = await self._ask("GET", "/instances")
        if not isinstance(reply, HttpReply) or reply.status != HTTPStatus.OK:
            return self._failed(reply)
        listed = orjson.loads(reply.body)["instances"]
        return InstanceList(tuple(_listed(each) for each in listed))

    async def _ask(
        self, method: str, path: str, data: bytes | None = None
    ) -> FetchOutcome:
        url = self.base_url + path
        return await self._fetcher.ask(method, url, self.timeout_ms, data)

    def _failed(self, reply: FetchOutcome) -> Unavailable:
        self.counters.failures += 1
        if isinstance(reply, HttpReply):
            return Unavailable(f"status {reply.status}")
        return Unavailable(reply.reason)

    def _written(self, reply: FetchOutcome) -> Committed | Unavailable | Unsure:
        if isinstance(reply, HttpReply) and reply.status == HTTPStatus.OK:
            return Committed()
        failed = self._failed(reply)
        if isinstance(reply, AnswerLost):
            return Unsure(failed.reason)
        if (
            isinstance(reply, HttpReply)
            and reply.status != HTTPStatus.SERVICE_UNAVAILABLE
        ):
            return Unsure(failed.reason)
        return failed

    def _rows(self, reply: FetchOutcome) -> Rows | Unavailable:
        if not isinstance(reply, HttpReply) or reply.status != HTTPStatus.OK:
            return self._failed(reply)
        rows = orjson.loads(reply.body)["rows"]
        return Rows({key: _present(key, value) for key, value in rows.items()})


def _object_path(key: str) -> str:
    return "/objects/" + quote(key, safe="")


def _present(key: str, raw: dict[str, Any]) -> Row:
    return Row(key, raw["version"], raw["value"])


def _row(key: str, raw: dict[str, Any] | None) -> Row | None:
    return None if raw is None else _present(key, raw)


def _listed(raw: dict[str, Any]) -> ListedInstance:
    return ListedInstance(
        instance_id=raw["instance_id"],
        kind=raw["kind"],
        zone=raw["zone"],
        address=raw["address"],
        leaving=bool(raw.get("leaving", False)),
    )
