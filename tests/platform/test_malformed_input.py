"""A malformed row, page or report affects nothing but itself."""

import sys
from base64 import b64encode
from random import Random
from typing import Any
from unittest.mock import Mock

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, ensureDeferred, succeed
from twisted.internet.task import Clock as FakeReactor

from coursekeel.canary import RolloutState
from coursekeel.errors import InvariantBroken
from coursekeel.fetch import HttpReply
from coursekeel.forwarding import EndpointDirectory, Freshness, StoreClock
from coursekeel.gateway import (
    EndpointReport,
    HistoryExpired,
    SourceFailed,
    Table,
    TableRead,
)
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway.members._reading_codec import (
    RelayedTableRead,
    decode_table_read,
    encode_table_read,
)
from coursekeel.gateway.site._follow_task import FollowedTable, TableWatchTask
from coursekeel.gateway.site._site_state import SiteState
from coursekeel.settings import GatewayListen, GatewaySettings
from tests.common.moments import position_at
from tests.platform.site import ROOT, configuration

sys.path.insert(0, str(ROOT / "platform"))

import _store
from _endpoints import PlatformEndpoints
from _rollouts import PlatformRollouts
from _store import PlatformSource
from _suspects import PlatformSuspects

SETTINGS = GatewaySettings("g", "z", GatewayListen("h:1"), "s:1")
SERVER = {"service": "plain", "address": "10.0.0.1:80", "zone": "z", "slots": 4}
INTEGERS = st.integers(-(2**63), 2**64 - 1)
JSON = st.recursive(
    st.none() | st.booleans() | INTEGERS | st.floats(allow_nan=False) | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=8,
)


def row(table: str, key: str, value: Any, version: int = 2) -> dict[str, Any]:
    encoded = b64encode(orjson.dumps(value)).decode()
    return {"table": table, "part": "", "key": key, "ver": version, "value": encoded}


def page(rows: Any, version: Any = 5, **fields: Any) -> dict[str, Any]:
    return {"rows": rows, "ver": version, "now_ms": 1_000.0, "more": False} | fields


class TableFollower:
    """Runs the gateway's follow task on one table with scripted store responses."""

    def __init__(self, table: Table) -> None:
        self.reactor = FakeReactor()
        self.source = PlatformSource(self.reactor, "127.0.0.1:1")
        self.pending_responses: list[Deferred[Any]] = []
        self.urls: list[str] = []
        self.source._rows._fetcher = Mock(ask=self._ask)
        self.directory = EndpointDirectory()
        clock = Mock(now_ms=lambda: self.reactor.seconds() * 1_000)
        self.site = SiteState(
            self.reactor, clock, LiveSettings(SETTINGS), self.directory, Mock()
        )
        apply = {
            Table.CONFIGURATION: self.site.apply_configuration,
            Table.ENDPOINTS: self.site.apply_endpoints,
        }[table]
        self.apply = Mock(side_effect=apply)
        self.task = TableWatchTask(
            self.reactor,
            clock,
            Mock(random=lambda: 0.5),
            self.source,
            FollowedTable(table, 400.0, 100.0, self.apply, Mock()),
            1_000.0,
            Freshness(),
            StoreClock(),
            Mock(),
        )
        self.task.start()

    def _ask(self, _method: str, url: str, _timeout_ms: float) -> Any:
        self.urls.append(url)
        self.pending_responses.append(Deferred())
        return self.pending_responses[-1]

    def respond(self, body: Any) -> None:
        """Respond to the pending request and wait for the next one."""
        sent_requests = len(self.pending_responses)
        self.pending_responses[-1].callback(HttpReply(200, "json", orjson.dumps(body)))
        for _ in range(20):
            self.reactor.advance(0.1)
            if len(self.pending_responses) > sent_requests:
                return
        raise AssertionError("the task sent no further request")


