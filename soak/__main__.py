"""Run, replay and shorten soaks: `python -m soak run|leavings|replay|shrink`.

Exit codes: 0 nothing found, 1 a promise was broken, 64 an argument can't be used.
"""

import signal
import sys
from pathlib import Path
from typing import Annotated

import cappa
from attrs import define

from soak._leavings import draw_leavings
from soak._play import Played, play
from soak._report import summary, write_report
from soak._schedule import Schedule, draw, read_schedule, write_schedule
from soak._world import ENGINES, SERVICES

_FOUND = 1
_EXIT_USAGE = 64  # EX_USAGE of sysexits.h
_EXIT_STOPPED = 128 + signal.SIGTERM  # as shells tell it
# The fewest seconds that leave room for a fault and for recovery after it.
_LEAST_SECONDS = 15.0
# Each gateway is a process of 45 MB; a few dozen stay below half of 8 GB.
_MOST_GATEWAYS = 40


@define
class Run:
    """Draw schedules from seeds and play them."""

    seed: Annotated[int, cappa.Arg(long=True, help="the first seed")] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="how many seeds")] = 1
    seconds: Annotated[float, cappa.Arg(long=True, help="how long callers work")] = 30.0
    gateways: Annotated[int, cappa.Arg(long=True, help="how many gateways")] = 3
    out: Annotated[Path, cappa.Arg(long=True, help="where reports go")] = Path(
        "soak-out"
    )

    def __call__(self) -> int:
        """Play each seed; returns the exit code."""
        if self.seconds < _LEAST_SECONDS:
            return _usage(f"seconds: got {self.seconds}, expected {_LEAST_SECONDS} up")
        if not 2 <= self.gateways <= _MOST_GATEWAYS:
            return _usage(
                f"gateways: got {self.gateways}, expected 2 to {_MOST_GATEWAYS}"
            )
        found = 0
        for seed in range(self.seed, self.seed + self.seeds):
            schedule = draw(seed, self.seconds, self.gateways, ENGINES, SERVICES)
            found |= _play_and_tell(schedule, self.out)
        return found


@define
class Leavings:
    """Draw schedules of servers that leave beside troubles of the store, and play them.

    Nine gateways in zones of four, three and two.
    """

    seed: Annotated[int, cappa.Arg(long=True, help="the first seed")] = 1
    seeds: Annotated[int, cappa.Arg(long=True, help="how many seeds")] = 1
    seconds: Annotated[float, cappa.Arg(long=True, help="how long callers work")] = 44.0
    out: Annotated[Path, cappa.Arg(long=True, help="where reports go")] = Path(
        "soak-out"
    )

    def __call__(self) -> int:
        """Play each seed; returns the exit code."""
        if self.seconds < _LEAST_SECONDS:
            return _usage(f"seconds: got {self.seconds}, expected {_LEAST_SECONDS} up")
        found = 0
        for seed in range(self.seed, self.seed + self.seeds):
            found |= _play_and_tell(draw_leavings(seed, self.seconds), self.out)
        return found


@define
class Replay:
    """Play a schedule from a file once more."""

    file: Annotated[Path, cappa.Arg(help="a schedule that a run wrote")]
    out: Annotated[Path, cappa.Arg(long=True, help="where reports go")] = Path(
        "soak-out"
    )

    def __call__(self) -> int:
        """Play it; returns the exit code."""
        schedule = _read(self.file)
        return _EXIT_USAGE if schedule is None else _play_and_tell(schedule, self.out)


@define
class Shrink:
    """Drop faults one at a time while the same promise still breaks."""

    file: Annotated[Path, cappa.Arg(help="a schedule that breaks a promise")]

    def __call__(self) -> int:
        """Write the shortest schedule beside the file; returns the exit code."""
        schedule = _read(self.file)
        if schedule is None:
            return _EXIT_USAGE
        broken = _promises(play(schedule))
        if not broken:
            print("nothing broke this time: the schedule can't be shortened")
            return 0
        index = 0
        while index < len(schedule.faults):
            shorter = schedule.without(index)
            if broken & _promises(play(shorter)):
                schedule = shorter
                print(f"{len(schedule.faults)} faults left", flush=True)
            else:
                index += 1
        shortest = self.file.with_suffix(".short.json")
        write_schedule(schedule, shortest)
        print("\n".join([*schedule.lines(), f"written to {shortest}"]))
        return _FOUND


@define
class Soak:
    """The fault soak."""

    command: cappa.Subcommands[Run | Leavings | Replay | Shrink]


def _read(file: Path) -> Schedule | None:
    try:
        return read_schedule(file)
    except (OSError, ValueError) as fault:
        _usage(f"{file}: {fault}")
        return None


def _usage(fault: str) -> int:
    print(fault, file=sys.stderr)
    return _EXIT_USAGE


def _promises(played: Played) -> set[str]:
    return {each.promise for each in played.violations}


def _play_and_tell(schedule: Schedule, out: Path) -> int:
    print("\n".join(schedule.lines()), flush=True)
    played = play(schedule)
    write_report(played, out)
    told = summary(played)
    print(f"seed {schedule.seed}: {told['calls']}, whole again {told['whole_again_s']}")
    if told["left"]:
        print(f"left {told['left']}, starts once told {told['starts_once_told']}")
    for each in played.violations:
        print(f"BROKEN {each.promise}: {each.what}")
    return _FOUND if played.violations else 0


def _stop(_signal: int, _frame: object) -> None:
    """End as by an exception, so that every process that was started is ended too."""
    raise SystemExit(_EXIT_STOPPED)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, _stop)
    sys.exit(cappa.parse(Soak).command())
