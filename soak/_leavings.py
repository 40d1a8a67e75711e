"""A schedule of servers that leave while the store, its answers or its reads fail.

Owns nothing. Each stage of a schedule has one kind of trouble of the store: outages in
series, connections that lose their answers, or reads that are behind. In all of them
servers leave marked or unmarked and serve on, and gateways are signalled and restarted.
"""

from random import Random

from attrs import define, field

from soak._schedule import LEAVINGS, Fault, FaultKind, Schedule

__all__ = ["draw_leavings"]

_FIRST_S = 2.0
_LAST_S = 6.0
_STAGE_S = 12.0
_OUTAGES = (FaultKind.STORE_SILENT, FaultKind.STORE_RESETS, FaultKind.STORE_REFUSES)
_DOWN_S = (0.8, 4.5)
_UP_S = (0.5, 2.5)
# Registrations lapse after so long an outage, and are back this long after it.
_LAPSE_S = 1.2
_RETURN_S = (0.2, 1.8)
_LOST_EVERY_S = (4.0, 6.0)
# From the copy until reads are of it, and for how long feeds and reads fail.
_COPY_AGE_S = (1.0, 3.0)
_BEHIND_S = (3.0, 5.0)
_LEAVES_EVERY_S = (0.6, 1.6)
_SERVES_ON_S = (3.0, 8.0)
_GATEWAY_EVERY_S = (3.0, 6.0)
_CONFIGURATION_EVERY_S = (2.0, 4.0)
# A stopped gateway is awaited, at most for its grace period and 2 s: longer than that,
# so that no other fault comes late.
_STOPPED_S = 9.0
_KILLED_S = 1.0


def draw_leavings(
    seed: int,
    seconds: float,
    zones: tuple[int, ...] = (4, 3, 2),
    servers: int = 6,
    callers: int = 40,
) -> Schedule:
    """Draw a schedule for ``zones`` of that many gateways.

    Each of the two pools has ``servers`` servers.
    """
    drawn = _Drawn(Random(seed), seconds - _LAST_S, sum(zones), servers)
    drawn.draw()
    faults = sorted(drawn.faults, key=lambda each: (each.at_s, each.kind.value))
    return Schedule(seconds, sum(zones), seed, tuple(faults), zones, servers, callers)


@define
class _Drawn:
    """What was drawn so far, and until when a server or gateway is away."""

    random: Random
    until_s: float
    gateways: int
    servers: int
    faults: list[Fault] = field(factory=list)
    _servers_busy_s: dict[int, float] = field(factory=dict)
    _gateways_busy_s: dict[int, float] = field(factory=dict)

    def draw(self) -> None:
        """Draw all faults."""
        for at_s in self._moments(_FIRST_S, _LEAVES_EVERY_S):
            self._leaving(at_s)
        for at_s in self._moments(_FIRST_S, _GATEWAY_EVERY_S):
            self._gateway(at_s)
        for at_s in self._moments(_FIRST_S, _CONFIGURATION_EVERY_S):
            self._add(FaultKind.CONFIGURATION_CHANGED, at_s, 0.0)
        stages = [self._outages, self._lost_answers, self._reads_behind]
        stages.append(self._outages)
        self.random.shuffle(stages)
        at_s, number = _FIRST_S, 0
        while at_s < self.until_s:
            stages[number % len(stages)](at_s, min(at_s + _STAGE_S, self.until_s))
            at_s, number = at_s + _STAGE_S, number + 1

    def _moments(self, from_s: float, every_s: tuple[float, float]) -> list[float]:
        moments = []
        while (from_s := from_s + self.random.uniform(*every_s)) < self.until_s:
            moments.append(from_s)
        return moments

    def _add(self, kind: FaultKind, at_s: float, for_s: float, target: int = 0) -> None:
        for_s = max(0.0, min(for_s, self.until_s - at_s))
        self.faults.append(Fault(kind, round(at_s, 2), round(for_s, 2), target))

    def _leaving(self, at_s: float) -> None:
        """A server leaves; half of its pool at most does at a time."""
        pool = self.random.randrange(2) * self.servers
        sound = [
            each
            for each in range(pool, pool + self.servers)
            if self._servers_busy_s.get(each, 0.0) < at_s
        ]
        if len(sound) <= self.servers // 2:
            return
        target, for_s = self.random.choice(sound), self.random.uniform(*_SERVES_ON_S)
        self._servers_busy_s[target] = at_s + for_s
        kind = self.random.choice((FaultKind.SERVER_LEAVES, FaultKind.SERVER_GONE))
        self._add(kind, at_s, for_s, target)

    def _gateway(self, at_s: float) -> None:
        free = [
            each
            for each in range(self.gateways)
            if self._gateways_busy_s.get(each, 0.0) < at_s
        ]
        if len(free) < 2:
            return
        kind, for_s = self.random.choice(
            (
                (FaultKind.GATEWAY_KILLED, _KILLED_S),
                (FaultKind.GATEWAY_STOPPED, _STOPPED_S),
                (FaultKind.SETTINGS_CHANGED, 0.0),
            )
        )
        if at_s + for_s > self.until_s:
            return
        target = self.random.choice(free)
        self._gateways_busy_s[target] = at_s + for_s + 1
        self._add(kind, at_s, for_s, target)

    def _outages(self, from_s: float, to_s: float) -> None:
        while True:
            down_s = self.random.uniform(*_DOWN_S)
            if from_s + down_s > to_s:
                return
            self._add(self.random.choice(_OUTAGES), from_s, down_s)
            at_s = self.random.uniform(from_s + _LAPSE_S, from_s + down_s)
            end_s = from_s + down_s
            up_s = self.random.uniform(*_UP_S)
            if down_s > _LAPSE_S:
                self._lapse(at_s, end_s, up_s)
            from_s = end_s + up_s

    def _lapse(self, at_s: float, outage_end_s: float, up_s: float) -> None:
        """The row of a server that stays lapses in an outage, and is back after it.

        It can be written only before the next outage.
        """
        back_s = outage_end_s + min(self.random.uniform(*_RETURN_S), 0.9 * up_s)
        target = self.random.randrange(2 * self.servers)
        if back_s < self.until_s and not self._leaves_within(target, at_s, back_s):
            self._add(FaultKind.ROW_LAPSES, at_s, back_s - at_s, target)

    def _leaves_within(self, target: int, from_s: float, to_s: float) -> bool:
        return any(
            each.kind in LEAVINGS
            and each.target == target
            and each.at_s <= to_s
            and each.end_s >= from_s
            for each in self.faults
        )

    def _lost_answers(self, from_s: float, to_s: float) -> None:
        for at_s in self._moments(from_s - _LOST_EVERY_S[0], _LOST_EVERY_S):
            if not from_s <= at_s < to_s:
                continue
            if self.random.random() < 0.5:
                self._add(FaultKind.STORE_LOSES_ANSWERS, at_s, 0.0)
            else:
                target = self.random.randrange(self.gateways)
                self._add(FaultKind.LINK_SILENT, at_s, 0.0, target)

    def _reads_behind(self, from_s: float, to_s: float) -> None:
        while True:
            copy_s = self.random.uniform(*_COPY_AGE_S)
            behind_s = self.random.uniform(*_BEHIND_S)
            if from_s + copy_s + behind_s > to_s:
                return
            self._add(FaultKind.STORE_COPIED, from_s, 0.0)
            self._add(FaultKind.STORE_BEHIND, from_s + copy_s, behind_s)
            from_s += copy_s + behind_s
