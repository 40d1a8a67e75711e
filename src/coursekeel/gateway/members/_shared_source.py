"""Reads a table from the store, or from a member that has a recent copy of it.

Rule: one member of each larger availability zone queries the store and the others query
that member, so that store calls grow with the zones and not with the instances. An
instance that gets no confirmation that way queries the member with the newest
confirmation known from gossip, and the store itself.

A member's response counts by the age of its confirmation. The confirmed time is the
local time at which the request was sent, plus the time the member held it, less that
age, so that network delay can't make it younger. A response without a newer
confirmation counts only while its confirmation is no older than usual: members must not
confirm each other's state while the store is down, nor hide a change from the others.

The first read of a process may be behind, and a store that was restored from a backup
lacks what its operator hasn't written again. So after the first read of each table an
instance queries members, until one responds, for a later state.

Owns which members are avoided for a while, and when the store was last queried. Relies
on `Swim` for the members and on `Source` for the store.
"""

import logging
import math
from collections.abc import Callable, Mapping
from random import Random

import xxhash
from attrs import define, evolve, field, frozen

from coursekeel.forwarding import Freshness, StorePosition
from coursekeel.gateway._adapters import (
    HistoryExpired,
    Source,
    SourceFailed,
    StoreQuery,
    Table,
    TableRead,
)
from coursekeel.gateway.members._member_reader import (
    MemberFailed,
    MemberReader,
    NothingNewer,
)
from coursekeel.gateway.members._reading_codec import RelayedTableRead
from coursekeel.group import Swim
from coursekeel.observe import log_event
from coursekeel.runtime import Clock

__all__ = ["SharedSource", "SharingTerms"]

# How long a member is avoided after no response or a stale one. Membership itself takes
# some seconds to detect a member that is gone.
_AVOID_SILENT_MS = 3_000.0
_AVOID_STALE_MS = 1_000.0
# In a smaller availability zone each instance queries the store itself: a member that
# queries for two must do so twice as often, so that nothing is saved.
_MIN_SHARING_MEMBERS = 3
# Members that are queried before the store.
_MAX_MEMBERS_QUERIED = 2
# A confirmation that is newer by less isn't worth another request.
_NEWER_BY_MS = 500.0
# Mean interval between queries to a store that failed this instance, while members
# respond without a newer confirmation: the zones' store readers detect its return.
_STORE_RETRY_MS = 3_000.0
# How long a store reader queries members instead after the store failed it. About the
# pause of a task that follows the store alone.
_STORE_PAUSE_MS = 600.0
# Members count as responding for so long after one did: longer than a member with
# nothing newer is avoided.
_MEMBERS_REACHED_MS = 2_500.0

_Outcome = TableRead | HistoryExpired | SourceFailed


@frozen
class SharingTerms:
    """Time limits of requests to members and of store queries that serve members too.

    A member holds a request for at most ``hold_ms``, and its response may begin
    ``slack_ms`` later; together they bound how long a member that stopped responding
    delays an update. By table, ``shared_hold_ms`` is how long the store holds a query
    that serves members too, and ``usual_age_ms`` the age that a confirmation reaches
    while the store responds.
    """

    hold_ms: float
    slack_ms: float
    shared_hold_ms: Mapping[Table, float]
    usual_age_ms: Mapping[Table, float]


@define
class _QueryState:
    """Results of the queries for one table; times are local.

    ``avoided_until_ms`` holds the members that had nothing newer. ``store_answers`` is
    whether the store answered this instance's last query. ``retried_early_ms`` is when
    the store was last queried because a member had its answer after that.
    """

    avoided_until_ms: dict[str, float] = field(factory=dict)
    reached_ms: float = -math.inf
    store_queried_ms: float = -math.inf
    store_answers: bool = True
    retried_early_ms: float = -math.inf


