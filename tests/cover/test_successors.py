"""A restarted endpoint is found at its address before it is listed."""

from unittest.mock import Mock

import pytest
from attrs import evolve

from coursekeel.answers import Way
from coursekeel.fetch import Ending, ExchangeHead
from coursekeel.forwarding import (
    EndpointDirectory,
    EndpointRecord,
    ForwardingConfiguration,
    Pool,
    RouteTable,
)
from coursekeel.gateway._adapters import EndpointReport, HeadVerdict
from tests.common.moments import position_at
from tests.cover.test_stream_placement import POOL, StreamHarness, send_first_event

OLD = EndpointRecord("old", POOL, "127.0.0.1", 9, "zone-1", 8)


def make_directory() -> EndpointDirectory:
    directory = EndpointDirectory()
    directory.put(OLD, position_at(5))
    return directory


def test_an_adopted_successor_replaces_its_predecessor():
    directory = make_directory()
    record = directory.adopt("old", "new", 0.0)
    assert record == evolve(OLD, endpoint_id="new")
    assert directory.pools() == {POOL: ["new"]}
    assert directory.may_take("new", 0.0)
    assert directory.at_address(OLD.address) == record


def test_a_removed_endpoint_is_not_adopted():
    directory = make_directory()
    directory.put(evolve(OLD, endpoint_id="new"), position_at(6))
    directory.remove("new", position_at(7), 0.0)
    assert directory.adopt("old", "new", 0.0) is None


def test_an_endpoint_listed_as_leaving_stays_leaving():
    directory = make_directory()
    directory.put(evolve(OLD, endpoint_id="new", leaving=True), position_at(6))
    assert directory.adopt("old", "new", 0.0).leaving
    assert not directory.may_take("new", 0.0)


def test_only_listed_successors_are_kept_when_the_store_returns():
    directory = make_directory()
    directory.put(evolve(OLD, endpoint_id="old2", port=10), position_at(5))
    directory.adopt("old", "new", 0.0)
    directory.adopt("old2", "new2", 0.0)
    directory.begin_recovery(0.0)
    directory.put(evolve(OLD, endpoint_id="new"), position_at(8))
    assert directory.remove_missing(1_500.0, 0.0) == ["new2"]
    assert directory.may_take("new", 0.0)
    assert directory.record("new2") is None


def test_a_successor_that_is_never_listed_is_removed():
    harness = StreamHarness()
    harness.known_site.adopt("e1", "e1-b")
    assert harness.directory.may_take("e1-b", 0.0)
    harness.reactor.advance(6.1)
    assert harness.directory.may_take("e1-b", 0.0), "no list was confirmed since"
    harness.known_site.freshness.record_confirmation(
        "endpoints", harness.clock.now_ms()
    )
    harness.reactor.advance(6.1)
    assert harness.directory.record("e1-b") is None


def test_a_successor_that_is_never_listed_is_removed_soon_after_the_list_says_so():
    """Guards against using it for six seconds more."""
    harness = StreamHarness()
    harness.known_site.adopt("e1", "e1-b")
    harness.reactor.advance(6.0)
    harness.reactor.advance(0.1)
    harness.known_site.freshness.record_confirmation(
        "endpoints", harness.clock.now_ms()
    )
    harness.reactor.advance(0.5)
    assert harness.directory.record("e1-b") is None


class RestartedEndpointHarness(StreamHarness):
    """Three endpoints, of which one was replaced by another incarnation, ``x9``."""

    def __init__(self, models=frozenset({"m"}), other=frozenset()) -> None:
        super().__init__()
        pools = (Pool(POOL, True, frozenset({"m"})), Pool("other", False, other))
        self.known_site.routes = RouteTable(ForwardingConfiguration(pools=pools))
        self.report_requests: list[EndpointRecord] = []
        report = EndpointReport(0, 0, models=models)

        def request_report_from(record, on_report):
            self.report_requests.append(record)
            on_report(report)

        self.reports.request_report_from = request_report_from
        self.client.dialect.incarnation_named = Mock(return_value="x9")

    def lose_run(self) -> None:
        self.start(copies=True)
        send_first_event(self, self.client.sinks[0])
        self.client.dialect.judge = Mock(return_value=HeadVerdict.OTHER_INSTANCE)
        self.client.sinks[0].ended(Ending.CUT, "reset")

    def answer_as_successor(self, send: int) -> None:
        self.client.dialect.judge = Mock(return_value=HeadVerdict.OTHER_INSTANCE)
        self.client.sinks[send].head_arrived(ExchangeHead(421, []))
        self.client.sinks[send].ended(Ending.WHOLE, "")


def test_a_run_resumes_from_a_copy_at_the_successor():
    """Otherwise its prompt would be read again."""
    harness = RestartedEndpointHarness()
    harness.lose_run()
    copy_endpoint = harness.client.sent[1].endpoint
    harness.answer_as_successor(1)
    assert harness.report_requests == [evolve(copy_endpoint, endpoint_id="x9")]
    resumed = harness.client.sent[2]
    assert resumed.endpoint == evolve(copy_endpoint, endpoint_id="x9")
    assert resumed.copy_from == copy_endpoint.address
    assert harness.router.load("x9").limit.running == 1


@pytest.mark.parametrize(
    ("models", "other"),
    [(frozenset(), frozenset()), (frozenset({"m"}), frozenset({"m"}))],
    ids=["no model", "a model that two pools serve"],
)
def test_an_endpoint_of_an_unconfirmed_pool_is_not_adopted(models, other):
    """Addresses are reused, also for endpoints of other pools."""
    harness = RestartedEndpointHarness(models, other)
    harness.lose_run()
    harness.answer_as_successor(1)
    assert all(not outbound.copy_from for outbound in harness.client.sent[2:])
    assert all(
        outbound.endpoint.endpoint_id != "x9" for outbound in harness.client.sent
    )


def test_a_listed_successor_of_another_pool_gets_no_copys_run():
    """A stream was resumed at an address that a server of another service has now."""
    harness = RestartedEndpointHarness()
    harness.lose_run()
    address = harness.client.sent[1].endpoint
    other = evolve(address, endpoint_id="x9", pool="other")
    harness.directory.put(other, position_at(6))
    harness.answer_as_successor(1)
    sent_to = [outbound.endpoint.endpoint_id for outbound in harness.client.sent]
    assert "x9" not in sent_to
    assert len(sent_to) == 3


def test_an_endpoint_listed_in_another_pool_is_not_adopted():
    directory = make_directory()
    directory.put(evolve(OLD, endpoint_id="new", pool="other"), position_at(6))
    assert directory.adopt("old", "new", 0.0) is None


def test_new_work_goes_elsewhere_and_the_successor_is_adopted():
    harness = RestartedEndpointHarness()
    task = harness.start()
    harness.answer_as_successor(0)
    assert len(harness.client.sent) == 2
    assert task.core.attempts[2].way is Way.PREFILL
    assert harness.directory.may_take("x9", 0.0)
