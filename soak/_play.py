"""Plays one schedule against a world, and gives what was seen and what it breaks."""

import tempfile
import time
from pathlib import Path

from attrs import frozen

from soak._bounds import Bounds
from soak._callers import Caller
from soak._checks import Violation, check
from soak._records import Evidence
from soak._schedule import LEAVINGS, Schedule
from soak._world import KEYS, RETRIES, SETTINGS, World

__all__ = ["BOUNDS", "Played", "play"]

# A gateway starts within a second or two on a busy machine, and knows the others after
# two more; the store's return is seen within 2 s.
_WHOLE_AGAIN_S = 8.0
# Requests go on through outages of the store beside which servers leave.
_THROUGH_OUTAGES = {
    "revoke_ms": 5_000.0,
    "strict_revoke": False,
    "stretch_ms": 60_000.0,
}
# `contact-ms` of the users' small sites.
_CONTACT_S = 3.0

BOUNDS = Bounds(
    revoke_s=SETTINGS["revoke_ms"] / 1000,
    drain_s=SETTINGS["drain_ms"] / 1000,
    contact_s=_CONTACT_S,
    whole_again_s=_WHOLE_AGAIN_S,
    retry_ratio=RETRIES["ratio"],
    retry_slack=RETRIES["slack"],
    retry_window_s=RETRIES["window_s"],
    grace_s=SETTINGS["grace_s"],
)


@frozen
class Played:
    """``began_s`` is the steady clock's moment of the schedule's 0."""

    schedule: Schedule
    evidence: Evidence
    violations: list[Violation]
    began_s: float
    logs: dict[str, str]


def play(schedule: Schedule) -> Played:
    """Play once, and check what was seen."""
    with tempfile.TemporaryDirectory() as folder:
        world = _world(schedule, Path(folder))
        try:
            world.start()
            began_s = time.monotonic()
            callers = [
                Caller(number, world.ports, KEYS, schedule.seed)
                for number in range(schedule.callers)
            ]
            for each in callers:
                each.start()
            _play_faults(world, schedule, began_s)
            callers += world.guilty
            for each in callers:
                each.stopped.set()
            for each in callers:
                each.join(10)
            world.look(_WHOLE_AGAIN_S + 2)
        finally:
            world.stop()
        logs = {each.name: each.read_text() for each in Path(folder).glob("*.log")}
    seen = world.evidence
    seen.calls = [record for each in callers for record in each.records]
    return Played(schedule, seen, check(seen, BOUNDS), began_s, logs)


def _world(schedule: Schedule, folder: Path) -> World:
    if not any(each.kind in LEAVINGS for each in schedule.faults):
        return World(folder, schedule.gateways)
    return World(
        folder,
        schedule.gateways,
        zones=schedule.zones,
        servers=schedule.servers,
        settings=SETTINGS | _THROUGH_OUTAGES,
    )


def _play_faults(world: World, schedule: Schedule, began_s: float) -> None:
    moments = [(each.at_s, 1, each) for each in schedule.faults]
    moments += [(each.end_s, 0, each) for each in schedule.faults]
    for at_s, begins, fault in sorted(moments, key=lambda each: each[:2]):
        time.sleep(max(0.0, began_s + at_s - time.monotonic()))
        if begins:
            world.begin(fault)
        else:
            world.end(fault)
    time.sleep(max(0.0, began_s + schedule.seconds - time.monotonic()))
