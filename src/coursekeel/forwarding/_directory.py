"""The endpoints an instance knows, and which of them may take new work now.

Rule: an endpoint may take new work while the list names it and doesn't say that it
leaves, unless this instance's own requests found it dead: that ejects it for a time
that doubles with each proof, because the list may name a dead endpoint for seconds (an
entry goes after three heartbeats of silence). One whose address another incarnation
has is never used again.

Owns the records and the ejections. A core: each moment is given, in ms.
"""

from collections.abc import Collection, Iterable

from attrs import define, evolve, field

from coursekeel.forwarding._model import EndpointRecord
from coursekeel.forwarding._moment import StoreMoment

__all__ = ["EndpointDirectory"]

# The first ejection: longer than an endpoint that only paused needs to answer again,
# shorter than a restart.
_FIRST_EJECTION_MS = 700.0
# About as long as the list takes to drop a dead endpoint at most; after that the list
# speaks.
_LONGEST_EJECTION_MS = 6_000.0
# An endpoint that failed no request for so long after an ejection begins anew with the
# first.
_FORGIVEN_MS = 5_000.0

# Ids that the list named and dropped, the latest: a server that leaves without saying
# so serves on for some seconds, and must not be taken for a new one. More than leave a
# site within a minute.
_MAX_ONCE_LISTED = 1_000


@define
class _Health:
    """What this instance's own requests met at one incarnation."""

    ejected_until_ms: float = float("-inf")
    ejection_ms: float = 0.0
    replaced: bool = False


