"""Admits or refuses each request, and starts the task that serves an admitted one.

Requests that arrive before routes and endpoints have been read wait in `StartHold`.

Owns the count of open requests. Relies on `_admission` for the decision, and on
`SiteState` for the cached routes and keys.
"""

from collections.abc import Callable
from http import HTTPStatus

from attrs import define, evolve, field

from coursekeel.gateway._adapters import CallerDialect, CallerHeaders, HeaderPairs
from coursekeel.gateway._caller_reply import CallerReply
from coursekeel.gateway._context import GatewayContext
from coursekeel.gateway._http import CallerRequest
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.admission._admission import (
    AdmissionState,
    Admitted,
    RequestKey,
    admit,
)
from coursekeel.gateway.admission._refusals import (
    NO_CONFIGURATION,
    NOT_READY_RETRY_MS,
    REQUEST_BARRED_CODE,
    STOPPING,
    GatewayRefusal,
    outage_wait_ms,
    refusal_retry_ms,
)
from coursekeel.gateway.admission._start_hold import FirstReads, StartHold
from coursekeel.gateway.admission._stop_window import Shutdown
from coursekeel.gateway.endpoints._load_reports import LoadReports
from coursekeel.gateway.relay._relay_reply import RelayReply
from coursekeel.gateway.relay._relay_wire import without_relay_headers
from coursekeel.gateway.streams._stream_task import StreamTask
from coursekeel.gateway.streams._successors import SuccessorLookup
from coursekeel.gateway.whole._whole_task import WholeAnswerTask
from coursekeel.routing import Refuse

__all__ = ["Dispatcher"]

_NO_POOL = GatewayRefusal(HTTPStatus.SERVICE_UNAVAILABLE, "no_pool", NOT_READY_RETRY_MS)

_BARRED = GatewayRefusal(HTTPStatus.SERVICE_UNAVAILABLE, REQUEST_BARRED_CODE)

_STOPPING = Refuse(0, STOPPING.code, int(STOPPING.retry_after_ms))

# Waiting requests are refused this long before the running ones are ended: the places
# that come free then must not be granted.
_LAST_GRANT_MS = 5.0