# Text that has the form HOST:PORT, and where nothing can listen.
NO_ADDRESSES = [
    "h :80",
    "[h:80",
    "http://h:80",
    "::1:80",
    "[::1]:80",
    "127.1:80",
    "127..1:80",
    "127.0.0.256:80",
    "[::%réseau]:80",
    "user@h:80",
    "réseau.example:80",
    "h:80:80",
    "-h:80",
    "h\0:80",
    "h" * 64 + ":80",
    "h." * 127 + "h:80",
    "٣.example:80",
]
BAD_SERVERS = [
    SERVER | {"address": 7},
    SERVER | {"address": None},
    SERVER | {"address": "nowhere"},
    SERVER | {"address": "10.0.0.1:99999"},
    SERVER | {"address": "10.0.0.1:" + "9" * 5_000},
    SERVER | {"address": "10.0.0.1:0"},
    *(SERVER | {"address": address} for address in NO_ADDRESSES),
    SERVER | {"slots": "four"},
    SERVER | {"slots": [4]},
    SERVER | {"zone": {"name": "z"}},
    SERVER | {"service": ["plain"]},
    {"address": "10.0.0.1:80"},
    [],
    "row",
    None,
    7,
]


def short(value: Any) -> str:
    return str(value)[:60]


@pytest.mark.parametrize("bad", BAD_SERVERS, ids=short)
def test_a_malformed_server_row_hides_no_other_row(bad):
    """Otherwise a malformed row keeps leaving servers in use."""
    follower = TableFollower(Table.ENDPOINTS)
    follower.respond(page([row("servers", "bad", bad), row("servers", "good", SERVER)]))
    assert follower.directory.may_take("good", 0.0)
    assert follower.directory.record("bad") is None
    leaving = row("servers", "good", SERVER | {"state": "draining"}, 6)
    follower.respond(page([leaving], 6))
    assert not follower.directory.may_take("good", 0.0)


@pytest.mark.parametrize(
    "bad",
    [
        {"key": "bad", "ver": "2", "value": ""},
        {"key": 7, "ver": 2, "value": ""},
        {"key": "bad", "ver": 2, "value": "?"},
        {"key": "bad", "ver": 2, "value": 7},
        {"key": "bad", "ver": 2},
        {"ver": 2, "gone": True},
        [],
        None,
        "row",
    ],
    ids=str,
)
def test_a_malformed_row_envelope_hides_no_other_row(bad):
    follower = TableFollower(Table.ENDPOINTS)
    follower.respond(page([bad, row("servers", "good", SERVER)]))
    assert follower.directory.may_take("good", 0.0)


def test_a_bug_in_reading_one_row_hides_no_other_row(monkeypatch):
    """Guards against a list of endpoints that no instance reads while a row stands."""
    convert = _store.convert_endpoint

    def raise_for_bad(endpoint_id, form):
        if endpoint_id == "bad":
            raise ArithmeticError("injected")
        return convert(endpoint_id, form)

    follower = TableFollower(Table.ENDPOINTS)
    follower.respond(page([row("servers", "bad", SERVER)]))
    monkeypatch.setattr(_store, "convert_endpoint", raise_for_bad)
    rows = [row("servers", "bad", SERVER), row("servers", "good", SERVER)]
    for version in (6, 7):
        follower.respond(page(rows, version))
        assert follower.directory.may_take("good", 0.0)
        assert follower.directory.may_take("bad", 0.0), "its last sound form is kept"
    assert follower.task.faults == 0


def test_a_row_whose_envelope_is_malformed_keeps_the_previous_server_record():
    follower = TableFollower(Table.ENDPOINTS)
    follower.respond(page([row("servers", "a", SERVER)]))
    bad = row("servers", "a", SERVER) | {"ver": "2"}
    body = orjson.dumps(page([bad], 6))
    follower.site.apply_endpoints(read_result(body, Table.ENDPOINTS, True))
    assert follower.directory.may_take("a", 0.0)


@pytest.mark.parametrize("bad", [None, [], {"ver": 2}, {"key": 7, "ver": 2}], ids=str)
def test_a_malformed_row_hides_no_record_of_another_rollout(bad):
    record = {"state": "completed", "target-version": "v2"}
    body = orjson.dumps(page([bad, row("status", "rollout/p", record)]))
    rollouts = PlatformRollouts(FakeReactor(), "127.0.0.1:1")
    rollouts._rows._fetcher = Mock(ask=lambda *_: succeed(HttpReply(200, "j", body)))
    assert result_of(rollouts.read("p", 1.0)).state is RolloutState.COMPLETED


