"""A schedule of faults: drawn from a seed, printed, read again and shortened.

Owns nothing. The same seed and sizes give the same schedule; a schedule in a file plays
without its seed, so that it can be shortened by hand or by `soak shrink`.
"""

from enum import Enum
from pathlib import Path
from random import Random

import attrs
import orjson
from attrs import field, frozen

__all__ = [
    "LEAVINGS",
    "SILENCES",
    "Fault",
    "FaultKind",
    "Schedule",
    "draw",
    "read_schedule",
    "write_schedule",
]

# Faults begin this late, so that callers are at work, and the last ones end this long
# before the callers stop, so that recovery can be seen. Chosen: a group of three knows
# each other within 2 s, and the checks give it 8 s to be whole again.
_FIRST_S = 2.0
_LAST_S = 8.0
# One fault begins about so often; each lasts so long, so that some overlap.
_EVERY_S = 1.2
_LENGTHS_S = (0.3, 1.0, 2.5, 4.0)
# A sound server may be silent for so long.
_SILENCE_S = (0.3, 1.9)


class FaultKind(Enum):
    """What is done, to whom."""

    GATEWAY_KILLED = "gateway_killed"
    GATEWAY_PAUSED = "gateway_paused"
    GATEWAY_SUSPENDED = "gateway_suspended"
    GATEWAY_STOPPED = "gateway_stopped"
    SETTINGS_CHANGED = "settings_changed"
    ENGINE_DARK = "engine_dark"
    ENGINE_RESETS = "engine_resets"
    ENGINE_SHEDS = "engine_sheds"
    ENGINE_CUTS = "engine_cuts"
    ENGINE_MUTES = "engine_mutes"
    ENGINE_PREEMPTS = "engine_preempts"
    ENGINE_REPLACED = "engine_replaced"
    ENGINE_LEAVES = "engine_leaves"
    SERVICE_FAILS = "service_fails"
    SERVICE_TEARS = "service_tears"
    SERVICE_RESETS = "service_resets"
    STORE_SILENT = "store_silent"
    STORE_REFUSES = "store_refuses"
    STORE_RESETS = "store_resets"
    STORE_FORGETS = "store_forgets"
    STORE_OPEN_SILENT = "store_open_silent"
    STORE_RESTORED = "store_restored"
    LINK_HELD_OUT = "link_held_out"
    LINK_HELD_BACK = "link_held_back"
    LINK_SLOW = "link_slow"
    LINK_REFUSES = "link_refuses"
    LINK_RESET = "link_reset"
    LINK_SILENT = "link_silent"
    CONFIGURATION_CHANGED = "configuration_changed"
    KEY_REVOKED = "key_revoked"
    LAST_KEY_REVOKED = "last_key_revoked"
    ENGINES_CRASH = "engines_crash"
    STREAM_CRASHES_ENGINES = "stream_crashes_engines"
    CALL_CRASHES_SERVICES = "call_crashes_services"
    ENGINE_LIMITS = "engine_limits"
    SERVICE_LIMITS = "service_limits"
    SERVERS_HANG = "servers_hang"
    SERVERS_RESET = "servers_reset"
    SERVERS_REFUSE_NEW = "servers_refuse_new"
    ENGINE_SILENT = "engine_silent"
    ZONE_SILENT = "zone_silent"
    ENGINES_SILENT = "engines_silent"
    SERVICES_SILENT = "services_silent"
    ENGINE_HEADS_INVALID = "engine_heads_invalid"
    SERVICE_HEADS_INVALID = "service_heads_invalid"
    ROWS_MALFORMED = "rows_malformed"
    SERVER_LEAVES = "server_leaves"
    SERVER_GONE = "server_gone"
    ROW_LAPSES = "row_lapses"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_COPIED = "store_copied"
    STORE_BEHIND = "store_behind"


_OF_GATEWAYS = frozenset(
    {
        FaultKind.GATEWAY_KILLED,
        FaultKind.GATEWAY_PAUSED,
        FaultKind.GATEWAY_SUSPENDED,
        FaultKind.GATEWAY_STOPPED,
        FaultKind.SETTINGS_CHANGED,
        FaultKind.LINK_HELD_OUT,
        FaultKind.LINK_HELD_BACK,
        FaultKind.LINK_SLOW,
        FaultKind.LINK_REFUSES,
        FaultKind.LINK_RESET,
        FaultKind.LINK_SILENT,
        FaultKind.SERVERS_HANG,
        FaultKind.SERVERS_RESET,
        FaultKind.SERVERS_REFUSE_NEW,
    }
)
_OF_SERVICES = frozenset(
    {
        FaultKind.SERVICE_FAILS,
        FaultKind.SERVICE_TEARS,
        FaultKind.SERVICE_RESETS,
        FaultKind.SERVICE_LIMITS,
        FaultKind.SERVICE_HEADS_INVALID,
    }
)
# Their rules count from some seconds after their beginning.
_LONG = frozenset(
    {
        FaultKind.ENGINE_LIMITS,
        FaultKind.SERVICE_LIMITS,
        FaultKind.SERVERS_HANG,
        FaultKind.SERVERS_RESET,
        FaultKind.SERVERS_REFUSE_NEW,
    }
)
_LONG_FACTOR = 4
# Sound servers say nothing for a while, and go on where they were.
SILENCES = frozenset(
    {
        FaultKind.ENGINE_SILENT,
        FaultKind.ZONE_SILENT,
        FaultKind.ENGINES_SILENT,
        FaultKind.SERVICES_SILENT,
    }
)


