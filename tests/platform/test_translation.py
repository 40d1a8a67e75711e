"""Unit tests of the adapter: reports, headers, rows and configurations."""

import sys

import orjson
import pytest
from attrs import evolve

from coursekeel.fetch import ExchangeHead
from coursekeel.forwarding import EndpointRecord, RouteKind
from coursekeel.gateway import HeadVerdict, OutboundRequest, UnreadableReport
from tests.platform.site import ROOT, configuration, route

sys.path.insert(0, str(ROOT / "platform"))

from _callers import PlatformCallers
from _configuration import convert_configuration, convert_endpoint
from _endpoints import PlatformEndpoints
from _forms import ConfigurationForm, ServerForm, Unreadable, decode_json

REPORT = {"queued": 1, "running": 3, "kv-used": 40, "kv-total": 90}


def read_report(**fields):
    return PlatformEndpoints().read_report(orjson.dumps(REPORT | fields))


def test_running_requests_that_are_not_listed_count_as_in_prefill():
    """A report counts a run in prefill, but does not list it. Ignoring such runs made
    every endpoint look free, so that prompts piled up on one."""
    assert read_report(runs=[["r1", 10, 4, 5]]).prefill_pending_runs == 1 + 2
    assert read_report(runs=[]).prefill_pending_runs == 1 + 3
    assert read_report(runs=[["a", 1, 1, 5]] * 5).prefill_pending_runs == 1


@pytest.mark.parametrize("body", [b"{", b"[]", b"{}"])
def test_a_malformed_report_is_reported_with_a_fault(body):
    report = PlatformEndpoints().read_report(body)
    assert isinstance(report, UnreadableReport)
    assert report.fault


@pytest.mark.parametrize("name", ["running", "queued", "kv-used", "kv-total"])
def test_a_report_with_a_negative_count_is_unreadable(name):
    """Guards against a load below that of an idle server, which draws all requests."""
    report = read_report(**{name: -1})
    assert isinstance(report, UnreadableReport)
    assert "expected counts from 0 on" in report.fault


