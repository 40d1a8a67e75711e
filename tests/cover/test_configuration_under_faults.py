"""An applied configuration never reverts, and a plan has one outcome."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)
from twisted.internet.defer import ensureDeferred

from coursekeel.intents import (
    CONFIGURATION_KEY,
    Configuration,
    ConfigurationStore,
    Confirmed,
    InstanceEvidence,
    Intent,
    Plan,
    Rollout,
    Stale,
    instances_to_wait_for,
    plan_key,
)
from coursekeel.storage import Row
from tests.common.examples import schedules, until_failure
from tests.common.fake_platform import OUTCOMES, FakePlatform

ENTRIES = ["one", "two", "three"]


class EntryView:
    """The revision of one entry, which like `ConfigurationTask` only grows."""

    never_reverts = True

    def __init__(self):
        self.revision = 0
        self.history = [0]

    def offer_revision(self, revision):
        if revision > self.revision or not self.never_reverts:
            self.revision = revision
            self.history.append(revision)


class NaiveView(EntryView):
    """Applies the revision that it received last."""

    never_reverts = False


class ConfigurationMachine(RuleBasedStateMachine):
    view_class: type = EntryView

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.store = ConfigurationStore(self.platform)
        self.plans = []
        self.outcomes = {}
        self.views = {name: self.view_class() for name in ENTRIES}
        self.delayed_reads = []
        self.accepted = 0

    @precondition(lambda self: len(self.plans) < 6)
    @rule()
    def make_plan(self):
        """An operator makes a plan on the stored revision."""
        row = self.platform.rows.get(CONFIGURATION_KEY)
        on_revision = row.value["revision"] if row else 0
        plan_id = f"plan-{len(self.plans)}"
        plan = Plan(plan_id, on_revision, Intent(), (), 0, 0)
        key = plan_key(plan_id)
        self.platform.versions += 1
        self.platform.rows[key] = Row(key, self.platform.versions, plan.to_json())
        self.plans.append(plan_id)

    @precondition(lambda self: self.plans)
    @rule(index=st.integers(0, 9))
    def confirm_plan(self, index):
        plan_id = self.plans[index % len(self.plans)]
        ensureDeferred(self._confirm(plan_id))

    async def _confirm(self, plan_id):
        outcome = await self.store.confirm(plan_id)
        if isinstance(outcome, Confirmed | Stale):
            first = self.outcomes.setdefault(plan_id, outcome)
            if isinstance(first, Confirmed) or isinstance(outcome, Confirmed):
                assert first == outcome, f"{plan_id}: {first}, then {outcome}"

    @precondition(lambda self: self.platform.waiting)
    @rule(index=st.integers(0, 9), how=st.sampled_from(OUTCOMES))
    def store_responds(self, index, how):
        self.platform.step(index, how)

    @rule()
    def apply_late_write(self):
        self.platform.apply_delayed_write()

    @rule(name=st.sampled_from(ENTRIES))
    def read_row(self, name):
        """An entry reads the row; the result may be applied later, in any order."""
        row = self.platform.rows.get(CONFIGURATION_KEY)
        revision = row.value["revision"] if row else 0
        self.delayed_reads.append((name, revision))

    @precondition(lambda self: self.delayed_reads)
    @rule(index=st.integers(0, 9))
    def apply_delayed_read(self, index):
        name, revision = self.delayed_reads.pop(index % len(self.delayed_reads))
        self.views[name].offer_revision(revision)

    @rule(sender=st.sampled_from(ENTRIES), receiver=st.sampled_from(ENTRIES))
    def send_to_peer(self, sender, receiver):
        self.views[receiver].offer_revision(self.views[sender].revision)

    @rule()
    def check_acceptance(self):
        row = self.platform.rows.get(CONFIGURATION_KEY)
        if row is None:
            return
        revision = row.value["revision"]
        evidence = {
            name: InstanceEvidence(name, view.revision)
            for name, view in self.views.items()
        }
        if not instances_to_wait_for(revision, ENTRIES, evidence):
            self.accepted = max(self.accepted, revision)

    def teardown(self):
        for name, view in self.views.items():
            assert view.history == sorted(view.history), (
                f"{name} reverted to an older revision"
            )
            assert view.revision >= self.accepted, f"{name} lacks the accepted revision"


class NaiveConfigurationMachine(ConfigurationMachine):
    view_class = NaiveView


def test_an_accepted_configuration_is_applied_everywhere_and_never_reverts():
    run_state_machine_as_test(ConfigurationMachine, settings=schedules(300))


def test_the_naive_version_reverts():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveConfigurationMachine, settings=until_failure())


def test_a_stale_plan_gets_the_revision_in_force():
    platform = FakePlatform()
    store = ConfigurationStore(platform)
    outcomes = []
    for name in ("first", "second"):
        plan = Plan(name, 0, Intent(loads_per_minute=9), (), 0, 0)
        platform.rows[plan_key(name)] = Row(plan_key(name), 1, plan.to_json())
    for name in ("first", "second"):
        ensureDeferred(store.confirm(name)).addCallback(outcomes.append)
    platform.drain()
    assert isinstance(outcomes[0], Confirmed)
    assert isinstance(outcomes[1], Stale)
    assert outcomes[1].in_force == 1


def test_confirming_again_after_a_lost_reply_returns_confirmed():
    platform = FakePlatform()
    store = ConfigurationStore(platform)
    plan = Plan("p", 0, Intent(), (), 0, 0)
    platform.rows[plan_key("p")] = Row(plan_key("p"), 1, plan.to_json())
    outcomes = []
    ensureDeferred(store.confirm("p")).addCallback(outcomes.append)
    platform.step(0, "well")
    platform.step(0, "answer_lost")
    platform.step(0, "well")
    ensureDeferred(store.confirm("p")).addCallback(outcomes.append)
    platform.drain()
    assert outcomes == [Confirmed(1), Confirmed(1)]


@pytest.mark.parametrize(
    ("evidence", "expected_ids"),
    [
        (InstanceEvidence("a", 4), []),
        (InstanceEvidence("a", 3), ["a"]),
        (InstanceEvidence("a", 3, refused_connection=True), []),
        (None, ["a"]),
    ],
)
def test_waits_for_instances_that_may_still_serve_an_older_revision(
    evidence, expected_ids
):
    evidence_by_id = {"a": evidence} if evidence else {}
    assert instances_to_wait_for(4, ["a"], evidence_by_id) == expected_ids
    assert instances_to_wait_for(4, ["a"], evidence_by_id, frozenset(["a"])) == []


def test_a_rollout_is_accepted_once_no_instance_is_waited_for():
    rollout = Rollout(2, "p")
    rollout.committed()
    assert rollout.review(["a"], {}) == ["a"]
    assert rollout.state == "committed"
    assert rollout.review(["a"], {"a": InstanceEvidence("a", 2)}) == []
    assert rollout.state == "accepted"


def test_configurations_round_trip():
    configuration = Configuration(3, Intent(loads_per_minute=2), "p")
    assert Configuration.from_json(configuration.to_json()) == configuration
