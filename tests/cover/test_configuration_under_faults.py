"""One configuration in force: it never reverts, and a confirm has one answer."""

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
    Intent,
    PeerEvidence,
    Plan,
    Rollout,
    Stale,
    plan_key,
    waits_for,
)
from coursekeel.storage import Row
from tests.common.examples import schedules, until_broken
from tests.common.fake_platform import WAYS, FakePlatform

ENTRIES = ["one", "two", "three"]


class EntryView:
    """What one entry applies: only higher revisions, as `ConfigurationTask` does."""

    never_reverts = True

    def __init__(self):
        self.revision = 0
        self.history = [0]

    def offered(self, revision):
        if revision > self.revision or not self.never_reverts:
            self.revision = revision
            self.history.append(revision)


class NaiveView(EntryView):
    """Applies whatever it was told last."""

    never_reverts = False


class ConfigurationMachine(RuleBasedStateMachine):
    view_class: type = EntryView

    def __init__(self):
        super().__init__()
        self.platform = FakePlatform()
        self.store = ConfigurationStore(self.platform)
        self.plans = []
        self.answers = {}
        self.views = {name: self.view_class() for name in ENTRIES}
        self.hints = []
        self.accepted = 0

    @precondition(lambda self: len(self.plans) < 6)
    @rule()
    def plan(self):
        """An operator plans on what the table holds now."""
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
    def confirm(self, index):
        plan_id = self.plans[index % len(self.plans)]
        ensureDeferred(self._confirm(plan_id))

    async def _confirm(self, plan_id):
        outcome = await self.store.confirm(plan_id)
        if isinstance(outcome, Confirmed | Stale):
            known = self.answers.setdefault(plan_id, outcome)
            if isinstance(known, Confirmed) or isinstance(outcome, Confirmed):
                assert known == outcome, f"{plan_id}: {known}, then {outcome}"

    @precondition(lambda self: self.platform.waiting)
    @rule(index=st.integers(0, 9), how=st.sampled_from(WAYS))
    def store_answers(self, index, how):
        self.platform.step(index, how)

    @rule()
    def late_effect(self):
        self.platform.late_effect()

    @rule(name=st.sampled_from(ENTRIES))
    def poll(self, name):
        """The read is answered now; what it says may arrive late, as a hint."""
        row = self.platform.rows.get(CONFIGURATION_KEY)
        revision = row.value["revision"] if row else 0
        self.hints.append((name, revision))

    @precondition(lambda self: self.hints)
    @rule(index=st.integers(0, 9))
    def hint_arrives(self, index):
        name, revision = self.hints.pop(index % len(self.hints))
        self.views[name].offered(revision)

    @rule(giver=st.sampled_from(ENTRIES), taker=st.sampled_from(ENTRIES))
    def peer_gives(self, giver, taker):
        self.views[taker].offered(self.views[giver].revision)

    @rule()
    def look_whether_accepted(self):
        row = self.platform.rows.get(CONFIGURATION_KEY)
        if row is None:
            return
        revision = row.value["revision"]
        evidence = {
            name: PeerEvidence(name, view.revision) for name, view in self.views.items()
        }
        if not waits_for(revision, ENTRIES, evidence):
            self.accepted = max(self.accepted, revision)

    def teardown(self):
        for name, view in self.views.items():
            assert view.history == sorted(view.history), f"{name} went back"
            assert view.revision >= self.accepted, f"{name} lacks what was accepted"


class NaiveConfigurationMachine(ConfigurationMachine):
    view_class = NaiveView


def test_an_accepted_configuration_is_everywhere_and_never_reverts():
    run_state_machine_as_test(ConfigurationMachine, settings=schedules(300))


def test_the_naive_version_goes_back():
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveConfigurationMachine, settings=until_broken())


def test_the_loser_of_a_race_is_told_what_changed():
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


def test_confirming_again_after_a_lost_answer_says_confirmed():
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
    ("evidence", "waited_for"),
    [
        (PeerEvidence("a", 4), []),
        (PeerEvidence("a", 3), ["a"]),
        (PeerEvidence("a", 3, refused_connection=True), []),
        (None, ["a"]),
    ],
)
def test_waits_for_whoever_may_still_serve_the_old_one(evidence, waited_for):
    known = {"a": evidence} if evidence else {}
    assert waits_for(4, ["a"], known) == waited_for
    assert waits_for(4, ["a"], known, frozenset(["a"])) == []


def test_a_rollout_is_accepted_once_nobody_is_waited_for():
    rollout = Rollout(2, "p")
    rollout.committed()
    assert rollout.review(["a"], {}) == ["a"]
    assert rollout.state == "committed"
    assert rollout.review(["a"], {"a": PeerEvidence("a", 2)}) == []
    assert rollout.state == "accepted"


def test_configurations_can_be_read_back():
    configuration = Configuration(3, Intent(loads_per_minute=2), "p")
    assert Configuration.from_json(configuration.to_json()) == configuration
