"""The number of a gateway's metric series stays bounded for many teams and routes."""

from unittest.mock import Mock

from coursekeel.forwarding import ConfigurationAge
from coursekeel.gateway._metrics import GatewayMetrics

TEAMS, ROUTES = 24, 100
OUTCOMES = ("answered", "timeout", "answer_lost", "caller_left", "no_endpoint")


def admitted_request(team: int, route: int) -> Mock:
    request = Mock(team_name=f"team-{team}", pool="p", arrived_ms=0.0)
    request.route.name = f"route-{route}"
    return request


def metrics_lines() -> list[str]:
    metrics = GatewayMetrics(Mock(now_ms=lambda: 100.0))
    for route in range(ROUTES):
        for team in range(TEAMS):
            for outcome in OUTCOMES:
                metrics.ended(admitted_request(team, route), outcome, 200, 1)
                metrics.ended(
                    admitted_request(team, route), outcome, 200, 1, first_ms=50.0
                )
            metrics.resumed(admitted_request(team, route), "copy", 10.0)
    content, _ = metrics.metrics.render([""])
    return content.decode().splitlines()


def test_number_of_series_is_bounded_with_24_teams_and_100_routes():
    lines = metrics_lines()
    counters = [line for line in lines if line.startswith("coursekeel_requests_total{")]
    histograms = [
        line for line in lines if "_seconds_count{" in line and "call" in line
    ]
    assert len(counters) <= 200 + len(OUTCOMES)
    assert len(histograms) <= 65
    total = sum(float(line.rsplit(" ", 1)[1]) for line in counters)
    assert total == 2 * ROUTES * TEAMS * len(OUTCOMES)
    assert any('team="other"' in line for line in counters)


def test_a_process_can_create_a_second_set_of_metrics():
    first, second = metrics_lines(), metrics_lines()
    counters = [line for line in first if line.startswith("coursekeel_requests_total{")]
    assert counters and set(counters) <= set(second)


def test_endpoint_choice_is_logged_with_the_version_and_age_of_the_configuration(
    monkeypatch,
):
    """Without them a request that ran with a revoked key can't be traced in the log."""
    log_event = Mock()
    monkeypatch.setattr("coursekeel.gateway._metrics.log_event", log_event)
    metrics = GatewayMetrics(
        Mock(now_ms=lambda: 100.0), lambda: ConfigurationAge(41, 1_250.4)
    )
    metrics.chosen(Mock(deadline_ms=900.0), "e", "whole", None)
    assert log_event.call_args.kwargs["configuration"] == 41
    assert log_event.call_args.kwargs["belief_age_ms"] == 1_250
