"""A server whose answers have invalid heads costs callers no more than a lost one."""

import time
from contextlib import suppress

import pytest
from attrs import define, field

from tests.platform.site import events, running_gateway
from tests.platform.test_unending_answers import (
    REQUESTS,
    ask_until_reached,
    list_server,
)
from tests.platform.unending import Exchange, Kind, UnendingServer

HEADS = {
    "status_000": b"HTTP/1.1 000 Some\r\n",
    "status_99": b"HTTP/1.1 99 Some\r\n",
    "status_plus": b"HTTP/1.1 +200 OK\r\n",
    "blank_in_name": b"HTTP/1.1 200 OK\r\nX More: 1\r\n",
    "control_byte_in_name": b"HTTP/1.1 200 OK\r\nX\x01More: 1\r\n",
    "blank_after_length": b"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n",
    "nul_in_value": b"HTTP/1.1 200 OK\r\nX-More: 1\x002\r\n",
    "carriage_return_in_value": b"HTTP/1.1 200 OK\r\nX-More: 1\rX-Other: 2\r\n",
}
OWN = (
    b"Request-Id: %(id)s\r\nResponse-Signature: sig-u\r\nContent-Length: 4\r\n\r\nbody"
)


@define(eq=False)
class InvalidServer(UnendingServer):
    """Answers each request with one head and a body, and keeps the connection open."""

    head: bytes = field(kw_only=True)

    def _send(self, connection, kind: Kind, request_id: bytes, to: Exchange) -> None:
        connection.sendall(self.head + OWN.replace(b"%(id)s", request_id))
        connection.settimeout(5)
        with suppress(OSError):
            connection.recv(1)


@pytest.fixture(scope="module")
def site():
    with running_gateway(servers=9, engines=5) as site:
        yield site


@pytest.mark.parametrize("path", ["/again/1", "/once/1", "/stream/4"])
@pytest.mark.parametrize("head", HEADS)
def test_an_invalid_head_is_never_passed_on(site, head, path):
    service = "engines" if "stream" in path else "plain"
    server = InvalidServer("no_protocol", head=HEADS[head])
    server.start()
    identity = f"u-{head}-{path}"
    try:
        list_server(site, server, service, identity)
        asked = ask_until_reached(site, server, path)
    finally:
        site.put([("servers", identity, None)])
        server.stop()
        time.sleep(0.3)
    assert len(asked) % REQUESTS == 0, "a caller couldn't read its answer"
    answers = [each.answer for each in asked]
    # A request that isn't repeatable may have run at the server: it fails, as one whose
    # answer was lost.
    allowed = {200, 502} if "once" in path else {200}
    assert {answer.status for answer in answers} <= allowed
    for answer in answers:
        assert not any(name.startswith("x") for name in answer.headers)
        if answer.status == 200 and "stream" in path:
            assert answer.body == events(4)
    assert site.log().count("event=response_malformed") >= 1
