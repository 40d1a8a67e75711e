"""Confirm plans by compare-and-set on the configuration row."""

from attrs import define, frozen

from coursekeel.intents._plan import Change, Configuration, Plan, make_plan
from coursekeel.storage import (
    Committed,
    Conflict,
    Platform,
    Row,
    Rows,
    Transaction,
    Unavailable,
)

__all__ = [
    "CONFIGURATION_KEY",
    "ConfigurationStore",
    "Confirmed",
    "Stale",
    "StoreUnavailable",
    "UnknownPlan",
    "plan_key",
]

CONFIGURATION_KEY = "configuration"


@frozen
class Confirmed:
    """The plan is committed as ``revision``; confirming it again returns the same."""

    revision: int


@frozen
class Stale:
    """Another plan was confirmed first.

    ``in_force`` is the current revision, and ``changes`` are those made since the
    plan's base revision.
    """

    in_force: int
    changes: tuple[Change, ...]


@frozen
class StoreUnavailable:
    """The store doesn't respond; if ``unsure``, the confirm may have taken effect."""

    unsure: bool
    reason: str


@frozen
class UnknownPlan:
    """The store has no plan with this id."""


def plan_key(plan_id: str) -> str:
    """The key of a plan's row."""
    return f"plans/{plan_id}"


@define
class ConfigurationStore:
    """Reads and writes the configuration; each step may be repeated after an error."""

    platform: Platform

    async def read(self) -> Configuration | Unavailable:
        """Read the stored configuration; it has revision 0 if none is stored."""
        rows = await self.platform.read([CONFIGURATION_KEY])
        if isinstance(rows, Unavailable):
            return rows
        row = rows.rows.get(CONFIGURATION_KEY)
        return Configuration() if row is None else Configuration.from_json(row.value)

    async def keep(self, plan: Plan) -> Committed | StoreUnavailable:
        """Store a plan, so that it can be confirmed later."""
        write = Transaction(writes={plan_key(plan.plan_id): plan.to_json()})
        outcome = await self.platform.transact(write)
        if isinstance(outcome, Committed):
            return outcome
        return StoreUnavailable(False, "the plan could not be kept; plan again")

    async def confirm(
        self, plan_id: str
    ) -> Confirmed | Stale | StoreUnavailable | UnknownPlan:
        """Commit a plan as the next revision, at most once."""
        rows = await self.platform.read([CONFIGURATION_KEY, plan_key(plan_id)])
        if isinstance(rows, Unavailable):
            return StoreUnavailable(False, rows.reason)
        plan_row = rows.rows.get(plan_key(plan_id))
        if plan_row is None:
            return UnknownPlan()
        current = rows.rows.get(CONFIGURATION_KEY)
        known_outcome = _known_outcome(plan_row, current)
        if known_outcome is not None:
            return known_outcome
        return await self._write(Plan.from_json(plan_row.value), plan_row, current)

    async def _write(
        self, plan: Plan, plan_row: Row, current: Row | None
    ) -> Confirmed | Stale | StoreUnavailable | UnknownPlan:
        configuration = Configuration(plan.on_revision + 1, plan.intent, plan.plan_id)
        value = {**configuration.to_json(), "before": _previous_revision(current)}
        confirmed_plan = {
            **plan_row.value,
            "confirmed_revision": configuration.revision,
        }
        write = Transaction(
            expected={
                CONFIGURATION_KEY: current.version if current else 0,
                plan_row.key: plan_row.version,
            },
            writes={CONFIGURATION_KEY: value, plan_row.key: confirmed_plan},
        )
        outcome = await self.platform.transact(write)
        match outcome:
            case Committed():
                return Confirmed(configuration.revision)
            case Conflict():
                return await self._read_outcome(
                    plan.plan_id, "lost a race, and the store then"
                )
            case Unavailable():
                return StoreUnavailable(False, outcome.reason)
            case _:
                return await self._read_outcome(plan.plan_id, outcome.reason)

    async def _read_outcome(
        self, plan_id: str, reason: str
    ) -> Confirmed | Stale | StoreUnavailable | UnknownPlan:
        """Determine the outcome of a write by reading the rows back.

        ``reason`` says why the outcome is unknown.
        """
        rows = await self.platform.read([CONFIGURATION_KEY, plan_key(plan_id)])
        if isinstance(rows, Unavailable):
            return StoreUnavailable(True, f"{reason}: {rows.reason}")
        return _outcome_from_rows(rows, plan_id, reason)


def _outcome_from_rows(
    rows: Rows, plan_id: str, reason: str
) -> Confirmed | Stale | StoreUnavailable | UnknownPlan:
    """The outcome of a write that the rows read back show."""
    plan_row = rows.rows.get(plan_key(plan_id))
    if plan_row is None:
        return UnknownPlan()
    known_outcome = _known_outcome(plan_row, rows.rows.get(CONFIGURATION_KEY))
    # The write may still take effect although the rows don't show it yet. Confirming
    # again is safe, because the compare-and-set lets only one write through.
    return known_outcome or StoreUnavailable(True, reason)


def _known_outcome(plan_row: Row, current: Row | None) -> Confirmed | Stale | None:
    """The outcome that the rows show: confirmed, stale, or None if still open."""
    confirmed = plan_row.value.get("confirmed_revision")
    if confirmed is not None:
        return Confirmed(confirmed)
    if current is None or current.value["revision"] == plan_row.value["on_revision"]:
        return None
    return Stale(current.value["revision"], _changes_since(plan_row, current))


def _changes_since(plan_row: Row, current: Row) -> tuple[Change, ...]:
    """The changes between the plan's base revision and the one in force."""
    on_revision = plan_row.value["on_revision"]
    revisions = {
        earlier["revision"]: earlier for earlier in current.value.get("before", [])
    }
    old = revisions.get(on_revision)
    if old is None:
        detail = f"revision {on_revision} is too old to compare"
        return (Change("change", "configuration", detail),)
    in_force = Configuration.from_json(current.value)
    listed = frozenset(endpoint.endpoint_id for endpoint in in_force.intent.endpoints)
    return make_plan(
        "", in_force.intent, Configuration.from_json(old), listed, {}
    ).changes


def _previous_revision(current: Row | None) -> list[dict[str, object]]:
    """The previous revision, stored beside the new one to compare stale plans with."""
    if current is None:
        return [{**Configuration().to_json()}]
    return [{key: item for key, item in current.value.items() if key != "before"}]
