"""A restarted endpoint is found at its address before the list names it."""

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
from tests.common.moments import at
from tests.cover.test_stream_placement import POOL, Site, begin

OLD = EndpointRecord("old", POOL, "127.0.0.1", 9, "zone-1", 8)


def directory() -> EndpointDirectory:
    made = EndpointDirectory()
    made.put(OLD, at(5))
    return made


def test_a_successor_takes_the_work_of_its_address():
    made = directory()
    record = made.adopt("old", "new")
    assert record == evolve(OLD, endpoint_id="new")
    assert made.pools() == {POOL: ["new"]}
    assert made.may_take("new", 0.0)
    assert made.at_address(OLD.address) == record


def test_one_that_the_list_dropped_is_leaving_and_no_successor():
    made = directory()
    made.put(evolve(OLD, endpoint_id="new"), at(6))
    made.remove("new", at(7))
    assert made.adopt("old", "new") is None


def test_one_that_the_list_calls_leaving_stays_so():
    made = directory()
    made.put(evolve(OLD, endpoint_id="new", leaving=True), at(6))
    assert made.adopt("old", "new").leaving
    assert not made.may_take("new", 0.0)


def test_the_lists_return_keeps_a_successor_that_it_names_and_no_other():
    made = directory()
    made.put(evolve(OLD, endpoint_id="old2", port=10), at(5))
    made.adopt("old", "new")
    made.adopt("old2", "new2")
    made.store_returned()
    made.put(evolve(OLD, endpoint_id="new"), at(8))
    assert made.settle() == ["new2"]
    assert made.may_take("new", 0.0)
    assert made.record("new2") is None


def test_a_successor_that_a_followed_list_never_names_is_given_up():
    site = Site()
    site.known.adopt("e1", "e1-b")
    assert site.directory.may_take("e1-b", 0.0)
    site.reactor.advance(6.1)
    assert site.directory.may_take("e1-b", 0.0), "nothing was proven since"
    site.known.freshness.proved("endpoints", site.clock.now_ms())
    site.reactor.advance(6.1)
    assert site.directory.record("e1-b") is None


class RestartedSite(Site):
    """Three endpoints; one's address answers for another incarnation, ``x9``."""

    def __init__(self, models=frozenset({"m"}), other=frozenset()) -> None:
        super().__init__()
        pools = (Pool(POOL, True, frozenset({"m"})), Pool("other", False, other))
        self.known.routes = RouteTable(ForwardingConfiguration(pools=pools))
        self.asked: list[EndpointRecord] = []
        report = EndpointReport(0, 0, models=models)

        def request_report_from(record, on_report):
            self.asked.append(record)
            on_report(report)

        self.reports.request_report_from = request_report_from
        self.client.dialect.incarnation_named = Mock(return_value="x9")

    def lose_the_run(self) -> None:
        self.start(copies=True)
        begin(self, self.client.sinks[0])
        self.client.dialect.judge = Mock(return_value=HeadVerdict.OTHER_INSTANCE)
        self.client.sinks[0].ended(Ending.CUT, "reset")

    def answer_for_another(self, send: int) -> None:
        self.client.dialect.judge = Mock(return_value=HeadVerdict.OTHER_INSTANCE)
        self.client.sinks[send].head_arrived(ExchangeHead(421, []))
        self.client.sinks[send].ended(Ending.WHOLE, "")


def test_a_copy_is_taken_up_from_the_keepers_successor():
    """Seen in an outage of the store: each such copy was refused, and its prompt read
    again."""
    site = RestartedSite()
    site.lose_the_run()
    keeper = site.client.sent[1].endpoint
    site.answer_for_another(1)
    assert site.asked == [evolve(keeper, endpoint_id="x9")]
    again = site.client.sent[2]
    assert again.endpoint == evolve(keeper, endpoint_id="x9")
    assert again.copy_from == keeper.address
    assert site.router.load("x9").limit.running == 1


@pytest.mark.parametrize(
    ("models", "other"),
    [(frozenset(), frozenset()), (frozenset({"m"}), frozenset({"m"}))],
    ids=["no model", "a model that two pools serve"],
)
def test_what_does_not_prove_its_pool_is_no_successor(models, other):
    """Addresses are given to endpoints of other pools."""
    site = RestartedSite(models, other)
    site.lose_the_run()
    site.answer_for_another(1)
    assert all(not each.copy_from for each in site.client.sent[2:])
    assert all(each.endpoint.endpoint_id != "x9" for each in site.client.sent)


def test_new_work_goes_elsewhere_at_once_and_the_successor_is_known_after_it():
    site = RestartedSite()
    task = site.start()
    site.answer_for_another(0)
    assert len(site.client.sent) == 2
    assert task.core.attempts[2].way is Way.PREFILL
    assert site.directory.may_take("x9", 0.0)
