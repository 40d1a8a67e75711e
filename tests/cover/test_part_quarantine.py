"""Parts of prompts under which endpoints crash, in groups of all sizes."""

from random import Random

import pytest
from attrs import define, field, frozen
from hypothesis import given
from hypothesis import strategies as st

from coursekeel.quarantine import (
    QUARANTINE_PREFIX,
    Quarantine,
    Sign,
    decode_quarantine,
)
from coursekeel.suspects import (
    QuarantineGate,
    SoundParts,
    Suspect,
    is_part,
    part_fingerprints,
)
from tests.common.quarantine_world import STEP_MS, Member, QuarantineWorld

CONTACT_MS = 3_000.0
CRASHES, MORE_ARRIVALS = 5, 3
# From a run's arrival to the crash of its endpoint, and to the probe's end.
CRASH_MS, PROBE_MS = 90, 10


@frozen
class Prompt:
    """A request: its own fingerprint, and those of its shared parts."""

    fingerprint: str
    part_fingerprints: tuple[str, ...] = ()


def parts(*ids: str) -> tuple[str, ...]:
    return part_fingerprints("engines", "m", ids)


FIRST, DEAD = parts("first", "dead")


class _Clock:
    def __init__(self, world: QuarantineWorld) -> None:
        self.world = world

    def now_ms(self) -> float:
        return self.world.now_ms


@define(eq=False)
class PartWorld(QuarantineWorld):
    """A group whose members run prompts; ``due`` are the ends of their runs."""

    gates: dict[str, QuarantineGate] = field(factory=dict)
    due: list[tuple[float, object]] = field(factory=list)
    arrivals_ms: list[float] = field(factory=list)
    crashes_ms: list[float] = field(factory=list)
    refused_sound: int = 0
    served_sound: int = 0
    numbers: int = 0

    def gate(self, member: Member) -> QuarantineGate:
        if member.address not in self.gates:
            self.gates[member.address] = QuarantineGate(
                _Clock(self),
                member.quarantine,
                lambda records: self._send_all(
                    member, member.gossip.learned(records, self.now_ms)
                ),
                lambda _: None,
            )
        return self.gates[member.address]

    def _receive(self, member: Member, sender: str, data: bytes) -> None:
        QuarantineWorld._receive(self, member, sender, data)
        if data.startswith(QUARANTINE_PREFIX):
            records = decode_quarantine(data).records
            self.gate(member).news_received([each.fingerprint for each in records])

    def arrive(self, *part_ids: str) -> None:
        """A prompt with these shared parts arrives at a random member."""
        self.numbers += 1
        prompt = Prompt(f"r{self.numbers}", parts(*part_ids))
        member = self.random.choice(list(self.members.values()))
        gate, is_dead = self.gate(member), DEAD in prompt.part_fingerprints
        if gate.barred_ms(prompt):
            self.refused_sound += not is_dead
            return
        endpoint = f"i-{self.numbers}"
        if is_dead:
            self.arrivals_ms.append(self.now_ms)
            self._at(CRASH_MS, lambda: self.crashes_ms.append(self.now_ms))
            self._at(CRASH_MS + PROBE_MS, lambda: self._crash(gate, prompt, endpoint))
        else:
            self.served_sound += 1
            self._at(200, lambda: gate.report_success(prompt))

    def _crash(self, gate: QuarantineGate, prompt: Prompt, endpoint: str) -> None:
        suspects = [
            Suspect(each, Sign.BEGAN, self.now_ms, True)
            for each in (prompt.fingerprint, *prompt.part_fingerprints)
        ]
        gate.report_crash(endpoint, suspects)

    def _at(self, delay_ms: float, what) -> None:
        self.due.append((self.now_ms + delay_ms, what))

    def play(self, duration_ms: float, dead_per_s: float, sound_per_s: float) -> None:
        for _ in range(int(duration_ms / STEP_MS)):
            self.run(STEP_MS)
            due = [what for at_ms, what in self.due if at_ms <= self.now_ms]
            self.due = [each for each in self.due if each[0] > self.now_ms]
            for what in due:
                what()
            if self.random.random() < dead_per_s * STEP_MS / 1_000:
                self.arrive("first", "dead")
            if self.random.random() < sound_per_s * STEP_MS / 1_000:
                self.arrive("first", "other")


