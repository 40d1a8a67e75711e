"""The translation alone: reports, headers, rows and configurations."""

import sys

import orjson
import pytest

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


def report(**more):
    return PlatformEndpoints().read_report(orjson.dumps(REPORT | more))


def test_runs_that_are_not_listed_yet_have_their_prompts_read():
    """Seen in a trial: a run in its prompt is counted, but not listed; taken for
    none, every endpoint looked free and prompts were piled on one."""
    assert report(runs=[["r1", 10, 4, 5]]).unread_runs == 1 + 2
    assert report(runs=[]).unread_runs == 1 + 3
    assert report(runs=[["a", 1, 1, 5]] * 5).unread_runs == 1


@pytest.mark.parametrize("body", [b"{", b"[]", b"{}"])
def test_a_report_that_cannot_be_read_says_what_was_expected(body):
    read = PlatformEndpoints().read_report(body)
    assert isinstance(read, UnreadableReport)
    assert read.fault


def head(status: int, **headers: str) -> ExchangeHead:
    pairs = [(k.replace("_", "-").encode(), v.encode()) for k, v in headers.items()]
    return ExchangeHead(status, pairs)


@pytest.mark.parametrize(
    ("answer", "verdict"),
    [
        (head(200, request_id="r1", response_signature="s"), HeadVerdict.RAN),
        (head(500, request_id="r1", response_signature="s"), HeadVerdict.RAN),
        (head(200, request_id="r2", response_signature="s"), HeadVerdict.FOREIGN),
        (head(200, request_id="r1"), HeadVerdict.FOREIGN),
        (head(200, response_signature="s"), HeadVerdict.FOREIGN),
        (head(503, not_executed="1"), HeadVerdict.NOT_RUN),
        (head(400, not_executed="1"), HeadVerdict.NOT_RUN),
        (head(421), HeadVerdict.OTHER_INSTANCE),
        # A promise without its proof is none.
        (head(503, request_id="r1", response_signature="s"), HeadVerdict.FOREIGN),
        (head(429), HeadVerdict.FOREIGN),
    ],
)
def test_what_an_answer_says_of_the_request(answer, verdict):
    assert PlatformEndpoints().judge(answer, "r1") is verdict


def sent(received, **more) -> dict[str, str]:
    record = EndpointRecord("i-1", "p", "10.0.0.1", 80)
    outbound = OutboundRequest(record, "r1", "team-1", 900.7, **more)
    pairs = PlatformEndpoints().headers(received, outbound)
    return {name.decode(): value.decode() for name, value in pairs}


def test_a_callers_word_on_what_the_system_says_is_not_passed_on():
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
    assert sent(forged) == {
        "x-kept": "yes",
        "model": "m",
        "deadline-ms": "900",
        "expect-instance": "i-1",
        "tenant": "team-1",
    }


def test_a_run_that_goes_on_from_a_copy_names_it_and_its_event():
    headers = sent(
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


def test_a_callers_headers_are_read_and_nonsense_counts_as_absent():
    read = PlatformCallers().read(
        [
            (b"request-id", b"r1"),
            (b"authorization", b"bearer k1"),
            (b"deadline-ms", b"soon"),
            (b"last-event-id", b"7"),
            (b"token-usage", b"1460,80"),
            (b"prefix-hash", b"5c:800,91:410,e4:250"),
        ]
    )
    assert (read.key, read.deadline_ms, read.resume_after) == ("k1", None, 7)
    assert (read.prompt_tokens, read.output_tokens) == (1_460, 80)
    assert read.prompt_key == "e4"
    nothing = PlatformCallers().read([(b"authorization", b"Basic k1")])
    assert (nothing.key, nothing.request_id, nothing.prompt_key) == ("", "", "")


def read_configuration(body):
    return convert_configuration(decode_json(orjson.dumps(body), ConfigurationForm))


def read_server(body):
    return convert_endpoint("i-1", decode_json(orjson.dumps(body), ServerForm))


def test_a_configuration_is_read_whole():
    read = read_configuration(configuration())
    kinds = {each.name: each.kind for each in read.routes}
    assert kinds["stream"] is RouteKind.RESUMABLE
    assert kinds["once"] is RouteKind.SINGLE
    assert kinds["again"] is RouteKind.REPEATABLE
    assert {each.name: each.copies for each in read.pools} == {
        "engines": True,
        "plain": False,
    }
    assert read.keyed


@pytest.mark.parametrize("keys", [{}, {"api-keys": None}, {"api-keys": []}], ids=str)
def test_a_team_whose_last_key_went_has_none(keys):
    """However the row says so: a configuration that can't be read leaves the one before
    in force, with the keys that this one took away."""
    read = read_configuration(configuration() | {"tenants": [{"name": "t"} | keys]})
    assert [(each.name, each.keys) for each in read.teams] == [("t", ())]
    assert read.keyed


def test_a_stream_that_may_not_be_resumed_runs_once():
    once = configuration() | {"routes": [route("s", "streaming", "engines")]}
    (only,) = read_configuration(once).routes
    assert only.kind is RouteKind.STREAM
    assert not only.kind.idempotent


def test_a_split_route_keeps_its_weights():
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    body = route("s", "idempotent", "")
    del body["service"]
    read = read_configuration(
        configuration() | {"routes": [body | {"traffic-split": split}]}
    )
    assert [(p.pool, p.weight) for p in read.routes[0].pools] == [("a", 90), ("b", 10)]


def test_a_servers_row_is_read_and_any_state_but_ready_is_leaving():
    row = {"service": "p", "address": "10.0.0.1:80", "state": "draining"}
    read = read_server(row)
    assert (read.host, read.port, read.leaving) == ("10.0.0.1", 80, True)
    assert not read_server(row | {"state": "ready"}).leaving
    with pytest.raises(Unreadable, match="expected host:port"):
        read_server(row | {"address": "nowhere"})


@pytest.mark.parametrize(
    ("body", "kept"),
    [
        (b'{"epoch":1,"held":[["","ab",5000,"m"],["","cd",200,"m"]]}', {"ab", "cd"}),
        (b'{"held":[[],5,["",7,1,"m"]]}', {"7"}),
        (b'{"held":5}', set()),
        (b"{", set()),
    ],
)
def test_the_prompts_that_a_server_keeps_are_read(body, kept):
    assert PlatformEndpoints().read_kept(body) == kept


def test_a_server_that_is_not_the_one_names_itself():
    answer = head(421, instance_id="i-9")
    assert PlatformEndpoints().incarnation_named(answer) == "i-9"
    assert PlatformEndpoints().incarnation_named(head(421)) == ""


def test_a_report_names_the_models_that_are_served():
    models = [{"name": "m", "version": 1, "adapters": []}]
    assert report(models=models).models == {"m"}
    assert report().models == frozenset()