@define(eq=False)
class Dispatcher:
    """Handles every caller's request to this instance.

    ``alone_in_zone`` says whether no other member is known in this availability zone.
    """

    context: GatewayContext
    reports: LoadReports
    successors: SuccessorLookup
    callers: CallerDialect
    shutdown: Shutdown
    alone_in_zone: Callable[[], bool]
    start_hold: StartHold = field(factory=StartHold)
    open_requests: int = 0

    def handle_request(self, request: CallerRequest) -> None:
        """Handle one completely received request; called by the HTTP server."""
        headers = request.header_pairs()
        caller = self.callers.read(headers)
        self.open_requests += 1
        request.notifyFinish().addBoth(self._on_request_end)
        reply = CallerReply(request, self.shutdown)
        arrived_ms = self.context.clock.now_ms()

        def serve() -> None:
            self._serve(request, headers, caller, reply, arrived_ms)

        if self._must_wait_for_reads():
            self._wait_for_reads(reply, caller, serve)
        else:
            serve()

    def handle_relayed(
        self, request: CallerRequest, reply: RelayReply, tries: int
    ) -> None:
        """Admit or refuse a request that a member got from its caller.

        It may be sent to ``tries`` endpoints at most, and isn't held until the first
        reads, as another member may serve it now.
        """
        headers = without_relay_headers(request.header_pairs())
        caller = self.callers.read(headers)
        self.open_requests += 1
        request.notifyFinish().addBoth(self._on_request_end)
        arrived_ms = self.context.clock.now_ms()
        self._serve(request, headers, caller, reply, arrived_ms, tries)

    def refusal_over_limit(
        self, fields: HeaderPairs, refusal: GatewayRefusal
    ) -> GatewayRefusal:
        """The reply to a request that is over a limit, which is recorded as refused.

        Without a configuration the limits are defaults, which a caller needn't keep.
        """
        if self.context.site.routes is None:
            refusal = NO_CONFIGURATION
        return self._recorded(self.callers.read(fields), refusal)

    def end_requests_by(self, last_ms: float) -> None:
        """End the requests that are open at ``last_ms``: the instance is stopping."""
        deadlines, routing = self.context.deadlines, self.context.routing
        deadlines.reach_all_by(last_ms)
        deadlines.add(last_ms - _LAST_GRANT_MS, lambda: routing.close(_STOPPING))

    def _must_wait_for_reads(self) -> bool:
        reads_pending = self.start_hold.state is FirstReads.COMING
        has_room = self.open_requests <= self.context.settings.now.max_open_requests
        return reads_pending and has_room and not self.shutdown.has_begun

    def _wait_for_reads(
        self, reply: CallerReply, caller: CallerHeaders, serve: Callable[[], None]
    ) -> None:
        number = self.start_hold.add(serve)
        wait_ms = max(NOT_READY_RETRY_MS, outage_wait_ms(caller.deadline_ms))
        wait_end = self.context.deadlines.add(
            self.context.clock.now_ms() + wait_ms,
            lambda: self.start_hold.release(number),
        )

        def on_caller_left() -> None:
            self.start_hold.withdraw(number)
            wait_end.cancel()

        # A wait that ends after its request was resumed has no effect.
        reply.on_gone(on_caller_left)

    def _serve(
        self,
        request: CallerRequest,
        headers: HeaderPairs,
        caller: CallerHeaders,
        reply: CallerReply,
        arrived_ms: float,
        relayed_tries: int | None = None,
    ) -> None:
        """Serve a request; ``relayed_tries`` if a member relayed it, None otherwise."""
        arrival = RequestKey(request.host_name(), request.path_name(), caller.key)
        outcome = admit(arrival, self._admission_state())
        if isinstance(outcome, GatewayRefusal):
            self._refuse(reply, caller, outcome)
            return
        call = self._admitted_request(request, headers, caller, outcome, arrived_ms)
        if call is not None and relayed_tries is not None:
            tries = min(call.route.tries, relayed_tries)
            call = evolve(call, relayed=True, route=evolve(call.route, tries=tries))
        if call is None:
            self._refuse(reply, caller, _NO_POOL)
        elif barred_ms := self.context.quarantine.barred_ms(call):
            self.context.metrics.barred(call, barred_ms)
            reply.refuse(evolve(_BARRED, retry_after_ms=barred_ms))
        elif call.route.kind.streams:
            self._stream_task(call, reply).start()
        else:
            WholeAnswerTask(self.context, call, reply).start()

    def _stream_task(self, call: AdmittedRequest, reply: CallerReply) -> StreamTask:
        return StreamTask(self.context, self.reports, self.successors, call, reply)

    def _on_request_end(self, _: object) -> None:
        self.open_requests -= 1

    def _admission_state(self) -> AdmissionState:
        site, settings = self.context.site, self.context.settings
        return AdmissionState(
            routes=site.routes,
            age_ms=site.routes_age_ms,
            max_key_age_ms=site.max_key_age_ms,
            max_unknown_age_ms=settings.timers.max_unknown_age_ms,
            open_requests=self.open_requests,
            max_open_requests=settings.now.max_open_requests,
            stop=self.shutdown.window,
            now_ms=self.context.clock.now_ms(),
            lengths=self.context.lengths,
            alone_in_zone=self.alone_in_zone(),
        )

    def _refuse(
        self, reply: CallerReply, caller: CallerHeaders, refusal: GatewayRefusal
    ) -> None:
        reply.refuse(self._recorded(caller, refusal))

    def _recorded(
        self, caller: CallerHeaders, refusal: GatewayRefusal
    ) -> GatewayRefusal:
        """Record a refusal; returns it with the time to come back at."""
        age_ms = self.context.site.routes_age_ms
        self.context.metrics.refused(caller.request_id, refusal, age_ms)
        retry_after_ms = refusal_retry_ms(
            refusal.code,
            refusal.retry_after_ms,
            caller.deadline_ms,
            self.context.random,
        )
        return evolve(refusal, retry_after_ms=retry_after_ms)

    def _admitted_request(
        self,
        request: CallerRequest,
        headers: HeaderPairs,
        caller: CallerHeaders,
        admitted: Admitted,
        arrived_ms: float,
    ) -> AdmittedRequest | None:
        """The request with its pool, None if the configuration lacks that pool."""
        context, route = self.context, admitted.route
        routes = context.site.routes
        assert routes is not None
        pool = routes.pools.get(route.pick_pool(context.random))
        if pool is None:
            return None
        timeout_ms = min(route.timeout_ms, caller.deadline_ms or route.timeout_ms)
        return AdmittedRequest(
            request.method,
            request.host_name(),
            request.uri,
            headers,
            request.take_body(),
            caller,
            route,
            pool.name,
            pool.copies,
            admitted.team,
            arrived_ms,
            arrived_ms + timeout_ms,
        )
