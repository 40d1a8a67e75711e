"""The gateway's process before a stand-in of the users' platform, on real sockets."""

import signal
import threading

import pytest

from standins.site import wait_until
from tests.platform.site import KEY, configuration, events, read, running_gateway


@pytest.fixture(scope="module")
def running():
    with running_gateway() as site:
        yield site


@pytest.fixture
def site(running):
    running.forget()
    running.store(fault="")
    wait_until(running.ready, "the gateway is ready")
    return running


# Whole answers.


def test_a_request_and_its_answer_pass_unaltered(site):
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
def test_what_may_run_once_is_sent_once_and_never_called_not_run(site, fault):
    site.plain_faults(**{fault: 9})
    answer = site.ask("/once/x", b"b", request_id=f"once-{fault}")
    assert answer.status == 502
    assert "response-signature" not in answer.headers
    assert len(site.ran(f"once-{fault}")) == 1


@pytest.mark.parametrize("fault", ["reset", "torn", "foreign", "unsigned", "fail"])
def test_what_may_run_again_is_sent_to_a_second_server(site, fault):
    for name in ("s3", "s4", "s5"):
        site.faults(name, **{fault: 1})
    answer = site.ask("/again/x", request_id=f"again-{fault}")
    servers = [each["server"] for each in site.ran(f"again-{fault}")]
    assert len(servers) == len(set(servers)) == 2
    assert answer.status in (200, 500, 502)


def test_a_server_that_sheds_is_followed_by_another_for_repeatable_requests(site):
    site.faults("s3", shed=1)
    site.faults("s4", shed=1)
    answer = site.ask("/again/shed")
    assert answer.status in (200, 503)


def test_a_call_that_all_shed_is_refused_as_not_run_with_when_to_come_back(site):
    site.plain_faults(shed=9)
    answer = site.ask("/once/x", b"b", request_id="all-shed")
    assert answer.status == 503
    assert 0 < float(answer.headers["retry-after"]) < 2
    assert site.ran("all-shed") == []


def test_an_answer_without_a_length_is_whole_if_closed(site):
    site.plain_faults(unframed=1)
    answer = site.ask("/once/unframed", b"b")
    assert answer.status == 200 and answer.body.startswith(b"s")


def test_an_answer_without_a_length_that_is_reset_is_lost(site):
    site.plain_faults(unframed_reset=9)
    assert site.ask("/once/unframed", b"b").status == 502


def test_the_final_answer_comes_at_the_routes_time(site):
    site.plain_faults(mute=9)
    answer = site.ask("/hasty/x", request_id="hasty")
    assert answer.status == 504
    wait_until(lambda: "hasty" not in site.open_runs(), "the run is given up")


def test_a_server_stops_when_the_caller_leaves(site):
    site.plain_faults(mute=9)
    connection, request_id = site.open("/once/x", b"b")
    wait_until(lambda: request_id in site.open_runs(), "it runs")
    connection.close()
    wait_until(lambda: request_id not in site.open_runs(), "it is given up", 2)


def test_a_body_over_the_limit_is_413_and_reaches_no_server(site):
    answer = site.ask("/once/x", b"b" * 2_001, request_id="large")
    assert answer.status == 413
    assert site.ran("large") == []


# Streams.


def test_a_stream_passes_whole(site):
    answer = site.ask("/stream/8")
    assert (answer.status, answer.body, answer.whole) == (200, events(8), True)


def test_a_stream_is_taken_up_where_the_caller_says(site):
    answer = site.ask("/stream/8", last_event_id="5")
    assert (answer.body, answer.whole) == (events(8, start=6), True)


@pytest.mark.parametrize("fault", ["cut_at", "dark_at"])
def test_a_stream_goes_on_from_a_copy_in_another_zone(site, fault):
    for name in ("s0", "s1", "s2"):
        site.faults(name, **{fault: 6})
    # Whichever server has it fails at the sixth event; its copy's server then too,
    # unless the fault is spent.
    connection, request_id = site.open("/stream/12")
    wait_until(lambda: site.ran(request_id), "it runs")
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