# Drawn by `soak._leavings` alone, so that seeds of `draw` go on to mean the same.
LEAVINGS = frozenset(
    {
        FaultKind.SERVER_LEAVES,
        FaultKind.SERVER_GONE,
        FaultKind.ROW_LAPSES,
        FaultKind.STORE_LOSES_ANSWERS,
        FaultKind.STORE_COPIED,
        FaultKind.STORE_BEHIND,
    }
)


@frozen
class Fault:
    """One fault; ``target`` numbers the gateway, server or zone, from 0."""

    kind: FaultKind
    at_s: float = field(metadata={"least": 0})
    for_s: float = field(metadata={"least": 0})
    target: int = 0

    @property
    def end_s(self) -> float:
        """When it is over."""
        return self.at_s + self.for_s


@frozen
class Schedule:
    """Faults in order of their beginning, and how long callers are at work.

    ``zones`` are the numbers of gateways of each zone, all in one if empty, and
    ``servers`` the number of servers of each pool.
    """

    seconds: float
    gateways: int
    seed: int
    faults: tuple[Fault, ...]
    zones: tuple[int, ...] = ()
    servers: int = 3
    callers: int = 6

    def without(self, index: int) -> "Schedule":
        """The same with one fault less."""
        faults = self.faults[:index] + self.faults[index + 1 :]
        return attrs.evolve(self, faults=faults)

    def lines(self) -> list[str]:
        """For people."""
        return [
            f"{each.at_s:6.1f} to {each.end_s:6.1f} s  {each.kind.value} {each.target}"
            for each in self.faults
        ]


def draw(
    seed: int, seconds: float, gateways: int, engines: int, services: int
) -> Schedule:
    """Draw a schedule; kinds come in an order by lot, all before any comes twice."""
    random = Random(seed)
    faults: list[Fault] = []
    kinds: list[FaultKind] = []
    at_s = _FIRST_S
    while at_s < seconds - _LAST_S:
        if not kinds:
            kinds = [each for each in FaultKind if each not in LEAVINGS]
            random.shuffle(kinds)
        kind = kinds.pop()
        for_s = min(_length_s(kind, random), seconds - _LAST_S - at_s)
        target = _target(kind, random, gateways, engines, services)
        faults.append(Fault(kind, round(at_s, 2), round(for_s, 2), target))
        at_s += _EVERY_S * (0.5 + random.random())
    return Schedule(seconds, gateways, seed, tuple(faults))


def _length_s(kind: FaultKind, random: Random) -> float:
    if kind in SILENCES:
        return random.uniform(*_SILENCE_S)
    return random.choice(_LENGTHS_S) * (_LONG_FACTOR if kind in _LONG else 1)


def _target(
    kind: FaultKind, random: Random, gateways: int, engines: int, services: int
) -> int:
    if kind in _OF_GATEWAYS:
        return random.randrange(gateways)
    if kind in _OF_SERVICES:
        return engines + random.randrange(services)
    return random.randrange(engines)


def write_schedule(schedule: Schedule, file: Path) -> None:
    """Write it as JSON."""
    plain = attrs.asdict(schedule, value_serializer=_plain)
    file.write_bytes(orjson.dumps(plain, option=orjson.OPT_INDENT_2))


def _plain(_owner: object, _field: object, value: object) -> object:
    return value.value if isinstance(value, Enum) else value


def read_schedule(file: Path) -> Schedule:
    """Read one; raises `ValueError` that names the field."""
    given = orjson.loads(file.read_bytes())
    try:
        faults = tuple(
            Fault(
                FaultKind(each["kind"]),
                float(each["at_s"]),
                float(each["for_s"]),
                int(each.get("target", 0)),
            )
            for each in given["faults"]
        )
        return Schedule(
            float(given["seconds"]),
            int(given["gateways"]),
            int(given["seed"]),
            faults,
            tuple(int(each) for each in given.get("zones", [])),
            int(given.get("servers", 3)),
            int(given.get("callers", 6)),
        )
    except KeyError as missing:
        raise ValueError(f"{file}: got no {missing}, expected it") from None
