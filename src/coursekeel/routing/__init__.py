"""Request placement: scores, concurrency limits, fair queues, retry budgets."""

from coursekeel.routing._budget import RetryBudget
from coursekeel.routing._forecast import ENDPOINT_LIMIT_CODE, POOL_UNREACHED_CODE
from coursekeel.routing._limits import ConcurrencyLimit
from coursekeel.routing._load import EndpointLoad
from coursekeel.routing._messages import (
    Decision,
    Grant,
    LoadReport,
    PlacementRequest,
    Refuse,
)
from coursekeel.routing._queue import FairQueue
from coursekeel.routing._router import Router, RouterSettings
from coursekeel.routing._score import subset
from coursekeel.routing._send_gate import OpenGate, SendGate
from coursekeel.routing._window_budget import WindowBudget
from coursekeel.routing._zones import FailingZones

__all__ = [
    "ENDPOINT_LIMIT_CODE",
    "POOL_UNREACHED_CODE",
    "ConcurrencyLimit",
    "Decision",
    "EndpointLoad",
    "FailingZones",
    "FairQueue",
    "Grant",
    "LoadReport",
    "OpenGate",
    "PlacementRequest",
    "Refuse",
    "RetryBudget",
    "Router",
    "RouterSettings",
    "SendGate",
    "WindowBudget",
    "subset",
]
