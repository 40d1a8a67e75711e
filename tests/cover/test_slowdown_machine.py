"""Everything slows down at once: budgets hold, and endpoints are not all given up."""

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from coursekeel.forwarding import EndpointDirectory, EndpointRecord
from coursekeel.gateway._retry_budgets import instance_budget
from coursekeel.routing import Grant, PlacementRequest, Refuse, Router
from coursekeel.settings import RetryShare
from tests.common.moments import at

POOL = "p"
INSTANCES = 9
ENDPOINTS = 6
SLOTS = 4
SHARE = RetryShare(ratio=0.8, slack=150, window_s=10)
WINDOW_MS = SHARE.window_s * 1_000


class SlowdownMachine(RuleBasedStateMachine):
    """One pool before several instances that don't talk; any request may time out."""

    @initialize(seed=st.integers(0, 99))
    def begin(self, seed: int) -> None:
        self.now_ms = 0.0
        self.random = Random(seed)
        self.budgets = [
            instance_budget(SHARE, Random(each)) for each in range(INSTANCES)
        ]
        self.requests: list[float] = []
        self.repeats: list[float] = []
        self.directory = EndpointDirectory()
        for number in range(ENDPOINTS):
            name, zone = f"e{number}", f"z{number % 3}"
            record = EndpointRecord(name, POOL, "127.0.0.1", number + 1, zone, SLOTS)
            self.directory.put(record, at(1))
        self.router = Router("z0", self.random, self.directory.may_take)
        self.router.endpoints.configure(
            self.directory.pools(), self.directory.zones(), self.directory.slots()
        )
        self.running: list[str] = []
        self.waiting: dict[int, float] = {}
        self.numbers = 0

    @rule(count=st.integers(1, 60), failing=st.integers(0, 100))
    def requests_come_and_time_out(self, count: int, failing: int) -> None:
        """Whatever fails is sent once more if its instance's budget has it."""
        for _ in range(count):
            budget = self.random.choice(self.budgets)
            budget.requested(self.now_ms)
            self.requests.append(self.now_ms)
            if self.random.randrange(100) < failing and budget.take(self.now_ms):
                self.repeats.append(self.now_ms)

    @rule(count=st.integers(1, 30), patience_ms=st.integers(50, 2_000))
    def runs_are_asked_for(self, count: int, patience_ms: int) -> None:
        for _ in range(count):
            self.numbers += 1
            deadline_ms = self.now_ms + patience_ms
            self.waiting[self.numbers] = deadline_ms
            request = PlacementRequest(
                "t", "c", 0, POOL, 10.0, deadline_ms, number=self.numbers
            )
            self.take(self.router.place(request, self.now_ms))

    def take(self, decisions: list[Grant | Refuse]) -> None:
        for decision in decisions:
            deadline_ms = self.waiting.pop(decision.number)
            if isinstance(decision, Grant):
                assert self.now_ms <= deadline_ms
                self.running.append(decision.endpoint_id)
            else:
                assert decision.retry_after_ms > 0

    @rule(count=st.integers(1, 20), failed=st.booleans())
    def runs_end(self, count: int, failed: bool) -> None:
        for _ in range(min(count, len(self.running))):
            endpoint_id = self.running.pop(self.random.randrange(len(self.running)))
            self.take(self.router.released(endpoint_id, 500.0, self.now_ms, failed))

    @rule(number=st.integers(0, ENDPOINTS - 1))
    def an_endpoint_does_not_answer(self, number: int) -> None:
        self.directory.failed(f"e{number}", self.now_ms)
        self.router.endpoints.lost(POOL, f"e{number}", self.now_ms)

    @rule()
    def none_answers(self) -> None:
        for number in range(ENDPOINTS):
            self.an_endpoint_does_not_answer(number)

    @rule(number=st.integers(0, ENDPOINTS - 1))
    def an_endpoint_refuses(self, number: int) -> None:
        self.router.turned_away(f"e{number}", self.now_ms)

    @rule(wait_ms=st.integers(10, 4_000))
    def time_passes(self, wait_ms: int) -> None:
        self.now_ms += wait_ms
        self.take(self.router.review(self.now_ms))

    @invariant()
    def repeats_stay_within_the_shared_budget(self) -> None:
        since_ms = self.now_ms - WINDOW_MS
        repeats = sum(at >= since_ms for at in self.repeats)
        requests = sum(at >= since_ms - WINDOW_MS for at in self.requests)
        assert repeats <= SHARE.ratio * requests + SHARE.slack

    @invariant()
    def nothing_waits_past_its_time(self) -> None:
        self.take(self.router.review(self.now_ms))
        assert all(self.now_ms <= at for at in self.waiting.values())

    @invariant()
    def no_endpoint_has_more_runs_than_its_slots(self) -> None:
        for number in range(ENDPOINTS):
            assert self.running.count(f"e{number}") <= SLOTS

    @invariant()
    def every_endpoint_is_tried_again(self) -> None:
        """However often all failed together, none is given up for good."""
        later_ms = self.now_ms + 6_000.0
        for number in range(ENDPOINTS):
            assert self.directory.may_take(f"e{number}", later_ms)

    def teardown(self) -> None:
        """Once all answers again, a request is served."""
        self.now_ms += 10_000.0
        self.take(self.router.review(self.now_ms))
        while self.running:
            self.runs_end(20, False)
        self.runs_are_asked_for(1, 1_000)
        assert self.running


TestSlowdown = SlowdownMachine.TestCase
