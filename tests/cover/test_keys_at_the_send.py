"""Validity of a key before each send, while configurations change."""

from unittest.mock import Mock

import pytest

from coursekeel.forwarding import (
    EndpointDirectory,
    ForwardingConfiguration,
    Route,
    RouteKind,
    Team,
    key_digest,
)
from coursekeel.gateway._adapters import TableRead, VersionedEntry
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway.site._site_state import SiteState
from coursekeel.settings import GatewayListen, GatewaySettings
from tests.common.moments import position_at

SETTINGS = GatewaySettings("g", "z", GatewayListen("h:1"), "s:1")
MAX_AGE_MS = SETTINGS.timers.max_key_age_ms
KEY = "k"


class Site:
    """The cached site of one instance, on a clock that the test sets."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        clock = Mock(now_ms=lambda: self.now_ms)
        self.cached = SiteState(
            Mock(), clock, LiveSettings(SETTINGS), EndpointDirectory(), Mock()
        )
        self.version = 0

    def configure(self, *teams: Team) -> None:
        self.version += 1
        configuration = ForwardingConfiguration(self.version, teams=teams, keyed=True)
        entry = VersionedEntry(configuration, position_at(self.version))
        self.cached.freshness.record_confirmation("configuration", self.now_ms)
        self.cached.apply_configuration(
            TableRead((entry,), position_at(self.version), 0.0, False)
        )

    def request(self) -> Mock:
        """A request that was admitted with the current configuration."""
        route = Route("r", "h", "/", RouteKind.REPEATABLE, ())
        call = Mock(route=route, team=self.cached.routes.team(KEY))
        call.caller.key = KEY
        return call


def team(name: str, *keys: str) -> Team:
    return Team(name, tuple(key_digest(key) for key in keys))


def test_a_key_that_was_revoked_between_two_sends_is_not_sent_again():
    site = Site()
    site.configure(team("a", KEY, "other"))
    call = site.request()
    assert site.cached.may_still_send(call)
    site.configure(team("a", "other"))
    assert not site.cached.may_still_send(call)
    assert site.cached.may_still_send(call, begun=True)


def test_a_key_that_moved_to_another_team_is_not_sent_for_the_first_team():
    """Guards against sending the endpoint the name of a team without the key."""
    site = Site()
    site.configure(team("a", KEY), team("b"))
    call = site.request()
    site.configure(team("a"), team("b", KEY))
    assert not site.cached.may_still_send(call)
    assert site.cached.may_still_send(site.request())


def test_a_key_that_was_restored_to_its_team_is_sent_by_the_new_confirmation():
    site = Site()
    site.configure(team("a", KEY))
    call = site.request()
    site.now_ms = MAX_AGE_MS - 1
    site.configure(team("a"))
    site.configure(team("a", "other", KEY))
    site.now_ms = 2 * MAX_AGE_MS - 2
    assert site.cached.may_still_send(call)


@pytest.mark.parametrize("over_ms", [-1.0, 0.0, 1.0])
def test_a_key_is_accepted_up_to_its_age_limit_and_no_longer(over_ms):
    site = Site()
    site.configure(team("a", KEY))
    call = site.request()
    site.now_ms = MAX_AGE_MS + over_ms
    assert site.cached.may_still_send(call) is (over_ms <= 0)
