"""The adapter's headers, paths and verdicts equal `tests/golden/platform.json`.

Guards the protocol against accidental changes, such as a renamed field.
"""

import sys
from typing import Any

import attrs
import orjson
import pytest

from coursekeel import gateway
from coursekeel.fetch import ExchangeHead
from coursekeel.forwarding import EndpointRecord
from tests.platform.site import ROOT

sys.path.insert(0, str(ROOT / "platform"))

from _callers import PlatformCallers
from _endpoints import PlatformEndpoints

GOLDEN = orjson.loads((ROOT / "tests" / "golden" / "platform.json").read_bytes())


def adapter_output() -> dict[str, Any]:
    endpoints = PlatformEndpoints()
    outbound = gateway.OutboundRequest(
        EndpointRecord("i-1", "p", "10.0.0.1", 80),
        "r1",
        "team-1",
        900.7,
        resume_after=3,
        copy_to="10.0.0.3:80",
        copy_from="10.0.0.2:80",
        copied_run="r0",
        urgent=True,
    )
    headers = endpoints.headers([(b"x-kept", b"1"), (b"tenant", b"no")], outbound)
    heads = [
        ExchangeHead(status, [(name, b"r1") for name in names])
        for status in (200, 421, 429, 500, 503)
        for names in ((), (b"request-id",), (b"not-executed",))
    ]
    caller = PlatformCallers().read(
        [(b"authorization", b"bearer k"), (b"deadline-ms", b"5"), (b"request-id", b"r")]
    )
    return {
        "headers": [[name.decode(), value.decode()] for name, value in headers],
        "verdicts": [endpoints.judge(head, "r1").value for head in heads],
        "caller": orjson.loads(orjson.dumps(attrs.astuple(caller))),
        "paths": [endpoints.report.target.decode(), PlatformCallers().readiness_path],
    }


@pytest.mark.parametrize("name", sorted(GOLDEN))
def test_adapter_output_equals_the_golden_file(name):
    assert adapter_output()[name] == GOLDEN[name]
