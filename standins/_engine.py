"""A model engine that batches, queues, resumes streams, and fails on request."""

import os
import random
import time
from typing import Any

import orjson
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from standins._copies import CopySender, KeptCopies
from standins._service import CRASH_S
from standins._tokens import SALTS, Chain, prompt_digest, text_of


class EngineSpeed:
    def __init__(
        self,
        gap_ms: float,
        prefill_ms: float,
        prefill_ms_per_token: float,
        slots: int,
        queue: int,
        phases: int = 1,
        stamps: bool = False,
    ) -> None:
        self.phases = phases
        self.stamps = stamps
        self.gap_ms = gap_ms
        self.prefill_ms = prefill_ms
        self.prefill_ms_per_token = prefill_ms_per_token
        self.slots = slots
        self.queue = queue


class Run:
    """One generation on this engine; it goes on for a while without a reader."""

    def __init__(self, run_id: str, order: dict[str, Any], salt: int) -> None:
        self.run_id = run_id
        self.order = order
        request = order["request"]
        self.start = len(order["prefix_tokens"])
        self.prompt_tokens = int(order.get("prompt_tokens", 0))
        self.copied_tokens = 0
        self.limit = int(request.get("max_tokens", 16))
        self.chain = Chain(
            prompt_digest(request), request.get("seed", 0), order["prefix_tokens"]
        )
        self.salt = salt
        self.tokens: list[int] = []
        self.reader: Any = None
        self.cursor = 0
        self.head: dict[str, Any] = {}
        self.prefilled = False
        self.phase = 0

    @property
    def position(self) -> int:
        return self.start + len(self.tokens)

    @property
    def finished(self) -> bool:
        return self.position >= self.limit

    def step(self) -> None:
        token = self.chain.next_token(self.salt)
        self.chain.extend(token)
        self.tokens.append(token)


