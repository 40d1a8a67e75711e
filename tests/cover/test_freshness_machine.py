"""An instance's cached endpoints and keys, while the store fails and recovers."""

from unittest.mock import Mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from twisted.internet.task import Clock as FakeReactor

from coursekeel.forwarding import (
    EndpointDirectory,
    EndpointRecord,
    ForwardingConfiguration,
    Freshness,
    Team,
    confirmed_time_ms,
    key_digest,
)
from coursekeel.gateway._adapters import Outage, Removed, TableRead, VersionedEntry
from coursekeel.gateway._live_settings import LiveSettings
from coursekeel.gateway.site._site_state import SiteState
from coursekeel.settings import GatewayListen, GatewaySettings
from tests.common.moments import position_at

NAMES = ("a", "b", "c")
KEYS = ("k1", "k2", "k3")
HOLD_MS = 400.0
SETTINGS = GatewaySettings("g", "z", GatewayListen("h:1"), "s:1")
TIMERS = SETTINGS.timers


def record(name: str, leaving: bool = False) -> EndpointRecord:
    port = NAMES.index(name) + 1
    return EndpointRecord(name, "p", "127.0.0.1", port, "z", 4, leaving)


def _digests(keys: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(key_digest(key) for key in keys)


class FreshnessMachine(RuleBasedStateMachine):
    """Rows change, history is lost, responses are late, and the store is down."""

    @initialize()
    def begin(self) -> None:
        self.reactor = FakeReactor()
        self.directory = EndpointDirectory()
        clock = Mock(now_ms=lambda: self.now_ms)
        self.site = SiteState(
            self.reactor, clock, LiveSettings(SETTINGS), self.directory, Mock()
        )
        self.freshness = Freshness()
        self.version = 0
        self.rows: dict[str, VersionedEntry] = {}
        self.read_version = 0
        self.store_is_down = False
        self.outage_ms = 0.0
        self.keys = frozenset(KEYS)
        self.revoked_ms: dict[str, float] = {}
        self.configuration = 0
        self.apply_configuration()
        for name in NAMES:
            self.write(record(name))
        self.follow(0)

    @property
    def now_ms(self) -> float:
        return self.reactor.seconds() * 1000

    def write(self, entry: EndpointRecord | Removed) -> None:
        self.version += 1
        name = entry.entry_id if isinstance(entry, Removed) else entry.endpoint_id
        self.rows[name] = VersionedEntry(entry, position_at(self.version))

    @rule(name=st.sampled_from(NAMES), leaving=st.booleans())
    def an_endpoint_writes_its_row(self, name: str, leaving: bool) -> None:
        entry = self.rows[name].entry
        if isinstance(entry, EndpointRecord) and entry.leaving:
            leaving = True
        self.write(record(name, leaving))

    @rule(name=st.sampled_from(NAMES))
    def a_row_is_removed(self, name: str) -> None:
        self.write(Removed(name))

    @rule()
    def the_store_fails(self) -> None:
        self.store_is_down = True

    @rule()
    def the_store_returns(self) -> None:
        self.store_is_down = False

    @rule(delay_ms=st.integers(0, 300))
    def follow(self, delay_ms: int) -> None:
        """One query for changes, whose response may be late."""
        if self.store_is_down:
            self.outage_ms += HOLD_MS
            self.reactor.advance(HOLD_MS / 1000)
            return
        rows = [
            row
            for row in self.rows.values()
            if row.position > position_at(self.read_version)
        ]
        self.read(rows, whole=False, delay_ms=delay_ms)

    @rule(delay_ms=st.integers(0, 300))
    def the_history_is_truncated(self, delay_ms: int) -> None:
        if self.store_is_down:
            return
        live_rows = [
            e for e in self.rows.values() if isinstance(e.entry, EndpointRecord)
        ]
        self.read(live_rows, whole=True, delay_ms=delay_ms)

    def read(self, rows: list[VersionedEntry], whole: bool, delay_ms: float) -> None:
        sent_ms, version = self.now_ms, self.version
        self.reactor.advance(delay_ms / 1000)
        if self.outage_ms:
            self.site.prepare_after_outage(Outage(self.outage_ms, self.outage_ms))
            self.outage_ms = 0.0
        self.freshness.record_confirmation(
            "list", confirmed_time_ms(sent_ms, self.now_ms, 0.0)
        )
        self.read_version = version
        self.site.apply_endpoints(
            TableRead(tuple(rows), position_at(version), self.now_ms, whole)
        )

    @rule(key=st.sampled_from(KEYS))
    def a_key_is_revoked(self, key: str) -> None:
        if key in self.keys:
            self.keys -= {key}
            self.revoked_ms[key] = self.now_ms

    @rule()
    def apply_configuration(self) -> None:
        """The current configuration is read, and then an older one again."""
        if self.store_is_down:
            return
        self.configuration += 1
        self.freshness.record_confirmation("keys", self.now_ms)
        for version, keys in (
            (self.configuration, tuple(sorted(self.keys))),
            (self.configuration - 1, KEYS),
        ):
            configuration = ForwardingConfiguration(
                version=version, teams=(Team("t", _digests(keys)),), keyed=True
            )
            entry = VersionedEntry(configuration, position_at(version))
            self.site.apply_configuration(
                TableRead((entry,), position_at(version), self.now_ms, False)
            )

    @rule(wait_ms=st.integers(1, 3_000))
    def time_passes_or_the_process_is_frozen(self, wait_ms: int) -> None:
        self.reactor.advance(wait_ms / 1000)

    @invariant()
    def a_revoked_key_is_never_accepted_past_its_bound(self) -> None:
        if self.freshness.age_ms("keys", self.now_ms) > TIMERS.max_key_age_ms:
            return
        for key, revoked_ms in self.revoked_ms.items():
            if self.site.routes.team(key) is not None:
                assert self.now_ms - revoked_ms <= TIMERS.revoke_ms

    @invariant()
    def an_endpoint_read_as_leaving_takes_no_requests(self) -> None:
        for name, row in self.rows.items():
            if row.position > position_at(self.read_version) or not isinstance(
                row.entry, EndpointRecord
            ):
                continue
            may_take = self.directory.may_take(name, self.now_ms)
            assert may_take is not row.entry.leaving

    @invariant()
    def an_endpoint_read_as_removed_is_used_only_while_the_list_settles(self) -> None:
        for name, row in self.rows.items():
            gone = isinstance(row.entry, Removed) and row.position <= position_at(
                self.read_version
            )
            if gone and self.directory.may_take(name, self.now_ms):
                assert self.reactor.getDelayedCalls()


TestFreshness = FreshnessMachine.TestCase
