"""The answers that this entry runs, and the storing of durable ones.

Owns the answers by key, the versions of their rows, and the count of prompt bytes that
are not stored yet. Relies on `AnswerStore` for rows and on `JournalTask` for segments.
"""

from attrs import define, evolve, field
from twisted.internet.task import deferLater

from coursekeel.answers import (
    AnswerCore,
    AnswerFenced,
    AnswerRecord,
    Cancelled,
    ExpectedModel,
    Ledger,
    RecordState,
    Started,
    StreamHead,
    answer_key,
)
from coursekeel.entry.answers._answer_store import AnswerStore, ended_already, is_own
from coursekeel.entry.answers._answer_task import AnswerPorts, AnswerTask
from coursekeel.entry.answers._journal_task import JournalTask
from coursekeel.entry.answers._requests import GenerationRequest
from coursekeel.intents import Delivery
from coursekeel.observe import log_event
from coursekeel.reactor import Reactor
from coursekeel.runtime import spawn
from coursekeel.storage import (
    Committed,
    Conflict,
    TransactOutcome,
    Unavailable,
)

__all__ = ["AnswerRegistry"]

# Delay between two attempts to write an answer's row.
_RETRY_S = 1.0
# How long an answer that isn't stored runs on without a reader, so that a caller whose
# connection broke can reconnect.
_RETURN_WINDOW_S = 15.0
# How long an ended answer stays in memory for callers that reconnect.
_ENDED_RETENTION_S = 30.0
# A durable answer with a caller's request id starts without its row after this time, so
# that a slow store doesn't delay the first token.
_STORE_WAIT_S = 0.15
# Interval and number of the polls that wait for a request to be stored: 3 s in all.
_STORED_POLL_S = 0.02
_STORED_POLLS = 150


@define(eq=False)
class _Durable:
    """Storage state of one durable answer that this entry owns."""

    record: AnswerRecord
    version: int = 0
    prompt_bytes: int = 0
    storing_end: bool = False
    end_stored: bool = False


