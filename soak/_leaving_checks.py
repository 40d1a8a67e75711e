"""Checks of what reaches servers that leave, and of whether sound ones stay in use.

Pure functions, as in `soak._checks`. Who sent a request on is known from the gateways'
logs: the caller's gateway may have passed it to another.
"""

from collections import defaultdict
from collections.abc import Iterator

from attrs import frozen

from soak._bounds import Bounds, is_in_touch
from soak._records import Evidence, ServerArrival, ServerLeft

__all__ = [
    "LateStart",
    "nothing_new_once_told",
    "nothing_new_though_answers_are_lost",
    "sound_servers_stay_in_use",
    "starts_once_told",
]

# Logs give milliseconds, of another clock than arrivals.
_CLOCKS_S = 0.05
# So many requests of a pool in a row go to its other servers by chance once in a
# million at most, where six share them.
_UNUSED = 80


@frozen
class LateStart:
    """A request that reached a server after its sender knew that the server leaves."""

    request_id: str
    server: str
    sender: str
    after_s: float


def starts_once_told(seen: Evidence) -> list[LateStart]:
    """Requests that started at a server after the same instance had logged its leaving.

    Of several instances that sent a request to the server, the one counts that learned
    last.
    """
    told_s = _told_s(seen)
    senders = _senders(seen)
    left = {each.server for each in seen.left}
    found = []
    for each in seen.arrivals:
        if each.server not in left:
            continue
        after = [
            (each.at_s - told_s.get((sender, each.server), each.at_s), sender)
            for sender in senders[each.request_id, each.server]
        ]
        after_s, sender = min(after, default=(0.0, ""))
        if after_s > 0:
            found.append(LateStart(each.request_id, each.server, sender, after_s))
    return found


def _told_s(seen: Evidence) -> dict[tuple[str, str], float]:
    """When each instance first logged that a server leaves, not that its row lapsed."""
    left_s = {each.server: each.at_s for each in seen.left}
    told_s: dict[tuple[str, str], float] = {}
    for each in seen.told:
        if each.at_s >= left_s.get(each.server, float("inf")) - _CLOCKS_S:
            told_s.setdefault((each.instance, each.server), each.at_s)
    return told_s


def _senders(seen: Evidence) -> dict[tuple[str, str], set[str]]:
    senders: dict[tuple[str, str], set[str]] = defaultdict(set)
    for each in seen.chosen:
        senders[each.request_id, each.server].add(each.instance)
    return senders


def nothing_new_once_told(seen: Evidence, bounds: Bounds) -> Iterator[str]:
    """An instance that knows that a server leaves is bound, whatever the store does."""
    for each in starts_once_told(seen):
        if each.after_s > bounds.drain_s:
            yield (
                f"{each.request_id}: {each.server} {each.after_s:.2f} s after "
                f"{each.sender} had logged its leaving"
            )


def nothing_new_though_answers_are_lost(
    seen: Evidence, bounds: Bounds
) -> Iterator[str]:
    """By the users' rule: sent on by gateways in touch, late after the store's word.

    The word counts from when the store is stable. A gateway whose connections lost
    their answers is in touch again some time after that, though it may not know it.
    """
    left = {each.server: each for each in seen.left}
    gateways = {each.request_id: each.gateway for each in seen.calls}
    senders = _senders(seen)
    for each in seen.arrivals:
        if each.server not in left:
            continue
        since_s = _binds_from_s(seen, left[each.server], bounds)
        if each.at_s <= since_s + bounds.drain_s or not _is_stable(seen, each, bounds):
            continue
        names = senders[each.request_id, each.server]
        through = {_number_of(name) for name in names}
        through.add(gateways.get(each.request_id, -1))
        if all(is_in_touch(seen, number, each.at_s, bounds) for number in through):
            after_s = each.at_s - since_s
            yield (
                f"{each.request_id}: {each.server} {after_s:.2f} s after the store's "
                f"word, from {sorted(names)}"
            )


def _binds_from_s(seen: Evidence, left: ServerLeft, bounds: Bounds) -> float:
    """When the store, stable, had said that a server leaves."""
    at_s = left.at_s
    for fault in sorted(seen.store_faults, key=lambda each: each.begun_s):
        if fault.begun_s <= at_s < fault.ended_s + bounds.contact_s:
            at_s = fault.ended_s + bounds.contact_s
    return at_s


def _is_stable(seen: Evidence, arrival: ServerArrival, bounds: Bounds) -> bool:
    """Whether the store was stable for as long as gateways take to be in touch."""
    since_s = arrival.at_s - 2 * bounds.contact_s
    return not any(
        each.begun_s < arrival.at_s and each.ended_s > since_s
        for each in seen.store_faults
    )


def _number_of(instance: str) -> int:
    """The number of the gateway with this name, as ``g3-12``."""
    return int(instance.removeprefix("g").partition("-")[0])


def sound_servers_stay_in_use(seen: Evidence, bounds: Bounds) -> Iterator[str]:
    """A server that doesn't leave gets its part, also once its row has lapsed."""
    left_s = {each.server: each.at_s for each in seen.left}
    pools = {each.server: each.pool for each in seen.listed}
    arrivals = sorted(seen.arrivals, key=lambda each: each.at_s)
    for listed in seen.listed:
        known = ServerLeft(listed.server, listed.at_s)
        from_s = _binds_from_s(seen, known, bounds) + bounds.drain_s
        to_s = left_s.get(listed.server, float("inf"))
        without = 0
        for each in arrivals:
            if pools.get(each.server) != listed.pool or not from_s <= each.at_s < to_s:
                continue
            without = 0 if each.server == listed.server else without + 1
            if without == _UNUSED:
                yield f"{listed.server}: none of {_UNUSED} requests of its pool"
                break
