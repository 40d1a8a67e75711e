"""The callers' interface: generations, answers, and calls to services."""

from typing import Any
from uuid import uuid4

from attrs import define, field
from klein import Klein
from twisted.internet.defer import Deferred

from coursekeel.answers import EventId, RunState
from coursekeel.calls import CallReply
from coursekeel.entry._answers_desk import AnswersDesk
from coursekeel.entry._calls_task import CallRequest, CallsTask
from coursekeel.entry._configuration_task import ConfigurationTask
from coursekeel.entry._http_common import not_run, refuse, send_json, team_of
from coursekeel.entry._http_sinks import EventStream, WholeAnswer
from coursekeel.entry._periodic import spawn
from coursekeel.entry._reader import AnswerReader, ReaderPorts
from coursekeel.entry._requests import GenerationRequest, read_generation
from coursekeel.entry._sinks import Refusal
from coursekeel.errors import RequestInvalid
from coursekeel.intents import ClassPolicy, TeamIntent
from coursekeel.observe import Metrics
from coursekeel.settings import EntrySettings

__all__ = ["CallerApi"]

_ID_LIMIT = 128
_RETRY_AFTER_MS = 1_000
_CALL_MESSAGES = {
    "in_progress": "a call with this key is under way, or its entry died in it",
    "key_reused": "this key was used for another call",
    "refused_before": "a call with this key was refused; use a new key",
    "answer_lost": "the call was sent and its answer was lost",
    "store_unavailable": "the store can't be asked whether the key is new",
    "claim_unsure": "whether the key is new can't be settled now",
    "no_endpoint": "no endpoint of the service takes calls now",
}


