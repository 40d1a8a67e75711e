"""At an entry, a malformed item of a list costs only itself."""

from random import Random
from unittest.mock import Mock

import orjson
import pytest
from twisted.internet.defer import ensureDeferred, succeed

from coursekeel.endpoints._adapter import EndpointStatus, Unreachable
from coursekeel.endpoints._http_engine import HttpEngine
from coursekeel.entry.answers._expiry_task import ExpiryTask
from coursekeel.fetch import HttpReply
from coursekeel.storage import Row, Rows
from coursekeel.storage._http import HttpPlatform

INSTANCE = {"instance_id": "e1", "kind": "engine", "zone": "z", "address": "h:1"}
STATUS = {
    "incarnation": "i1",
    "leaving": False,
    "running": 1,
    "queued": 0,
    "slots": 4,
    "models": [["m", "", "v1"]],
}


def result_of(call):
    results = []
    ensureDeferred(call).addBoth(results.append)
    return results[0]


def replying(body):
    return Mock(
        ask=lambda *_, **__: succeed(HttpReply(200, "json", orjson.dumps(body)))
    )


@pytest.mark.parametrize(
    "bad",
    [None, 7, [], {}, INSTANCE | {"zone": None}, INSTANCE | {"address": ["h:1"]}],
    ids=str,
)
def test_a_malformed_instance_hides_no_other_instance(bad):
    platform = HttpPlatform(Mock(), "http://127.0.0.1:1", 1_000)
    platform._fetcher = replying({"instances": [bad, INSTANCE]})
    listed = result_of(platform.list_instances()).instances
    assert [each.instance_id for each in listed] == ["e1"]


@pytest.mark.parametrize(
    "bad",
    [
        Row("expires/x/a", 1, {"key": "a"}),
        Row("expires/" + "9" * 5_000, 1, {"key": "a"}),
        Row("expires/1/a", 1, {}),
        Row("expires/1/a", 1, {"key": 7}),
    ],
    ids=lambda row: str(row)[:60],
)
def test_a_malformed_expiry_holds_up_no_other(bad):
    good = Row("expires/1/b", 1, {"key": "b"})
    rows = {bad.key: bad, good.key + "2": good}
    platform = Mock(
        scan=lambda *_: succeed(Rows(rows)),
        read=lambda _: succeed(Rows({})),
        transact=Mock(side_effect=lambda _: succeed(None)),
    )
    clock = Mock(wall_s=lambda: 6_000)
    task = ExpiryTask(Mock(), clock, platform, "e1", Random(1))
    assert result_of(task._round()) is None
    assert [call.args[0].writes for call in platform.transact.call_args_list] == [
        {good.key: None}
    ]


@pytest.mark.parametrize(
    "changes",
    [{"running": 1e308}, {"queued": -1}, {"slots": "9" * 5_000}, {"models": 7}],
    ids=lambda changes: str(changes)[:40],
)
def test_a_malformed_status_is_none(changes):
    """Guards against a count that overflows wherever loads are compared."""
    engine = HttpEngine(Mock(), "127.0.0.1:1", 100, 1_000)
    engine._fetcher = replying(STATUS)
    assert isinstance(result_of(engine.status()), EndpointStatus)
    engine._fetcher = replying(STATUS | changes)
    assert result_of(engine.status()) == Unreachable(False, "unreadable status")
