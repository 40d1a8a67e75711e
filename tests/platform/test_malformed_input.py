"""Rows, pages and reports that can't be read cost themselves, and nothing else."""

import sys
from base64 import b64encode
from typing import Any
from unittest.mock import Mock

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, ensureDeferred, succeed
from twisted.internet.task import Clock as FakeReactor

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
from coursekeel.gateway.site._follow_task import FollowedTable, TableWatchTask
from coursekeel.gateway.site._site_state import SiteState
from coursekeel.settings import GatewayListen, GatewaySettings
from tests.common.moments import position_at
from tests.platform.site import ROOT, configuration

sys.path.insert(0, str(ROOT / "platform"))

from _endpoints import PlatformEndpoints
from _store import PlatformSource

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


def page(rows: Any, version: Any = 5, **more: Any) -> dict[str, Any]:
    return {"rows": rows, "ver": version, "now_ms": 1_000.0, "more": False} | more


class Followed:
    """One table followed by the gateway's own task, before scripted answers."""

    def __init__(self, table: Table) -> None:
        self.reactor = FakeReactor()
        self.source = PlatformSource(self.reactor, "127.0.0.1:1")
        self.answers: list[Deferred[Any]] = []
        self.urls: list[str] = []
        self.source._rows._fetcher = Mock(ask=self._ask)
        self.directory = EndpointDirectory()
        clock = Mock(now_ms=lambda: self.reactor.seconds() * 1_000)
        self.site = SiteState(
            self.reactor, clock, LiveSettings(SETTINGS), self.directory, Mock()
        )
        take = {
            Table.CONFIGURATION: self.site.apply_configuration,
            Table.ENDPOINTS: self.site.apply_endpoints,
        }[table]
        self.take = Mock(side_effect=take)
        self.task = TableWatchTask(
            self.reactor,
            clock,
            Mock(random=lambda: 0.5),
            self.source,
            FollowedTable(table, 400.0, 100.0, self.take, Mock()),
            1_000.0,
            Freshness(),
            StoreClock(),
            Mock(),
        )
        self.task.start()

    def _ask(self, _method: str, url: str, _timeout_ms: float) -> Any:
        self.urls.append(url)
        self.answers.append(Deferred())
        return self.answers[-1]

    def answer(self, body: Any) -> None:
        """Answer the question that is open, and let the next one be asked."""
        asked = len(self.answers)
        self.answers[-1].callback(HttpReply(200, "json", orjson.dumps(body)))
        for _ in range(20):
            self.reactor.advance(0.1)
            if len(self.answers) > asked:
                return
        raise AssertionError("the table is no longer followed")


BAD_SERVERS = [
    SERVER | {"address": 7},
    SERVER | {"address": None},
    SERVER | {"address": "nowhere"},
    SERVER | {"address": "10.0.0.1:99999"},
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


@pytest.mark.parametrize("bad", BAD_SERVERS, ids=str)
def test_a_servers_row_that_cannot_be_read_hides_no_other(bad):
    """Seen in a trial: after `slots` as a text, leaving servers were still sent to."""
    followed = Followed(Table.ENDPOINTS)
    followed.answer(page([row("servers", "bad", bad), row("servers", "good", SERVER)]))
    assert followed.directory.may_take("good", 0.0)
    assert followed.directory.record("bad") is None
    leaving = row("servers", "good", SERVER | {"state": "draining"}, 6)
    followed.answer(page([leaving], 6))
    assert not followed.directory.may_take("good", 0.0)


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
def test_a_row_whose_envelope_cannot_be_read_hides_no_other(bad):
    followed = Followed(Table.ENDPOINTS)
    followed.answer(page([bad, row("servers", "good", SERVER)]))
    assert followed.directory.may_take("good", 0.0)


def test_a_row_that_can_no_longer_be_read_leaves_what_was_known():
    followed = Followed(Table.ENDPOINTS)
    followed.answer(page([row("servers", "a", SERVER)]))
    followed.answer(page([row("servers", "a", SERVER | {"slots": "x"}, 6)], 6))
    assert followed.directory.may_take("a", 0.0)
    followed.answer(page([row("servers", "a", SERVER | {"state": "draining"}, 7)], 7))
    assert not followed.directory.may_take("a", 0.0)


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


@pytest.mark.parametrize("bad", BAD_CONFIGURATIONS, ids=lambda each: str(each)[:60])
def test_a_configuration_that_cannot_be_read_leaves_the_last_good_one(bad):
    """Seen in a trial: after a `version` as a text no keyed request was served."""
    followed = Followed(Table.CONFIGURATION)
    followed.answer(page([row("op", "config", configuration(1))]))
    followed.answer(page([row("op", "config", bad, 6)], 6))
    assert followed.site.routes.configuration.version == 1
    followed.answer(page([row("op", "config", configuration(3), 7)], 7))
    assert followed.site.routes.configuration.version == 3


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
        page([], more=True),
        page([None], more=True),
    ],
    ids=str,
)
def test_a_page_that_cannot_be_read_is_asked_for_again(bad):
    followed = Followed(Table.ENDPOINTS)
    followed.answer(bad)
    followed.answer(page([row("servers", "good", SERVER)]))
    assert followed.directory.may_take("good", 0.0)