@define
class EndpointDirectory:
    """Records by endpoint id, with what own requests met there beside them."""

    _records: dict[str, EndpointRecord] = field(factory=dict)
    _moments: dict[str, StoreMoment] = field(factory=dict)
    _health: dict[str, _Health] = field(factory=dict)
    _returning: bool = False
    _lapsed: set[str] = field(factory=set)
    _adopted: set[str] = field(factory=set)
    _once_listed: dict[str, None] = field(factory=dict)

    def put(self, record: EndpointRecord, moment: StoreMoment) -> None:
        """Take a record; one older than what is known is passed over."""
        if moment < self._moment_of(record.endpoint_id):
            return
        self._moments[record.endpoint_id] = moment
        self._records[record.endpoint_id] = record
        self._lapsed.discard(record.endpoint_id)
        self._adopted.discard(record.endpoint_id)

    def store_returned(self) -> None:
        """The list is read again after an outage, in which entries may have lapsed.

        Endpoints that live register again within moments. Until `settle` one whose
        entry is missing may still take work, unless it was leaving: dropping all of
        them at once would refuse every request until they are back.
        """
        self._returning = True
        self._lapsed |= self._adopted

    def settle(self) -> list[str]:
        """Endpoints still missing some time after an outage are gone; names them."""
        self._returning = False
        gone, self._lapsed = sorted(self._lapsed), set()
        for endpoint_id in gone:
            self._forget(endpoint_id)
        return gone

    def remove(self, endpoint_id: str, moment: StoreMoment) -> None:
        """The list dropped the endpoint: it is gone, or about to be."""
        if moment < self._moment_of(endpoint_id):
            return
        record = self._records.get(endpoint_id)
        if self._returning and record is not None and not record.leaving:
            self._lapsed.add(endpoint_id)
            return
        self._forget(endpoint_id)

    def _forget(self, endpoint_id: str) -> None:
        self._adopted.discard(endpoint_id)
        self._once_listed[endpoint_id] = None
        if len(self._once_listed) > _MAX_ONCE_LISTED:
            del self._once_listed[next(iter(self._once_listed))]
        self._records.pop(endpoint_id, None)
        self._health.pop(endpoint_id, None)
        self._moments.pop(endpoint_id, None)

    def replace_all(
        self,
        records: Iterable[tuple[EndpointRecord, StoreMoment]],
        kept: Collection[str] = (),
    ) -> None:
        """Take a whole list; what it doesn't name is gone.

        ``kept`` are the ids that it names by entries that can't be read.
        """
        listed = {record.endpoint_id: (record, at) for record, at in records}
        named = listed.keys() | set(kept)
        for endpoint_id in [each for each in self._records if each not in named]:
            self.remove(endpoint_id, self._moment_of(endpoint_id))
        for record, moment in listed.values():
            self.put(record, moment)

    def restore(
        self,
        records: Iterable[tuple[EndpointRecord, StoreMoment]],
        kept: Collection[str] = (),
    ) -> None:
        """Take the whole list of a store that came back from an older copy.

        The copy names endpoints that are gone since, and says of some that leave that
        they don't: neither comes back to life by it. What it lacks counts as lapsed,
        as after an outage, until `settle`: those that live write themselves again.
        """
        self.store_returned()
        self.replace_all(self._as_known(records), kept)

    def _as_known(
        self, records: Iterable[tuple[EndpointRecord, StoreMoment]]
    ) -> Iterable[tuple[EndpointRecord, StoreMoment]]:
        for record, moment in records:
            if record.endpoint_id in self._once_listed:
                continue
            known = self._records.get(record.endpoint_id)
            leaving = record.leaving or (known is not None and known.leaving)
            yield evolve(record, leaving=leaving), moment

    def record(self, endpoint_id: str) -> EndpointRecord | None:
        """The endpoint's record, if it is still listed."""
        return self._records.get(endpoint_id)

    def known(self, endpoint_id: str) -> tuple[EndpointRecord, StoreMoment]:
        """A listed endpoint's record, and since when the list says so."""
        return self._records[endpoint_id], self._moment_of(endpoint_id)

    def at_address(self, address: str) -> EndpointRecord | None:
        """The newest incarnation listed at an address."""
        there = [each for each in self._records.values() if each.address == address]
        return max(there, key=self._moment, default=None)

    def pools(self) -> dict[str, list[str]]:
        """The ids of the endpoints of each pool.

        Of two incarnations at one address only the newer is served: the list keeps a
        crashed one for some heartbeats after its successor registered.
        """
        newest: dict[str, EndpointRecord] = {}
        for record in self._records.values():
            other = newest.get(record.address)
            if other is None or self._moment(record) > self._moment(other):
                newest[record.address] = record
        pools: dict[str, list[str]] = {}
        for record in newest.values():
            pools.setdefault(record.pool, []).append(record.endpoint_id)
        return pools

    def zones(self) -> dict[str, str]:
        """The availability zone of each endpoint."""
        return {name: record.zone for name, record in self._records.items()}

    def slots(self) -> dict[str, int]:
        """How many requests each endpoint works on at once, 0 if it doesn't say."""
        return {name: record.slots for name, record in self._records.items()}

    def failed(self, endpoint_id: str, now_ms: float) -> float:
        """A request found the endpoint dead; returns for how long it is ejected."""
        health = self._health.setdefault(endpoint_id, _Health())
        if now_ms < health.ejected_until_ms:
            return health.ejected_until_ms - now_ms
        recent = now_ms - health.ejected_until_ms < _FORGIVEN_MS
        longer_ms = 2 * health.ejection_ms if recent else 0.0
        bounded_ms = min(max(longer_ms, _FIRST_EJECTION_MS), _LONGEST_EJECTION_MS)
        health.ejection_ms = bounded_ms
        health.ejected_until_ms = now_ms + bounded_ms
        return bounded_ms

    def replaced(self, endpoint_id: str) -> None:
        """Another incarnation answered at the address: this one is over."""
        self._health.setdefault(endpoint_id, _Health()).replaced = True

    def adopt(self, endpoint_id: str, successor_id: str) -> EndpointRecord | None:
        """Take a successor that the list doesn't name yet; None if it may not be.

        The successor has the endpoint's address and is proved to be of its pool. One
        that the list once named and dropped is leaving. Until the list names it, it
        counts as an entry that lapsed: the list's return settles it.
        """
        old = self._records.get(endpoint_id)
        if old is None or successor_id in self._once_listed:
            return None
        known = self._records.get(successor_id)
        if known is not None:
            return known
        record = evolve(old, endpoint_id=successor_id, leaving=False)
        # Newer than its predecessor, older than whatever the list will say of it.
        before = self._moment_of(endpoint_id)
        self._moments[successor_id] = evolve(before, version=before.version + 1)
        self._records[successor_id] = record
        self._adopted.add(successor_id)
        if self._returning:
            self._lapsed.add(successor_id)
        return record

    def unlisted(self, successor_id: str) -> bool:
        """Say whether an adopted endpoint is still not named by the list."""
        return successor_id in self._adopted

    def disown(self, successor_id: str) -> None:
        """The list had time to name an adopted endpoint and doesn't."""
        if successor_id in self._adopted:
            self._forget(successor_id)

    def may_take(self, endpoint_id: str, now_ms: float) -> bool:
        """Say whether new work may go to the endpoint."""
        record = self._records.get(endpoint_id)
        if record is None or record.leaving:
            return False
        health = self._health.get(endpoint_id)
        if health is None:
            return True
        return not health.replaced and now_ms >= health.ejected_until_ms

    def _moment(self, record: EndpointRecord) -> StoreMoment:
        return self._moment_of(record.endpoint_id)

    def _moment_of(self, endpoint_id: str) -> StoreMoment:
        return self._moments.get(endpoint_id, StoreMoment())
