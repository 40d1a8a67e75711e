"""Many requests fail at once: retries stay in budget, and endpoints are tried again."""

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from coursekeel.forwarding import EndpointDirectory, EndpointRecord
from coursekeel.gateway._retry_budgets import instance_budget
from coursekeel.routing import Grant, PlacementRequest, Refuse, Router
from coursekeel.settings import RetryBudgetSettings
from tests.common.moments import position_at

POOL = "p"
INSTANCES = 9
ENDPOINTS = 6
SLOTS = 4
SHARE = RetryBudgetSettings(ratio=0.8, slack=150, window_s=10)
WINDOW_MS = SHARE.window_s * 1_000


class SlowdownMachine(RuleBasedStateMachine):
    """One pool used by several instances without contact; any request may time out."""

    @initialize(seed=st.integers(0, 99))
    def set_up(self, seed: int) -> None:
        self.now_ms = 0.0
        self.random = Random(seed)
        self.budgets = [
            instance_budget(SHARE, Random(instance)) for instance in range(INSTANCES)
        ]
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.directory = EndpointDirectory()
        for number in range(ENDPOINTS):
            name, zone = f"e{number}", f"z{number % 3}"
            record = EndpointRecord(name, POOL, "127.0.0.1", number + 1, zone, SLOTS)
            self.directory.put(record, position_at(1))
        self.router = Router("z0", self.random, self.directory.may_take)
        self.router.endpoints.configure(
            self.directory.pools(), self.directory.zones(), self.directory.slots()
        )
        self.running: list[str] = []
        self.waiting: dict[int, float] = {}
        self.last_number = 0

    @rule(count=st.integers(1, 60), failing=st.integers(0, 100))
    def send_requests(self, count: int, failing: int) -> None:
        """A failed request is retried once if its instance's budget allows it."""
        for _ in range(count):
            budget = self.random.choice(self.budgets)
            budget.requested(self.now_ms)
            self.requests.append(self.now_ms)
            if self.random.randrange(100) < failing and budget.take(self.now_ms):
                self.retries.append(self.now_ms)

    @rule(count=st.integers(1, 30), patience_ms=st.integers(50, 2_000))
    def place_requests(self, count: int, patience_ms: int) -> None:
        for _ in range(count):
            self.last_number += 1
            deadline_ms = self.now_ms + patience_ms
            self.waiting[self.last_number] = deadline_ms
            request = PlacementRequest(
                "t", "c", 0, POOL, 10.0, deadline_ms, number=self.last_number
            )
            self.apply_decisions(self.router.place(request, self.now_ms))

    def apply_decisions(self, decisions: list[Grant | Refuse]) -> None:
        for decision in decisions:
            deadline_ms = self.waiting.pop(decision.number)
            if isinstance(decision, Grant):
                assert self.now_ms <= deadline_ms
                self.running.append(decision.endpoint_id)
            else:
                assert decision.retry_after_ms > 0

    @rule(count=st.integers(1, 20), failed=st.booleans())
    def end_runs(self, count: int, failed: bool) -> None:
        for _ in range(min(count, len(self.running))):
            endpoint_id = self.running.pop(self.random.randrange(len(self.running)))
            self.apply_decisions(
                self.router.release(endpoint_id, 500.0, self.now_ms, failed)
            )

    @rule(number=st.integers(0, ENDPOINTS - 1))
    def lose_endpoint(self, number: int) -> None:
        self.directory.eject(f"e{number}", self.now_ms)
        self.router.endpoints.lost(POOL, f"e{number}", self.now_ms)

    @rule()
    def lose_all_endpoints(self) -> None:
        for number in range(ENDPOINTS):
            self.lose_endpoint(number)

    @rule(number=st.integers(0, ENDPOINTS - 1))
    def refuse_at_endpoint(self, number: int) -> None:
        self.router.record_refusal(f"e{number}", self.now_ms)

    @rule(wait_ms=st.integers(10, 4_000))
    def advance_time(self, wait_ms: int) -> None:
        self.now_ms += wait_ms
        self.apply_decisions(self.router.review(self.now_ms))

    @invariant()
    def retries_stay_within_the_shared_budget(self) -> None:
        since_ms = self.now_ms - WINDOW_MS
        retries = sum(sent_ms >= since_ms for sent_ms in self.retries)
        requests = sum(
            arrived_ms >= since_ms - WINDOW_MS for arrived_ms in self.requests
        )
        assert retries <= SHARE.ratio * requests + SHARE.slack

    @invariant()
    def no_request_waits_past_its_deadline(self) -> None:
        self.apply_decisions(self.router.review(self.now_ms))
        assert all(self.now_ms <= due_ms for due_ms in self.waiting.values())

    @invariant()
    def no_endpoint_has_more_runs_than_its_slots(self) -> None:
        for number in range(ENDPOINTS):
            assert self.running.count(f"e{number}") <= SLOTS

    @invariant()
    def every_endpoint_is_tried_again(self) -> None:
        """No endpoint stays ejected for good, however often all failed together."""
        later_ms = self.now_ms + 6_000.0
        for number in range(ENDPOINTS):
            assert self.directory.may_take(f"e{number}", later_ms)

    def teardown(self) -> None:
        """Once the failures have ended, a request is granted an endpoint."""
        self.now_ms += 10_000.0
        self.apply_decisions(self.router.review(self.now_ms))
        while self.running:
            self.end_runs(20, False)
        self.place_requests(1, 1_000)
        assert self.running


TestSlowdown = SlowdownMachine.TestCase
