"""Start of a gateway: bad settings are reported; it waits for the store to serve."""

import os
import subprocess
import sys
import time

import orjson
import pytest

from coursekeel.settings import parse_gateway_settings
from standins.site import wait_until
from tests.platform.site import ROOT, GatewaySite, events, read

GOOD = {
    "instance_id": "g1",
    "zone": "ikeja",
    "listen": {"callers": "127.0.0.1:0", "readiness": "127.0.0.1:0"},
    "store": "127.0.0.1:1",
}


def run_gateway(tmp_path, text: str) -> subprocess.CompletedProcess:
    file = tmp_path / "settings.json"
    file.write_text(text)
    return subprocess.run(
        [sys.executable, "platform/serve.py"],
        cwd=ROOT,
        env=os.environ | {"COURSEKEEL_SETTINGS": str(file)},
        capture_output=True,
        text=True,
        timeout=30,
    )


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"store": "nowhere"}, "store: got 'nowhere', expected an address"),
        ({"timers": {"revoke_ms": 5}}, "timers.revoke_ms: got 5, expected at least"),
        ({"timers": {"revoke": 5}}, "revoke has no unit, write revoke_ms"),
        ({"listen": {"callers": "127.0.0.1:99999"}}, "listen.callers: got"),
        ({"surprise": 1}, "surprise"),
        ({"zone": None}, "zone"),
    ],
)
def test_bad_settings_are_reported_without_a_traceback(tmp_path, change, message):
    result = run_gateway(tmp_path, orjson.dumps(GOOD | change).decode())
    assert result.returncode == 64
    assert message in result.stderr
    assert "Traceback" not in result.stderr


def test_all_bad_settings_are_reported_together(tmp_path):
    bad = GOOD | {"store": "nowhere", "timers": {"revoke_ms": 5}, "surprise": 1}
    result = run_gateway(tmp_path, orjson.dumps(bad).decode())
    for name in ("store", "revoke_ms", "surprise"):
        assert name in result.stderr


def test_fractional_numbers_are_accepted_in_settings():
    timers = {"revoke_ms": 4_500.5, "grace_s": 7.5}
    retries = {"ratio": 1, "slack": 99.5, "window_s": 10}
    values = GOOD | {"timers": timers, "retries": retries}
    settings = parse_gateway_settings(values, "test")
    assert settings.timers.grace_ms == 7_500
    assert (
        settings.timers.configuration_hold_ms < settings.timers.max_key_age_ms < 4_500
    )


def test_a_missing_settings_file_is_reported(tmp_path):
    result = subprocess.run(
        [sys.executable, "platform/serve.py"],
        cwd=ROOT,
        env=os.environ | {"COURSEKEEL_SETTINGS": str(tmp_path / "none.json")},
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert result.returncode == 64
    assert "none.json: can't be read" in result.stderr


def test_a_gateway_refuses_requests_until_it_has_read_the_store(tmp_path):
    site = GatewaySite(tmp_path)
    try:
        site.start(6)
        site.store(fault="silent")
        ports = site.start_gateway("g2", wait=False)
        answer = site.ask("/again/x", port=ports[0])
        assert answer.status == 503 and "retry-after" in answer.headers
        assert not site.ready(ports)
        site.store(fault="")
        wait_until(lambda: site.ready(ports), "the store is read", 10)
        assert site.ask("/again/x", port=ports[0]).status == 200
    finally:
        site.stop()


def test_requests_wait_while_the_first_configuration_is_received(tmp_path):
    """After a crash of all instances callers retry only once, possibly while the first
    configuration still comes over a slow link."""
    site = GatewaySite(tmp_path)
    try:
        site.start(6)
        site.store(bytes_per_s=4_000)
        ports = site.start_gateway("g2", wait=False)
        assert not site.ready(ports)
        stream, single = (
            site.open(path, port=ports[0], deadline_ms="9000")[0]
            for path in ("/stream/20", "/again/x")
        )
        answers = [read(connection) for connection in (stream, single)]
        assert [answer.status for answer in answers] == [200, 200]
        assert answers[0].body == events(20)
        assert "request_refused" not in site.log("g2")
    finally:
        site.stop()


def test_waiting_requests_are_refused_once_the_store_read_fails(tmp_path):
    """The refusal comes at once, and no server has run the request."""
    site = GatewaySite(tmp_path)
    try:
        site.start(6)
        site.store(fault="reset")
        ports = site.start_gateway("g2", wait=False, store_ms=8_000)
        connection, request_id = site.open("/again/x", port=ports[0])
        start_s = time.monotonic()
        answer = read(connection)
        assert answer.status == 503 and "retry-after" in answer.headers
        assert time.monotonic() - start_s < 0.4, (
            "the limit is a tenth of the deadline, 0.5 s"
        )
        assert site.ran(request_id) == []
    finally:
        site.stop()


UNUSED_MODULES = (
    "coursekeel.entry",
    "coursekeel.intents",
    "coursekeel.membership",
    "coursekeel.peers",
    "grpc",
    "klein",
)


def test_a_gateway_imports_no_module_that_it_does_not_use():
    """Unused imports cost memory and start time on every instance."""
    code = "import sys, serve, coursekeel.gateway; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT / "platform",
    ).stdout.split()
    assert "coursekeel.gateway" in loaded
    assert not set(loaded) & set(UNUSED_MODULES)
