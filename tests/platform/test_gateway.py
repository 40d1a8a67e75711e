"""Tests the gateway process against a stand-in of the platform, on real sockets."""

import signal
import threading

import pytest

from standins.site import wait_until
from tests.platform.site import KEY, configuration, events, read, running_gateway


@pytest.fixture(scope="module")
def shared_site():
    with running_gateway() as site:
        yield site


@pytest.fixture
def site(shared_site):
    shared_site.forget()
    shared_site.store(fault="")
    wait_until(shared_site.ready, "the gateway is ready")
    return shared_site


# Unary responses.


def test_a_request_and_its_response_are_forwarded_unaltered(site):
    answer = site.ask("/once/a%2Fb?q=1", b"the body", x_other="kept", tenant="forged")
    assert answer.status == 200
    assert answer.headers["response-signature"].startswith("sig-s")
    request_id = answer.body.split()[1].decode()
    (run,) = site.ran(request_id)
    assert run["path"] == "/once/a%2Fb?q=1"
    assert run["body"] == "the body"
    assert run["headers"]["x-other"] == "kept"
    assert run["headers"]["tenant"] == "team-1"
    assert run["headers"]["host"] == "site.example"
    assert run["headers"]["expect-instance"] == run["server"]
    assert "authorization" not in run["headers"]
    assert 0 < int(run["headers"]["deadline-ms"]) <= 4_000


@pytest.mark.parametrize("fault", ["reset", "torn", "foreign", "unsigned"])
def test_a_non_idempotent_request_is_sent_once_and_fails_with_502(site, fault):
    site.plain_faults(**{fault: 9})
    answer = site.ask("/once/x", b"b", request_id=f"once-{fault}")
    assert answer.status == 502
    assert "response-signature" not in answer.headers
    assert len(site.ran(f"once-{fault}")) == 1


@pytest.mark.parametrize("fault", ["reset", "torn", "foreign", "unsigned", "fail"])
def test_an_idempotent_request_is_retried_at_a_second_server(site, fault):
    for name in ("s3", "s4", "s5"):
        site.faults(name, **{fault: 1})
    answer = site.ask("/again/x", request_id=f"again-{fault}")
    servers = [run["server"] for run in site.ran(f"again-{fault}")]
    assert len(servers) == len(set(servers)) == 2
    assert answer.status in (200, 500, 502)


def test_an_idempotent_request_is_retried_when_a_server_sheds_it(site):
    site.faults("s3", shed=1)
    site.faults("s4", shed=1)
    answer = site.ask("/again/shed")
    assert answer.status in (200, 503)


def test_a_request_that_all_servers_shed_gets_503_with_retry_after(site):
    site.plain_faults(shed=9)
    answer = site.ask("/once/x", b"b", request_id="all-shed")
    assert answer.status == 503
    assert 0 < float(answer.headers["retry-after"]) < 2
    assert site.ran("all-shed") == []


def test_a_response_without_a_length_is_complete_if_the_server_closes(site):
    site.plain_faults(unframed=1)
    answer = site.ask("/once/unframed", b"b")
    assert answer.status == 200 and answer.body.startswith(b"s")


def test_a_response_without_a_length_is_lost_if_the_server_resets(site):
    site.plain_faults(unframed_reset=9)
    assert site.ask("/once/unframed", b"b").status == 502


def test_a_request_gets_504_at_the_timeout_of_its_route(site):
    site.plain_faults(mute=9)
    answer = site.ask("/hasty/x", request_id="hasty")
    assert answer.status == 504
    wait_until(lambda: "hasty" not in site.open_runs(), "the run is cancelled")


def test_a_run_is_cancelled_when_the_caller_disconnects(site):
    site.plain_faults(mute=9)
    connection, request_id = site.open("/once/x", b"b")
    wait_until(lambda: request_id in site.open_runs(), "the run starts")
    connection.close()
    wait_until(lambda: request_id not in site.open_runs(), "the run is cancelled", 2)


def test_a_body_over_the_limit_is_413_and_reaches_no_server(site):
    answer = site.ask("/once/x", b"b" * 2_001, request_id="large")
    assert answer.status == 413
    assert site.ran("large") == []


# Streams.


def test_a_stream_is_forwarded_completely(site):
    answer = site.ask("/stream/8")
    assert (answer.status, answer.body, answer.whole) == (200, events(8), True)


def test_a_stream_resumes_after_the_last_event_id_of_the_caller(site):
    answer = site.ask("/stream/8", last_event_id="5")
    assert (answer.body, answer.whole) == (events(8, start=6), True)