@define(eq=False)
class SharedSource(Source):
    """A source that reads from members where it can, and else from the store.

    Each table has one `TableWatchTask`, so that its queries never overlap.
    ``requested_recently`` says whether members request a table from this instance.
    """

    store: Source
    members: MemberReader
    swim: Swim
    clock: Clock
    random: Random
    freshness: Freshness
    terms: SharingTerms
    requested_recently: Callable[[Table], bool]
    configuration_version: Callable[[], int]
    relayed: int = 0
    store_calls: int = 0
    answers_cut: int = 0
    _query_states: dict[Table, _QueryState] = field(
        factory=lambda: {t: _QueryState() for t in Table}
    )
    _silent_until_ms: dict[str, float] = field(factory=dict)
    _compared_tables: set[Table] = field(factory=set)

    def hold_ms(self, table: Table, usual_ms: float) -> float:
        """How long the store may hold a query; less if it serves members too."""
        if self._queries_for_zone() or self.requested_recently(table):
            return min(usual_ms, self.terms.shared_hold_ms[table])
        return usual_ms

    async def read(self, table: Table, timeout_ms: float) -> TableRead | SourceFailed:
        """Read a table whole, from the store or a member."""
        if self._queries_store():
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
        self, table: Table, since: StorePosition, hold_ms: float, timeout_ms: float
    ) -> _Outcome:
        """Read the changes after ``since``, or wait for some for ``hold_ms``."""
        usual_age_ms = self.terms.usual_age_ms[table]
        if (later := await self._later_state(table, since)) is not None:
            return later
        if self._queries_store() and not self._store_just_failed(table):
            outcome = await self._follow_store(table, since, hold_ms, timeout_ms)
            if not isinstance(outcome, SourceFailed):
                return outcome
            relayed = await self._from_members(table, since, 0.0, usual_age_ms)
            return relayed if relayed is not None else outcome
        had_candidates = bool(self._candidates(table))
        held_ms = self._member_hold_ms(table, hold_ms, usual_age_ms)
        relayed = await self._from_members(table, since, held_ms, usual_age_ms)
        if relayed is not None:
            return relayed
        if not self._store_is_due(table):
            return SourceFailed("no member has a newer confirmation")
        # The members took their time already: the store must confirm without a hold.
        shared_ms = min(hold_ms, self.terms.shared_hold_ms[table])
        wait_ms = 0.0 if had_candidates else shared_ms
        return await self._follow_store(table, since, wait_ms, timeout_ms)

    async def _later_state(
        self, table: Table, since: StorePosition
    ) -> TableRead | None:
        """A member's state if it is later than this process's first read, once a table.

        Nothing was known yet that showed whether that read was behind.
        """
        if table in self._compared_tables:
            return None
        others = [member for member in self.swim.alive() if member != self.swim.own]
        for address in sorted(others, key=self._query_order)[:_MAX_MEMBERS_QUERIED]:
            later = await self._state_from(address, table, since)
            if not isinstance(later, MemberFailed):
                self._compared_tables.add(table)
                return later
        return None

    async def _state_from(
        self, address: str, table: Table, since: StorePosition
    ) -> TableRead | MemberFailed | None:
        """One member's state if it is later, None if it isn't."""
        sent_ms, limit_ms = self.clock.now_ms(), self.terms.slack_ms
        if table is Table.CONFIGURATION:
            version = self.configuration_version()
            reply = await self.members.request_configuration_above(
                address, version, limit_ms
            )
        else:
            reply = await self.members.request(address, table, since, 0.0, limit_ms)
        match reply:
            case MemberFailed():
                return reply
            case NothingNewer():
                return None
        if table is Table.ENDPOINTS and reply.position <= since:
            return None
        log_event("later_state", table=table.value, member=address)
        confirmed_ms = sent_ms - max(reply.age_ms, 0.0)
        if table is Table.ENDPOINTS:
            return self._reading_from_reply(table, reply, confirmed_ms)
        # A restored store may lack that configuration: the position stays that of this
        # instance's own read.
        entries = tuple(evolve(entry, position=since) for entry in reply.entries)
        return TableRead(entries, since, 0.0, whole=False, confirmed_ms=confirmed_ms)

    def _member_hold_ms(
        self, table: Table, hold_ms: float, usual_age_ms: float
    ) -> float:
        """How long a member may hold a request: until the confirmation gets too old."""
        age_ms = self.freshness.age_ms(table.value, self.clock.now_ms())
        left_ms = max(0.0, usual_age_ms - age_ms)
        return min(hold_ms, self.terms.hold_ms, left_ms)

    def _queries_store(self) -> bool:
        """Whether this instance queries the store, for its zone or for itself."""
        return not self._zone_is_shared() or self._queries_for_zone()

    def _queries_for_zone(self) -> bool:
        swim = self.swim
        return self._zone_is_shared() and swim.store_reader(swim.zone) == swim.own

    def _zone_is_shared(self) -> bool:
        return len(self.swim.alive(self.swim.zone)) >= _MIN_SHARING_MEMBERS

    def _store_just_failed(self, table: Table) -> bool:
        """Whether the store failed this instance within the last pause.

        Members are queried meanwhile: an instance that the store refuses would
        otherwise report a failure between any two of their confirmations.
        """
        state = self._query_states[table]
        since_ms = self.clock.now_ms() - state.store_queried_ms
        return not state.store_answers and since_ms < _STORE_PAUSE_MS

    # Queries to the store.

    async def _read_store(
        self, table: Table, timeout_ms: float
    ) -> TableRead | SourceFailed:
        query = self._begin_store_query(table, 0.0)
        outcome = await self.store.read(table, timeout_ms)
        self._record_store_outcome(table, outcome)
        if isinstance(outcome, TableRead):
            return evolve(outcome, query=query)
        return outcome

    async def _follow_store(
        self, table: Table, since: StorePosition, hold_ms: float, timeout_ms: float
    ) -> _Outcome:
        query = self._begin_store_query(table, hold_ms)
        outcome = await self.store.follow(table, since, hold_ms, timeout_ms)
        if self._is_response_lost(query, outcome):
            # Its connection may be dead, and the store sound.
            self._log_lost_response(table, query)
            query = self._begin_store_query(table, 0.0)
            slack_ms = timeout_ms - hold_ms
            outcome = await self.store.follow(table, since, 0.0, slack_ms)
        self._record_store_outcome(table, outcome)
        if isinstance(outcome, TableRead):
            return evolve(outcome, query=query)
        return outcome

    def _begin_store_query(self, table: Table, hold_ms: float) -> StoreQuery:
        """Record a query to the store, with the time and hold that it is sent with.

        These may differ from those of the caller's query, since members may have been
        queried first. A confirmation must be computed from the store's own query.
        """
        self.store_calls += 1
        now_ms = self._query_states[table].store_queried_ms = self.clock.now_ms()
        return StoreQuery(now_ms, hold_ms)

    def _record_store_outcome(self, table: Table, outcome: _Outcome) -> None:
        state = self._query_states[table]
        state.store_answers = not isinstance(outcome, SourceFailed)
        if isinstance(outcome, SourceFailed):
            self._log_cut_answer(table, "store", outcome, state.store_queried_ms)

    def _is_response_lost(self, query: StoreQuery, outcome: _Outcome) -> bool:
        """Whether nothing came of a query though the store held it to its end."""
        if not isinstance(outcome, SourceFailed) or outcome.received_bytes:
            return False
        return 0 < query.held_ms <= self.clock.now_ms() - query.sent_ms

    def _log_lost_response(self, table: Table, query: StoreQuery) -> None:
        log_event(
            "response_lost",
            table=table.value,
            held_ms=round(query.held_ms),
            waited_ms=round(self.clock.now_ms() - query.sent_ms),
        )

    def _log_cut_answer(
        self,
        table: Table,
        source: str,
        failed: SourceFailed | MemberFailed,
        queried_ms: float,
    ) -> None:
        """Log and count a response that had begun to arrive when it was abandoned.

        Unlike with a silent source, a retry can't help on a link that is too slow.
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
            took_ms=round(self.clock.now_ms() - queried_ms),
        )

    def _store_is_due(self, table: Table) -> bool:
        """Whether to query the store; seldom while only members respond."""
        state, now_ms = self._query_states[table], self.clock.now_ms()
        if state.store_answers or now_ms - state.reached_ms > _MEMBERS_REACHED_MS:
            return True
        wait_ms = _STORE_RETRY_MS * (0.5 + self.random.random())
        if now_ms - state.store_queried_ms >= wait_ms:
            return True
        # Once in an interval: a store that answers few queries would otherwise get one
        # from each instance for each answer that a member got.
        may_be_back = self.freshness.confirmed_ms(table.value) > state.store_queried_ms
        if may_be_back and now_ms - state.retried_early_ms >= wait_ms:
            state.retried_early_ms = now_ms
            return True
        return False

    # Requests to members.

    async def _from_members(
        self,
        table: Table,
        since: StorePosition | None,
        wait_ms: float,
        usual_age_ms: float,
    ) -> TableRead | None:
        """A member's usable snapshot or update; None if no member has one.

        One whose confirmation is no newer than this instance's own is usable only
        while it is no older than ``usual_age_ms``. After a member that is silent the
        store is queried, if it answers: another member might be silent too, and the
        bound on changes must leave time for a long response of the store.
        """
        for address in self._candidates(table)[:_MAX_MEMBERS_QUERIED]:
            sent_ms = self.clock.now_ms()
            limit_ms = wait_ms + self.terms.slack_ms
            reply = await self.members.request(address, table, since, wait_ms, limit_ms)
            match reply:
                case MemberFailed():
                    self._avoid_silent(table, address, reply.reason)
                    self._log_cut_answer(table, address, reply, sent_ms)
                    if self._query_states[table].store_answers:
                        return None
                case NothingNewer():
                    self._avoid_stale(table, address)
                case RelayedTableRead():
                    confirmed_ms = sent_ms + reply.held_ms - max(reply.age_ms, 0.0)
                    is_usual = not reply.failing and reply.age_ms <= usual_age_ms
                    if is_usual or self._is_newer(table, confirmed_ms):
                        return self._reading_from_reply(table, reply, confirmed_ms)
                    self._avoid_stale(table, address)
        return None

    def _reading_from_reply(
        self, table: Table, reply: RelayedTableRead, confirmed_ms: float
    ) -> TableRead:
        self.relayed += 1
        self._query_states[table].reached_ms = self.clock.now_ms()
        return TableRead(
            reply.entries, reply.position, 0.0, reply.whole, confirmed_ms=confirmed_ms
        )

    def _is_newer(self, table: Table, confirmed_ms: float) -> bool:
        return confirmed_ms > self.freshness.confirmed_ms(table.value)

    def _candidates(self, table: Table) -> list[str]:
        """The members to query, in order.

        These are the zone's store reader, the member with the newest confirmation, and
        the store readers of other zones at random. An instance without any confirmation
        also tries all other members: after a restart during an outage, gossip may still
        name its own previous process as the newest.
        """
        swim = self.swim
        latest_confirmation, confirmed_ms = swim.latest_confirmation(table.value)
        store_readers = [swim.store_reader(zone) for zone in swim.zones()]
        self.random.shuffle(store_readers)
        addresses = [swim.store_reader(swim.zone)]
        if self._is_newer(table, confirmed_ms - _NEWER_BY_MS):
            addresses.append(latest_confirmation)
        addresses += store_readers
        if not math.isfinite(self.freshness.confirmed_ms(table.value)):
            addresses += sorted(swim.alive(), key=self._query_order)
        others = (address for address in addresses if address not in ("", swim.own))
        return [
            address
            for address in dict.fromkeys(others)
            if self._may_query(table, address)
        ]

    def _query_order(self, address: str) -> int:
        """A sort key of members that differs from one instance to the next."""
        return xxhash.xxh64_intdigest(f"{self.swim.own}/{address}".encode())

    def _may_query(self, table: Table, address: str) -> bool:
        stale_until_ms = self._query_states[table].avoided_until_ms.get(
            address, -math.inf
        )
        silent_until_ms = self._silent_until_ms.get(address, -math.inf)
        return self.clock.now_ms() >= max(stale_until_ms, silent_until_ms)

    def _avoid_silent(self, table: Table, address: str, reason: str) -> None:
        self._silent_until_ms[address] = self.clock.now_ms() + _AVOID_SILENT_MS
        # What silenced that connection may have silenced those to the store.
        self.store.close_idle()
        log_event(
            "member_passed_over", member=address, table=table.value, reason=reason
        )

    def _avoid_stale(self, table: Table, address: str) -> None:
        state, now_ms = self._query_states[table], self.clock.now_ms()
        state.reached_ms = now_ms
        state.avoided_until_ms[address] = now_ms + _AVOID_STALE_MS
        log_event(
            "member_passed_over",
            member=address,
            table=table.value,
            reason="no_newer_proof",
        )