def test_a_copy_is_found_at_its_address_under_another_incarnation(site):
    """Seen on a played day: the copy was placed while the list still named the
    incarnation before, and nobody looked for it once that was gone."""
    for number in range(3):
        site.faults(f"s{number}", cut_at=40)
    connection, request_id = site.open("/stream/45")
    wait_until(lambda: site.ran(request_id), "it runs")
    first = site.ran(request_id)[0]
    keeper = first["headers"]["kv-backup"]
    number = site.server_ports.index(int(keeper.split(":")[1]))
    for other in {0, 1, 2} - {int(first["server"][1:])}:
        site.faults(f"s{other}")
    site.rename(number, f"t{number}")
    answer = read(connection)
    site.rename(number, f"s{number}")
    gone = f"event=endpoint_gone endpoint=t{number}"
    wait_until(lambda: gone in site.log(), "the list is read", 5)
    assert (answer.body, answer.whole) == (events(45), True)
    (second,) = (each for each in site.ran(request_id) if each != first)
    assert second["headers"]["kv-from"] == f"{keeper}/{request_id}"
    assert second["headers"]["expect-instance"] == f"t{number}"


def test_a_stream_whose_caller_leaves_is_not_taken_up_again(site):
    connection, request_id = site.open("/stream/200")
    wait_until(lambda: site.ran(request_id), "it runs")
    connection.close()
    wait_until(lambda: request_id not in site.open_runs(), "it is given up", 2)
    assert len(site.ran(request_id)) == 1


def test_a_stream_waits_for_no_server_that_is_dark_before_its_first_event(site):
    for name in ("s0", "s1"):
        site.faults(name, dark=True)
    answer = site.ask("/stream/5")
    assert (answer.body, answer.whole) == (events(5), True)


def test_a_stream_leaves_a_server_that_took_it_and_never_runs_it(site):
    for name in ("s0", "s1"):
        site.faults(name, hang=9)
    connection, request_id = site.open("/stream/5")
    answer = read(connection)
    assert (answer.body, answer.whole) == (events(5), True)
    assert site.ran(request_id)[-1]["server"] == "s2"


# What is believed.


def test_unknown_routes_and_keys_are_told_so(site):
    assert site.ask("/nowhere/x").status == 404
    assert site.ask("/again/x", key="").status == 401
    assert site.ask("/again/x", key="unheard").status == 401
    assert site.ask("/open/x", key="").status == 200


def test_a_change_of_configuration_is_in_force_at_once(site):
    site.configure(keys=(KEY, "key-2"))
    wait_until(lambda: site.ask("/again/x", key="key-2").status == 200, "in force", 2)
    site.configure()
    wait_until(lambda: site.ask("/again/x", key="key-2").status == 401, "revoked", 2)


def test_a_lower_version_is_never_applied(site):
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
def test_keys_are_not_taken_on_an_old_belief(site, fault):
    """While the store can't be asked, a key may have been taken away."""
    site.store(fault=fault)
    wait_until(lambda: not site.ready(), "the belief is old", 5)
    answer = site.ask("/again/x", request_id=f"old-{fault}")
    assert answer.status == 503 and "retry-after" in answer.headers
    assert site.ran(f"old-{fault}") == []
    assert site.ask("/nowhere/x").status == 503
    assert site.ask("/open/x", key="").status == 200
    site.store(fault="")
    wait_until(site.ready, "the store is back", 10)
    assert site.ask("/again/x").status == 200