class Engine:
    """Everything one engine process holds."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        serves: tuple[str, str, str],
        speed: EngineSpeed,
        seed: int | None,
        checks_epochs: bool,
    ) -> None:
        self.reactor = reactor
        self.name = name
        self.model, self.adapter, self.version = serves
        self.speed = speed
        self.random = random.Random(seed)
        self.checks_epochs = checks_epochs
        self.incarnation = f"{os.getpid()}"
        self.leaving = False
        self.role = "mixed"
        self.highest_epoch: dict[str, int] = {}
        self.orders: list[dict[str, Any]] = []
        self.runs: dict[str, Run] = {}
        self.queue: list[Run] = []
        self.active: list[Run] = []
        self.cached: set[tuple[str, int]] = set()
        self.counters = {
            "generated_tokens": 0,
            "prefilled_tokens": 0,
            "copied_tokens": 0,
            "runs": 0,
            "cancelled": 0,
            "refused": 0,
        }
        self.kept = KeptCopies(reactor)
        self.sender = CopySender(reactor, self.counters)
        self.faults: dict[str, Any] = {}
        self.app = _routes(self)
        self.ticks = 0
        step_s = speed.gap_ms / 1000 / speed.phases
        LoopingCall(self.tick).start(step_s, now=False)

    def admit(self, order: dict[str, Any]) -> Run | None:
        if len(self.queue) >= self.speed.queue:
            self.counters["refused"] += 1
            return None
        copied = 0
        if order.get("copy_of"):
            taken = self.kept.take(order["copy_of"])
            if taken is None:
                self.counters["refused"] += 1
                return None
            copied = taken
        self.counters["runs"] += 1
        run_id = f"{self.incarnation}-{self.counters['runs']}"
        run = Run(run_id, order, self.random.randrange(SALTS))
        run.copied_tokens = copied
        if order.get("copy_to"):
            self.sender.follow(run, order["copy_to"])
        run.phase = self.counters["runs"] % self.speed.phases
        self.runs[run_id] = run
        self.queue.append(run)
        self._start_queued()
        return run

    def _start_queued(self) -> None:
        self.queue.sort(key=lambda run: -int(run.order.get("priority", 0)))
        while self.queue and len(self.active) < self.speed.slots:
            run = self.queue.pop(0)
            self.active.append(run)
            self.reactor.callLater(self._prefill_s(run), self._prefilled, run)

    def _prefill_s(self, run: Run) -> float:
        prompt = prompt_digest(run.order["request"])
        key = (str(run.order.get("cache_salt", "")), prompt)
        count = run.prompt_tokens + run.start
        uncached = run.start if key in self.cached else count
        if run.copied_tokens:
            uncached = max(count - run.copied_tokens, 0)
        self.cached.add(key)
        self.counters["prefilled_tokens"] += uncached
        return (
            self.speed.prefill_ms + uncached * self.speed.prefill_ms_per_token
        ) / 1000

    def _prefilled(self, run: Run) -> None:
        text = self.faults.get("crashed_by")
        if text and text in str(run.order["request"].get("prompt")):
            self.reactor.callLater(CRASH_S, os._exit, 137)
            return
        run.prefilled = True

    def tick(self) -> None:
        if self.faults.get("frozen"):
            return
        self.ticks += 1
        phase = self.ticks % self.speed.phases
        for run in list(self.active):
            if not run.prefilled or run.phase != phase:
                continue
            if not run.finished:
                run.step()
                self.counters["generated_tokens"] += 1
            self.feed(run)
            if run.finished:
                self._retire(run)
        self._start_queued()

    def _retire(self, run: Run) -> None:
        if run in self.active:
            self.active.remove(run)
        self.sender.forget(run.run_id)
        self.reactor.callLater(30, self.runs.pop, run.run_id, None)

    def cancel(self, run: Run) -> None:
        self.counters["cancelled"] += 1
        self.sender.forget(run.run_id)
        self.runs.pop(run.run_id, None)
        if run in self.queue:
            self.queue.remove(run)
        if run in self.active:
            self.active.remove(run)
        run.reader = None

    def attach(self, run: Run, request: Any, position: int) -> Deferred[None]:
        done: Deferred[None] = Deferred()
        request.notifyFinish().addErrback(lambda _: self._detach(run, request))
        request.setHeader("content-type", "application/x-ndjson")
        run.reader = request
        run.done = done
        run.cursor = position
        head = {
            "run_id": run.run_id,
            "for": run.order["for"],
            "model": self.faults.get("claims_model", self.model),
            "adapter": self.adapter,
            "version": self.faults.get("claims_version", self.version),
            "incarnation": self.incarnation,
            "from": position,
        }
        run.head = head
        if self.faults.pop("cross_next_head", None):
            head = {**head, "for": "somebody/else/1"}
        _write_line(request, {"head": head})
        return done

    def _detach(self, run: Run, request: Any) -> None:
        if run.reader is request:
            run.reader = None

    def feed(self, run: Run) -> None:
        """Write what the reader has not had, with the faults that are set."""
        if run.reader is None:
            return
        first = run.cursor - run.start
        fresh = run.tokens[first:]
        if fresh:
            self._write_tokens(run, run.cursor, fresh)
            run.cursor = run.position
        if run.finished:
            self._finish(run)

    def _write_tokens(self, run: Run, position: int, tokens: list[int]) -> None:
        line = {
            "r": run.run_id,
            "p": position,
            "t": tokens,
            "s": self._texts(tokens),
        }
        if self._due("skip_at", position):
            return
        if self._due("cut_at", position):
            _abort(run)
            return
        if self._due("die_at", position):
            os._exit(137)
        if self._due("cross_at", position):
            head = {**run.head, "for": "somebody/else/1", "from": 0}
            _write_line(run.reader, {"head": head})
        if self._due("cross_line_at", position):
            _write_line(run.reader, {**line, "r": "another", "t": [1], "s": ["?"]})
        if self._due("reorder_at", position):
            later = dict(line, p=position + len(tokens))
            _write_line(run.reader, later)
        _write_line(run.reader, line)
        if self._due("repeat_at", position):
            _write_line(run.reader, line)

    def _texts(self, tokens: list[int]) -> list[str]:
        """With stamps a token's text is the moment it was written, in microseconds."""
        if self.speed.stamps:
            return [f" {time.monotonic_ns() // 1000}"] * len(tokens)
        return [text_of(each) for each in tokens]

    def _due(self, fault: str, position: int) -> bool:
        at = self.faults.get(fault)
        if at is None or position < at:
            return False
        del self.faults[fault]
        return True

    def _finish(self, run: Run) -> None:
        reader, run.reader = run.reader, None
        if not self.faults.pop("no_finish_marker", None):
            _write_line(
                reader, {"r": run.run_id, "finish": "length", "p": run.position}
            )
        run.done.callback(None)

    def status(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "leaving": self.leaving,
            "role": self.role,
            "models": [[self.model, self.adapter, self.version]],
            "running": len(self.active),
            "queued": len(self.queue),
            "slots": self.speed.slots,
            "epochs": self.highest_epoch,
            "kept_tokens": self.kept.tokens,
            "counters": self.counters,
        }

    def obey(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Carry out an absolute order; refuse an old epoch if this engine checks."""
        group, epoch = str(order["group"]), int(order["epoch"])
        highest = self.highest_epoch.get(group, 0)
        if self.checks_epochs and epoch < highest:
            return 409, {"refused": "old epoch", "highest": highest}
        self.highest_epoch[group] = max(epoch, highest)
        self.orders.append(order)
        if order["order"] == "load":
            self.model, self.adapter, self.version = order["serves"]
        if order["order"] == "role":
            self.role = order["role"]
        return 200, {"obeyed": True}


def _abort(run: Run) -> None:
    reader, run.reader = run.reader, None
    reader.transport.abortConnection()


def _write_line(request: Any, line: dict[str, Any]) -> None:
    request.write(orjson.dumps(line) + b"\n")


def _routes(engine: Engine) -> Klein:
    app = Klein()

    @app.route("/generate", methods=["POST"])
    def generate(request: Any) -> Any:
        run = engine.admit(orjson.loads(request.content.read()))
        if run is None:
            request.setResponseCode(429)
            return b""
        return engine.attach(run, request, run.start)

    @app.route("/streams/<run_id>", methods=["GET"])
    def resume(request: Any, run_id: str) -> Any:
        run = engine.runs.get(run_id)
        position = int(request.args[b"from"][0])
        if run is None or not run.start <= position <= run.position:
            request.setResponseCode(404)
            return b""
        done = engine.attach(run, request, position)
        if run.finished:
            engine.reactor.callLater(0, engine.feed, run)
        return done

    @app.route("/streams/<run_id>", methods=["DELETE"])
    def cancel(request: Any, run_id: str) -> bytes:
        run = engine.runs.get(run_id)
        if run is not None:
            engine.cancel(run)
        return b"{}"

    @app.route("/copies/<run_id>", methods=["POST"])
    def keep_copy(request: Any, run_id: str) -> bytes:
        engine.kept.put(run_id, int(orjson.loads(request.content.read())["tokens"]))
        return b"{}"

    @app.route("/copies/<run_id>", methods=["DELETE"])
    def drop_copy(request: Any, run_id: str) -> bytes:
        engine.kept.drop(run_id)
        return b"{}"

    @app.route("/status")
    def status(request: Any) -> bytes:
        return orjson.dumps(engine.status())

    @app.route("/orders", methods=["POST"])
    def orders(request: Any) -> bytes:
        code, answer = engine.obey(orjson.loads(request.content.read()))
        request.setResponseCode(code)
        return orjson.dumps(answer)

    @app.route("/orders", methods=["GET"])
    def past_orders(request: Any) -> bytes:
        return orjson.dumps(engine.orders)

    @app.route("/control/faults", methods=["POST"])
    def faults(request: Any) -> bytes:
        engine.faults.update(orjson.loads(request.content.read()))
        if engine.faults.pop("cut_all", None):
            for run in list(engine.active):
                if run.reader is not None:
                    _abort(run)
        engine.leaving = bool(engine.faults.get("leaving", engine.leaving))
        return orjson.dumps(engine.faults)

    return app
