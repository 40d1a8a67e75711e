"""The listed endpoints, and which of them may take new work now.

Rule: an endpoint may take new work while the store's list names it and doesn't mark it
as leaving. An older record, list or removal takes nothing back, also once the endpoint
is gone. One that said itself that it is leaving takes no new work, whatever is read
later. If a request of this instance finds it unreachable it is ejected, because the
list drops a crashed endpoint only after three missed heartbeats; the time doubles with
each ejection. One whose address another incarnation has is never used again.

Owns the records and the ejections. A core: the caller passes the time, in ms.
"""

from collections.abc import Collection, Iterable

from attrs import define, evolve, field, frozen

from coursekeel.forwarding._missing import MissingEndpoints
from coursekeel.forwarding._model import EndpointRecord
from coursekeel.forwarding._moment import StorePosition

__all__ = ["EndpointDirectory"]

# Longer than an endpoint needs to respond again after a pause, shorter than a restart.
_FIRST_EJECTION_MS = 700.0
# About as long as the list takes at most to drop a crashed endpoint.
_MAX_EJECTION_MS = 6_000.0
# A failure later than this after the end of an ejection counts as a first one.
_EJECTION_RESET_MS = 5_000.0

# How many endpoints that the list dropped, or that said they leave, are remembered. A
# stopping server serves for some seconds after that, and must not be adopted as a new
# one. More than leave a site in a minute.
_MAX_DELISTED = 1_000


@define
class _Health:
    """Failures of this instance's own requests at one incarnation."""

    ejected_until_ms: float = float("-inf")
    ejection_ms: float = 0.0
    replaced: bool = False


@frozen
class _Delisted:
    """An endpoint that the list dropped: its last record, and when it was dropped."""

    record: EndpointRecord | None
    position: StorePosition


