"""Whatever number a caller's header holds, it is answered, and so are others."""

import socket
import time

import pytest

from tests.platform.site import HOST, KEY, GatewaySite, running_gateway

LIMIT_S = 6.0
DIGITS = {"12": "9" * 12, "20": "9" * 20, "400": "9" * 400, "5000": "9" * 5_000}
HEADERS = ("deadline-ms", "last-event-id", "token-usage")


@pytest.fixture(scope="module")
def site():
    with running_gateway() as site:
        yield site


def status_of(site: GatewaySite, path: str, **headers: str) -> int | None:
    """Send a request in raw bytes; None if its connection closes without an answer."""
    lines = {
        "host": HOST,
        "request-id": "raw",
        "authorization": f"Bearer {KEY}",
        "deadline-ms": "5000",
        "content-length": "6",
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    with socket.create_connection(("127.0.0.1", site.ports[0]), LIMIT_S) as caller:
        caller.sendall(f"POST {path} HTTP/1.1\r\n{head}\r\nprompt".encode())
        answer = caller.recv(65_536)
    return int(answer.split(b" ", 2)[1]) if answer else None


@pytest.mark.parametrize("path", ["/stream/4", "/again/1", "/once/1"])
@pytest.mark.parametrize("name", HEADERS)
@pytest.mark.parametrize("digits", DIGITS)
def test_a_long_number_in_a_header_is_answered(site, digits, name, path):
    """Guards against a traceback in place of an answer, and a loop without end."""
    assert status_of(site, path, **{name: DIGITS[digits]}) == 200
    assert status_of(site, "/again/1") == 200


@pytest.mark.parametrize("path", ["/stream/4", "/again/1", "/once/1"])
@pytest.mark.parametrize("digits", DIGITS)
def test_a_body_announced_as_too_long_is_refused_at_once(site, digits, path):
    """Guards against waiting for a body that nobody can send."""
    began_s = time.monotonic()
    assert status_of(site, path, content_length=DIGITS[digits]) == 413
    assert time.monotonic() - began_s < 1
    assert status_of(site, "/again/1") == 200


def test_a_caller_that_sends_all_of_a_refused_body_can_read_the_refusal(site):
    assert site.ask("/once/1", b"b" * 1_000_000).status == 413
    assert "Traceback" not in site.log()
