"""A gateway's metrics stay few, whatever teams and routes a day brings."""

from unittest.mock import Mock

from coursekeel.forwarding import Belief
from coursekeel.gateway._metrics import GatewayMetrics

TEAMS, ROUTES = 24, 100
OUTCOMES = ("answered", "timeout", "answer_lost", "caller_left", "no_endpoint")


def call(team: int, route: int) -> Mock:
    found = Mock(team_name=f"team-{team}", pool="p", arrived_ms=0.0)
    found.route.name = f"route-{route}"
    return found


def page() -> list[str]:
    metrics = GatewayMetrics(Mock(now_ms=lambda: 100.0))
    for route in range(ROUTES):
        for team in range(TEAMS):
            for outcome in OUTCOMES:
                metrics.ended(call(team, route), outcome, 200, 1)
                metrics.ended(call(team, route), outcome, 200, 1, first_ms=50.0)
            metrics.resumed(call(team, route), "copy", 10.0)
    content, _ = metrics.metrics.render([""])
    return content.decode().splitlines()


def test_series_are_a_few_hundred_with_24_teams_and_many_routes():
    lines = page()
    counted = [each for each in lines if each.startswith("coursekeel_requests_total{")]
    timed = [each for each in lines if "_seconds_count{" in each and "call" in each]
    assert len(counted) <= 200 + len(OUTCOMES)
    assert len(timed) <= 65
    total = sum(float(each.rsplit(" ", 1)[1]) for each in counted)
    assert total == 2 * ROUTES * TEAMS * len(OUTCOMES)
    assert any('team="other"' in each for each in counted)


def test_a_process_may_have_more_than_one_set_of_metrics():
    """Seen in CI: the second one that a process made was refused."""
    first, second = page(), page()
    counted = [each for each in first if each.startswith("coursekeel_requests_total{")]
    assert counted and set(counted) <= set(second)


def test_a_send_names_the_configuration_and_the_age_of_its_proof(monkeypatch):
    """Without them a request that ran with a revoked key can't be traced by its log."""
    told = Mock()
    monkeypatch.setattr("coursekeel.gateway._metrics.log_event", told)
    metrics = GatewayMetrics(Mock(now_ms=lambda: 100.0), lambda: Belief(41, 1_250.4))
    metrics.chosen(Mock(due_ms=900.0), "e", "whole", None)
    assert told.call_args.kwargs["configuration"] == 41
    assert told.call_args.kwargs["belief_age_ms"] == 1_250