@pytest.mark.parametrize("bad", [None, [], {"ver": 2}, {"key": 7, "ver": 2}], ids=str)
def test_a_malformed_row_hides_no_other_suspect(bad):
    body = orjson.dumps(page([bad, row("suspects", "f1", {"strikes": []})]))
    suspects = PlatformSuspects(FakeReactor(), "127.0.0.1:1")
    suspects._rows._fetcher = Mock(ask=lambda *_: succeed(HttpReply(200, "j", body)))
    assert set(result_of(suspects.read(1.0)).values) == {"f1"}


def test_a_malformed_update_keeps_the_previous_server_record():
    follower = TableFollower(Table.ENDPOINTS)
    follower.respond(page([row("servers", "a", SERVER)]))
    follower.respond(page([row("servers", "a", SERVER | {"slots": "x"}, 6)], 6))
    assert follower.directory.may_take("a", 0.0)
    follower.respond(page([row("servers", "a", SERVER | {"state": "draining"}, 7)], 7))
    assert not follower.directory.may_take("a", 0.0)


BAD_CONFIGURATIONS = [
    configuration(2) | {"version": "2"},
    configuration(2) | {"version": None},
    configuration(2) | {"routes": [7]},
    configuration(2) | {"routes": {"name": "r"}},
    configuration(2) | {"routes": [{"name": "r"}]},
    configuration(2) | {"tenants": [{"name": "t", "api-keys": "key-1"}]},
    configuration(2) | {"services": "plain"},
    configuration(2) | {"limits": {"max-body-bytes": "2"}},
    [],
    "configuration",
    7,
]


@pytest.mark.parametrize("bad", BAD_CONFIGURATIONS, ids=short)
def test_a_malformed_configuration_leaves_the_previous_one_in_force(bad):
    """Otherwise requests with a key would be refused until the next valid version."""
    follower = TableFollower(Table.CONFIGURATION)
    follower.respond(page([row("op", "config", configuration(1))]))
    follower.respond(page([row("op", "config", bad, 6)], 6))
    assert follower.site.routes.configuration.version == 1
    follower.respond(page([row("op", "config", configuration(3), 7)], 7))
    assert follower.site.routes.configuration.version == 3


@pytest.mark.parametrize(
    "bad",
    [
        [],
        None,
        "page",
        {},
        page(None),
        page("rows"),
        page([], version="5"),
        page([], now_ms="soon"),
        page([], now_ms=1e308),
        page([], now_ms=-1e308),
        page([], more=True),
        page([None], more=True),
    ],
    ids=str,
)
def test_a_malformed_page_is_requested_again(bad):
    follower = TableFollower(Table.ENDPOINTS)
    follower.respond(bad)
    follower.respond(page([row("servers", "good", SERVER)]))
    assert follower.directory.may_take("good", 0.0)


def test_an_error_while_applying_a_read_causes_a_full_read():
    follower = TableFollower(Table.ENDPOINTS)
    follower.respond(page([row("servers", "a", SERVER)]))
    apply_effect = follower.apply.side_effect
    follower.apply.side_effect = ArithmeticError("injected")
    follower.respond(page([row("servers", "b", SERVER)], 6))
    follower.apply.side_effect = apply_effect
    assert "rows-get" in follower.urls[-1]
    follower.respond(page([row("servers", "c", SERVER)], 7))
    assert follower.directory.may_take("c", 0.0)


def test_a_broken_invariant_while_applying_a_read_is_raised(monkeypatch):
    spawned: list[Any] = []
    monkeypatch.setattr(
        "coursekeel.gateway.site._follow_task.spawn",
        lambda work, *_: spawned.append(work),
    )
    follower = TableFollower(Table.ENDPOINTS)
    follower.apply.side_effect = InvariantBroken("injected")
    task = ensureDeferred(spawned[0])
    failures: list[Any] = []
    task.addErrback(failures.append)
    body = orjson.dumps(page([row("servers", "a", SERVER)]))
    follower.pending_responses[-1].callback(HttpReply(200, "json", body))
    assert failures[0].check(InvariantBroken)