def test_a_fault_in_taking_a_reading_is_followed_by_a_fresh_one():
    followed = Followed(Table.ENDPOINTS)
    followed.answer(page([row("servers", "a", SERVER)]))
    takes = followed.take.side_effect
    followed.take.side_effect = ArithmeticError("a fault of ours")
    followed.answer(page([row("servers", "b", SERVER)], 6))
    followed.take.side_effect = takes
    assert "rows-get" in followed.urls[-1]
    followed.answer(page([row("servers", "c", SERVER)], 7))
    assert followed.directory.may_take("c", 0.0)


def test_a_broken_invariant_in_taking_a_reading_is_not_passed_over(monkeypatch):
    spawned: list[Any] = []
    monkeypatch.setattr(
        "coursekeel.gateway.site._follow_task.spawn",
        lambda work, *_: spawned.append(work),
    )
    followed = Followed(Table.ENDPOINTS)
    followed.take.side_effect = InvariantBroken("so")
    done = ensureDeferred(spawned[0])
    found: list[Any] = []
    done.addErrback(found.append)
    body = orjson.dumps(page([row("servers", "a", SERVER)]))
    followed.answers[-1].callback(HttpReply(200, "json", body))
    assert found[0].check(InvariantBroken)


def outcome_of(body: bytes, table: Table, whole: bool) -> Any:
    source = PlatformSource(FakeReactor(), "127.0.0.1:1")
    source._rows._fetcher = Mock(ask=lambda *_: succeed(HttpReply(200, "json", body)))
    asked = (
        source.read(table, 1.0)
        if whole
        else source.follow(table, position_at(1), 1.0, 1.0)
    )
    found: list[Any] = []
    ensureDeferred(asked).addBoth(found.append)
    return found[0]


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
def test_any_page_is_a_reading_or_a_failure(body, table, whole):
    outcome = outcome_of(orjson.dumps(body), table, whole)
    assert isinstance(outcome, TableRead | HistoryExpired | SourceFailed)


@given(changes=st.dictionaries(st.sampled_from(sorted(SERVER)), JSON), good=st.text())
def test_any_servers_row_leaves_its_neighbour_alone(changes, good):
    rows = [
        row("servers", f"{good}-bad", SERVER | changes),
        row("servers", good, SERVER),
    ]
    reading = outcome_of(orjson.dumps(page(rows)), Table.ENDPOINTS, True)
    directory = EndpointDirectory()
    settings = LiveSettings(SETTINGS)
    site = SiteState(FakeReactor(), Mock(), settings, directory, Mock())
    site.apply_endpoints(reading)
    assert directory.record(good) is not None
    # What was taken can be used: routing reads slots, zones and addresses.
    assert all(isinstance(each, int) for each in directory.slots().values())
    assert all(isinstance(each, str) for each in directory.zones().values())


@given(
    body=JSON
    | st.fixed_dictionaries(
        {"running": JSON, "queued": JSON, "kv-used": JSON, "kv-total": JSON},
        optional={"runs": JSON},
    )
)
def test_any_report_is_read_with_whole_numbers_or_not_at_all(body):
    report = PlatformEndpoints().read_report(orjson.dumps(body))
    if not isinstance(report, EndpointReport):
        return
    for number in (report.running, report.queued, report.free_tokens):
        assert type(number) is int
    assert type(report.prefill_pending_runs) is int
