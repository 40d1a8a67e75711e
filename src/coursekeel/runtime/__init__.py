"""Code shared by all roles: process, clock, periodic work, drivers of the cores."""

from coursekeel.runtime._answer_driver import AnswerDriver, AnswerShell
from coursekeel.runtime._bounded_body import BoundedBody, with_bounded_length
from coursekeel.runtime._bounded_head import BoundedHead
from coursekeel.runtime._clock import Clock
from coursekeel.runtime._periodic import Periodic, spawn
from coursekeel.runtime._process import Role, install_reactor, run_role
from coursekeel.runtime._routing_task import RoutingTask

__all__ = [
    "AnswerDriver",
    "AnswerShell",
    "BoundedBody",
    "BoundedHead",
    "Clock",
    "Periodic",
    "Role",
    "RoutingTask",
    "install_reactor",
    "run_role",
    "spawn",
    "with_bounded_length",
]
