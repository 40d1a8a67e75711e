"""A gateway that can't start says why; one without a store waits and refuses."""

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


def start(tmp_path, text: str) -> subprocess.CompletedProcess:
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
    ("change", "said"),
    [
        ({"store": "nowhere"}, "store: got 'nowhere', expected an address"),
        ({"timers": {"revoke_ms": 5}}, "timers.revoke_ms: got 5, expected at least"),
        ({"timers": {"revoke": 5}}, "revoke has no unit, write revoke_ms"),
        ({"listen": {"callers": "127.0.0.1:99999"}}, "listen.callers: got"),
        ({"surprise": 1}, "surprise"),
        ({"zone": None}, "zone"),
    ],
)
def test_bad_settings_are_named_without_a_traceback(tmp_path, change, said):
    done = start(tmp_path, orjson.dumps(GOOD | change).decode())
    assert done.returncode == 64
    assert said in done.stderr
    assert "Traceback" not in done.stderr


def test_every_bad_key_is_named_at_once(tmp_path):
    bad = GOOD | {"store": "nowhere", "timers": {"revoke_ms": 5}, "surprise": 1}
    done = start(tmp_path, orjson.dumps(bad).decode())
    for name in ("store", "revoke_ms", "surprise"):
        assert name in done.stderr


def test_fractions_are_taken_where_the_platform_may_give_them():
    timers = {"revoke_ms": 4_500.5, "grace_s": 7.5}
    retries = {"ratio": 1, "slack": 99.5, "window_s": 10}
    given = GOOD | {"timers": timers, "retries": retries}
    settings = parse_gateway_settings(given, "test")
    assert settings.timers.grace_ms == 7_500
    assert (
        settings.timers.configuration_hold_ms < settings.timers.max_key_age_ms < 4_500
    )


def test_a_missing_file_is_named(tmp_path):
    done = subprocess.run(
        [sys.executable, "platform/serve.py"],
        cwd=ROOT,
        env=os.environ | {"COURSEKEEL_SETTINGS": str(tmp_path / "none.json")},
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert done.returncode == 64
    assert "none.json: can't be read" in done.stderr


def test_without_a_store_it_refuses_and_serves_once_there_is_one(tmp_path):
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


def test_what_comes_while_the_first_configuration_is_on_its_way_is_served(tmp_path):
    """Callers of instances that all died come back once, within the fraction of a
    second that the first configuration takes over a thin link."""
    site = GatewaySite(tmp_path)
    try:
        site.start(6)
        site.store(bytes_per_s=4_000)
        ports = site.start_gateway("g2", wait=False)
        assert not site.ready(ports)
        stream, whole = (
            site.open(path, port=ports[0], deadline_ms="9000")[0]
            for path in ("/stream/20", "/again/x")
        )
        answers = [read(each) for each in (stream, whole)]
        assert [each.status for each in answers] == [200, 200]
        assert answers[0].body == events(20)
        assert "request_refused" not in site.log("g2")
    finally:
        site.stop()


def test_what_waits_for_the_first_configuration_is_refused_once_it_fails(tmp_path):
    """Nobody waits for what is known to be away, and nothing of it ran."""
    site = GatewaySite(tmp_path)
    try:
        site.start(6)
        site.store(fault="reset")
        ports = site.start_gateway("g2", wait=False, store_ms=8_000)
        connection, request_id = site.open("/again/x", port=ports[0])
        begun_s = time.monotonic()
        answer = read(connection)
        assert answer.status == 503 and "retry-after" in answer.headers
        assert time.monotonic() - begun_s < 0.4, "a tenth of its time is 0.5 s"
        assert site.ran(request_id) == []
    finally:
        site.stop()


UNUSED = (
    "coursekeel.entry",
    "coursekeel.intents",
    "coursekeel.membership",
    "coursekeel.peers",
    "grpc",
    "klein",
)


def test_a_gateway_loads_nothing_that_it_does_not_run():
    """Every instance pays for memory, and is away for as long as a start takes."""
    code = "import sys, serve, coursekeel.gateway; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT / "platform",
    ).stdout.split()
    assert "coursekeel.gateway" in loaded
    assert not set(loaded) & set(UNUSED)
