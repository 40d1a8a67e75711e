"""Client of the platform over HTTP and JSON."""

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
from coursekeel.items import log_unreadable, read_each
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

# Limits of an object's transfer once it has begun: a prompt of 4 MiB takes 7 s at
# 5 Mbit/s, longer than the timeout of a call.
_OBJECT_TRANSFER = Transfer(pause_ms=1_000, max_ms=20_000, most_bytes=64 << 20)


@mutable
class StoreCounters:
    """Counts of calls to the store and of failed calls."""

    reads: int = 0
    writes: int = 0
    failures: int = 0


@mutable(eq=False)
class HttpPlatform(Platform):
    """A `Platform` whose service is at ``base_url``.

    ``timeout_ms`` bounds each call; of an object that is read it bounds the time to the
    response's head.
    """

    reactor: Reactor
    base_url: str
    timeout_ms: int
    counters: StoreCounters = field(factory=StoreCounters)
    _fetcher: Fetcher = field(init=False)
    _object_reader: Fetcher = field(init=False)

    def __attrs_post_init__(self) -> None:
        # The fetcher never repeats a request: after a lost response that could write
        # twice.
        self._fetcher = Fetcher(self.reactor, self.timeout_ms)
        self._object_reader = Fetcher(
            self.reactor, self.timeout_ms, transfer=_OBJECT_TRANSFER
        )

    async def transact(self, transaction: Transaction) -> TransactOutcome:
        """Apply a transaction to the table."""
        self.counters.writes += 1
        body = {"expected": transaction.expected, "writes": transaction.writes}
        reply = await self._call("POST", "/table/transact", orjson.dumps(body))
        if isinstance(reply, HttpReply) and reply.status == HTTPStatus.CONFLICT:
            rows = orjson.loads(reply.body)["rows"]
            return Conflict({key: _row(key, value) for key, value in rows.items()})
        outcome = self._write_outcome(reply)
        if isinstance(outcome, Committed) and isinstance(reply, HttpReply):
            return Committed(orjson.loads(reply.body)["versions"])
        return outcome

    async def read(self, keys: list[str]) -> Rows | Unavailable:
        """Read rows by key."""
        self.counters.reads += 1
        body = orjson.dumps({"keys": keys})
        return self._rows(await self._call("POST", "/table/read", body))

    async def scan(self, prefix: str, limit: int) -> Rows | Unavailable:
        """Read up to ``limit`` rows whose keys start with ``prefix``."""
        self.counters.reads += 1
        path = f"/table/scan?prefix={quote(prefix, safe='')}&limit={limit}"
        return self._rows(await self._call("GET", path))

    async def put_object(
        self, key: str, data: bytes
    ) -> Committed | Unavailable | Unsure:
        """Store a whole object."""
        self.counters.writes += 1
        return self._write_outcome(await self._call("PUT", _object_path(key), data))

    async def get_object(self, key: str) -> Fetched | Unavailable:
        """Fetch an object."""
        self.counters.reads += 1
        url = self.base_url + _object_path(key)
        reply = await self._object_reader.ask("GET", url, self.timeout_ms)
        if isinstance(reply, HttpReply) and reply.status == HTTPStatus.OK:
            return Fetched(reply.body)
        if isinstance(reply, HttpReply) and reply.status == HTTPStatus.NOT_FOUND:
            return Fetched(None)
        return self._record_failure(reply)

    async def delete_object(self, key: str) -> Committed | Unavailable | Unsure:
        """Delete an object."""
        self.counters.writes += 1
        return self._write_outcome(await self._call("DELETE", _object_path(key)))

    async def list_instances(self) -> InstanceList | Unavailable:
        """Read the platform's list of instances."""
        reply = await self._call("GET", "/instances")
        if not isinstance(reply, HttpReply) or reply.status != HTTPStatus.OK:
            return self._record_failure(reply)
        listed = orjson.loads(reply.body)["instances"]
        instances = read_each(
            "instances",
            listed,
            _instance,
            ValueError,
            lambda raw, fault: log_unreadable("instances", raw, fault),
        )
        return InstanceList(tuple(each for each in instances if each is not None))

    async def _call(
        self, method: str, path: str, data: bytes | None = None
    ) -> FetchOutcome:
        url = self.base_url + path
        return await self._fetcher.ask(method, url, self.timeout_ms, data)

    def _record_failure(self, reply: FetchOutcome) -> Unavailable:
        self.counters.failures += 1
        if isinstance(reply, HttpReply):
            return Unavailable(f"status {reply.status}")
        return Unavailable(reply.reason)

    def _write_outcome(self, reply: FetchOutcome) -> Committed | Unavailable | Unsure:
        if isinstance(reply, HttpReply) and reply.status == HTTPStatus.OK:
            return Committed()
        failure = self._record_failure(reply)
        if isinstance(reply, AnswerLost):
            return Unsure(failure.reason)
        if (
            isinstance(reply, HttpReply)
            and reply.status != HTTPStatus.SERVICE_UNAVAILABLE
        ):
            return Unsure(failure.reason)
        return failure

    def _rows(self, reply: FetchOutcome) -> Rows | Unavailable:
        if not isinstance(reply, HttpReply) or reply.status != HTTPStatus.OK:
            return self._record_failure(reply)
        rows = orjson.loads(reply.body)["rows"]
        return Rows({key: _existing_row(key, value) for key, value in rows.items()})


def _object_path(key: str) -> str:
    return "/objects/" + quote(key, safe="")


def _existing_row(key: str, raw: dict[str, Any]) -> Row:
    return Row(key, raw["version"], raw["value"])


def _row(key: str, raw: dict[str, Any] | None) -> Row | None:
    return None if raw is None else _existing_row(key, raw)


def _instance(raw: Any) -> ListedInstance:
    """Convert one instance; raises `ValueError`, which names the field."""
    if not isinstance(raw, dict):
        raise ValueError(f"got {raw!r:.40}, expected an object")
    for name in ("instance_id", "kind", "zone", "address"):
        if not isinstance(raw.get(name), str):
            raise ValueError(f"{name}: got {raw.get(name)!r:.40}, expected a text")
    return ListedInstance(
        instance_id=raw["instance_id"],
        kind=raw["kind"],
        zone=raw["zone"],
        address=raw["address"],
        leaving=bool(raw.get("leaving", False)),
    )