@pytest.mark.parametrize("fault", ["cut_at", "dark_at"])
def test_a_stream_resumes_from_its_copy_at_another_server(site, fault):
    for name in ("s0", "s1", "s2"):
        site.faults(name, **{fault: 6})
    # Keep the fault only at the server that was chosen, so that its copy can resume.
    connection, request_id = site.open("/stream/12")
    wait_until(lambda: site.ran(request_id), "the run starts")
    first = site.ran(request_id)[0]["server"]
    for name in {"s0", "s1", "s2"} - {first}:
        site.faults(name)
    answer = read(connection)
    assert (answer.status, answer.body, answer.whole) == (200, events(12), True)
    assert answer.headers["response-signature"] == f"sig-{first}"
    _, second = site.ran(request_id)
    assert second["headers"]["last-event-id"] == "5"
    assert second["headers"]["kv-from"].endswith(f"/{request_id}")
    assert second["server"] != first


def test_a_stream_resumes_from_a_copy_whose_server_has_a_new_incarnation(site):
    """The copy is looked up by address, since its server's id may have changed."""
    for number in range(3):
        site.faults(f"s{number}", cut_at=40)
    connection, request_id = site.open("/stream/45")
    wait_until(lambda: site.ran(request_id), "the run starts")
    first = site.ran(request_id)[0]
    copy_address = first["headers"]["kv-backup"]
    number = site.server_ports.index(int(copy_address.split(":")[1]))
    for other in {0, 1, 2} - {int(first["server"][1:])}:
        site.faults(f"s{other}")
    site.rename(number, f"t{number}")
    answer = read(connection)
    site.rename(number, f"s{number}")
    gone = f"event=endpoint_gone endpoint=t{number}"
    wait_until(lambda: gone in site.log(), "the endpoint list is read", 5)
    assert (answer.body, answer.whole) == (events(45), True)
    (second,) = (run for run in site.ran(request_id) if run != first)
    assert second["headers"]["kv-from"] == f"{copy_address}/{request_id}"
    assert second["headers"]["expect-instance"] == f"t{number}"


def test_a_stream_is_not_resumed_after_its_caller_disconnects(site):
    connection, request_id = site.open("/stream/200")
    wait_until(lambda: site.ran(request_id), "the run starts")
    connection.close()
    wait_until(lambda: request_id not in site.open_runs(), "the run is cancelled", 2)
    assert len(site.ran(request_id)) == 1


def test_a_stream_leaves_servers_that_are_unresponsive_before_the_first_event(site):
    for name in ("s0", "s1"):
        site.faults(name, dark=True)
    answer = site.ask("/stream/5")
    assert (answer.body, answer.whole) == (events(5), True)


def test_a_stream_leaves_servers_that_accept_it_and_never_run_it(site):
    for name in ("s0", "s1"):
        site.faults(name, hang=9)
    connection, request_id = site.open("/stream/5")
    answer = read(connection)
    assert (answer.body, answer.whole) == (events(5), True)
    assert site.ran(request_id)[-1]["server"] == "s2"


# Configuration and endpoint list.


def test_unknown_routes_get_404_and_unknown_keys_401(site):
    assert site.ask("/nowhere/x").status == 404
    assert site.ask("/again/x", key="").status == 401
    assert site.ask("/again/x", key="unheard").status == 401
    assert site.ask("/open/x", key="").status == 200


def test_a_configuration_change_takes_effect_within_two_seconds(site):
    site.configure(keys=(KEY, "key-2"))
    wait_until(lambda: site.ask("/again/x", key="key-2").status == 200, "in force", 2)
    site.configure()
    wait_until(lambda: site.ask("/again/x", key="key-2").status == 401, "revoked", 2)


def test_a_lower_configuration_version_is_never_applied(site):
    site.configure(keys=(KEY, "key-3"))
    wait_until(lambda: site.ask("/again/x", key="key-3").status == 200, "in force", 2)
    site.version -= 2
    site.configure()
    site.put([("op", "other", {})])
    assert site.ask("/again/x", key="key-3").status == 200
    site.version += 1
    site.configure()
    wait_until(lambda: site.ask("/again/x", key="key-3").status == 401, "in force", 2)