NUMBERS = st.sampled_from(
    [0, -1, 1, 2**31, 2**63, 2**64 - 1, 1e300, 1e308, -1e308, 5e-324, 0.5]
)


@given(duration=NUMBERS)
def test_an_order_of_any_duration_keeps_the_configuration_readable(duration):
    order = {"service": "p", "target-version": "v2", "duration-s": duration}
    follower = TableFollower(Table.CONFIGURATION)
    rows = [row("op", "rollout/p", order), row("op", "config", configuration(1))]
    follower.respond(page(rows))
    assert follower.site.routes.configuration.version == 1
    assert follower.task.faults == 0


@given(
    route_numbers=st.fixed_dictionaries(
        {}, optional=dict.fromkeys(("timeout-ms", "target-latency-ms"), NUMBERS)
    ),
    weights=st.lists(NUMBERS, min_size=1, max_size=3),
    limits=st.fixed_dictionaries(
        {}, optional=dict.fromkeys(("idle-timeout-ms", "max-body-bytes"), NUMBERS)
    ),
)
def test_numbers_of_any_size_in_a_configuration_break_no_later_step(
    route_numbers, weights, limits
):
    """Guards against a sum or a product that overflows where a request is routed."""
    value = configuration(1)
    value["routes"][0] |= route_numbers
    value["routes"][0]["traffic-split"] = [
        {"service": f"p{number}", "weight": weight}
        for number, weight in enumerate(weights)
    ]
    value["limits"] = limits
    follower = TableFollower(Table.CONFIGURATION)
    follower.respond(page([row("op", "config", value)]))
    assert follower.task.faults == 0
    if follower.site.routes is None:
        return
    route = follower.site.routes.configuration.routes[0]
    pool = route.pick_pool(Random(1))
    assert (pool == "") == all(share.weight <= 0 for share in route.pools)


RAW_TEXTS = [rb"AAA\ud800", rb"\udfff", b"AAA\xff", b"\xed\xa0\x80", b"A\x00A", b"A\nA"]


@pytest.mark.parametrize("text", RAW_TEXTS, ids=short)
@pytest.mark.parametrize("name", ["key", "value", "table", "other"])
def test_text_that_is_no_unicode_in_one_row_hides_no_other_row(name, text):
    """Guards against a gateway that never becomes ready beside one such row."""
    bad = row("servers", "bad", SERVER) | {name: "TEXT"}
    rows = [bad, row("servers", "good", SERVER)]
    body = orjson.dumps(page(rows)).replace(b'"TEXT"', b'"' + text + b'"')
    result = read_result(body, Table.ENDPOINTS, True)
    follower = TableFollower(Table.ENDPOINTS)
    follower.site.apply_endpoints(result)
    assert follower.directory.may_take("good", 0.0)
    # Members can read it too.
    read = RelayedTableRead(position_at(5), True, 0.0, 0.0, False, result.entries)
    assert decode_table_read(encode_table_read(read)) == read


def test_a_page_that_ends_with_a_malformed_row_is_followed_by_the_next():
    good = row("servers", "a", SERVER)
    pages = [page([good, None], more=True), page([row("servers", "b", SERVER)])]
    urls = []

    def ask(_method: str, url: str, _timeout_ms: float) -> Any:
        urls.append(url)
        return succeed(HttpReply(200, "json", orjson.dumps(pages[len(urls) - 1])))

    source = PlatformSource(FakeReactor(), "127.0.0.1:1")
    source._rows._fetcher = Mock(ask=ask)
    result = result_of(source.read(Table.ENDPOINTS, 1.0))
    ids = {getattr(each.entry, "endpoint_id", "") for each in result.entries}
    assert ids == {"a", "", "b"}
    assert urls[1].endswith("from=a%00")


