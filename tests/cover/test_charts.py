import json

import pytest

from coursekeel.charts import load_chart, parse_chart
from coursekeel.errors import ChartError, InvariantBroken

CHARTS = ["answer", "attempt", "call", "endpoint", "lease", "plan", "rollout"]


@pytest.mark.parametrize("name", CHARTS)
def test_every_shipped_chart_is_complete(name):
    assert load_chart(name).machine().state == load_chart(name).initial


def test_follows_transitions_and_raises_on_an_impossible_input():
    machine = load_chart("attempt").machine()
    machine.feed("head_right")
    assert machine.feed("finished") == "ended"
    with pytest.raises(InvariantBroken, match="head_right"):
        machine.feed("head_right")


def test_machines_of_one_chart_share_no_state():
    first, second = load_chart("attempt").machine(), load_chart("attempt").machine()
    first.feed("lost")
    assert (first.state, second.state) == ("dropped", "opening")


@pytest.mark.parametrize(
    ("states", "fault"),
    [
        ({"a": {"on": {"go": "b"}}}, "no state"),
        ({"a": {"on": {"go": "b"}}, "b": {}}, "neither takes"),
        ({"a": {}, "b": {}}, "can't be reached"),
    ],
)
def test_the_error_names_the_fault_of_a_chart(states, fault):
    with pytest.raises(ChartError, match=fault):
        parse_chart(json.dumps({"name": "x", "initial": "a", "states": states}))
