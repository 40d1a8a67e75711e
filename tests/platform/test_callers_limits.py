"""The configuration's limits on callers, on connections from before they changed."""

import socket
from collections.abc import Iterator

import pytest
from attrs import define, field

from standins.site import wait_until
from tests.platform.site import HOST, KEY, GatewaySite, configuration, running_gateway

LOW, HIGH = 16 << 10, 32 << 10
LONG = 20 << 10


@define
class KeptCaller:
    """A caller that uses one connection for several requests."""

    port: int
    sent: int = 0
    _connection: socket.socket = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._connection = socket.create_connection(("127.0.0.1", self.port), 10)

    def ask(
        self, head_bytes: int = 0, field_bytes: int = 4_000, body: bytes = b""
    ) -> bytes:
        """Send a request whose fields add ``head_bytes``; returns the answer's head."""
        self.sent += 1
        lines = ["POST /again/x HTTP/1.1", f"Host: {HOST}", "Deadline-Ms: 3000"]
        lines += [f"Authorization: Bearer {KEY}", f"Content-Length: {len(body)}"]
        lines += [f"Request-Id: {self.port}-{id(self)}-{self.sent}"]
        for number in range(head_bytes // field_bytes):
            name = f"X-{number}: "
            lines.append(name + "v" * (field_bytes - len(name)))
        self._connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return self._read_answer()

    def _read_answer(self) -> bytes:
        data = b""
        while b"\r\n\r\n" not in data:
            more = self._connection.recv(65_536)
            if not more:
                return data
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        length = int(field_of(head, b"content-length") or 0)
        while len(body) < length:
            body += self._connection.recv(65_536)
        return head


def field_of(head: bytes, name: bytes) -> bytes:
    """The value of a field of an answer's head, empty if it has none."""
    for line in head.split(b"\r\n")[1:]:
        found, _, value = line.partition(b":")
        if found.lower() == name:
            return value.strip()
    return b""


def status_of(head: bytes) -> int:
    """The status of an answer's head, 0 if there is none."""
    return int(head.split(b" ")[1]) if head else 0


def limit(site: GatewaySite, **limits: int) -> None:
    """Put a configuration with other limits, and wait until it is in force."""
    site.version += 1
    changed = configuration(site.version)
    changed["limits"] = {name.replace("_", "-"): n for name, n in limits.items()}
    site.put([("op", "config", changed)])
    read = f"event=configuration_applied version={site.version} "
    wait_until(lambda: read in site.log(), "the limits are in force", 10)


@pytest.fixture(scope="module")
def site() -> Iterator[GatewaySite]:
    with running_gateway() as site:
        wait_until(site.ready, "it is ready", 20)
        yield site


@pytest.mark.parametrize("used", [False, True])
def test_a_raised_limit_on_heads_is_in_force_on_kept_connections(site, used):
    """Proper requests got 400 on connections from before the change (review/7)."""
    limit(site, max_header_bytes=LOW)
    kept = [KeptCaller(site.ports[0]) for _ in range(3)]
    if used:
        assert {status_of(each.ask()) for each in kept} == {200}
    limit(site, max_header_bytes=HIGH)
    assert {status_of(each.ask(LONG)) for each in kept} == {200}


@pytest.mark.parametrize("used", [False, True])
def test_a_lowered_limit_on_heads_is_in_force_on_kept_connections(site, used):
    """The limit that had been taken back was served for as long as they were kept."""
    limit(site, max_header_bytes=HIGH)
    kept = [KeptCaller(site.ports[0]) for _ in range(3)]
    if used:
        assert {status_of(each.ask(LONG)) for each in kept} == {200}
    limit(site, max_header_bytes=LOW)
    assert all(400 <= status_of(each.ask(LONG)) < 500 for each in kept)


@pytest.mark.parametrize(("head_bytes", "field_bytes"), [(LONG, LONG), (9_000, 15)])
def test_a_head_within_the_limit_is_served_whatever_its_fields(
    site, head_bytes, field_bytes
):
    """One field of 20 KB got no answer, and 600 short ones got 400."""
    limit(site, max_header_bytes=HIGH)
    caller = KeptCaller(site.ports[0])
    assert status_of(caller.ask(head_bytes, field_bytes)) == 200


@pytest.mark.parametrize("field_bytes", [4_000, 60_000])
def test_a_head_over_the_limit_gets_431_and_is_logged_with_its_id(site, field_bytes):
    """It got 400, as a malformed one does, or no answer, and no line of the log."""
    limit(site, max_header_bytes=HIGH)
    caller = KeptCaller(site.ports[0])
    answer = caller.ask(60_000, field_bytes)
    assert status_of(answer) == 431
    refused = f"request={caller.port}-{id(caller)}-1 outcome=head_too_large status=431"
    wait_until(lambda: refused in site.log(), "it is logged", 2)


@pytest.mark.parametrize(
    ("head_bytes", "body"), [(LONG, b""), (LONG * 4, b""), (0, b"x" * (5 << 20))]
)
def test_a_request_over_the_defaults_gets_503_before_the_first_read(head_bytes, body):
    """A configuration may allow it; callers never repeat after 400, 413 or 431."""
    with running_gateway() as site:
        limit(site, max_header_bytes=HIGH * 4, max_body_bytes=8 << 20)
        site.store(fault="silent")
        port, *_ = site.start_gateway("g2", wait=False)
        answer = KeptCaller(port).ask(head_bytes, body=body)
        assert status_of(answer) == 503
        assert float(field_of(answer, b"retry-after")) > 0
        assert "outcome=no_configuration status=503" in site.log("g2")
        site.store(fault="")
        read = f"event=configuration_applied version={site.version} "
        wait_until(lambda: read in site.log("g2"), "the first read", 20)
        wait_until(lambda: status_of(KeptCaller(port).ask()) == 200, "it serves", 10)
        assert status_of(KeptCaller(port).ask(head_bytes, body=body)) == 200