def late_arrivals(world: PartWorld) -> int:
    fifth_ms = sorted(world.crashes_ms)[min(len(world.crashes_ms), CRASHES) - 1]
    return sum(each > fifth_ms + CONTACT_MS for each in world.arrivals_ms)


@pytest.mark.parametrize("size", [9, 73, 195, 380])
def test_a_crashing_part_is_barred_in_sum_and_sound_ones_are_served(size):
    """The users' bound is one for all instances; a tenth of all datagrams is lost."""
    world = PartWorld(size, seed=size, loss=0.1)
    world.run(2_000)
    world.play(1_000, 0, 24)
    world.play(6_500, 4, 24)
    assert late_arrivals(world) <= MORE_ARRIVALS
    assert not world.members_without_verdict(DEAD)
    assert len(world.members_without_verdict(FIRST)) == size
    assert world.refused_sound <= world.served_sound / 10


@pytest.mark.parametrize("seed", range(5))
def test_innocent_parts_are_not_barred(seed):
    """Fifty sound parts are in prompts beside the one that crashes endpoints."""
    world = PartWorld(9, seed=seed)
    world.run(2_000)
    random = Random(seed)
    for step in range(800):
        world.play(STEP_MS, 0, 0)
        if step % 4 == 0:
            world.arrive("first", f"sound-{random.randrange(50)}")
        if step > 200 and step % 25 == 0:
            world.arrive("first", f"sound-{random.randrange(50)}", "dead")
    barred = {
        fingerprint
        for member in world.members.values()
        for fingerprint in member.quarantine.barred_fingerprints()
        if is_part(fingerprint)
    }
    assert barred == {DEAD}


def test_two_crashing_parts_at_once_are_both_barred():
    world = PartWorld(9, seed=4)
    world.run(2_000)
    gate = world.gate(world.member(0))
    second = parts("dead-2")[0]
    for number in range(3):
        for part in (DEAD, second):
            suspects = [Suspect(part, Sign.BEGAN, world.now_ms, True)]
            gate.report_crash(f"i-{part}-{number}", suspects)
            world.run(100)
    assert not world.members_without_verdict(DEAD)
    assert not world.members_without_verdict(second)


def test_a_part_that_crashes_one_model_runs_under_another():
    part = part_fingerprints("engines", "m", ("dead",))
    assert part == (DEAD,)
    assert part_fingerprints("engines", "m2", ("dead",)) != part
    assert part_fingerprints("other", "m", ("dead",)) != part


def test_a_member_that_knows_a_part_to_be_sound_clears_it_for_all():
    world = PartWorld(9, seed=2)
    world.run(2_000)
    knowing = world.gate(world.member(0))
    knowing.report_parts_sound(Prompt("r", (FIRST,)))
    ignorant = world.gate(world.member(1))
    for number in range(3):
        suspects = [Suspect(FIRST, Sign.BEGAN, world.now_ms, True)]
        ignorant.report_crash(f"i-{number}", suspects)
        world.run(50)
    world.run(300)
    assert len(world.members_without_verdict(FIRST)) == 9


@given(st.lists(st.text(max_size=8), max_size=40))
def test_the_parts_of_a_prompt_that_are_looked_at_are_bounded(part_ids):
    found = part_fingerprints("engines", "m", tuple(part_ids))
    assert len(found) <= 16
    assert all(is_part(each) and len(each) == 24 for each in found)


def test_sound_parts_are_bounded_and_forgotten():
    sound = SoundParts()
    for number in range(10_000):
        sound.answered([f"p-{number}"], float(number) / 10)
    assert sound.is_sound("p-9999", 1_000.0)
    assert not sound.is_sound("p-0", 1_000.0)
    assert not sound.is_sound("p-9999", 10_000.0)
    assert not Quarantine().barred