def test_what_is_known_is_served_on_where_keys_need_not_end_at_once(site):
    """Without `strict_revoke` an outage of the store refuses nothing that is known."""
    bounds = {"strict_revoke": False, "configuration_ms": 500, "stretch_ms": 60_000}
    ports = site.start_gateway("g8", revoke_ms=400, **bounds)
    site.store(fault="silent")
    wait_until(lambda: "event=store_lost" in site.log("g8"), "the store is lost", 10)
    wait_until(lambda: not site.ready(), "a strict one has stopped", 10)
    answer = site.ask("/again/x", port=ports[0])
    assert answer.status == 200
    assert site.ready(ports)
    # What isn't known may be new: it isn't called unknown.
    assert site.ask("/again/x", port=ports[0], key="unheard").status == 503
    assert site.ask("/nowhere/x", port=ports[0]).status == 503


def test_a_forgotten_history_is_read_again_whole(site):
    site.store(compact=True)
    site.put_server(3, "draining")
    site.configure(keys=(KEY, "key-4"))
    wait_until(lambda: site.ask("/again/x", key="key-4").status == 200, "in force", 10)
    site.put_server(3)


def test_servers_whose_entries_lapsed_with_the_store_serve_on(site):
    """The users: such entries are back within some two seconds of its return; one that
    is missing after that is gone."""
    timers = {"endpoints_hold_ms": 300, "endpoints_lapse_ms": 0}
    ports = site.start_gateway("g7", endpoints_return_ms=1_500, **timers)

    def told(words: str) -> None:
        wait_until(lambda: words in site.log("g7"), words, 10)

    site.store(fault="503")
    told("event=store_lost table=endpoints")
    site.put([("servers", f"s{number}", None) for number in (3, 4, 5)])
    site.store(fault="")
    told("event=store_back table=endpoints")
    assert site.ask("/open/x", key="", port=ports[0]).status == 200
    site.put_server(3)
    told("event=endpoint_gone endpoint=s5 reason=not_back")
    for _ in range(4):
        connection, request_id = site.open("/open/x", key="", port=ports[0])
        assert read(connection).status == 200
        assert {run["server"] for run in site.ran(request_id)} == {"s3"}
    for number in (4, 5):
        site.put_server(number)


def test_a_draining_server_gets_nothing_new(site):
    for number in (3, 4):
        site.put_server(number, "draining")
    wait_until(lambda: site.log().count("endpoint_leaving") >= 2, "seen", 3)
    ids = [f"drain-{number}" for number in range(10)]
    for each in ids:
        assert site.ask("/again/x", request_id=each).status == 200
    assert {run["server"] for each in ids for run in site.ran(each)} == {"s5"}
    for number in (3, 4):
        site.put_server(number)


def test_rows_that_cannot_be_read_stop_no_following(site):
    """Seen in a trial: after such a row a leaving server got new requests for good."""
    bad = site.server_row(3)[2] | {"address": 7}
    site.version += 1
    unreadable = configuration(site.version) | {"version": str(site.version)}
    site.put([("servers", "bad", bad), ("op", "config", unreadable)])
    wait_until(lambda: site.log().count("row_unreadable") >= 2, "seen", 3)
    leaving_before = site.log().count("endpoint_leaving endpoint=s3")
    site.put_server(3, "draining")
    wait_until(
        lambda: site.log().count("endpoint_leaving endpoint=s3") > leaving_before,
        "the table is followed on",
        3,
    )
    assert site.ask("/again/x").status == 200
    site.configure(keys=(KEY, "key-4"))
    wait_until(lambda: site.ask("/again/x", key="key-4").status == 200, "in force", 2)
    site.put([("servers", "bad", None)])
    site.put_server(3)


def test_an_address_of_another_incarnation_is_left(site):
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


def test_sigterm_cuts_nothing_and_ends_the_process(site):
    ports = site.start_gateway("g2")
    process = site.processes[-1]
    connection, request_id = site.open("/stream/60", port=ports[0])
    wait_until(lambda: site.ran(request_id), "it runs")
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: not site.ready(ports), "not ready", 2)
    # The balancer sends new connections until it has asked twice.
    assert site.ask("/again/x", port=ports[0]).headers["connection"] == "close"
    answer = read(connection)
    assert (answer.body, answer.whole) == (events(60), True)
    assert process.wait(10) == 0


