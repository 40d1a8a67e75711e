"""A caller's request whose head isn't valid is refused, and reaches no server."""

import socket

import pytest

from tests.platform.site import HOST, KEY, running_gateway

OWN = f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\nDeadline-Ms: 3000\r\n".encode()
LINES = [
    *(b"X%bMore: 1" % bad for bad in (b" ", b"\t", b"\x00", b"\r", b"\x01", b"\x7f")),
    *(b"X%bMore: 1" % bad for bad in (b"(", b"/", b"@", b"\xe9", b",")),
    b"Content-Length : 4",
    b"Transfer-Encoding\t: chunked",
    b": 1",
    b"X-More",
    b"X-More: 1\x002",
    b"X-More: 1\r2",
    *(b"Content-Length: %b" % bad for bad in (b"+4", b"-4", b"1_0", b"0x4", b"")),
    b"Content-Length: 0\r\nTransfer-Encoding: chunked",
    b"Content-Length: 0\r\nContent-Length: 1",
]


@pytest.fixture(scope="module")
def site():
    with running_gateway() as site:
        yield site


@pytest.mark.parametrize("in_pieces", [False, True])
@pytest.mark.parametrize("line", LINES, ids=ascii)
def test_a_request_with_an_invalid_head_is_refused_and_not_forwarded(
    site, line, in_pieces
):
    request_id = f"head-{LINES.index(line)}-{in_pieces}"
    own = OWN + f"Request-Id: {request_id}\r\n".encode()
    data = b"POST /once/1 HTTP/1.1\r\n" + own + line + b"\r\n\r\n"
    step = 1 if in_pieces else len(data)
    with socket.create_connection(("127.0.0.1", site.ports[0]), 5) as caller:
        for start in range(0, len(data), step):
            caller.sendall(data[start : start + step])
        answer = caller.recv(4_096)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert site.ran(request_id) == []
    assert site.ask("/again/1").status == 200
