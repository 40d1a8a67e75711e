"""Callers that use the gateways as applications do, and record what they got.

Each caller is a thread with kept connections. It obeys `Retry-After` or doesn't, by its
number; takes a stream that broke up again, at another gateway, with the last event's
number; and sends a call that may run once again only after a refusal that promises that
it hasn't run. Owns its connections and its records.
"""

import socket
import threading
import time
from http.client import HTTPConnection, HTTPException, HTTPResponse
from random import Random

from attrs import define, field

from soak._records import CallKind, CallRecord

__all__ = ["Caller", "GuiltyCaller", "path_of"]

_HOST = "site.example"
_DEADLINE_MS = 4_000
# With 20 ms between two events; long streams meet more than one silence.
_STREAM_EVENTS = (40, 100)
# Between two requests of one caller, so that a few dozen don't fill a machine.
_PAUSE_S = 0.05
_REFUSALS = (408, 421, 429, 503)
_OK = 200
# The longest that a caller heeds a `Retry-After`.
_MOST_WAIT_S = 1.0
_TRIES = 3
# Between two tries of a request that ends its servers.
_GUILTY_PAUSE_S = 0.4
_READ_BYTES = 65_536


@define(eq=False)
class Caller(threading.Thread):
    """``ports`` are the gateways' as they are now; ``keys`` may be used."""

    number: int
    ports: dict[int, int]
    keys: tuple[str, ...]
    seed: int
    records: list[CallRecord] = field(factory=list)
    stopped: threading.Event = field(factory=threading.Event)
    _random: Random = field(init=False)
    _kept: dict[int, HTTPConnection] = field(factory=dict)
    _count: int = 0
    _stream_events: int = 0

    def __attrs_pre_init__(self) -> None:
        super().__init__(daemon=True)

    def __attrs_post_init__(self) -> None:
        self._random = Random(f"{self.seed}/{self.number}")

    def run(self) -> None:
        """Ask until told to stop."""
        kinds = list(CallKind)
        while not self.stopped.is_set():
            self._ask_until_served(self._random.choice(kinds))
            time.sleep(_PAUSE_S * self._random.random() * 2)

    def _ask_until_served(self, kind: CallKind) -> None:
        resumed_from = 0
        for _ in range(_TRIES):
            record = self._ask(kind, resumed_from)
            if self._is_over(record) or self.stopped.is_set():
                return
            resumed_from = record.events[-1] if record.events else resumed_from
            if record.retry_after_s is not None and self.number % 3:
                time.sleep(min(record.retry_after_s, _MOST_WAIT_S))

    def _is_over(self, record: CallRecord) -> bool:
        if record.kind is CallKind.ONCE:
            return record.status not in _REFUSALS
        return record.whole and record.status == _OK

    def _ask(self, kind: CallKind, resumed_from: int, guilty: str = "") -> CallRecord:
        self._count += 1
        gateway = self._random.choice(list(self.ports))
        record = CallRecord(
            kind,
            f"c{self.number}-{self._count}",
            gateway,
            self._random.choice(self.keys),
            time.monotonic(),
            resumed_from=resumed_from,
            wanted=self._wanted(kind, resumed_from, guilty),
            guilty=guilty,
            limit_s=_DEADLINE_MS / 1000,
        )
        self.records.append(record)
        try:
            self._exchange(record)
        except (HTTPException, OSError) as failure:
            record.timed_out = isinstance(failure, TimeoutError)
            self._kept.pop(gateway, None)
        record.ended_s = time.monotonic()
        return record

    def _wanted(self, kind: CallKind, resumed_from: int, guilty: str) -> int:
        """The number of a stream's last event.

        One that broke is as long as before, a guilty one always the same.
        """
        if kind is not CallKind.STREAM:
            return 0
        if guilty:
            return _STREAM_EVENTS[0]
        if not resumed_from:
            self._stream_events = self._random.choice(_STREAM_EVENTS)
        return self._stream_events

    def _exchange(self, record: CallRecord) -> None:
        connection = self._connection(record.gateway)
        connection.request("GET", path_of(record), headers=self._headers(record))
        record.any_byte = bool(connection.sock.recv(1, socket.MSG_PEEK))
        response = connection.getresponse()
        record.status = response.status
        record.signed_by = response.getheader("response-signature", "")
        retry_after = response.getheader("retry-after")
        record.retry_after_s = float(retry_after) if retry_after else None
        if record.kind is CallKind.STREAM and record.status == _OK:
            _read_events(response, record)
        else:
            record.body = response.read()
        record.whole = True
        if response.will_close:
            self._kept.pop(record.gateway, None)

    def _headers(self, record: CallRecord) -> dict[str, str]:
        headers = {
            "host": _HOST,
            "request-id": record.request_id,
            "deadline-ms": str(_DEADLINE_MS),
            "authorization": f"Bearer {record.key}",
        }
        if record.resumed_from:
            headers["last-event-id"] = str(record.resumed_from)
        return headers

    def _connection(self, gateway: int) -> HTTPConnection:
        port = self.ports[gateway]
        kept = self._kept.get(gateway)
        if kept is None or kept.port != port:
            kept = HTTPConnection("127.0.0.1", port, timeout=_DEADLINE_MS / 1000 + 1)
            self._kept[gateway] = kept
        return kept


@define(eq=False)
class GuiltyCaller(Caller):
    """Sends a request that ends its servers again and again, at any gateway.

    Always with the same key, so that it is the same request each time.
    """

    kind: CallKind = CallKind.STREAM
    guilty: str = ""

    def run(self) -> None:
        """Ask until told to stop."""
        while not self.stopped.is_set():
            self._ask(self.kind, 0, self.guilty)
            self.stopped.wait(_GUILTY_PAUSE_S)


def path_of(record: CallRecord) -> str:
    """What is asked for; a guilty request's path names it."""
    parts = (record.kind.value, record.guilty, str(record.wanted or "x"))
    return "/" + "/".join(each for each in parts if each)


def _read_events(response: HTTPResponse, record: CallRecord) -> None:
    """Raises `IncompleteRead` or `OSError` if the stream breaks."""
    rest = b""
    while data := response.read1(_READ_BYTES):
        *events, rest = (rest + data).split(b"\n\n")
        numbers = (each.partition(b"\n")[0] for each in events)
        record.events += [int(each.removeprefix(b"id: ")) for each in numbers]