@pytest.mark.parametrize("fault", ["503", "429", "reset", "silent"])
def test_keys_are_refused_while_the_cached_configuration_is_too_old(site, fault):
    """A key may have been revoked while the store is unreachable."""
    site.store(fault=fault)
    wait_until(lambda: not site.ready(), "the cached configuration is too old", 5)
    answer = site.ask("/again/x", request_id=f"old-{fault}")
    assert answer.status == 503 and "retry-after" in answer.headers
    assert site.ran(f"old-{fault}") == []
    assert site.ask("/nowhere/x").status == 503
    assert site.ask("/open/x", key="").status == 200
    site.store(fault="")
    wait_until(site.ready, "the store is back", 10)
    assert site.ask("/again/x").status == 200


def test_cached_keys_are_accepted_in_a_store_outage_without_strict_revoke(site):
    """Without `strict_revoke`, an outage refuses no cached key and no cached route."""
    bounds = {"strict_revoke": False, "configuration_ms": 500, "stretch_ms": 60_000}
    ports = site.start_gateway("g8", revoke_ms=400, **bounds)
    site.store(fault="silent")
    wait_until(lambda: "event=store_lost" in site.log("g8"), "the store is lost", 10)
    wait_until(
        lambda: not site.ready(), "the instance with strict_revoke is not ready", 10
    )
    answer = site.ask("/again/x", port=ports[0])
    assert answer.status == 200
    assert site.ready(ports)
    # Keys and routes that aren't cached may be new, so they get 503, not 401 or 404.
    assert site.ask("/again/x", port=ports[0], key="unheard").status == 503
    assert site.ask("/nowhere/x", port=ports[0]).status == 503


def test_tables_are_read_again_whole_after_the_store_compacts_its_history(site):
    site.store(compact=True)
    site.put_server(3, "draining")
    site.configure(keys=(KEY, "key-4"))
    wait_until(lambda: site.ask("/again/x", key="key-4").status == 200, "in force", 10)
    site.put_server(3)


def test_servers_whose_rows_lapsed_in_a_store_outage_keep_serving(site):
    """A row that isn't back about two seconds after the store counts as gone."""
    timers = {"endpoints_hold_ms": 300, "endpoints_lapse_ms": 0}
    ports = site.start_gateway("g7", endpoints_return_ms=1_500, **timers)

    def wait_for_log(text: str) -> None:
        wait_until(lambda: text in site.log("g7"), text, 10)

    site.store(fault="503")
    wait_for_log("event=store_lost table=endpoints")
    site.put([("servers", f"s{number}", None) for number in (3, 4, 5)])
    site.store(fault="")
    wait_for_log("event=store_back table=endpoints")
    assert site.ask("/open/x", key="", port=ports[0]).status == 200
    site.put_server(3)
    wait_for_log("event=endpoint_gone endpoint=s5 reason=not_back")
    for _ in range(4):
        connection, request_id = site.open("/open/x", key="", port=ports[0])
        assert read(connection).status == 200
        assert {run["server"] for run in site.ran(request_id)} == {"s3"}
    for number in (4, 5):
        site.put_server(number)


def test_a_draining_server_gets_no_new_requests(site):
    for number in (3, 4):
        site.put_server(number, "draining")
    wait_until(
        lambda: site.log().count("endpoint_leaving") >= 2, "the rows are read", 3
    )
    request_ids = [f"drain-{number}" for number in range(10)]
    for request_id in request_ids:
        assert site.ask("/again/x", request_id=request_id).status == 200
    assert {
        run["server"] for request_id in request_ids for run in site.ran(request_id)
    } == {"s5"}
    for number in (3, 4):
        site.put_server(number)


def test_the_tables_are_followed_after_unreadable_rows(site):
    """Otherwise a draining server would go on getting new requests."""
    bad_row = site.server_row(3)[2] | {"address": 7}
    site.version += 1
    unreadable = configuration(site.version) | {"version": str(site.version)}
    site.put([("servers", "bad", bad_row), ("op", "config", unreadable)])
    wait_until(lambda: site.log().count("row_unreadable") >= 2, "the rows are read", 3)
    leaving_before = site.log().count("endpoint_leaving endpoint=s3")
    site.put_server(3, "draining")
    wait_until(
        lambda: site.log().count("endpoint_leaving endpoint=s3") > leaving_before,
        "the later row is read",
        3,
    )
    assert site.ask("/again/x").status == 200
    site.configure(keys=(KEY, "key-4"))
    wait_until(lambda: site.ask("/again/x", key="key-4").status == 200, "in force", 2)
    site.put([("servers", "bad", None)])
    site.put_server(3)