def response_head(status: int, **headers: str) -> ExchangeHead:
    pairs = [(k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()]
    return ExchangeHead(status, pairs)


@pytest.mark.parametrize(
    ("head", "verdict"),
    [
        (response_head(200, request_id="r1", response_signature="s"), HeadVerdict.RAN),
        (response_head(500, request_id="r1", response_signature="s"), HeadVerdict.RAN),
        (
            response_head(200, request_id="r2", response_signature="s"),
            HeadVerdict.FOREIGN,
        ),
        (response_head(200, request_id="r1"), HeadVerdict.FOREIGN),
        (response_head(200, response_signature="s"), HeadVerdict.FOREIGN),
        (response_head(503, not_executed="1"), HeadVerdict.NOT_RUN),
        (response_head(400, not_executed="1"), HeadVerdict.NOT_RUN),
        (response_head(421), HeadVerdict.OTHER_INSTANCE),
        # A status that means not run counts only with the header not-executed.
        (
            response_head(503, request_id="r1", response_signature="s"),
            HeadVerdict.FOREIGN,
        ),
        (response_head(429), HeadVerdict.FOREIGN),
    ],
)
def test_a_response_head_is_classified(head, verdict):
    assert PlatformEndpoints().judge(head, "r1") is verdict


def outbound_headers(received, **fields) -> dict[str, str]:
    record = EndpointRecord("i-1", "p", "10.0.0.1", 80)
    outbound = OutboundRequest(record, "r1", "team-1", 900.7, **fields)
    pairs = PlatformEndpoints().headers(received, outbound)
    return {name.decode(): value.decode() for name, value in pairs}


def test_headers_that_only_the_gateway_sets_are_not_forwarded_from_callers():
    forged = [
        (b"tenant", b"other"),
        (b"expect-instance", b"i-9"),
        (b"authorization", b"Bearer k"),
        (b"kv-from", b"10.0.0.2:80/r0"),
        (b"request-priority", b"0"),
        (b"connection", b"close"),
        (b"x-kept", b"yes"),
        (b"model", b"m"),
    ]
    assert outbound_headers(forged) == {
        "x-kept": "yes",
        "model": "m",
        "deadline-ms": "900",
        "expect-instance": "i-1",
        "tenant": "team-1",
    }


def test_a_run_resumed_from_a_copy_names_the_copy_and_the_last_event():
    headers = outbound_headers(
        [(b"last-event-id", b"3")],
        resume_after=12,
        copy_from="10.0.0.2:80",
        copied_run="r1",
        copy_to="10.0.0.3:80",
        urgent=True,
    )
    assert headers["last-event-id"] == "12"
    assert headers["kv-from"] == "10.0.0.2:80/r1"
    assert headers["kv-backup"] == "10.0.0.3:80"
    assert headers["request-priority"] == "1"


def test_caller_headers_are_parsed_and_malformed_ones_count_as_absent():
    parsed = PlatformCallers().read(
        [
            (b"request-id", b"r1"),
            (b"authorization", b"bearer k1"),
            (b"deadline-ms", b"soon"),
            (b"last-event-id", b"7"),
            (b"token-usage", b"1460,80"),
            (b"prefix-hash", b"5c:800,91:410,e4:250"),
        ]
    )
    assert (parsed.key, parsed.deadline_ms, parsed.resume_after) == ("k1", None, 7)
    assert (parsed.prompt_tokens, parsed.output_tokens) == (1_460, 80)
    assert parsed.prompt_key == "e4"
    without_key = PlatformCallers().read([(b"authorization", b"Basic k1")])
    assert (without_key.key, without_key.request_id, without_key.prompt_key) == (
        "",
        "",
        "",
    )


def read_configuration(body):
    return convert_configuration(decode_json(orjson.dumps(body), ConfigurationForm))


def read_server(body):
    return convert_endpoint("i-1", decode_json(orjson.dumps(body), ServerForm))


def test_long_numbers_of_callers_count_as_the_largest_ones():
    """Guards against a number whose conversion raises, or whose cost has no bound."""
    digits = b"9" * 5_000
    caller = PlatformCallers().read(
        [
            (b"deadline-ms", digits),
            (b"last-event-id", digits),
            (b"token-usage", digits + b"," + digits),
        ]
    )
    assert caller.deadline_ms == caller.resume_after == 2**63 - 1
    assert caller.prompt_tokens == caller.output_tokens == 100_000_000


def test_a_configuration_is_converted():
    converted = read_configuration(configuration())
    kinds = {route.name: route.kind for route in converted.routes}
    assert kinds["stream"] is RouteKind.RESUMABLE
    assert kinds["once"] is RouteKind.SINGLE
    assert kinds["again"] is RouteKind.REPEATABLE
    assert {pool.name: pool.copies for pool in converted.pools} == {
        "engines": True,
        "plain": False,
    }
    assert converted.keyed


@pytest.mark.parametrize("keys", [{}, {"api-keys": None}, {"api-keys": []}], ids=str)
def test_a_tenant_without_keys_is_accepted_with_no_keys(keys):
    """A rejected configuration would leave the previous one, and its revoked keys, in
    force."""
    converted = read_configuration(
        configuration() | {"tenants": [{"name": "t"} | keys]}
    )
    assert [(team.name, team.keys) for team in converted.teams] == [("t", ())]
    assert converted.keyed


def test_a_stream_that_is_not_resumable_is_not_idempotent():
    body = configuration() | {"routes": [route("s", "streaming", "engines")]}
    (converted,) = read_configuration(body).routes
    assert converted.kind is RouteKind.STREAM
    assert not converted.kind.idempotent


def test_a_split_route_keeps_its_weights():
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    body = route("s", "idempotent", "")
    del body["service"]
    converted = read_configuration(
        configuration() | {"routes": [body | {"traffic-split": split}]}
    )
    assert [(p.pool, p.weight) for p in converted.routes[0].pools] == [
        ("a", 90),
        ("b", 10),
    ]


def test_a_server_in_any_state_but_ready_is_leaving():
    row = {"service": "p", "address": "10.0.0.1:80", "state": "draining"}
    record = read_server(row)
    assert (record.host, record.port, record.leaving) == ("10.0.0.1", 80, True)
    assert not read_server(row | {"state": "ready"}).leaving
    with pytest.raises(Unreadable, match="expected host:port"):
        read_server(row | {"address": "nowhere"})


@pytest.mark.parametrize(
    ("body", "part_ids"),
    [
        (b'{"epoch":1,"held":[["","ab",5000,"m"],["","cd",200,"m"]]}', {"ab", "cd"}),
        (b'{"held":[[],5,["",7,1,"m"]]}', {"7"}),
        (b'{"held":5}', set()),
        (b"{", set()),
    ],
)
def test_ids_of_cached_prompt_parts_are_decoded(body, part_ids):
    assert PlatformEndpoints().read_cached_prompts(body) == part_ids


def test_the_incarnation_in_a_misdirected_response_is_read():
    head = response_head(421, instance_id="i-9")
    assert PlatformEndpoints().incarnation_named(head) == "i-9"
    assert PlatformEndpoints().incarnation_named(response_head(421)) == ""


def test_a_report_lists_the_served_models():
    models = [{"name": "m", "version": 1, "adapters": []}]
    assert read_report(models=models).models == {"m"}
    assert read_report().models == frozenset()


@pytest.mark.parametrize(
    ("fields", "leaving"),
    [
        ({}, None),
        ({"state": "ready"}, False),
        ({"state": "draining"}, True),
        ({"state": "ready", "leaves_ms": 600_000}, False),
        ({"state": "draining", "leaves_ms": 0}, True),
        ({"leaves_ms": 1_500.5}, True),
        ({"state": "ready", "leaves_ms": None}, False),
        ({"state": None}, None),
    ],
)
def test_a_report_tells_whether_the_server_is_leaving(fields, leaving):
    assert read_report(**fields).leaving is leaving


def health_head(status: int, closes: bool, **headers: str) -> ExchangeHead:
    return evolve(response_head(status, instance_id="i-1", **headers), closes=closes)


@pytest.mark.parametrize(
    ("head", "leaving"),
    [
        (health_head(200, closes=False), False),
        (health_head(200, closes=True), False),
        (health_head(503, closes=True), True),
        (health_head(503, closes=False), None),
        (health_head(503, closes=True, not_executed="1"), None),
        (health_head(500, closes=True), None),
        (health_head(404, closes=True), None),
        (response_head(200), None),
        (evolve(response_head(503, instance_id="i-2"), closes=True), None),
        (evolve(response_head(503), closes=True), None),
    ],
)
def test_a_health_check_tells_whether_that_server_is_leaving(head, leaving):
    """Guards against taking a full or failing server, or its successor, for it."""
    assert PlatformEndpoints().read_health(head, "i-1") is leaving


def test_a_closed_connection_hints_that_a_server_is_leaving():
    endpoints = PlatformEndpoints()
    assert endpoints.hints_at_leaving(health_head(200, closes=True))
    assert not endpoints.hints_at_leaving(response_head(200, connection="close"))


def test_only_engines_send_reports():
    form = {"version": 1, "services": [{"name": "a", "health-path": "/h"}]}
    form["services"].append({"name": "b", "engine": {"models": [{"name": "m"}]}})
    decoded = decode_json(orjson.dumps(form), ConfigurationForm)
    plain, engines = convert_configuration(decoded).pools
    assert (plain.reports, plain.health_path) == (False, "/h")
    assert (engines.reports, engines.health_path) == (True, "")
    assert engines.models == {"m"}
