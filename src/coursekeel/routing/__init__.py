"""Which request goes where: scoring, limits, fair queues, budgets and refusals."""

from coursekeel.routing._budget import RetryBudget
from coursekeel.routing._candidates import (
    EndpointLoad,
    expected_first_token_ms,
    pick,
    preference,
    subset,
)
from coursekeel.routing._limits import ConcurrencyLimit
from coursekeel.routing._messages import Decision, Grant, LoadReport, Refuse, Seek
from coursekeel.routing._queue import FairQueue
from coursekeel.routing._router import Router, RouterSettings
from coursekeel.routing._trouble import ZoneTrouble

__all__ = [
    "ConcurrencyLimit",
    "Decision",
    "EndpointLoad",
    "FairQueue",
    "Grant",
    "LoadReport",
    "Refuse",
    "RetryBudget",
    "Router",
    "RouterSettings",
    "Seek",
    "ZoneTrouble",
    "expected_first_token_ms",
    "pick",
    "preference",
    "subset",
]
