"""HTTP requests through `treq`, with the limits that `ResponseWatchdog` enforces."""

from collections.abc import Mapping
from typing import Any

import treq
from attrs import define, field, frozen
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure
from twisted.web.iweb import UNKNOWN_LENGTH

from coursekeel.fetch._agent import DirectAgents, MaySend
from coursekeel.fetch._arrival import BodyCollector, ResponseWatchdog, Transfer
from coursekeel.fetch._overruns import Overrun, record_overrun
from coursekeel.fetch._own_link import OwnLink
from coursekeel.reactor import Reactor

__all__ = ["AnswerLost", "FetchOutcome", "Fetcher", "HttpReply", "NotReached"]


@frozen
class HttpReply:
    """A complete response; the names in ``headers`` are lower case."""

    status: int
    content_type: str
    body: bytes
    headers: Mapping[str, str] = field(factory=dict, eq=False)


@frozen
class NotReached:
    """The request wasn't sent, so it had no effect."""

    reason: str
    received_bytes: int = field(default=0, init=False)


@frozen
class AnswerLost:
    """The request may have taken effect, but no complete response arrived in time.

    ``received_bytes`` of the body had arrived; callers tell a slow response from a
    missing one by it.
    """

    reason: str
    received_bytes: int = 0


# An idle connection may have gone silent, which only a timeout shows.
_BRIEFLY_IDLE_S = 1.0

FetchOutcome = HttpReply | NotReached | AnswerLost


@define(eq=False)
class Fetcher:
    """Sends HTTP requests and never retries one, whatever its method.

    ``connect_ms`` and ``keeps_connections`` are those of `DirectAgents`. For long
    responses, ``transfer`` limits one whose head has arrived, and ``link`` is notified
    of its chunks. With ``closes_idle``, idle connections are kept only briefly, and
    none is used again after a response that didn't begin in time.
    """

    reactor: Reactor
    connect_ms: int
    keeps_connections: bool = True
    transfer: Transfer | None = None
    link: OwnLink | None = None
    closes_idle: bool = False
    _agents: DirectAgents = field(init=False)
    _client: Any = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._agents = DirectAgents(
            self.reactor, self.connect_ms, self.keeps_connections
        )
        if self.closes_idle:
            self._agents.keep_idle_for(_BRIEFLY_IDLE_S)
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
        """Send one request and read its whole response.

        The response must be complete within ``timeout_ms``; with a `transfer`, only its
        head must arrive in that time. ``may_send`` is called once connected; if it
        returns false, nothing is sent and the outcome is `NotReached`.
        """
        watchdog = ResponseWatchdog(self.reactor, timeout_ms, self.transfer, self.link)
        response: Deferred[HttpReply] = ensureDeferred(
            self._exchange(method, url, data, headers, watchdog, may_send)
        )
        watchdog.watch(response)
        try:
            return await response
        except ConnectError as failure:
            return NotReached(_connect_reason(failure))
        except Exception as failure:  # the request may have taken effect
            if self.closes_idle and watchdog.is_silent:
                self.close_idle()
            reason = watchdog.cancel_reason or f"{type(failure).__name__}: {failure}"
            return AnswerLost(reason, watchdog.received_bytes)
        finally:
            watchdog.stop()
            if watchdog.is_overrun:
                record_overrun(Overrun.BODY, url, watchdog.received_bytes)

    def close_idle(self) -> None:
        """Close the connections that aren't in use."""
        self._agents.close_idle()

    async def _exchange(
        self,
        method: str,
        url: str,
        data: bytes | None,
        headers: Mapping[str, str] | None,
        watchdog: ResponseWatchdog,
        may_send: MaySend | None,
    ) -> HttpReply:
        client = self._client
        if may_send is not None:
            client = treq.client.HTTPClient(self._agents.agent(may_send))
        response = await client.request(
            method, url, data=data, headers=headers, allow_redirects=False
        )
        has_length = response.length is not UNKNOWN_LENGTH
        watchdog.head_received(response.length if has_length else None)
        collector = BodyCollector(watchdog)
        response.deliverBody(collector)
        if watchdog.is_overrun:
            collector.body.cancel()
        headers = {
            name.decode("latin-1").lower(): values[-1].decode("latin-1")
            for name, values in response.headers.getAllRawHeaders()
        }
        content_type = headers.get("content-type", "")
        return HttpReply(response.code, content_type, await collector.body, headers)


def _connect_reason(failure: ConnectError) -> str:
    """Why a connection failed, without the traceback that a nested failure prints."""
    cause = failure.osError
    if isinstance(cause, Failure):
        return f"{type(failure).__name__}: {cause.getErrorMessage()}"
    return str(failure)
