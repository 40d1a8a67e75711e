"""The callers' interface to generations and their answers."""

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
from coursekeel.entry.http._late_stream import LateStream
from coursekeel.errors import RequestInvalid
from coursekeel.intents import TeamIntent
from coursekeel.runtime import spawn
from coursekeel.settings import EntrySettings

__all__ = ["CallerApi"]

# A caller whose answer is looked for elsewhere comes back then.
_RETRY_AFTER_MS = 1_000


@define(eq=False)
class CallerApi:
    """Checks callers' requests and connects them with answers."""

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
        """Begin a generation, or go on with the one that has this request id."""
        team = self.gate.admit(request)
        if isinstance(team, Refusal):
            return refuse(request, team)
        try:
            wanted = self._generation(request, team)
        except RequestInvalid as fault:
            return refuse(request, not_run("bad_request", str(fault)))
        if len(wanted.body) > wanted.policy.body_limit_bytes:
            limit = wanted.policy.body_limit_bytes
            text = f"the body is over the class's limit of {limit} bytes"
            return refuse(request, not_run("too_large", text))
        return await self._serve(request, wanted)

    def _generation(self, request: Any, team: TeamIntent) -> GenerationRequest:
        given = caller_key(request)
        if given is not None:
            check_id(given)
        request_id = given or f"{self.settings.instance_id}~{uuid4().hex}"
        # getvalue() shares the buffer's memory; read() would hold photographs twice.
        body = request.content.getvalue()
        return read_generation(
            body,
            team,
            self.gate.configuration.intent,
            request_id,
            given is not None,
            self.settings.limits.max_tokens,
        )

    async def _serve(self, request: Any, wanted: GenerationRequest) -> Any:
        """Find the answer of a keyed request first; begin one where there is none."""
        if "respond-async" in (request.getHeader("prefer") or ""):
            return await self._respond_async(request, wanted)
        held = _last_event_id(request)
        if not self._is_here(wanted) and held is None:
            refusal = self._no_room(wanted)
            if refusal is not None:
                return refuse(request, refusal)
        sink, result = self._sink(request, wanted)
        reader = self._reader(request, wanted.team.name, wanted.request_id, sink, held)
        spawn(self._read(reader, wanted, held), "read_answer", self.readers.reactor)
        return await result

    def _is_here(self, wanted: GenerationRequest) -> bool:
        return self.registry.find(wanted.team.name, wanted.request_id) is not None

    async def _read(
        self, reader: AnswerReader, wanted: GenerationRequest, held: EventId | None
    ) -> None:
        barred = self._barred(wanted)
        # What is ready is given, though nothing more may be run for it.
        looks = held is not None or barred is not None
        if looks and await reader.read():
            return
        if not self._is_here(wanted):
            refusal = barred or self._no_room(wanted)
            if refusal is not None:
                reader.sink.refuse(refusal)
                return
            self.registry.start(wanted)
        if not await reader.read():
            reader.sink.refuse(_not_found())

    def _barred(self, wanted: GenerationRequest) -> Refusal | None:
        """Why nothing may be run for a request under which endpoints ended."""
        barred_ms = self.registry.ports.gate.barred_ms(wanted)
        if not barred_ms:
            return None
        refusal = self._refusal(
            "request_stops_engines", "endpoints ended under this request", wanted.keyed
        )
        return evolve(refusal, retry_after_ms=math.ceil(barred_ms))

    def _no_room(self, wanted: GenerationRequest) -> Refusal | None:
        """Why a new answer can't be taken; what a caller's key did elsewhere counts."""
        team = wanted.team
        mine = [
            each
            for each in self.registry.tasks.values()
            if each.request.team.name == team.name and not each.ended
        ]
        if len(mine) >= team.open_answers_limit:
            text = f"team {team.name} has {len(mine)} open answers, its limit"
            return self._refusal("too_many_open", text, wanted.keyed)
        if not self.registry.has_room(wanted):
            text = "the store is out and no more requests can be kept for it"
            return self._refusal("store_unavailable", text, wanted.keyed)
        return None

    def _refusal(self, code: str, text: str, keyed: bool) -> Refusal:
        run = RunState.UNKNOWN if keyed else RunState.NOT_RUN
        return Refusal(code, text, run, _RETRY_AFTER_MS)

    async def _respond_async(self, request: Any, wanted: GenerationRequest) -> Any:
        """Answer 202 once the request is stored, so that the id is a promise."""
        if not wanted.policy.durable:
            text = "respond-async needs a class whose answers are durable"
            return refuse(request, not_run("bad_request", text))
        task = self.registry.find(wanted.team.name, wanted.request_id)
        if task is None:
            refusal = self._barred(wanted) or self._no_room(wanted)
            if refusal is not None:
                return refuse(request, refusal)
            task = self.registry.start(wanted)
        stored = await self.registry.until_stored(task)
        if not stored:
            self.registry.give_up(task)
            text = "the store can't take the request now"
            refusal = Refusal(
                "store_unavailable", text, RunState.UNKNOWN, _RETRY_AFTER_MS
            )
            return refuse(request, refusal)
        location = f"/v1/answers/{wanted.request_id}"
        request.setHeader("location", location)
        request.setHeader("preference-applied", "respond-async")
        return send_json(request, 202, {"id": wanted.request_id, "follow": location})

    async def follow(self, request: Any, request_id: str) -> Any:
        """Read an answer that was begun before, here or at another entry."""
        team = self.gate.admit(request)
        if isinstance(team, Refusal):
            return refuse(request, team)
        held = _last_event_id(request)
        accepts = request.getHeader("accept") or ""
        streams = "text/event-stream" in accepts
        sink, result = self._open_sink(request, request_id, "", False, streams)
        reader = self._reader(request, team.name, request_id, sink, held)
        spawn(self._follow(reader), "follow_answer", self.readers.reactor)
        return await result

    async def _follow(self, reader: AnswerReader) -> None:
        if not await reader.read():
            reader.sink.refuse(_not_found())

    async def cancel(self, request: Any, request_id: str) -> Any:
        """Give an answer up; only the entry that drives it can."""
        team = self.gate.identify(request)
        if isinstance(team, Refusal):
            return refuse(request, team)
        task = self.registry.find(team.name, request_id)
        if task is None:
            return refuse(request, _not_found())
        self.registry.give_up(task)
        return send_json(request, 200, {"id": request_id, "state": task.core.state})

    # Streams.

    def _sink(
        self, request: Any, wanted: GenerationRequest
    ) -> tuple[Any, "Deferred[Any]"]:
        return self._open_sink(
            request, wanted.request_id, wanted.model.name, wanted.chat, wanted.stream
        )

    def _open_sink(
        self, request: Any, request_id: str, model: str, chat: bool, streams: bool
    ) -> tuple[Any, "Deferred[Any]"]:
        result: Deferred[Any] = Deferred()
        if not streams:
            request.setHeader("x-request-id", request_id)

            def done(body: Any) -> None:
                if isinstance(body, Refusal):
                    result.callback(refuse(request, body))
                else:
                    result.callback(send_json(request, 200, body))

            connection = connection_of(request)
            return WholeAnswer(connection, request_id, model, chat, done), result
        stream = LateStream(request, request_id, model, chat, self.open_streams, result)
        return stream, result

    def _reader(
        self, request: Any, team: str, request_id: str, sink: Any, held: EventId | None
    ) -> AnswerReader:
        sink.held = held
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
        """Let callers see that their entry lives, though no token comes."""
        for stream in self.open_streams:
            stream.keep_alive()


def _last_event_id(request: Any) -> EventId | None:
    return EventId.parse(request.getHeader("last-event-id") or "")


def _not_found() -> Refusal:
    return Refusal("not_found", "there is no such answer", RunState.UNKNOWN)
