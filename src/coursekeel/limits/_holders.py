"""Which member gives out the permits for an endpoint, and whether this one may yet.

Rule: of the live members, the one with the highest hash of endpoint and address;
members with the same view agree. A member gives out permits only after it has been the
holder, in its own view, for longer than a window and the validity of a permit together.
So the permits of an earlier holder, or of its own process before a restart or a pause,
are out of every window by then.

A member that no longer reaches the others holds its part of the limit only: the members
that it reaches, of those that it knows of. Lost ones count for an hour, and askers say
how many they know of, so that the parts of a split group add up to one. A member that
expects others and has never met one makes trials only.

Owns the recent views of the group and the members seen lately. A core: the caller
passes the time, in ms.
"""

from collections.abc import Collection

import xxhash
from attrs import define, field

from coursekeel.limits._rate import PERMIT_VALID_S, WINDOW_S
from coursekeel.units import MS_PER_SECOND

__all__ = ["SETTLING_MS", "VIEW_LAG_MS", "Holders"]

# The time by which members may learn of a change later than the new holder does.
VIEW_LAG_MS = 2_000.0
SETTLING_MS = (WINDOW_S + PERMIT_VALID_S) * MS_PER_SECOND + VIEW_LAG_MS
# A view is observed several times a second; a longer gap means a pause.
_PAUSE_MS = 1_000.0
# Longer than regions lose each other.
_LOST_KEPT_MS = 3_600_000.0
_TOLD_KEPT_MS = 60_000.0
# Bounds the memory of members seen, and what an asker can claim.
_MAX_MEMBERS = 1_000


@define
class _View:
    """The live members from a time on, with the holders worked out so far."""

    since_ms: float
    alive: tuple[str, ...]
    _by_endpoint: dict[str, str] = field(factory=dict)

    def holder(self, endpoint_id: str) -> str:
        """The member with the highest hash; empty if there is none."""
        holder = self._by_endpoint.get(endpoint_id)
        if holder is None:
            holder = max(
                self.alive, key=lambda each: _weight(endpoint_id, each), default=""
            )
            self._by_endpoint[endpoint_id] = holder
        return holder


@define(eq=False)
class Holders:
    """This member's view of who holds which endpoint.

    ``own`` is this member's address; ``expects_members`` says whether it was told of
    others to look for.
    """

    own: str
    expects_members: bool = False
    _views: list[_View] = field(factory=list)
    _last_observed_ms: float = float("-inf")
    _seen_ms: dict[str, float] = field(factory=dict)
    _present: int = 1
    _told_known: int = 0
    _told_ms: float = float("-inf")

    def observe(
        self,
        alive: Collection[str],
        present: Collection[str],
        left: Collection[str],
        now_ms: float,
    ) -> None:
        """Record the view of the group, several times a second.

        ``alive`` are the members not suspected, this one included unless it leaves;
        ``present`` the other members, suspects included; ``left`` those that said that
        they leave.
        """
        if now_ms - self._last_observed_ms > _PAUSE_MS:
            self._views.clear()
        self._last_observed_ms = now_ms
        view = tuple(alive)
        if not self._views or self._views[-1].alive != view:
            self._views.append(_View(now_ms, view))
        self._drop_old_views(now_ms)
        self._remember(present, left, now_ms)

    def _drop_old_views(self, now_ms: float) -> None:
        """Keep the view that was in force when the settling time began, and later."""
        while len(self._views) > 1 and now_ms - self._views[1].since_ms > SETTLING_MS:
            del self._views[0]

    def _remember(
        self, present: Collection[str], left: Collection[str], now_ms: float
    ) -> None:
        self._present = 1 + len(present)
        for member in present:
            if member in self._seen_ms or len(self._seen_ms) < _MAX_MEMBERS:
                self._seen_ms[member] = now_ms
        for member in left:
            self._seen_ms.pop(member, None)
        for member, seen_ms in list(self._seen_ms.items()):
            if now_ms - seen_ms > _LOST_KEPT_MS:
                del self._seen_ms[member]

    @property
    def known(self) -> int:
        """The number of members seen lately, this one included."""
        return 1 + len(self._seen_ms)

    def told_known(self, known: int, now_ms: float) -> None:
        """Record how many members another one knows of."""
        known = min(known, _MAX_MEMBERS)
        if known >= self._told_known or now_ms - self._told_ms > _TOLD_KEPT_MS:
            self._told_known, self._told_ms = known, now_ms

    def holder(self, endpoint_id: str) -> str:
        """The member that gives out the endpoint's permits; empty if none is known."""
        return self._views[-1].holder(endpoint_id) if self._views else ""

    def may_give(
        self, endpoint_id: str, now_ms: float, settling_ms: float = SETTLING_MS
    ) -> bool:
        """Whether this member has been the endpoint's holder for long enough.

        ``settling_ms`` is at most `SETTLING_MS`: older views aren't kept.
        """
        if not self._views or now_ms - self._views[0].since_ms < settling_ms:
            return False
        ends_ms = [*(view.since_ms for view in self._views[1:]), float("inf")]
        return all(
            view.holder(endpoint_id) == self.own
            for view, end_ms in zip(self._views, ends_ms, strict=True)
            if now_ms - end_ms <= settling_ms
        )

    def share(self, now_ms: float) -> float:
        """The part of the group that this member reaches; 0 if it never met any."""
        if self.expects_members and not self._seen_ms:
            return 0.0
        told = self._told_known if now_ms - self._told_ms <= _TOLD_KEPT_MS else 0
        return min(self._present / max(self.known, told), 1.0)


def _weight(endpoint_id: str, member: str) -> int:
    return xxhash.xxh64_intdigest(f"{endpoint_id}/{member}".encode())
