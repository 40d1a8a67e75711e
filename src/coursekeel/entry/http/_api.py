"""HTTP interface for callers: generations and their answers."""

import math
from typing import Any
from uuid import uuid4

from attrs import define, evolve, field
from klein import Klein
from twisted.internet.defer import Deferred

from coursekeel.answers import EventId, RunState
from coursekeel.entry.answers._answer_registry import AnswerRegistry
from coursekeel.entry.answers._reader import AnswerReader, ReaderPorts
from coursekeel.entry.answers._requests import GenerationRequest, read_generation
from coursekeel.entry.answers._sinks import Refusal
from coursekeel.entry.http._common import caller_key, not_run, refuse, send_json
from coursekeel.entry.http._event_sinks import EventStream, WholeAnswer
from coursekeel.entry.http._gate import Gate, check_id
from coursekeel.entry.http._guarded_connection import connection_of
from coursekeel.entry.http._lazy_event_stream import LazyEventStream
from coursekeel.errors import RequestInvalid
from coursekeel.intents import TeamIntent
from coursekeel.runtime import spawn
from coursekeel.settings import EntrySettings

__all__ = ["CallerApi"]

# Sent with refusals after which the caller should retry.
_RETRY_AFTER_MS = 1_000


@define(eq=False)
class CallerApi:
    """Validates callers' requests, begins answers and streams them."""

    settings: EntrySettings
    gate: Gate
    registry: AnswerRegistry
    readers: ReaderPorts
    open_streams: set[EventStream] = field(factory=set)

    def routes(self, app: Klein) -> None:
        """Add the callers' routes."""
        app.route("/v1/completions", methods=["POST"])(self.completions)
        app.route("/v1/chat/completions", methods=["POST"])(self.completions)
        app.route("/v1/answers/<request_id>", methods=["GET"])(self.follow)
        app.route("/v1/answers/<request_id>", methods=["DELETE"])(self.cancel)

    # Generations.

    async def completions(self, request: Any) -> Any:
        """Begin a generation, or continue the one that has this request id."""
        team = self.gate.admit(request)
        if isinstance(team, Refusal):
            return refuse(request, team)
        try:
            generation = self._parse_generation(request, team)
        except RequestInvalid as fault:
            return refuse(request, not_run("bad_request", str(fault)))
        if len(generation.body) > generation.policy.body_limit_bytes:
            limit = generation.policy.body_limit_bytes
            text = f"the body is over the class's limit of {limit} bytes"
            return refuse(request, not_run("too_large", text))
        return await self._serve(request, generation)

    def _parse_generation(self, request: Any, team: TeamIntent) -> GenerationRequest:
        key = caller_key(request)
        if key is not None:
            check_id(key)
        request_id = key or f"{self.settings.instance_id}~{uuid4().hex}"
        # getvalue() shares the buffer's memory; read() would copy large bodies.
        body = request.content.getvalue()
        return read_generation(
            body,
            team,
            self.gate.configuration.intent,
            request_id,
            key is not None,
            self.settings.limits.max_tokens,
        )

    async def _serve(self, request: Any, generation: GenerationRequest) -> Any:
        """Serve the answer of a request; begin one if none exists anywhere."""
        if "respond-async" in (request.getHeader("prefer") or ""):
            return await self._respond_async(request, generation)
        last_event_id = _last_event_id(request)
        if not self._is_local(generation) and last_event_id is None:
            refusal = self._limit_refusal(generation)
            if refusal is not None:
                return refuse(request, refusal)
        sink, result = self._generation_sink(request, generation)
        reader = self._make_reader(
            request, generation.team.name, generation.request_id, sink, last_event_id
        )
        spawn(
            self._serve_answer(reader, generation, last_event_id),
            "read_answer",
            self.readers.reactor,
        )
        return await result

    def _is_local(self, generation: GenerationRequest) -> bool:
        return (
            self.registry.find(generation.team.name, generation.request_id) is not None
        )

    async def _serve_answer(
        self,
        reader: AnswerReader,
        generation: GenerationRequest,
        last_event_id: EventId | None,
    ) -> None:
        quarantine_refusal = self._quarantine_refusal(generation)
        # An existing answer is served even if the request is barred from running.
        may_exist = last_event_id is not None or quarantine_refusal is not None
        if may_exist and await reader.read():
            return
        if not self._is_local(generation):
            refusal = quarantine_refusal or self._limit_refusal(generation)
            if refusal is not None:
                reader.sink.refuse(refusal)
                return
            self.registry.start(generation)
        if not await reader.read():
            reader.sink.refuse(_not_found())

    def _quarantine_refusal(self, generation: GenerationRequest) -> Refusal | None:
        """The refusal of a request that is barred after crashes; None if it isn't."""
        barred_ms = self.registry.ports.gate.barred_ms(generation)
        if not barred_ms:
            return None
        refusal = self._make_refusal(
            "request_stops_engines",
            "endpoints ended under this request",
            generation.keyed,
        )
        return evolve(refusal, retry_after_ms=math.ceil(barred_ms))

    def _limit_refusal(self, generation: GenerationRequest) -> Refusal | None:
        """The refusal of a request that would exceed a limit; None if it doesn't."""
        team = generation.team
        open_tasks = [
            task
            for task in self.registry.tasks.values()
            if task.request.team.name == team.name and not task.ended
        ]
        if len(open_tasks) >= team.open_answers_limit:
            text = f"team {team.name} has {len(open_tasks)} open answers, its limit"
            return self._make_refusal("too_many_open", text, generation.keyed)
        if not self.registry.has_room(generation):
            text = "the store is out and no more requests can be kept for it"
            return self._make_refusal("store_unavailable", text, generation.keyed)
        return None

    def _make_refusal(self, code: str, text: str, keyed: bool) -> Refusal:
        run = RunState.UNKNOWN if keyed else RunState.NOT_RUN
        return Refusal(code, text, run, _RETRY_AFTER_MS)

    async def _respond_async(self, request: Any, generation: GenerationRequest) -> Any:
        """Answer 202 once the request is stored; its answer can be read later."""
        if not generation.policy.durable:
            text = "respond-async needs a class whose answers are durable"
            return refuse(request, not_run("bad_request", text))
        task = self.registry.find(generation.team.name, generation.request_id)
        if task is None:
            refusal = self._quarantine_refusal(generation) or self._limit_refusal(
                generation
            )
            if refusal is not None:
                return refuse(request, refusal)
            task = self.registry.start(generation)
        stored = await self.registry.wait_until_stored(task)
        if not stored:
            self.registry.give_up(task)
            text = "the store can't take the request now"
            refusal = Refusal(
                "store_unavailable", text, RunState.UNKNOWN, _RETRY_AFTER_MS
            )
            return refuse(request, refusal)
        location = f"/v1/answers/{generation.request_id}"
        request.setHeader("location", location)
        request.setHeader("preference-applied", "respond-async")
        return send_json(
            request, 202, {"id": generation.request_id, "follow": location}
        )

    async def follow(self, request: Any, request_id: str) -> Any:
        """Read an existing answer, of this entry or another one."""
        team = self.gate.admit(request)
        if isinstance(team, Refusal):
            return refuse(request, team)
        last_event_id = _last_event_id(request)
        accepts = request.getHeader("accept") or ""
        wants_stream = "text/event-stream" in accepts
        sink, result = self._make_sink(request, request_id, "", False, wants_stream)
        reader = self._make_reader(request, team.name, request_id, sink, last_event_id)
        spawn(self._serve_existing(reader), "follow_answer", self.readers.reactor)
        return await result

    async def _serve_existing(self, reader: AnswerReader) -> None:
        if not await reader.read():
            reader.sink.refuse(_not_found())

    async def cancel(self, request: Any, request_id: str) -> Any:
        """Cancel an answer; not found if another entry owns it."""
        team = self.gate.identify(request)
        if isinstance(team, Refusal):
            return refuse(request, team)
        task = self.registry.find(team.name, request_id)
        if task is None:
            return refuse(request, _not_found())
        self.registry.give_up(task)
        return send_json(request, 200, {"id": request_id, "state": task.core.state})

    # Streams.

    def _generation_sink(
        self, request: Any, generation: GenerationRequest
    ) -> tuple[Any, "Deferred[Any]"]:
        return self._make_sink(
            request,
            generation.request_id,
            generation.model.name,
            generation.chat,
            generation.stream,
        )

    def _make_sink(
        self, request: Any, request_id: str, model: str, chat: bool, wants_stream: bool
    ) -> tuple[Any, "Deferred[Any]"]:
        result: Deferred[Any] = Deferred()
        if not wants_stream:
            request.setHeader("x-request-id", request_id)

            def done(body: Any) -> None:
                if isinstance(body, Refusal):
                    result.callback(refuse(request, body))
                else:
                    result.callback(send_json(request, 200, body))

            connection = connection_of(request)
            return WholeAnswer(connection, request_id, model, chat, done), result
        stream = LazyEventStream(
            request, request_id, model, chat, self.open_streams, result
        )
        return stream, result

    def _make_reader(
        self,
        request: Any,
        team: str,
        request_id: str,
        sink: Any,
        last_event_id: EventId | None,
    ) -> AnswerReader:
        sink.held = last_event_id
        reader = AnswerReader(self.readers, team, request_id, sink)
        self.gate.open_requests += 1
        finished = request.notifyFinish()
        connection = connection_of(request)

        def closed(_: object) -> None:
            self.gate.open_requests -= 1
            connection.release()
            sink.over = True
            reader.sink_closed()

        finished.addBoth(closed)
        return reader

    def keep_alive(self) -> None:
        """Write a keep-alive comment to each open stream."""
        for stream in self.open_streams:
            stream.keep_alive()


def _last_event_id(request: Any) -> EventId | None:
    return EventId.parse(request.getHeader("last-event-id") or "")


def _not_found() -> Refusal:
    return Refusal("not_found", "there is no such answer", RunState.UNKNOWN)
