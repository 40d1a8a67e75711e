"""One HTTP exchange through `treq`, within the limits that `AnswerArrival` keeps."""

from collections.abc import Mapping
from typing import Any

import treq
from attrs import define, field, frozen
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import ConnectError

from coursekeel.fetch._agent import DirectAgents, MaySend
from coursekeel.fetch._arrival import AnswerArrival, ArrivingBody, Transfer
from coursekeel.fetch._own_link import OwnLink
from coursekeel.reactor import Reactor

__all__ = ["AnswerLost", "FetchOutcome", "Fetcher", "HttpReply", "NotReached"]


@frozen
class HttpReply:
    """The whole answer; the names of its ``headers`` are lower case."""

    status: int
    content_type: str
    body: bytes
    headers: Mapping[str, str] = field(factory=dict, eq=False)


@frozen
class NotReached:
    """No connection was made, so the request surely had no effect."""

    reason: str
    received_bytes: int = field(default=0, init=False)


@frozen
class AnswerLost:
    """The request may have had its effect; its answer didn't come, or not in time.

    ``received_bytes`` of the answer's body came before it was given up: an answer that
    was on its way is another fault than one that never came.
    """

    reason: str
    received_bytes: int = 0


FetchOutcome = HttpReply | NotReached | AnswerLost


@define(eq=False)
class Fetcher:
    """Sends requests; never twice, whatever the method. See `DirectAgents`.

    If answers may be long, ``transfer`` says how one that has begun may come, and
    ``link`` is told of them.
    """

    reactor: Reactor
    connect_ms: int
    keeps_connections: bool = True
    transfer: Transfer | None = None
    link: OwnLink | None = None
    _agents: DirectAgents = field(init=False)
    _client: Any = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._agents = DirectAgents(
            self.reactor, self.connect_ms, self.keeps_connections
        )
        self._client = treq.client.HTTPClient(self._agents.agent())

    async def ask(
        self,
        method: str,
        url: str,
        timeout_ms: float,
        data: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        may_send: MaySend | None = None,
    ) -> FetchOutcome:
        """Send one request and read its whole answer.

        It must be here within ``timeout_ms``; if there is a `transfer`, it must begin
        within that time, and come as that says. ``may_send`` is asked again once a
        connection has been made; if it says no, nothing was reached.
        """
        arrival = AnswerArrival(self.reactor, timeout_ms, self.transfer, self.link)
        exchange: Deferred[HttpReply] = ensureDeferred(
            self._exchange(method, url, data, headers, arrival, may_send)
        )
        arrival.watch(exchange)
        try:
            return await exchange
        except ConnectError as failure:
            return NotReached(str(failure))
        except Exception as failure:  # every other loss leaves the effect open
            reason = arrival.given_up or f"{type(failure).__name__}: {failure}"
            return AnswerLost(reason, arrival.received_bytes)
        finally:
            arrival.over()

    async def _exchange(
        self,
        method: str,
        url: str,
        data: bytes | None,
        headers: Mapping[str, str] | None,
        arrival: AnswerArrival,
        may_send: MaySend | None,
    ) -> HttpReply:
        client = self._client
        if may_send is not None:
            client = treq.client.HTTPClient(self._agents.agent(may_send))
        response = await client.request(
            method, url, data=data, headers=headers, allow_redirects=False
        )
        arrival.begun()
        body = ArrivingBody(arrival)
        response.deliverBody(body)
        headers = {
            name.decode("latin-1").lower(): values[-1].decode("latin-1")
            for name, values in response.headers.getAllRawHeaders()
        }
        kind = headers.get("content-type", "")
        return HttpReply(response.code, kind, await body.whole, headers)
