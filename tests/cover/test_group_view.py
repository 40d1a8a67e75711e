"""Whether the store is away for all, as one member of a group can tell."""

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
    """It has failed to get a proof for eight seconds, and has heard from two others."""
    listen = GatewayListen("10.0.0.1:1", peers=OWN)
    settings = LiveSettings(GatewaySettings("g", "a", listen, "s:1"))
    clock, freshness = Mock(), Freshness()
    clock.now_ms = lambda: NOW_MS
    made = Group(
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
    )
    freshness.proved(TABLE.value, NOW_MS - 8_000)
    made.feeds[TABLE].failing = True
    for address in (SECOND, THIRD):
        hear(made, address)
    return made


def hear(group: Group, address: str, **more) -> None:
    message = SwimMessage("s:1", MessageKind.ACK, address, "a", 0, **more)
    group.swim.received(message, NOW_MS)


def test_it_is_away_for_all_if_nobody_has_a_newer_proof(group):
    hear(group, SECOND, hints=(ProofHint(TABLE.value, SECOND, 1, 7_900.0),))
    assert group.store_is_away_for_all()


def test_it_is_not_if_another_has_a_newer_proof(group):
    hear(group, SECOND, hints=(ProofHint(TABLE.value, SECOND, 1, 900.0),))
    assert not group.store_is_away_for_all()


def test_it_is_not_while_this_instance_gets_its_proofs(group):
    group.feeds[TABLE].failing = False
    assert not group.store_is_away_for_all()


def test_a_smaller_part_of_the_group_cannot_tell(group):
    gone = tuple(News(a, "a", 0, MemberState.GONE) for a in (SECOND, THIRD))
    hear(group, "10.0.0.4:7", news=gone)
    assert not group.store_is_away_for_all()


def test_one_that_hears_nobody_cannot_tell(group):
    group.clock.now_ms = lambda: NOW_MS + 3_000
    assert not group.store_is_away_for_all()
