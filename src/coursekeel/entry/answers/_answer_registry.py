"""Every answer that this entry drives, and how durable ones are kept and settled.

Owns the answers by key, their rows' versions, and how many bytes of prompts the store
doesn't hold yet. Relies on `AnswerStore` for rows and on `JournalTask` for segments.
"""

from attrs import define, evolve, field
from twisted.internet.task import deferLater

from coursekeel.answers import (
    AnswerCore,
    AnswerRecord,
    Cancelled,
    Expected,
    Fenced,
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

# Between two tries to write an answer's row.
_RETRY_S = 1.0
# How long an answer without a caller runs on when it isn't durable: callers that lost
# their connection come back within seconds.
_RETURN_WINDOW_S = 15.0
# How long an ended answer is kept here for callers that come back for its rest.
_KEPT_AFTER_END_S = 30.0
# A durable answer with the caller's key begins without its row after so long, so that a
# first token doesn't wait for a slow store.
_CLAIM_WAIT_S = 0.15
# How often, and how many times (3 s in all), it is looked whether a request stands in
# the store.
_STORED_LOOK_S = 0.02
_STORED_LOOKS = 150  # see above


@define(eq=False)
class _Durable:
    """Book-keeping of one durable answer that this entry owns."""

    record: AnswerRecord
    version: int = 0
    prompt_bytes: int = 0
    settling: bool = False
    settled: bool = False


@define(eq=False)
class AnswerRegistry:
    """Starts, finds and settles answers. One entry has one."""

    reactor: Reactor
    instance_id: str
    ports: AnswerPorts
    store: AnswerStore
    journal: JournalTask
    unstored_limit_bytes: int
    unstored_bytes: int = 0
    tasks: dict[str, AnswerTask] = field(factory=dict)
    _durable: dict[str, _Durable] = field(factory=dict)
    _orders: int = 0
    _generations: int = 0

    # Starting.

    def generation_name(self) -> str:
        """A name for a new generation that tells which incarnation made it."""
        self._generations += 1
        return f"{self.journal.incarnation}-{self._generations}"

    def has_room(self, request: GenerationRequest) -> bool:
        """Say whether a durable request's prompt may still wait for the store."""
        if not request.policy.durable:
            return True
        return self.unstored_bytes + len(request.body) <= self.unstored_limit_bytes

    def start(self, request: GenerationRequest) -> AnswerTask:
        """Begin an answer; a durable one is stored beside, not before."""
        ledger = Ledger(self.generation_name())
        task = self._task(request, ledger)
        if request.policy.durable:
            self._keep(task)
        if not (request.policy.durable and request.keyed):
            task.tell(Started())
        return task

    def _task(self, request: GenerationRequest, ledger: Ledger) -> AnswerTask:
        key = answer_key(request.team.name, request.request_id)
        label = f"{request.team.name}/{request.request_id}/{ledger.generation}"
        serves = request.model.serves
        expected = Expected(serves.model, serves.adapter, serves.version)
        core = AnswerCore(label, expected, request.policy.answer_policy(), ledger)
        task = AnswerTask(request, core, self.ports)
        if request.policy.durable:
            task.unsettled = True
            task.durable_right_ms = self.journal.right_left_ms
            self.journal.writer.track(key, ledger)
        if request.policy.delivery is Delivery.AFTER_JOURNAL:
            task.journal_end = lambda: self._journal_end(key, task)
        self.tasks[key] = task
        return task

    def _journal_end(self, key: str, task: AnswerTask) -> int:
        """In a store outage tokens leave at once, as the class's page says."""
        durable = self._durable.get(key)
        if self.journal.store_out or durable is None or durable.settled:
            return task.ledger.next_position
        return self.journal.writer.durable_tokens(key)

    def find(self, team: str, request_id: str) -> AnswerTask | None:
        """An answer that this entry drives."""
        return self.tasks.get(answer_key(team, request_id))

    # Keeping.

    def _keep(self, task: AnswerTask) -> None:
        request = task.request
        self._orders += 1
        record = AnswerRecord(
            team=request.team.name,
            request_id=request.request_id,
            request_class=request.policy.name,
            owner=self.journal.incarnation,
            epoch=1,
            order=self._orders,
            generation=task.ledger.generation,
            state=RecordState.RUNNING,
            model=request.model.name,
            first_segment=self.journal.writer.next_segment,
        )
        durable = _Durable(record, prompt_bytes=len(request.body))
        self._durable[record.key] = durable
        self.unstored_bytes += durable.prompt_bytes
        spawn(self._store(task, durable), "store_answer", self.reactor)
        if request.keyed:
            self.reactor.callLater(_CLAIM_WAIT_S, self._start_anyway, task)

    def _start_anyway(self, task: AnswerTask) -> None:
        """The store is slow to say whether the id is new: serving doesn't wait."""
        if task.core.state == "waiting" and not task.begun and not task.ended:
            task.tell(Started())

    async def _store(self, task: AnswerTask, durable: _Durable) -> None:
        """Put prompt and row in the store, however long that takes."""
        while not task.gone:
            outcome = await self._insert(task.request, durable)
            if isinstance(outcome, Committed):
                durable.version = outcome.versions[durable.record.key]
                self._is_stored(task, durable)
                return
            if isinstance(outcome, Conflict) and durable.record.key in outcome.rows:
                version = is_own(outcome, durable.record)
                if version is None:
                    await self._is_anothers(task, durable)
                    return
                durable.version = version
                self._is_stored(task, durable)
                return
            if task.ended and not task.ledger.next_position:
                break
            await self._pause(_RETRY_S)
        self._forget_prompt(durable)

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

    def _is_stored(self, task: AnswerTask, durable: _Durable) -> None:
        self._forget_prompt(durable)
        task.stored = True
        if not task.begun and not task.ended:
            task.tell(Started())
        task.wake_followers()
        if task.core.ended:
            self._settle_soon(task)

    def _forget_prompt(self, durable: _Durable) -> None:
        self.unstored_bytes -= durable.prompt_bytes
        durable.prompt_bytes = 0

    async def _is_anothers(self, task: AnswerTask, durable: _Durable) -> None:
        """The id is taken: the first one's answer is the answer."""
        self._forget_prompt(durable)
        log_event("answer_is_anothers", request=task.core.label)
        self.fence(durable.record.key, stops_run=True)
        await self.store.drop_prompt(durable.record)

    async def until_stored(self, task: AnswerTask) -> bool:
        """Wait for the store, for a while; say whether the request is safe."""
        for _ in range(_STORED_LOOKS):
            if task.stored:
                return True
            if task.gone:
                request = task.request
                found = await self.store.read(request.team.name, request.request_id)
                return isinstance(found, tuple)
            await self._pause(_STORED_LOOK_S)
        return task.stored

    def give_up(self, task: AnswerTask) -> None:
        """The caller or an operator gave the answer up."""
        if not task.ended:
            task.tell(Cancelled())

    # Adoption.

    def adopt(
        self,
        request: GenerationRequest,
        record: AnswerRecord,
        version: int,
        ledger: Ledger,
        started: Started,
    ) -> AnswerTask:
        """Drive an answer that was another's, from the tokens its journal holds."""
        task = self._task(request, ledger)
        self._durable[record.key] = _Durable(record, version)
        task.stored = True
        task.tell(started)
        return task

    def next_order(self) -> int:
        """The place of the next answer in this owner's index."""
        self._orders += 1
        return self._orders

    def fence(self, key: str, stops_run: bool = False) -> None:
        """Another entry owns the answer: stop, and send its readers away.

        With ``stops_run`` it always was another's: nobody needs what was made here.
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
        task.unsettled = False
        task.tell(Cancelled() if stops_run else Fenced())
        task.wake_followers()

    def incarnation_lost(self) -> None:
        """The lease is another's, and with it every answer that stands in the table.

        What the table never held is nobody else's: it goes on under the new name. Nor
        is what ended there: its readers get its rest.
        """
        for key, durable in list(self._durable.items()):
            if durable.settled:
                del self._durable[key]
            elif self.tasks[key].stored:
                self.fence(key)
            else:
                self._own_anew(key, durable)

    def _own_anew(self, key: str, durable: _Durable) -> None:
        self.journal.writer.track(key, self.tasks[key].ledger)
        durable.record = evolve(
            durable.record,
            owner=self.journal.incarnation,
            order=self.next_order(),
            first_segment=self.journal.writer.next_segment,
        )

    # Events of tasks.

    def run_known(self, task: AnswerTask, endpoint_id: str, head: StreamHead) -> None:
        """A stream opened: an adopter should know of it."""
        key = self._key(task)
        if key in self._durable:
            writer = self.journal.writer
            writer.runs_at(key, endpoint_id, head.run_id, head.label)

    def journal_gained(self, keys: list[str]) -> None:
        """The journal holds more of these answers, or may speak again for all."""
        for key in keys or list(self._durable):
            task = self.tasks.get(key)
            if task is not None:
                task.wake_followers()

    def left(self, task: AnswerTask) -> None:
        """A reader left: an answer that isn't durable ends when nobody returns."""
        if not task.stored and not task.followers and not task.ended:
            self.reactor.callLater(_RETURN_WINDOW_S, self._nobody_returned, task)

    def _nobody_returned(self, task: AnswerTask) -> None:
        if not task.followers and not task.stored and not task.ended:
            task.tell(Cancelled())

    def ended(self, task: AnswerTask) -> None:
        """An answer came to its end."""
        self._count(task)
        if task.stored and not task.gone:
            self._settle_soon(task)
        self.reactor.callLater(_KEPT_AFTER_END_S, self._drop, task)

    def _count(self, task: AnswerTask) -> None:
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

    def _drop(self, task: AnswerTask) -> None:
        key = self._key(task)
        durable = self._durable.get(key)
        if durable is not None and not durable.settled and not task.gone:
            # What the store doesn't hold yet stays here, however long that takes.
            self.reactor.callLater(_KEPT_AFTER_END_S, self._drop, task)
            return
        if self.tasks.get(key) is task:
            del self.tasks[key]
        self._durable.pop(key, None)
        self.journal.forget(key)

    # Settling.

    def _settle_soon(self, task: AnswerTask) -> None:
        durable = self._durable.get(self._key(task))
        if durable is not None and not durable.settling:
            durable.settling = True
            spawn(self._settle(task, durable), "settle_answer", self.reactor)

    async def _settle(self, task: AnswerTask, durable: _Durable) -> None:
        """Write how the answer ended; until then another may still adopt it."""
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
        durable.settled = True
        task.unsettled = False
        # How it ended stands in the table: nobody can take it over any more.
        task.durable_right_ms = None
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