@pytest.mark.parametrize("number", ["1e400", "-1e400", "NaN", "Infinity", "9" * 5_000])
def test_a_number_that_no_float_holds_beside_such_text_fails_the_query(number):
    body = b'{"rows": ["\\ud800"], "ver": 5, "now_ms": %b}' % number.encode()
    assert isinstance(read_result(body, Table.ENDPOINTS, True), SourceFailed)


@pytest.mark.parametrize("era", ["9" * 5_000, str(2**63), "-1", "1.0", "x"], ids=short)
def test_an_era_that_is_no_number_fails_the_query(era):
    headers = {"store-era": era}
    result = read_result(orjson.dumps(page([])), Table.ENDPOINTS, True, headers)
    assert isinstance(result, SourceFailed)
    assert "expected a whole number" in result.reason


def read_result(
    body: bytes, table: Table, whole: bool, headers: dict[str, str] | None = None
) -> Any:
    reply = HttpReply(200, "json", body, headers or {})
    source = PlatformSource(FakeReactor(), "127.0.0.1:1")
    source._rows._fetcher = Mock(ask=lambda *_: succeed(reply))
    call = (
        source.read(table, 1.0)
        if whole
        else source.follow(table, position_at(1), 1.0, 1.0)
    )
    return result_of(call)


def result_of(call: Any) -> Any:
    results: list[Any] = []
    ensureDeferred(call).addBoth(results.append)
    return results[0]


@given(
    body=JSON
    | st.builds(
        page,
        st.lists(
            JSON
            | st.builds(row, st.just("servers"), st.text(), JSON)
            | st.builds(row, st.just("op"), st.just("config"), JSON)
            | st.fixed_dictionaries({"key": JSON, "ver": JSON, "value": JSON}),
            max_size=4,
        ),
        JSON,
    ),
    table=st.sampled_from(Table),
    whole=st.booleans(),
)
def test_any_page_gives_a_read_or_a_failure(body, table, whole):
    result = read_result(orjson.dumps(body), table, whole)
    assert isinstance(result, TableRead | HistoryExpired | SourceFailed)


PARTS = st.lists(
    st.binary(max_size=8)
    | st.sampled_from([b'{"rows":[', b"[", b"]", b"{", b"}", b",", b'"', b":", b"null"])
    | st.sampled_from([b'],"ver":5,"now_ms":1}', b"\\ud800", b"-", b"1e400", b"NaN"]),
    max_size=12,
).map(b"".join)


@given(body=PARTS, table=st.sampled_from(Table))
def test_any_bytes_give_a_read_or_a_failure(body, table):
    result = read_result(body, table, True)
    assert isinstance(result, TableRead | HistoryExpired | SourceFailed)


def test_a_page_of_a_hundred_thousand_brackets_fails_the_query():
    body = b"[" * 100_000
    assert isinstance(read_result(body, Table.ENDPOINTS, True), SourceFailed)


@given(changes=st.dictionaries(st.sampled_from(sorted(SERVER)), JSON), good=st.text())
def test_no_server_row_affects_another(changes, good):
    rows = [
        row("servers", f"{good}-bad", SERVER | changes),
        row("servers", good, SERVER),
    ]
    table_read = read_result(orjson.dumps(page(rows)), Table.ENDPOINTS, True)
    directory = EndpointDirectory()
    settings = LiveSettings(SETTINGS)
    site = SiteState(FakeReactor(), Mock(), settings, directory, Mock())
    site.apply_endpoints(table_read)
    assert directory.record(good) is not None
    # Routing relies on the types of slots and zones.
    assert all(isinstance(slots, int) for slots in directory.slots().values())
    assert all(isinstance(zone, str) for zone in directory.zones().values())


@given(
    body=JSON
    | st.fixed_dictionaries(
        {"running": JSON, "queued": JSON, "kv-used": JSON, "kv-total": JSON},
        optional={"runs": JSON},
    )
)
def test_any_decoded_report_has_integer_fields(body):
    report = PlatformEndpoints().read_report(orjson.dumps(body))
    if not isinstance(report, EndpointReport):
        return
    for number in (report.running, report.queued, report.free_tokens):
        assert type(number) is int
    assert type(report.prefill_pending_runs) is int
