"""Whether one member detects that the store is unreachable for its whole group."""

from random import Random
from unittest.mock import Mock

import pytest
from twisted.internet.task import Clock as FakeReactor

from coursekeel.forwarding import Freshness
from coursekeel.gateway._adapters import Table
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway.members._group import Group
from coursekeel.group import MemberState, MessageKind, News, ProofHint, SwimMessage
from coursekeel.quarantine import Quarantine
from coursekeel.settings import GatewayListen, GatewaySettings

OWN, SECOND, THIRD = "10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"
NOW_MS = 100_000.0
TABLE = Table.CONFIGURATION


@pytest.fixture
def group():
    """A group whose last confirmation is 8 s old, with two other live members."""
    listen = GatewayListen("10.0.0.1:1", peers=OWN)
    settings = LiveSettings(GatewaySettings("g", "a", listen, "s:1"))
    clock, freshness = Mock(), Freshness()
    clock.now_ms = lambda: NOW_MS
    group = Group(
        FakeReactor(),
        clock,
        settings,
        freshness,
        Mock(),
        Random(1),
        Mock(),
        Quarantine(),
        Mock(),
        Mock(),
        Mock(),
        Mock(),
        Mock(),
        Mock(),
    )
    freshness.record_confirmation(TABLE.value, NOW_MS - 8_000)
    group.feeds[TABLE].failing = True
    for address in (SECOND, THIRD):
        receive_from(group, address)
    return group


def receive_from(group: Group, address: str, **more) -> None:
    message = SwimMessage("s:1", MessageKind.ACK, address, "a", 0, **more)
    group.swim.received(message, NOW_MS)


def test_the_store_is_down_for_all_if_no_member_has_a_newer_confirmation(group):
    receive_from(group, SECOND, hints=(ProofHint(TABLE.value, SECOND, 1, 7_900.0),))
    assert group.store_is_away_for_all()


def test_the_store_is_not_down_for_all_if_a_member_has_a_newer_confirmation(group):
    receive_from(group, SECOND, hints=(ProofHint(TABLE.value, SECOND, 1, 900.0),))
    assert not group.store_is_away_for_all()


def test_the_store_is_not_down_for_all_while_this_instance_reads_it(group):
    group.feeds[TABLE].failing = False
    assert not group.store_is_away_for_all()


def test_a_minority_of_the_group_does_not_report_the_store_down_for_all(group):
    gone = tuple(News(a, "a", 0, MemberState.GONE) for a in (SECOND, THIRD))
    receive_from(group, "10.0.0.4:7", news=gone)
    assert not group.store_is_away_for_all()


def test_an_isolated_instance_does_not_report_the_store_down_for_all(group):
    group.clock.now_ms = lambda: NOW_MS + 3_000
    assert not group.store_is_away_for_all()