def test_requests_avoid_a_row_whose_address_has_another_incarnation(site):
    site.put([("servers", "s3", None)])
    row = {
        "service": "plain",
        "address": f"127.0.0.1:{site.server_ports[3]}",
        "zone": "ikeja",
        "slots": 8,
        "state": "ready",
    }
    site.put([("servers", "ghost", row)])
    for number in range(8):
        assert site.ask("/once/x", b"b", request_id=f"ghost-{number}").status == 200
    site.put([("servers", "ghost", None)])
    site.put_server(3)


# Stopping.


def test_sigterm_lets_open_streams_finish_and_ends_the_process(site):
    ports = site.start_gateway("g2")
    process = site.processes[-1]
    connection, request_id = site.open("/stream/60", port=ports[0])
    wait_until(lambda: site.ran(request_id), "the run starts")
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: not site.ready(ports), "not ready", 2)
    # The load balancer opens connections until two readiness probes have failed.
    assert site.ask("/again/x", port=ports[0]).headers["connection"] == "close"
    answer = read(connection)
    assert (answer.body, answer.whole) == (events(60), True)
    assert process.wait(10) == 0


def test_a_stop_waits_until_a_slow_caller_has_read_its_response(site):
    """Response bytes that are still buffered must be sent before the process ends."""
    size = 24 << 20
    site.plain_faults(more_bytes=size)
    bounds = ("max_body_bytes", "max_unsent_bytes", "max_held_bytes")
    ports = site.start_gateway("g3", answers=dict.fromkeys(bounds, 2 * size))
    process = site.processes[-1]
    connection, request_id = site.open("/once/x", b"b", port=ports[0])
    log_line = f"event=request_ended request={request_id}"
    wait_until(lambda: log_line in site.log("g3"), "the response is buffered", 10)
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: "gateway_drained" in site.log("g3"), "no request is open", 10)
    answer = read(connection)
    assert answer.whole and len(answer.body) > size
    assert process.wait(10) == 0


def test_a_stop_closes_idle_keep_alive_connections(site):
    ports = site.start_gateway("g4")
    process = site.processes[-1]
    connection, _ = site.open("/again/x", port=ports[0])
    assert connection.getresponse().read()
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    assert connection.sock is None or connection.sock.recv(1) == b""


def test_a_stop_closes_idle_connections_while_a_stream_runs(site):
    """A late request on an idle connection would be cut when the grace time ends."""
    ports = site.start_gateway("g6")
    process = site.processes[-1]
    idle, _ = site.open("/again/x", port=ports[0])
    assert idle.getresponse().read()
    stream, request_id = site.open("/stream/900", port=ports[0])
    response = stream.getresponse()
    assert response.status == 200, response.read()
    wait_until(lambda: site.ran(request_id), "the run starts")
    process.send_signal(signal.SIGTERM)
    assert idle.sock.recv(1) == b""
    assert "gateway_drained" not in site.log("g6")
    stream.close()
    assert process.wait(10) == 0


def test_sighup_does_not_disturb_an_open_stream(site):
    process = site.processes[1]
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(site.ask("/stream/20")), daemon=True
    )
    caller.start()
    process.send_signal(signal.SIGHUP)
    caller.join()
    assert answers[0].whole and answers[0].body == events(20)


def test_sighup_reloads_settings_and_refuses_invalid_ones(site):
    site.start_gateway("g5")
    process = site.processes[-1]
    settings_file = site.folder / "g5.json"
    valid_text = settings_file.read_text()
    settings_file.write_text(valid_text.replace('"revoke_ms":1300', '"revoke_ms":5'))
    process.send_signal(signal.SIGHUP)
    wait_until(
        lambda: "event=reload_refused" in site.log("g5"), "the reload is refused", 5
    )
    settings_file.write_text(valid_text.replace('"revoke_ms":1300', '"revoke_ms":1400'))
    process.send_signal(signal.SIGHUP)
    wait_until(
        lambda: "event=reloaded" in site.log("g5"), "the settings are reloaded", 5
    )
    assert "reload_needs_restart" not in site.log("g5")


def test_metrics_are_served(site):
    site.ask("/again/x")
    metrics = site.metrics()
    assert "coursekeel_requests_total" in metrics
    assert "coursekeel_belief_age_seconds" in metrics


def test_engines_that_pause_longer_than_the_silence_limit_lose_no_streams(site):
    """Engines pause their runs during the prefill of other requests."""
    for name in ("s0", "s1", "s2"):
        site.faults(name, gap_ms=340)
    for length in (4, 6):
        connection, request_id = site.open(f"/stream/{length}", deadline_ms="15000")
        answer = read(connection)
        assert (answer.status, answer.body) == (200, events(length))
        assert len(site.ran(request_id)) == 1
