"""Where this instance learns a table: from the store, or from a member that knows it.

Rule: one member of each larger availability zone asks the store and the others ask that
one, so that the store's calls grow with the zones and not with the instances. Who
doesn't get a proof that way asks the member with the freshest proof that it has heard
of, and the store itself. A member's word counts by its proof, whose age it tells: the
moment that was proven is this instance's own of sending the question, plus the time
that the member held it, less the age it told. Nothing on the way can make it younger.
Word without a newer proof counts only while its proof is as young as proofs are in
peace: members that tell each other that all is well must not take that for the store's
word, and one that the store fell silent for must not keep a change from the others.

A store that has eras may be an older copy whose operator hasn't written again yet. So
one that has read its first configuration there asks a member, once, for a later one.

Owns which members are left alone for a moment, and when the store was asked. Relies on
`Swim` for the members and on `Source` for the store.
"""

import logging
import math
from collections.abc import Callable, Mapping
from random import Random

import xxhash
from attrs import define, evolve, field, frozen

from coursekeel.forwarding import Freshness, StoreMoment
from coursekeel.gateway._adapters import (
    HistoryGone,
    Reading,
    Source,
    SourceFailed,
    StoreQuestion,
    Table,
)
from coursekeel.gateway.members._member_reader import (
    MemberFailed,
    MemberReader,
    NothingNewer,
)
from coursekeel.gateway.members._reading_codec import RelayedReading
from coursekeel.group import Swim
from coursekeel.observe import log_event
from coursekeel.runtime import Clock

__all__ = ["SharedSource", "SharingTerms"]

# A member that gave no answer, or none that helps, is left alone for so long. A member
# that is gone is known to be after some seconds.
_SILENT_AVOIDED_MS = 3_000.0
_STALE_AVOIDED_MS = 1_000.0
# In a smaller availability zone each asks the store itself: one that asks for two must
# ask twice as often, so that nothing is saved, and what each proves is its own.
_LEAST_SHARING = 3
# Members that are asked before the store.
_MOST_ASKED = 2
# A proof that is younger by less isn't worth another question.
_FRESHER_MS = 500.0
# While members answer and none has a newer proof, a store that didn't answer this
# instance is asked so seldom: those who ask for their zones look for its return.
_STORE_AGAIN_MS = 3_000.0
# Whoever asks the store for a zone leaves one that failed alone for so long, and asks
# members meanwhile. About the pause of a task that follows the store alone.
_STORE_PAUSE_MS = 600.0
# Members count as answering for so long after one did: longer than one that had nothing
# newer is left alone.
_REACHED_LATELY_MS = 2_500.0

_Outcome = Reading | HistoryGone | SourceFailed


@frozen
class SharingTerms:
    """How long a member may hold a question, and how much later its answer may come.

    Together they bound how long a member that fell silent leaves this instance without
    news, so that both are parts of the bound on endpoints that leave. By table,
    ``shared_hold_ms`` is how long the store holds a question that is asked for others
    too, and ``peace_ms`` how old the asker's proof gets while the store answers.
    """

    hold_ms: float
    slack_ms: float
    shared_hold_ms: Mapping[Table, float]
    peace_ms: Mapping[Table, float]


@define
class _Asked:
    """What came of the questions after one table; moments are this process's own.

    ``avoided_until_ms`` are members that had nothing newer. ``store_answers`` says
    whether the store answered the last question of this instance's own.
    """

    avoided_until_ms: dict[str, float] = field(factory=dict)
    reached_ms: float = -math.inf
    store_asked_ms: float = -math.inf
    store_answers: bool = True


