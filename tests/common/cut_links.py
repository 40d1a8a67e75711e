"""Cuts a gateway process off from servers, as a partition between machines does.

The file named by `COURSEKEEL_CUT_FILE` says how: `{"how": "hang", "ports": [...]}`.
Connections to those ports on this host hang (``hang``), are reset (``reset``), or live
on while new ones are refused (``live``); an empty ``how`` heals them. The process looks
at the file every 20 ms.

Connections that are open when ``how`` becomes ``mute`` never say anything again, while
new ones work; only those to ports that the file named before are known.
"""

import os
import socket
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import orjson

__all__ = ["CUT_FILE", "install", "write_cut"]

CUT_FILE = "COURSEKEEL_CUT_FILE"
_POLL_S = 0.02
# More than the kernel accepts for a listener with this backlog.
_FILLING_CONNECTIONS = 4


def write_cut(cut_file: Path, how: str, ports: Sequence[int]) -> None:
    """Say how the process that looks at the file is cut off."""
    new = cut_file.with_suffix(".new")
    new.write_bytes(orjson.dumps({"how": how, "ports": ports}))
    new.rename(cut_file)


def install() -> None:
    """Cut the links of this process as the file says, if one is named."""
    if path := os.environ.get(CUT_FILE):
        from twisted.internet import reactor

        _CutLinks(Path(path), reactor).start()


class _CutLinks:
    def __init__(self, path: Path, reactor: Any) -> None:
        self._path, self._reactor = path, reactor
        self._connect = reactor.connectTCP
        self._how, self._ports = "", frozenset[int]()
        self._open: list[Any] = []
        self._silent = _silent_port()
        self._refusing = _refusing_port()

    def start(self) -> None:
        self._reactor.connectTCP = self._connect_tcp
        self._poll()

    def _connect_tcp(self, host: str, port: int, factory: Any, *more: Any, **options):
        if self._how not in ("", "mute") and port in self._ports:
            cut_port = self._silent if self._how == "hang" else self._refusing
            return self._connect(host, cut_port, factory, *more, **options)
        connector = self._connect(host, port, factory, *more, **options)
        if port in self._ports:
            self._open.append(connector)
        return connector

    def _poll(self) -> None:
        if self._path.exists():
            try:
                state = orjson.loads(self._path.read_bytes())
            except orjson.JSONDecodeError:
                state = {"how": self._how, "ports": self._ports}  # half written
            self._ports = frozenset(state["ports"])
            if state["how"] != self._how:
                self._change(state["how"])
        self._open = [each for each in self._open if each.state != "disconnected"]
        self._reactor.callLater(_POLL_S, self._poll)

    def _change(self, how: str) -> None:
        was, self._how = self._how, how
        for connector in self._open:
            if connector.state != "connected":
                continue
            if how in ("hang", "mute"):
                connector.transport.pauseProducing()
            elif how == "reset":
                connector.transport.abortConnection()
            elif was == "hang":
                connector.transport.resumeProducing()


def _silent_port() -> int:
    """A port whose queue of new connections is full, so that they hang."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = [socket.socket() for _ in range(_FILLING_CONNECTIONS)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
    _kept.extend([listener, *fillers])
    return int(listener.getsockname()[1])


def _refusing_port() -> int:
    """A port that is bound and not listened on, so that connections are refused."""
    bound = socket.socket()
    bound.bind(("127.0.0.1", 0))
    _kept.append(bound)
    return int(bound.getsockname()[1])


_kept: list[socket.socket] = []