@define(eq=False)
class AnswerRegistry:
    """Starts and finds answers, and stores how they ended. One per entry."""

    reactor: Reactor
    instance_id: str
    ports: AnswerPorts
    store: AnswerStore
    journal: JournalTask
    unstored_limit_bytes: int
    unstored_bytes: int = 0
    tasks: dict[str, AnswerTask] = field(factory=dict)
    _durable: dict[str, _Durable] = field(factory=dict)
    _last_order: int = 0
    _generation_count: int = 0

    # Starting.

    def generation_name(self) -> str:
        """A new generation name; begins with this process incarnation's name."""
        self._generation_count += 1
        return f"{self.journal.incarnation}-{self._generation_count}"

    def has_room(self, request: GenerationRequest) -> bool:
        """Whether the prompt fits into the memory for prompts not stored yet."""
        if not request.policy.durable:
            return True
        return self.unstored_bytes + len(request.body) <= self.unstored_limit_bytes

    def start(self, request: GenerationRequest) -> AnswerTask:
        """Start an answer; a durable one is stored concurrently."""
        ledger = Ledger(self.generation_name())
        task = self._create_task(request, ledger)
        if request.policy.durable:
            self._begin_storing(task)
        if not (request.policy.durable and request.keyed):
            task.handle_event(Started())
        return task

    def _create_task(self, request: GenerationRequest, ledger: Ledger) -> AnswerTask:
        key = answer_key(request.team.name, request.request_id)
        label = f"{request.team.name}/{request.request_id}/{ledger.generation}"
        serves = request.model.serves
        expected = ExpectedModel(serves.model, serves.adapter, serves.version)
        core = AnswerCore(label, expected, request.policy.answer_policy(), ledger)
        task = AnswerTask(request, core, self.ports)
        if request.policy.durable:
            task.end_unstored = True
            task.lease_left_ms = self.journal.right_left_ms
            self.journal.writer.track(key, ledger)
        if request.policy.delivery is Delivery.AFTER_JOURNAL:
            task.journaled_tokens = lambda: self._journaled_tokens(key, task)
        self.tasks[key] = task
        return task

    def _journaled_tokens(self, key: str, task: AnswerTask) -> int:
        """The number of tokens in the journal; all tokens during a store outage."""
        durable = self._durable.get(key)
        if self.journal.store_out or durable is None or durable.end_stored:
            return task.ledger.next_position
        return self.journal.writer.durable_tokens(key)

    def find(self, team: str, request_id: str) -> AnswerTask | None:
        """The answer that this entry runs, or None."""
        return self.tasks.get(answer_key(team, request_id))

    # Storing the request.

    def _begin_storing(self, task: AnswerTask) -> None:
        request = task.request
        self._last_order += 1
        record = AnswerRecord(
            team=request.team.name,
            request_id=request.request_id,
            request_class=request.policy.name,
            owner=self.journal.incarnation,
            epoch=1,
            order=self._last_order,
            generation=task.ledger.generation,
            state=RecordState.RUNNING,
            model=request.model.name,
            first_segment=self.journal.writer.next_segment,
        )
        durable = _Durable(record, prompt_bytes=len(request.body))
        self._durable[record.key] = durable
        self.unstored_bytes += durable.prompt_bytes
        spawn(self._store_request(task, durable), "store_answer", self.reactor)
        if request.keyed:
            self.reactor.callLater(_STORE_WAIT_S, self._start_unstored, task)

    def _start_unstored(self, task: AnswerTask) -> None:
        """Start although the store has not confirmed yet that the id is new."""
        if task.core.state == "waiting" and not task.has_started and not task.ended:
            task.handle_event(Started())

    async def _store_request(self, task: AnswerTask, durable: _Durable) -> None:
        """Store the prompt and the row, with retries until it succeeds."""
        while not task.gone:
            outcome = await self._insert(task.request, durable)
            if isinstance(outcome, Committed):
                durable.version = outcome.versions[durable.record.key]
                self._on_stored(task, durable)
                return
            if isinstance(outcome, Conflict) and durable.record.key in outcome.rows:
                version = is_own(outcome, durable.record)
                if version is None:
                    await self._on_owned_elsewhere(task, durable)
                    return
                durable.version = version
                self._on_stored(task, durable)
                return
            if task.ended and not task.ledger.next_position:
                break
            await self._pause(_RETRY_S)
        self._release_prompt_bytes(durable)

    async def _insert(
        self, request: GenerationRequest, durable: _Durable
    ) -> TransactOutcome:
        if not self.journal.held:
            return Unavailable("this incarnation has no lease yet")
        placed = await self.store.put_prompt(durable.record, request.body)
        if not isinstance(placed, AnswerRecord):
            return placed
        durable.record = placed
        return await self.store.insert(placed)

    def _on_stored(self, task: AnswerTask, durable: _Durable) -> None:
        self._release_prompt_bytes(durable)
        task.stored = True
        if not task.has_started and not task.ended:
            task.handle_event(Started())
        task.wake_followers()
        if task.core.ended:
            self._spawn_store_end(task)

    def _release_prompt_bytes(self, durable: _Durable) -> None:
        self.unstored_bytes -= durable.prompt_bytes
        durable.prompt_bytes = 0

    async def _on_owned_elsewhere(self, task: AnswerTask, durable: _Durable) -> None:
        """Stop the answer: another owner already stored one under this id."""
        self._release_prompt_bytes(durable)
        log_event("answer_is_anothers", request=task.core.label)
        self.fence(durable.record.key, stops_run=True)
        await self.store.drop_prompt(durable.record)

    async def wait_until_stored(self, task: AnswerTask) -> bool:
        """Wait about 3 s for the request to be stored; say whether it is."""
        for _ in range(_STORED_POLLS):
            if task.stored:
                return True
            if task.gone:
                request = task.request
                stored = await self.store.read(request.team.name, request.request_id)
                return isinstance(stored, tuple)
            await self._pause(_STORED_POLL_S)
        return task.stored

    def give_up(self, task: AnswerTask) -> None:
        """Cancel the answer for its caller or an operator."""
        if not task.ended:
            task.handle_event(Cancelled())

    # Adoption.

    def adopt(
        self,
        request: GenerationRequest,
        record: AnswerRecord,
        version: int,
        ledger: Ledger,
        started: Started,
    ) -> AnswerTask:
        """Continue another owner's answer from the tokens in its journal.

        ``version`` is that of the row that this entry wrote to take the answer over.
        """
        task = self._create_task(request, ledger)
        self._durable[record.key] = _Durable(record, version)
        task.stored = True
        task.handle_event(started)
        return task

    def next_order(self) -> int:
        """The position of the next answer in this owner's index."""
        self._last_order += 1
        return self._last_order

    def fence(self, key: str, stops_run: bool = False) -> None:
        """Stop an answer that another entry owns, and redirect its readers.

        ``stops_run`` says that this entry never owned the answer, so its run and its
        segments are discarded. Otherwise they are left to the new owner.
        """
        task = self.tasks.pop(key, None)
        self._durable.pop(key, None)
        if stops_run:
            self.journal.forget(key)
        else:
            self.journal.leave_to_successor(key)
        if task is None:
            return
        task.gone = True
        task.fenced = not stops_run
        task.end_unstored = False
        task.handle_event(Cancelled() if stops_run else AnswerFenced())
        task.wake_followers()

    def on_lease_lost(self) -> None:
        """Fence the stored answers after this incarnation lost its lease.

        Answers that were never stored continue under the new incarnation. Answers whose
        end is stored are still sent to their readers.
        """
        for key, durable in list(self._durable.items()):
            if durable.end_stored:
                del self._durable[key]
            elif self.tasks[key].stored:
                self.fence(key)
            else:
                self._move_to_incarnation(key, durable)

    def _move_to_incarnation(self, key: str, durable: _Durable) -> None:
        self.journal.writer.track(key, self.tasks[key].ledger)
        durable.record = evolve(
            durable.record,
            owner=self.journal.incarnation,
            order=self.next_order(),
            first_segment=self.journal.writer.next_segment,
        )

    # Callbacks of tasks.

    def on_run_opened(
        self, task: AnswerTask, endpoint_id: str, head: StreamHead
    ) -> None:
        """Add an opened run to the journal, so that an adopter can continue it."""
        key = self._key(task)
        if key in self._durable:
            writer = self.journal.writer
            writer.set_run(key, endpoint_id, head.run_id, head.label)

    def on_journal_progress(self, keys: list[str]) -> None:
        """Wake the readers of these answers, or of all if ``keys`` is empty."""
        for key in keys or list(self._durable):
            task = self.tasks.get(key)
            if task is not None:
                task.wake_followers()

    def on_reader_left(self, task: AnswerTask) -> None:
        """Cancel an answer that isn't stored if no reader returns in time."""
        if not task.stored and not task.followers and not task.ended:
            self.reactor.callLater(_RETURN_WINDOW_S, self._cancel_if_unread, task)

    def _cancel_if_unread(self, task: AnswerTask) -> None:
        if not task.followers and not task.stored and not task.ended:
            task.handle_event(Cancelled())

    def ended(self, task: AnswerTask) -> None:
        """Count and store the end of an answer, and remove it later."""
        self._count_ended(task)
        if task.stored and not task.gone:
            self._spawn_store_end(task)
        self.reactor.callLater(_ENDED_RETENTION_S, self._remove, task)

    def _count_ended(self, task: AnswerTask) -> None:
        labels = {"team": task.request.team.name, "class": task.request.policy.name}
        outcome = "moved" if task.gone else task.core.state
        metrics = self.ports.metrics
        metrics.requests.inc({**labels, "outcome": outcome})
        metrics.tokens.add(labels, task.ledger.next_position)
        log_event(
            "answer_ended",
            request=task.core.label,
            outcome=outcome,
            tokens=task.ledger.next_position,
            attempts=len(task.core.attempts),
        )

    def _remove(self, task: AnswerTask) -> None:
        key = self._key(task)
        durable = self._durable.get(key)
        if durable is not None and not durable.end_stored and not task.gone:
            # The end is not stored yet, so the answer must stay in memory.
            self.reactor.callLater(_ENDED_RETENTION_S, self._remove, task)
            return
        if self.tasks.get(key) is task:
            del self.tasks[key]
        self._durable.pop(key, None)
        self.journal.forget(key)

    # Storing the end.

    def _spawn_store_end(self, task: AnswerTask) -> None:
        durable = self._durable.get(self._key(task))
        if durable is not None and not durable.storing_end:
            durable.storing_end = True
            spawn(self._store_end(task, durable), "settle_answer", self.reactor)

    async def _store_end(self, task: AnswerTask, durable: _Durable) -> None:
        """Store how the answer ended; until then another entry may adopt it."""
        key = durable.record.key
        while not task.gone:
            ended = self._ended_record(task, durable.record)
            outcome = await self.store.write_end(ended, durable.version, task.ledger)
            if isinstance(outcome, Committed):
                break
            if isinstance(outcome, Conflict):
                if ended_already(outcome, durable.record):
                    break
                self.fence(key)
                return
            await self._pause(_RETRY_S)
        durable.end_stored = True
        task.end_unstored = False
        # An answer whose end is stored can't be adopted, so sending needs no lease.
        task.lease_left_ms = None
        self.journal.forget(key)
        task.wake_followers()
        await self.store.drop_prompt(durable.record)

    def _ended_record(self, task: AnswerTask, record: AnswerRecord) -> AnswerRecord:
        refusal = task.refusal
        keep_s = task.request.policy.keep_s
        return evolve(
            record,
            state=RecordState(task.core.state),
            prompt="",
            prior=None,
            finish_reason=task.finish_reason,
            error_code=refusal.code if refusal else "",
            held_tokens=task.ledger.next_position,
            expires_at_s=self.ports.clock.wall_s() + keep_s,
        )

    async def _pause(self, seconds: float) -> None:
        await deferLater(self.reactor, seconds)

    def _key(self, task: AnswerTask) -> str:
        return answer_key(task.request.team.name, task.request.request_id)