@define
class EndpointDirectory:
    """Records by endpoint id, with the failures of this instance's requests there.

    Each record is stored with the store position at which it was read.
    """

    missing: MissingEndpoints = field(factory=MissingEndpoints)
    _records: dict[str, EndpointRecord] = field(factory=dict)
    _positions: dict[str, StorePosition] = field(factory=dict)
    _health: dict[str, _Health] = field(factory=dict)
    _adopted: set[str] = field(factory=set)
    _delisted: dict[str, _Delisted] = field(factory=dict)
    _own_leavings: dict[str, None] = field(factory=dict)

    def put(self, record: EndpointRecord, position: StorePosition) -> None:
        """Store a record as of ``position``; an older one is ignored."""
        endpoint_id = record.endpoint_id
        if self._is_older(endpoint_id, position):
            return
        known = self._records.get(endpoint_id)
        if known is not None and position == self._position_of(endpoint_id):
            # After a restore the copy may lack the mark of an endpoint that leaves.
            record = evolve(record, leaving=record.leaving or known.leaving)
        self._positions[endpoint_id] = position
        self._records[endpoint_id] = self._with_own_leaving(record)
        self.missing.discard(endpoint_id)
        self._adopted.discard(endpoint_id)
        self._delisted.pop(endpoint_id, None)

    def _is_older(self, endpoint_id: str, position: StorePosition) -> bool:
        """Whether a later position has told of an endpoint, or of its removal."""
        delisted = self._delisted.get(endpoint_id)
        if delisted is not None and position <= delisted.position:
            return True
        if endpoint_id in self.missing and position <= self.missing.position(
            endpoint_id
        ):
            return True
        return position < self._position_of(endpoint_id)

    def mark_leaving(self, endpoint_id: str) -> bool:
        """Mark an endpoint that said itself that it is leaving, listed or not.

        No record, list or restore undoes it, since every start of an endpoint has an id
        of its own. Returns whether a listed endpoint wasn't known to be leaving.
        """
        self._own_leavings.pop(endpoint_id, None)
        self._own_leavings[endpoint_id] = None
        if len(self._own_leavings) > _MAX_DELISTED:
            self._forget_own_leaving()
        record = self._records.get(endpoint_id)
        if record is None or record.leaving:
            return False
        self._records[endpoint_id] = self._with_own_leaving(record)
        return True

    def _forget_own_leaving(self) -> None:
        """Forget the oldest mark of an endpoint that isn't listed."""
        unlisted = (name for name in self._own_leavings if name not in self._records)
        oldest = next(unlisted, None)
        if oldest is not None:
            del self._own_leavings[oldest]

    def _with_own_leaving(self, record: EndpointRecord) -> EndpointRecord:
        leaving = record.leaving or record.endpoint_id in self._own_leavings
        return evolve(record, leaving=leaving)

    def begin_recovery(self, now_ms: float) -> None:
        """Note that the list is read again after an outage, and may lack endpoints.

        Running endpoints register again soon. For a while one that is missing may
        still take work unless it was leaving: removing all of them at once would
        refuse every request until they are listed again.
        """
        self.missing.begin_recovery(now_ms)
        for endpoint_id in self._adopted:
            self.missing.add(endpoint_id, StorePosition(), now_ms)

    def remove_missing(self, now_ms: float, confirmed_ms: float) -> list[str]:
        """Remove the endpoints that have been missing for too long; returns ids.

        ``confirmed_ms`` is the time as of which the list is confirmed.
        """
        gone = self.missing.overdue(now_ms, confirmed_ms)
        for endpoint_id in gone:
            self._forget(endpoint_id, self.missing.position(endpoint_id))
        return sorted(gone)

    def remove(self, endpoint_id: str, position: StorePosition, now_ms: float) -> None:
        """Remove an endpoint that the list dropped.

        After an outage it counts as missing, unless it was leaving.
        """
        if self._is_older(endpoint_id, position):
            return
        record = self._records.get(endpoint_id)
        kept = endpoint_id in self.missing or self.missing.recovering(now_ms)
        if kept and record is not None and not record.leaving:
            self.missing.add(endpoint_id, position, now_ms)
            return
        self._forget(endpoint_id, position)

    def _forget(self, endpoint_id: str, position: StorePosition) -> None:
        self._adopted.discard(endpoint_id)
        self.missing.discard(endpoint_id)
        position = max(position, self._position_of(endpoint_id))
        record = self._records.pop(endpoint_id, None)
        self._delisted.pop(endpoint_id, None)
        self._delisted[endpoint_id] = _Delisted(record, position)
        if len(self._delisted) > _MAX_DELISTED:
            del self._delisted[next(iter(self._delisted))]
        self._health.pop(endpoint_id, None)
        self._positions.pop(endpoint_id, None)

    def replace_all(
        self,
        records: Iterable[tuple[EndpointRecord, StorePosition]],
        position: StorePosition,
        now_ms: float,
        kept: Collection[str] = (),
    ) -> None:
        """Apply a whole list as of ``position``; endpoints not in it are removed.

        ``kept`` are the ids of listed entries that can't be parsed.
        """
        listed = {record.endpoint_id: (record, as_of) for record, as_of in records}
        named = listed.keys() | set(kept)
        for endpoint_id in [name for name in self._records if name not in named]:
            self.remove(endpoint_id, position, now_ms)
        for record, as_of in listed.values():
            self.put(record, as_of)

    def restore(
        self,
        records: Iterable[tuple[EndpointRecord, StorePosition]],
        position: StorePosition,
        now_ms: float,
        kept: Collection[str] = (),
    ) -> None:
        """Apply the whole list of a store that was restored from an older copy.

        The copy may name endpoints that were removed since, or lack the mark of one
        that is leaving: both stay as they are here until they are written again, and
        so do those that are missing. Endpoints that it lacks count as missing, as
        after an outage; running ones register again.
        """
        self.begin_recovery(now_ms)
        # The store issues its versions again, so that the positions here mean nothing.
        self._positions.clear()
        self.missing.reset_positions()
        self._delisted = {
            endpoint_id: evolve(delisted, position=StorePosition())
            for endpoint_id, delisted in self._delisted.items()
        }
        listed = list(self._merge_known_state(records, now_ms))
        self.replace_all(listed, position, now_ms, kept)

    def _merge_known_state(
        self, records: Iterable[tuple[EndpointRecord, StorePosition]], now_ms: float
    ) -> Iterable[tuple[EndpointRecord, StorePosition]]:
        for record, position in records:
            delisted = self._delisted.get(record.endpoint_id)
            if delisted is not None:
                self._delisted[record.endpoint_id] = evolve(delisted, position=position)
                continue
            if record.endpoint_id in self.missing and not record.leaving:
                # Only a later write says that it serves.
                self.missing.add(record.endpoint_id, position, now_ms)
                continue
            known = self._records.get(record.endpoint_id)
            leaving = record.leaving or (known is not None and known.leaving)
            yield evolve(record, leaving=leaving), position

    def last_known(self, endpoint_id: str) -> EndpointRecord | None:
        """Return an endpoint's record, or the last one before the list dropped it.

        An endpoint that was dropped may serve what it has begun for some seconds.
        """
        if endpoint_id in self._records:
            return self._records[endpoint_id]
        delisted = self._delisted.get(endpoint_id)
        return None if delisted is None else delisted.record

    def record(self, endpoint_id: str) -> EndpointRecord | None:
        """The endpoint's record; None if it isn't listed."""
        return self._records.get(endpoint_id)

    def leaving_by_id(self) -> dict[str, bool]:
        """Whether each listed endpoint is leaving."""
        return {name: record.leaving for name, record in self._records.items()}

    def record_with_position(
        self, endpoint_id: str
    ) -> tuple[EndpointRecord, StorePosition]:
        """A listed endpoint's record, and the store position at which it was read."""
        return self._records[endpoint_id], self._position_of(endpoint_id)

    def at_address(self, address: str) -> EndpointRecord | None:
        """The newest incarnation listed at an address; None if there is none."""
        matches = [rec for rec in self._records.values() if rec.address == address]
        return max(matches, key=self._position, default=None)

    def pools(self) -> dict[str, list[str]]:
        """The ids of the endpoints of each pool.

        Of two incarnations at one address only the newer is used: the list names a
        crashed one for some heartbeats after its successor registered.
        """
        newest: dict[str, EndpointRecord] = {}
        for record in self._records.values():
            other = newest.get(record.address)
            if other is None or self._position(record) > self._position(other):
                newest[record.address] = record
        pools: dict[str, list[str]] = {}
        for record in newest.values():
            pools.setdefault(record.pool, []).append(record.endpoint_id)
        return pools

    def in_pool(self, pool: str) -> list[EndpointRecord]:
        """The records of a pool's endpoints that aren't leaving."""
        return [
            record
            for record in self._records.values()
            if record.pool == pool and not record.leaving
        ]

    def zones(self) -> dict[str, str]:
        """The availability zone of each endpoint."""
        return {name: record.zone for name, record in self._records.items()}

    def slots(self) -> dict[str, int]:
        """The slots of each endpoint; 0 if it doesn't report them."""
        return {name: record.slots for name, record in self._records.items()}

    def eject(self, endpoint_id: str, now_ms: float, least_ms: float = 0.0) -> float:
        """Eject an endpoint after a failed request, for ``least_ms`` at least.

        Returns the remaining ms; an ejection that is open isn't made longer.
        """
        health = self._health.setdefault(endpoint_id, _Health())
        if now_ms < health.ejected_until_ms:
            return health.ejected_until_ms - now_ms
        recent = now_ms - health.ejected_until_ms < _EJECTION_RESET_MS
        doubled_ms = 2 * health.ejection_ms if recent else 0.0
        first_ms = max(_FIRST_EJECTION_MS, least_ms)
        ejection_ms = min(max(doubled_ms, first_ms), _MAX_EJECTION_MS)
        health.ejection_ms = ejection_ms
        health.ejected_until_ms = now_ms + ejection_ms
        return ejection_ms

    def end_ejections(self, pool: str) -> None:
        """Use a pool's ejected endpoints again: not they had failed, but the links."""
        for record in self.in_pool(pool):
            self.end_ejection(record.endpoint_id)

    def end_ejection(self, endpoint_id: str) -> None:
        """Use an endpoint again that hadn't failed, and forget its ejections."""
        health = self._health.get(endpoint_id)
        if health is not None and not health.replaced:
            del self._health[endpoint_id]

    def mark_replaced(self, endpoint_id: str) -> None:
        """Mark an incarnation as replaced: another one responded at its address."""
        self._health.setdefault(endpoint_id, _Health()).replaced = True

    def adopt(
        self, endpoint_id: str, successor_id: str, now_ms: float
    ) -> EndpointRecord | None:
        """Add a successor that the list doesn't name yet; returns its record.

        None if ``endpoint_id`` isn't listed, if the list has the successor in another
        pool, or has dropped it, as it is stopping then. The caller has checked that the
        successor has the endpoint's address and serves its pool. Until the list names
        it, a return of the store counts it as missing.
        """
        old = self._records.get(endpoint_id)
        if old is None or successor_id in self._delisted:
            return None
        known = self._records.get(successor_id)
        if known is not None:
            return known if known.pool == old.pool else None
        record = evolve(old, endpoint_id=successor_id, leaving=False)
        record = self._with_own_leaving(record)
        # Newer than its predecessor, and older than its own entry in the list.
        before = self._position_of(endpoint_id)
        self._positions[successor_id] = evolve(before, version=before.version + 1)
        self._records[successor_id] = record
        self._adopted.add(successor_id)
        if self.missing.recovering(now_ms):
            self.missing.add(successor_id, StorePosition(), now_ms)
        return record

    def is_adopted(self, successor_id: str) -> bool:
        """Whether an endpoint was adopted and the list doesn't name it yet."""
        return successor_id in self._adopted

    def remove_adopted(self, successor_id: str) -> None:
        """Remove an adopted endpoint that the list didn't name in time."""
        if successor_id in self._adopted:
            self._forget(successor_id, self._position_of(successor_id))

    def may_take(self, endpoint_id: str, now_ms: float) -> bool:
        """Whether new work may be sent to the endpoint."""
        if self.serving_record(endpoint_id, now_ms) is None:
            return False
        health = self._health.get(endpoint_id)
        if health is None:
            return True
        return not health.replaced and now_ms >= health.ejected_until_ms

    def serving_record(self, endpoint_id: str, now_ms: float) -> EndpointRecord | None:
        """An endpoint's record, if what was placed there may still be sent to it.

        None if it is gone, leaving, or has been missing for too long. Asked at each
        send, since a timer may be late.
        """
        record = self._records.get(endpoint_id)
        if record is None or record.leaving:
            return None
        return None if self.missing.is_over(endpoint_id, now_ms) else record

    def _position(self, record: EndpointRecord) -> StorePosition:
        return self._position_of(record.endpoint_id)

    def _position_of(self, endpoint_id: str) -> StorePosition:
        return self._positions.get(endpoint_id, StorePosition())