@define(eq=False)
class SharedSource(Source):
    """A source whose questions members answer where they can.

    Each table has one `FollowTask`, so that its questions never cross. ``asked_lately``
    says whether members ask this instance after a table.
    """

    store: Source
    members: MemberReader
    swim: Swim
    clock: Clock
    random: Random
    freshness: Freshness
    terms: SharingTerms
    asked_lately: Callable[[Table], bool]
    configuration_version: Callable[[], int]
    relayed: int = 0
    store_calls: int = 0
    answers_cut: int = 0
    _asked: dict[Table, _Asked] = field(factory=lambda: {t: _Asked() for t in Table})
    _silent_until_ms: dict[str, float] = field(factory=dict)
    _compared: bool = False

    def hold_ms(self, table: Table, usual_ms: float) -> float:
        """Whoever others ask must learn sooner than one that nobody asks."""
        if self._asks_for_others() or self.asked_lately(table):
            return min(usual_ms, self.terms.shared_hold_ms[table])
        return usual_ms

    async def read(self, table: Table, timeout_ms: float) -> Reading | SourceFailed:
        """Read a table whole."""
        if self._asks_store():
            outcome = await self._read_store(table, timeout_ms)
            if not isinstance(outcome, SourceFailed):
                return outcome
            relayed = await self._from_members(table, None, 0.0, 0.0)
            return relayed if relayed is not None else outcome
        relayed = await self._from_members(table, None, 0.0, math.inf)
        if relayed is not None:
            return relayed
        return await self._read_store(table, timeout_ms)

    async def follow(
        self, table: Table, since: StoreMoment, hold_ms: float, timeout_ms: float
    ) -> _Outcome:
        """Read what changed since a moment, held until something did."""
        peace_ms = self.terms.peace_ms[table]
        if (later := await self._later_configuration(table, since)) is not None:
            return later
        if self._asks_store() and not self._store_was_just_asked(table):
            outcome = await self._follow_store(table, since, hold_ms, timeout_ms)
            if not isinstance(outcome, SourceFailed):
                return outcome
            relayed = await self._from_members(table, since, 0.0, peace_ms)
            return relayed if relayed is not None else outcome
        asked_any = bool(self._candidates(table))
        held_ms = self._member_hold_ms(table, hold_ms, peace_ms)
        relayed = await self._from_members(table, since, held_ms, peace_ms)
        if relayed is not None:
            return relayed
        if not self._store_is_due(table):
            return SourceFailed("no member has a newer proof")
        # Asking members in vain took its time already: the proof must come at once.
        shared_ms = min(hold_ms, self.terms.shared_hold_ms[table])
        wait_ms = 0.0 if asked_any else shared_ms
        return await self._follow_store(table, since, wait_ms, timeout_ms)

    async def _later_configuration(
        self, table: Table, since: StoreMoment
    ) -> Reading | None:
        """A member's configuration, if the store gave an older one than it knows.

        The position in the store stays that of this instance's own reading.
        """
        if self._compared or not since.era or table is not Table.CONFIGURATION:
            return None
        others = [each for each in self.swim.alive() if each != self.swim.own]
        for address in sorted(others, key=self._turn)[:_MOST_ASKED]:
            sent_ms, version = self.clock.now_ms(), self.configuration_version()
            limit_ms = self.terms.slack_ms
            told = await self.members.ask_above(address, version, limit_ms)
            if isinstance(told, MemberFailed):
                continue
            self._compared = True
            if isinstance(told, NothingNewer):
                return None
            entries = tuple(evolve(each, moment=since) for each in told.entries)
            proven_ms = sent_ms - max(told.age_ms, 0.0)
            log_event("later_configuration", member=address)
            return Reading(entries, since, 0.0, whole=False, proven_ms=proven_ms)
        return None

    def _member_hold_ms(self, table: Table, hold_ms: float, peace_ms: float) -> float:
        """Held no longer than until the proof known here is older than in peace."""
        age_ms = self.freshness.age_ms(table.value, self.clock.now_ms())
        left_ms = max(0.0, peace_ms - age_ms)
        return min(hold_ms, self.terms.hold_ms, left_ms)

    def _asks_store(self) -> bool:
        """Say whether this instance asks the store, for its zone or for itself."""
        return not self._zone_shares() or self._asks_for_others()

    def _asks_for_others(self) -> bool:
        swim = self.swim
        return self._zone_shares() and swim.holder(swim.zone) == swim.own

    def _zone_shares(self) -> bool:
        return len(self.swim.alive(self.swim.zone)) >= _LEAST_SHARING

    def _store_was_just_asked(self, table: Table) -> bool:
        """Say whether the store failed this instance a moment ago.

        Members may follow it meanwhile: one that the store turns away would otherwise
        be failing between any two of their proofs.
        """
        asked = self._asked[table]
        since_ms = self.clock.now_ms() - asked.store_asked_ms
        return not asked.store_answers and since_ms < _STORE_PAUSE_MS

    # The store.

    async def _read_store(
        self, table: Table, timeout_ms: float
    ) -> Reading | SourceFailed:
        question = self._calls_store(table, 0.0)
        outcome = await self.store.read(table, timeout_ms)
        self._store_answered(table, outcome)
        if isinstance(outcome, Reading):
            return evolve(outcome, question=question)
        return outcome

    async def _follow_store(
        self, table: Table, since: StoreMoment, hold_ms: float, timeout_ms: float
    ) -> _Outcome:
        question = self._calls_store(table, hold_ms)
        outcome = await self.store.follow(table, since, hold_ms, timeout_ms)
        self._store_answered(table, outcome)
        if isinstance(outcome, Reading):
            return evolve(outcome, question=question)
        return outcome

    def _calls_store(self, table: Table, hold_ms: float) -> StoreQuestion:
        """The question as it goes to the store.

        Members may have been asked before it in vain, and the hold isn't the one that
        whoever follows the table wanted. A proof must rest on what the store was asked.
        """
        self.store_calls += 1
        now_ms = self._asked[table].store_asked_ms = self.clock.now_ms()
        return StoreQuestion(now_ms, hold_ms)

    def _store_answered(self, table: Table, outcome: _Outcome) -> None:
        asked = self._asked[table]
        asked.store_answers = not isinstance(outcome, SourceFailed)
        if isinstance(outcome, SourceFailed):
            self._tell_cut(table, "store", outcome, asked.store_asked_ms)

    def _tell_cut(
        self,
        table: Table,
        source: str,
        failed: SourceFailed | MemberFailed,
        asked_ms: float,
    ) -> None:
        """An answer that was on its way when it was given up is worth a line.

        From outside it looks like a source that is silent, and asking again can't help.
        """
        if not failed.received_bytes:
            return
        self.answers_cut += 1
        log_event(
            "answer_cut",
            logging.WARNING,
            table=table.value,
            source=source,
            received_bytes=failed.received_bytes,
            took_ms=round(self.clock.now_ms() - asked_ms),
        )

    def _store_is_due(self, table: Table) -> bool:
        """Not so soon again while members answer and the store doesn't."""
        asked, now_ms = self._asked[table], self.clock.now_ms()
        if asked.store_answers or now_ms - asked.reached_ms > _REACHED_LATELY_MS:
            return True
        wait_ms = _STORE_AGAIN_MS * (0.5 + self.random.random())
        return now_ms - asked.store_asked_ms >= wait_ms

    # Members.

    async def _from_members(
        self, table: Table, since: StoreMoment | None, wait_ms: float, peace_ms: float
    ) -> Reading | None:
        """A member's reading that helps; None if none has one.

        One whose proof is no newer than this instance's own helps only while it is
        younger than ``peace_ms``. After one that is silent the store is asked, if it
        answers: another might be silent too, and of the bound on changes enough must
        be left for an answer of the store that is long.
        """
        for address in self._candidates(table)[:_MOST_ASKED]:
            sent_ms = self.clock.now_ms()
            limit_ms = wait_ms + self.terms.slack_ms
            told = await self.members.ask(address, table, since, wait_ms, limit_ms)
            match told:
                case MemberFailed():
                    self._silent(table, address, told.reason)
                    self._tell_cut(table, address, told, sent_ms)
                    if self._asked[table].store_answers:
                        return None
                case NothingNewer():
                    self._stale(table, address)
                case RelayedReading():
                    proven_ms = sent_ms + told.held_ms - max(told.age_ms, 0.0)
                    in_peace = not told.failing and told.age_ms <= peace_ms
                    if in_peace or self._is_fresher(table, proven_ms):
                        return self._relayed(table, told, proven_ms)
                    self._stale(table, address)
        return None

    def _relayed(self, table: Table, told: RelayedReading, proven_ms: float) -> Reading:
        self.relayed += 1
        self._asked[table].reached_ms = self.clock.now_ms()
        return Reading(told.entries, told.moment, 0.0, told.whole, proven_ms=proven_ms)

    def _is_fresher(self, table: Table, proven_ms: float) -> bool:
        return proven_ms > self.freshness.proven_ms(table.value)

    def _candidates(self, table: Table) -> list[str]:
        """The zone's own, the freshest heard of, and those of other zones by lot.

        Who knows nothing yet asks anybody after them: in an outage, one that starts and
        is to ask for its zone had nobody to ask, since the freshest proof that others
        told of was its own earlier life's.
        """
        swim = self.swim
        freshest, moment_ms = swim.freshest(table.value)
        holders = [swim.holder(zone) for zone in swim.zones()]
        self.random.shuffle(holders)
        wanted = [swim.holder(swim.zone)]
        if self._is_fresher(table, moment_ms - _FRESHER_MS):
            wanted.append(freshest)
        wanted += holders
        if not math.isfinite(self.freshness.proven_ms(table.value)):
            wanted += sorted(swim.alive(), key=self._turn)
        others = (each for each in wanted if each not in ("", swim.own))
        return [each for each in dict.fromkeys(others) if self._may_ask(table, each)]

    def _turn(self, address: str) -> int:
        """An order of the members that differs from one asker to the next."""
        return xxhash.xxh64_intdigest(f"{self.swim.own}/{address}".encode())

    def _may_ask(self, table: Table, address: str) -> bool:
        stale_until_ms = self._asked[table].avoided_until_ms.get(address, -math.inf)
        silent_until_ms = self._silent_until_ms.get(address, -math.inf)
        return self.clock.now_ms() >= max(stale_until_ms, silent_until_ms)

    def _silent(self, table: Table, address: str, reason: str) -> None:
        self._silent_until_ms[address] = self.clock.now_ms() + _SILENT_AVOIDED_MS
        log_event(
            "member_passed_over", member=address, table=table.value, reason=reason
        )

    def _stale(self, table: Table, address: str) -> None:
        asked, now_ms = self._asked[table], self.clock.now_ms()
        asked.reached_ms = now_ms
        asked.avoided_until_ms[address] = now_ms + _STALE_AVOIDED_MS
        log_event(
            "member_passed_over",
            member=address,
            table=table.value,
            reason="no_newer_proof",
        )
