"""Copies of runs' memory between engines: what is sent, and what is kept."""

from typing import Any

import orjson
import treq
from twisted.internet.task import LoopingCall
from twisted.web.client import Agent, HTTPConnectionPool

SEND_EVERY_S = 0.1
KEPT_AFTER_LAST_PART_S = 10.0
ANSWER_TIMEOUT_S = 1.0


class KeptCopies:
    """How many tokens of other engines' runs this engine holds."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._tokens: dict[str, int] = {}
        self._expiry: dict[str, Any] = {}

    @property
    def tokens(self) -> int:
        return sum(self._tokens.values())

    def put(self, run_id: str, tokens: int) -> None:
        self._tokens[run_id] = max(tokens, self._tokens.get(run_id, 0))
        self._cancel_expiry(run_id)
        self._expiry[run_id] = self._reactor.callLater(
            KEPT_AFTER_LAST_PART_S, self.drop, run_id
        )

    def take(self, run_id: str) -> int | None:
        """The tokens of a copy, which serves once; None if there is none."""
        tokens = self._tokens.get(run_id)
        self.drop(run_id)
        return tokens

    def drop(self, run_id: str) -> None:
        self._tokens.pop(run_id, None)
        self._cancel_expiry(run_id)

    def _cancel_expiry(self, run_id: str) -> None:
        timer = self._expiry.pop(run_id, None)
        if timer is not None and timer.active():
            timer.cancel()


class _CopiedRun:
    def __init__(self, run: Any, address: str) -> None:
        self.run = run
        self.address = address
        self.sent_tokens = 0


class CopySender:
    """Sends what runs' memory grew by, several times a second."""

    def __init__(self, reactor: Any, counters: dict[str, int]) -> None:
        self._client = treq.client.HTTPClient(Agent(reactor, pool=_pool(reactor)))
        self._counters = counters
        self._copied: dict[str, _CopiedRun] = {}
        LoopingCall(self._send_all).start(SEND_EVERY_S, now=False)

    def follow(self, run: Any, address: str) -> None:
        """Keep a copy of the run at another engine until the run is over."""
        self._copied[run.run_id] = _CopiedRun(run, address)

    def forget(self, run_id: str) -> None:
        """The run ended well or was cancelled: nobody needs its copy."""
        copied = self._copied.pop(run_id, None)
        if copied is not None and copied.sent_tokens:
            self._ask("DELETE", copied.address, run_id, b"")

    def _send_all(self) -> None:
        for run_id, copied in self._copied.items():
            if not copied.run.prefilled:
                continue
            tokens = copied.run.prompt_tokens + copied.run.position
            grown = tokens - copied.sent_tokens
            if grown <= 0:
                continue
            copied.sent_tokens = tokens
            self._counters["copied_tokens"] += grown
            body = orjson.dumps({"tokens": tokens})
            self._ask("POST", copied.address, run_id, body)

    def _ask(self, method: str, address: str, run_id: str, body: bytes) -> None:
        url = f"http://{address}/copies/{run_id}"
        asked = self._client.request(
            method, url, data=body or None, timeout=ANSWER_TIMEOUT_S
        )
        asked.addCallback(treq.content)
        # A part that is lost is made good by the next: it tells the whole length.
        asked.addErrback(lambda _: None)


def _pool(reactor: Any) -> HTTPConnectionPool:
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 1
    return pool
