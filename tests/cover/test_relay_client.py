"""Which members a request is relayed to while members come and go."""

from random import Random
from unittest.mock import Mock

import pytest

from coursekeel.gateway.relay._relay_client import MemberSearch, RelayClient
from coursekeel.group import encode_message
from coursekeel.reach import RelayMembers
from tests.common.quarantine_world import QuarantineWorld

POOL = "plain"


@pytest.fixture
def world():
    world = QuarantineWorld(3)
    world.run(3_000)
    return world


def client_of(world: QuarantineWorld, number: int = 0) -> RelayClient:
    clock = Mock()
    clock.now_ms = lambda: world.now_ms
    swim = world.member(number).swim
    return RelayClient(Mock(), clock, Mock(), Mock(), swim, RelayMembers(Random(1)))


def leave(world: QuarantineWorld, number: int) -> str:
    member = world.member(number)
    for outgoing in member.swim.leave():
        world._send(member, outgoing.address, encode_message(outgoing.message))
    world.run(500)
    return member.address


def test_a_member_that_leaves_goes_on_serving_what_it_has(world):
    address = leave(world, 1)
    client = client_of(world)
    assert address not in client.others_alive()
    assert client.is_serving(address)


def test_a_member_that_is_gone_serves_nothing(world):
    address = world.address(1)
    world.stop(1)
    world.run(6_000)
    assert not client_of(world).is_serving(address)


def test_a_leaving_member_is_asked_only_where_no_other_may_serve(world):
    leaving = leave(world, 1)
    search = MemberSearch(client_of(world), POOL)
    first, second = search.next_member(), search.next_member()
    assert (first, second) == (world.address(2), leaving)
    assert search.next_member() == ""


def test_a_search_ends_early_enough_for_a_quick_refusal(world):
    search = MemberSearch(client_of(world), POOL)
    search.next_member()
    world.run(500)
    assert search.next_member() == ""