def test_a_stop_waits_for_a_slow_reader_of_a_whole_answer(site):
    """Seen on a played day as a lost request: the answer lay in the process's buffer
    when it ended."""
    size = 24 << 20
    site.plain_faults(more_bytes=size)
    ports = site.start_gateway("g3")
    process = site.processes[-1]
    connection, request_id = site.open("/once/x", b"b", port=ports[0])
    ended = f"event=request_ended request={request_id}"
    wait_until(lambda: ended in site.log("g3"), "the answer is handed over", 10)
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: "gateway_drained" in site.log("g3"), "nothing is at work", 10)
    answer = read(connection)
    assert answer.whole and len(answer.body) > size
    assert process.wait(10) == 0


def test_a_stop_closes_kept_connections_that_wait_for_nothing(site):
    ports = site.start_gateway("g4")
    process = site.processes[-1]
    connection, _ = site.open("/again/x", port=ports[0])
    assert connection.getresponse().read()
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    assert connection.sock is None or connection.sock.recv(1) == b""


def test_a_stop_closes_kept_connections_while_a_stream_still_runs(site):
    """Seen on a played day as a lost request: a call came on a kept connection 7.5 s
    into a stop, was passed on, and was cut at the end of the grace."""
    ports = site.start_gateway("g6")
    process = site.processes[-1]
    kept, _ = site.open("/again/x", port=ports[0])
    assert kept.getresponse().read()
    stream, request_id = site.open("/stream/900", port=ports[0])
    wait_until(lambda: site.ran(request_id), "it runs")
    process.send_signal(signal.SIGTERM)
    assert kept.sock.recv(1) == b""
    assert "gateway_drained" not in site.log("g6")
    stream.close()
    assert process.wait(10) == 0


def test_sighup_changes_nothing_that_runs(site):
    process = site.processes[1]
    answers = []
    reader = threading.Thread(
        target=lambda: answers.append(site.ask("/stream/20")), daemon=True
    )
    reader.start()
    process.send_signal(signal.SIGHUP)
    reader.join()
    assert answers[0].whole and answers[0].body == events(20)


def test_settings_are_read_again_on_sighup_and_bad_ones_refused(site):
    site.start_gateway("g5")
    process = site.processes[-1]
    file = site.folder / "g5.json"
    good = file.read_text()
    file.write_text(good.replace('"revoke_ms":1300', '"revoke_ms":5'))
    process.send_signal(signal.SIGHUP)
    wait_until(lambda: "event=reload_refused" in site.log("g5"), "it is refused", 5)
    file.write_text(good.replace('"revoke_ms":1300', '"revoke_ms":1400'))
    process.send_signal(signal.SIGHUP)
    wait_until(lambda: "event=reloaded" in site.log("g5"), "it is taken", 5)
    assert "reload_needs_restart" not in site.log("g5")


def test_figures_are_served(site):
    site.ask("/again/x")
    figures = site.metrics()
    assert "coursekeel_requests_total" in figures
    assert "coursekeel_belief_age_seconds" in figures


def test_engines_that_pause_for_longer_than_silence_is_borne_lose_no_streams(site):
    """They hold up their runs while they read others' prompts. The first run that is
    given up shows that its engine lives; from then on engines are asked first."""
    for name in ("s0", "s1", "s2"):
        site.faults(name, gap_ms=340)
    first = site.ask("/stream/4", deadline_ms="15000")
    assert (first.status, first.body) == (200, events(4))
    connection, request_id = site.open("/stream/6", deadline_ms="15000")
    answer = read(connection)
    assert (answer.status, answer.body) == (200, events(6))
    assert len(site.ran(request_id)) == 1