@define(eq=False)
class CallerApi:
    """Checks callers' requests and connects them with answers and calls."""

    settings: EntrySettings
    configuration: ConfigurationTask
    desk: AnswersDesk
    calls: CallsTask
    readers: ReaderPorts
    metrics: Metrics
    draining: bool = False
    open_streams: set[EventStream] = field(factory=set)
    _open_requests: int = 0

    @property
    def busy(self) -> int:
        """How many callers' requests are under way."""
        return self._open_requests

    def routes(self, app: Klein) -> None:
        """Add the callers' routes."""
        app.route("/v1/completions", methods=["POST"])(self.completions)
        app.route("/v1/chat/completions", methods=["POST"])(self.completions)
        app.route("/v1/answers/<request_id>", methods=["GET"])(self.follow)
        app.route("/v1/answers/<request_id>", methods=["DELETE"])(self.cancel)
        every = ["GET", "POST", "PUT", "PATCH", "DELETE"]
        app.route("/services/<service>/<path:path>", methods=every)(self.service)

    # Generations.

    async def completions(self, request: Any) -> Any:
        """Begin a generation, or go on with the one that has this request id."""
        turned_away = self._turned_away(request)
        if turned_away is not None:
            return refuse(request, turned_away)
        team = team_of(request, self.configuration.intent)
        if team is None:
            return refuse(request, _bad_key())
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
        given = request.getHeader("idempotency-key") or request.getHeader(
            "x-request-id"
        )
        if given is not None:
            _check_id(given)
        request_id = given or f"{self.settings.instance_id}~{uuid4().hex}"
        # getvalue() shares the buffer's memory; read() would hold photographs twice.
        body = request.content.getvalue()
        return read_generation(
            body,
            team,
            self.configuration.intent,
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
        return self.desk.find(wanted.team.name, wanted.request_id) is not None

    async def _read(
        self, reader: AnswerReader, wanted: GenerationRequest, held: EventId | None
    ) -> None:
        if held is not None and await reader.read():
            return
        if not self._is_here(wanted):
            refusal = self._no_room(wanted)
            if refusal is not None:
                reader.sink.refuse(refusal)
                return
            self.desk.start(wanted)
        if not await reader.read():
            reader.sink.refuse(_not_found())

    def _no_room(self, wanted: GenerationRequest) -> Refusal | None:
        """Why a new answer can't be taken; what a caller's key did elsewhere counts."""
        team = wanted.team
        mine = [
            each
            for each in self.desk.tasks.values()
            if each.request.team.name == team.name and not each.ended
        ]
        if len(mine) >= team.open_answers_limit:
            text = f"team {team.name} has {len(mine)} open answers, its limit"
            return self._refusal("too_many_open", text, wanted.keyed)
        if not self.desk.has_room(wanted):
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
        task = self.desk.find(wanted.team.name, wanted.request_id)
        if task is None:
            refusal = self._no_room(wanted)
            if refusal is not None:
                return refuse(request, refusal)
            task = self.desk.start(wanted)
        stored = await self.desk.until_stored(task)
        if not stored:
            self.desk.give_up(task)
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
        turned_away = self._turned_away(request)
        if turned_away is not None:
            return refuse(request, turned_away)
        team = team_of(request, self.configuration.intent)
        if team is None:
            return refuse(request, _bad_key())
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
        team = team_of(request, self.configuration.intent)
        if team is None:
            return refuse(request, _bad_key())
        task = self.desk.find(team.name, request_id)
        if task is None:
            return refuse(request, _not_found())
        self.desk.give_up(task)
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

            return WholeAnswer(request_id, model, chat, done), result
        stream = _LateStream(request, request_id, model, chat, self, result)
        return stream, result

    def _reader(
        self, request: Any, team: str, request_id: str, sink: Any, held: EventId | None
    ) -> AnswerReader:
        sink.held = held
        reader = AnswerReader(self.readers, team, request_id, sink)
        self._open_requests += 1
        finished = request.notifyFinish()

        def closed(_: object) -> None:
            self._open_requests -= 1
            sink.over = True
            reader.sink_closed()

        finished.addBoth(closed)
        return reader

    def keep_alive(self) -> None:
        """Let callers see that their entry lives, though no token comes."""
        for stream in self.open_streams:
            stream.keep_alive()

    def _turned_away(self, request: Any) -> Refusal | None:
        if self.draining:
            request.setHeader("connection", "close")
            return not_run("draining", "this entry is stopping", _RETRY_AFTER_MS)
        if not self.configuration.ready:
            text = "this entry has no configuration yet"
            return not_run("not_ready", text, _RETRY_AFTER_MS)
        limit = self.settings.limits.open_streams
        if self._open_requests >= limit:
            text = f"this entry has {limit} requests open, its limit"
            return not_run("too_many_open", text, _RETRY_AFTER_MS)
        return None

    # Calls.

    async def service(self, request: Any, service: str, path: str) -> Any:
        """Carry one call to a plain service."""
        turned_away = self._turned_away(request)
        if turned_away is not None:
            return refuse(request, turned_away)
        intent = self.configuration.intent
        team = team_of(request, intent)
        if team is None:
            return refuse(request, _bad_key())
        found = intent.service(service)
        if found is None or service not in team.services:
            text = f"team {team.name} has no service {service!r}"
            return refuse(request, not_run("not_found", text))
        wanted = self._call_request(request, team, found, path)
        if isinstance(wanted, Refusal):
            return refuse(request, wanted)
        started_ms = self.readers.clock.now_ms()
        self._open_requests += 1
        try:
            reply = await self.calls.call(wanted)
        finally:
            self._open_requests -= 1
        self._count_call(wanted, reply, started_ms)
        return _send_call_reply(request, reply)

    def _call_request(
        self, request: Any, team: TeamIntent, service: Any, path: str
    ) -> CallRequest | Refusal:
        key = request.getHeader("idempotency-key") or ""
        try:
            _check_id(key) if key else None
        except RequestInvalid as fault:
            return not_run("bad_request", str(fault))
        query = request.uri.partition(b"?")[2].decode("ascii", "replace")
        wanted = CallRequest(
            team=team,
            service=service,
            policy=self._class_of(service.request_class),
            method=request.method.decode(),
            path=f"/{path}" + (f"?{query}" if query else ""),
            content_type=request.getHeader("content-type") or "",
            body=request.content.getvalue(),
            key=key,
        )
        if wanted.route is None:
            text = f"service {service.name} has no route {wanted.method} {wanted.path}"
            return not_run("not_found", text)
        return wanted

    def _class_of(self, name: str) -> ClassPolicy:
        return self.configuration.intent.request_class(name)

    def _count_call(
        self, wanted: CallRequest, reply: CallReply, started_ms: float
    ) -> None:
        labels = {"team": wanted.team.name, "class": wanted.policy.name}
        took_s = (self.readers.clock.now_ms() - started_ms) / 1000
        self.metrics.call_s.observe(labels, took_s)
        self.metrics.requests.inc({**labels, "outcome": reply.code or "finished"})


class _LateStream(EventStream):
    """An event stream whose headers go out with its first event.

    Until then a refusal can still be an HTTP error, with its status and when to come
    back, and not an event in a stream that looked like a success.
    """

    def __init__(
        self,
        request: Any,
        request_id: str,
        model: str,
        chat: bool,
        api: CallerApi,
        result: "Deferred[Any]",
    ) -> None:
        self._late = (request, request_id, model, chat)
        self._api = api
        self._result = result
        self._begun = False
        self._paused = False
        self.over = False
        self.held: EventId | None = None
        self.wake: Any = None
        self.source_moved: Any = None

    def _begin(self) -> None:
        if self._begun:
            return
        self._begun = True
        held, wake, moved = self.held, self.wake, self.source_moved
        super().__init__(*self._late)
        self.held, self.wake, self.source_moved = held, wake, moved
        self._api.open_streams.add(self)

    def stored(self) -> None:
        """Tell that the request will be carried to its end."""
        self._begin()
        super().stored()

    def restart(self, generation: str) -> None:
        """Tell the caller to drop what it holds."""
        self._begin()
        super().restart(generation)

    def tokens(self, upto: EventId, tokens: list[int], text: str) -> None:
        """Write tokens as one event."""
        if not self._begun:
            self._begin()
        super().tokens(upto, tokens, text)

    def finish(self, reason: str, upto: EventId) -> None:
        """Write the last event."""
        self._begin()
        super().finish(reason, upto)

    def refuse(self, refusal: Refusal) -> None:
        """Write the final word, as an HTTP error if nothing was written before."""
        if self._begun:
            super().refuse(refusal)
            return
        self.over = True
        self._result.callback(refuse(self._late[0], refusal))

    def _close(self) -> None:
        self._api.open_streams.discard(self)
        self.over = True
        self._request.unregisterProducer()
        self._result.callback(b"")

    def stopProducing(self) -> None:
        """The caller is gone."""
        super().stopProducing()
        self._request.unregisterProducer()
        self._api.open_streams.discard(self)
        if not self._result.called:
            self._result.callback(b"")


def _check_id(given: str) -> None:
    """An id becomes part of table keys and log lines, so it is kept plain."""
    plain = given.isascii() and all(c.isalnum() or c in "-_.:~" for c in given)
    if not plain or not 0 < len(given) <= _ID_LIMIT:
        raise RequestInvalid(
            "idempotency-key",
            f"expected up to {_ID_LIMIT} letters, digits or any of -_.:~, "
            f"got {given!r:.60}",
        )


def _last_event_id(request: Any) -> EventId | None:
    return EventId.parse(request.getHeader("last-event-id") or "")


def _bad_key() -> Refusal:
    return not_run("bad_key", "the bearer key belongs to no team")


def _not_found() -> Refusal:
    return Refusal("not_found", "there is no such answer", RunState.UNKNOWN)


def _send_call_reply(request: Any, reply: CallReply) -> bytes:
    if reply.reply is not None:
        request.setResponseCode(reply.reply.status)
        request.setHeader("content-type", reply.reply.content_type)
        if reply.repeated:
            request.setHeader("idempotent-replayed", "true")
        return reply.reply.body
    message = _CALL_MESSAGES.get(reply.code, reply.code)
    return refuse(
        request, Refusal(reply.code, message, reply.run, reply.retry_after_ms)
    )
