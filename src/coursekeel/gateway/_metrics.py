"""Metrics and log lines of a gateway's requests and endpoints.

Owns the metrics and the bounds on their series. Each method records one event, as a log
line and in the metrics, so that both agree.
"""

import logging
import math
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any

from attrs import define, field, frozen

from coursekeel.forwarding import ConfigurationAge, EndpointListAge
from coursekeel.gateway._request import AdmittedRequest
from coursekeel.gateway.admission._refusals import REQUEST_BARRED_CODE, GatewayRefusal
from coursekeel.observe import LabelSets, Metrics, log_event
from coursekeel.routing import EndpointLoad
from coursekeel.runtime import Clock
from coursekeel.units import MS_PER_SECOND

__all__ = ["GatewayMetrics", "LostRun", "logged_age_ms"]

# Bounds on the label sets of the request counter and of each histogram, so that the
# number of series doesn't grow with every route that was ever configured: a few hundred
# in all with 24 teams, the users' bound (`test_gateway_metrics.py`).
_MAX_COUNTER_LABEL_SETS = 200
_MAX_HISTOGRAM_LABEL_SETS = 64


@frozen
class LostRun:
    """A run that was lost; ``why`` is the reason.

    ``ran_ms``: time since its response headers arrived, None if they didn't.
    ``streamed_ms``: time since its first event. ``events``: the number of its events.
    ``closed``: its connection was closed, rather than given up. ``overdue_since_ms``:
    when its successor was searched for, None if that wasn't before its loss.
    """

    endpoint_id: str
    why: str
    ran_ms: float | None = None
    streamed_ms: float | None = None
    events: int = 0
    closed: bool = False
    overdue_since_ms: float | None = None


@define(eq=False)
class GatewayMetrics:
    """Logs and counts what happens to requests, runs and endpoints.

    ``configuration_age`` returns the version and age of the cached configuration,
    ``endpoint_list_age`` the position, source and age of the list of endpoints,
    ``missing_ms`` for how long the list has lacked an endpoint that is still used.
    """

    clock: Clock
    configuration_age: Callable[[], ConfigurationAge] = ConfigurationAge
    endpoint_list_age: Callable[[], EndpointListAge] = EndpointListAge
    missing_ms: Callable[[str], float | None] = lambda _: None
    metrics: Metrics = field(factory=Metrics)
    _counter_label_sets: LabelSets = field(
        factory=lambda: LabelSets(_MAX_COUNTER_LABEL_SETS, kept=("outcome",))
    )
    _histogram_label_sets: LabelSets = field(
        factory=lambda: LabelSets(_MAX_HISTOGRAM_LABEL_SETS)
    )

    def ended(
        self,
        call: AdmittedRequest,
        code: str,
        status: int,
        sends: int,
        first_ms: float | None = None,
        ways: Sequence[str] = (),
        position: int | None = None,
        retries_left: float | None = None,
        waited_for: str = "",
    ) -> None:
        """Record the end of an admitted request.

        ``code`` is its outcome and ``sends`` how often it was sent. ``first_ms`` is
        when a stream's endpoint opened it; ``ways`` are how the runs of a stream
        started, ``position`` is the number of the last event written to its caller.
        ``retries_left`` is what this instance has for the request's pool, and
        ``waited_for`` what a stream waited for at its end, a refusal's code.
        """
        now_ms = self.clock.now_ms()
        self._count_request(call.team_name, call.route.name, code)
        self._observe_duration(call, first_ms, now_ms)
        fields: dict[str, Any] = {
            "request": call.caller.request_id,
            "route": call.route.name,
            "pool": call.pool,
            "team": call.team_name,
            "outcome": code,
            "status": int(status),
            "sends": sends,
            "took_ms": round(now_ms - call.arrived_ms),
        }
        if first_ms is not None:
            fields["first_ms"] = round(first_ms - call.arrived_ms)
        if ways:
            fields["ways"] = ",".join(ways)
        if position is not None:
            fields["position"] = position
        if retries_left is not None:
            fields["retries_left"] = round(retries_left, 2)
        if waited_for:
            fields["waited_for"] = waited_for
        if code == REQUEST_BARRED_CODE:
            fields["fingerprint"] = call.fingerprint
        log_event("request_ended", **fields)

    def _observe_duration(
        self, call: AdmittedRequest, first_ms: float | None, now_ms: float
    ) -> None:
        """Time a stream up to its first event, any other request up to its end."""
        labels = self._histogram_labels(call)
        if first_ms is not None:
            first_s = (first_ms - call.arrived_ms) / MS_PER_SECOND
            self.metrics.first_token_s.observe(labels, first_s)
        else:
            duration_s = (now_ms - call.arrived_ms) / MS_PER_SECOND
            self.metrics.call_s.observe(labels, duration_s)

    def _count_request(self, team: str, request_class: str, code: str) -> None:
        labels = {"team": team, "class": request_class, "outcome": code}
        self.metrics.requests.inc(self._counter_label_sets.of(labels))

    def _histogram_labels(self, call: AdmittedRequest) -> dict[str, str]:
        return self._histogram_label_sets.of(
            {"team": call.team_name, "class": call.route.name}
        )

    def barred(self, call: AdmittedRequest, barred_ms: float) -> None:
        """Record a request refused for ``barred_ms``: it crashed endpoints before."""
        self._count_request(call.team_name, call.route.name, REQUEST_BARRED_CODE)
        log_event(
            "request_refused",
            request=call.caller.request_id,
            outcome=REQUEST_BARRED_CODE,
            status=int(HTTPStatus.SERVICE_UNAVAILABLE),
            fingerprint=call.fingerprint,
            barred_ms=round(barred_ms),
        )

    def refused(
        self, request_id: str, refusal: GatewayRefusal, routes_age_ms: float
    ) -> None:
        """Record a request that wasn't admitted, and the age of routes and keys."""
        self._count_request("", "", refusal.code)
        log_event(
            "request_refused",
            request=request_id,
            outcome=refusal.code,
            status=int(refusal.status),
            configuration=self.configuration_age().version,
            belief_age_ms=logged_age_ms(routes_age_ms),
        )

    def chosen(
        self,
        call: AdmittedRequest,
        endpoint_id: str,
        way: str,
        load: EndpointLoad | None,
        candidates: int = 0,
        copy_id: str = "",
        version: str = "",
        named_per_s: float | None = None,
    ) -> None:
        """Log the choice of an endpoint for a request, with what it was based on.

        ``candidates`` is the number of endpoints to choose from. ``version`` is the
        endpoint's, if its pool has a rollout order; ``named_per_s`` the limit that the
        endpoint names.
        """
        now_ms, configuration_age = self.clock.now_ms(), self.configuration_age()
        list_age = self.endpoint_list_age()
        fields: dict[str, Any] = {
            "request": call.caller.request_id,
            "endpoint": endpoint_id,
            "way": way,
            "remaining_ms": round(call.deadline_ms - now_ms),
            "configuration": configuration_age.version,
            "belief_age_ms": logged_age_ms(configuration_age.age_ms),
            "endpoints_moment": list_age.position,
            "endpoints_source": list_age.source,
            "endpoints_age_ms": logged_age_ms(list_age.age_ms),
        }
        if (missing_ms := self.missing_ms(endpoint_id)) is not None:
            fields["missing_ms"] = round(missing_ms)
        if copy_id:
            fields["copy"] = copy_id
        if version:
            fields["version"] = version
        if named_per_s is not None:
            fields["named_per_s"] = named_per_s
        if load is not None:
            fields["own_running"] = load.limit.running
            fields["limit"] = int(load.limit.limit)
            fields["failing"] = round(load.failing, 2)
        if load is not None and load.report is not None:
            fields["report_age_ms"] = round(now_ms - load.report.queried_ms)
            fields["reported_running"] = load.report.running
            fields["reported_queued"] = load.report.queued
        if candidates:
            fields["candidates"] = candidates
        log_event("endpoint_chosen", **fields)

    def try_ended(self, call: AdmittedRequest, endpoint_id: str, outcome: str) -> None:
        """Record a send that brought no answer for the caller."""
        self.metrics.attempts.inc({"way": outcome})
        log_event(
            "try_ended",
            request=call.caller.request_id,
            fingerprint=call.fingerprint,
            endpoint=endpoint_id,
            outcome=outcome,
        )

    def body_given_up(
        self, call: AdmittedRequest, endpoint_id: str, size_bytes: int
    ) -> None:
        """Log that an answer was given up for the memory that all of them take."""
        log_event(
            "body_given_up",
            logging.WARNING,
            request=call.caller.request_id,
            endpoint=endpoint_id,
            size_bytes=size_bytes,
        )

    def run_lost(self, call: AdmittedRequest, lost: LostRun, position: int) -> None:
        """Record a run that was lost before its answer was complete.

        ``position`` is the number of the answer's last event so far.
        """
        self.metrics.attempts.inc({"way": "lost"})
        fields: dict[str, Any] = {}
        if lost.ran_ms is not None:
            fields["ran_ms"] = round(lost.ran_ms)
        log_event(
            "run_lost",
            request=call.caller.request_id,
            fingerprint=call.fingerprint,
            endpoint=lost.endpoint_id,
            reason=lost.why,
            position=position,
            events=lost.events,
            **fields,
        )

    def run_kept(
        self, call: AdmittedRequest, endpoint_id: str, reason: str, position: int
    ) -> None:
        """Log that an overdue run is waited on, as nothing can replace it now.

        ``reason`` is why it is overdue, or the code of the refusal of a replacement.
        """
        log_event(
            "run_kept",
            request=call.caller.request_id,
            endpoint=endpoint_id,
            reason=reason,
            position=position,
        )

    def run_replaced(
        self, call: AdmittedRequest, endpoint_id: str, reason: str, runs: int
    ) -> None:
        """Log that a successor is searched for an overdue run that is still open.

        ``runs`` is how many runs the request may have had, this one included.
        """
        log_event(
            "run_replaced",
            request=call.caller.request_id,
            endpoint=endpoint_id,
            reason=reason,
            kind=call.route.kind.value,
            runs=runs,
            tries=call.route.tries,
        )

    def stream_waits(
        self, call: AdmittedRequest, code: str, ahead: int, position: int
    ) -> None:
        """Record that a stream that has begun can't go on now, and waits.

        ``code`` is the refusal's, ``ahead`` the number of streams that wait for a retry
        before it, ``position`` the number of the last event that its caller has.
        """
        self.metrics.attempts.inc({"way": "waits"})
        log_event(
            "stream_waits",
            request=call.caller.request_id,
            outcome=code,
            position=position,
            ahead=ahead,
            remaining_ms=round(call.deadline_ms - self.clock.now_ms()),
        )

    def endpoint_ended(self, endpoint_id: str, fingerprints: Sequence[str]) -> None:
        """Record the crash of an endpoint that had these requests."""
        self.metrics.attempts.inc({"way": "ended_under"})
        log_event(
            "endpoint_ended", endpoint=endpoint_id, fingerprints=",".join(fingerprints)
        )

    def resumed(self, call: AdmittedRequest, way: str, waited_ms: float) -> None:
        """Record that an answer resumed, ``waited_ms`` after the loss of its run."""
        self.metrics.resume_s.observe(
            self._histogram_labels(call), waited_ms / MS_PER_SECOND
        )
        log_event(
            "run_resumed",
            request=call.caller.request_id,
            way=way,
            waited_ms=round(waited_ms),
        )

    def ejected(self, endpoint_id: str, reason: str, ejected_ms: float) -> None:
        """Record that an endpoint gets no new work for ``ejected_ms``."""
        self.metrics.attempts.inc({"way": "ejected"})
        log_event(
            "endpoint_ejected",
            endpoint=endpoint_id,
            reason=reason,
            for_ms=round(ejected_ms),
        )

    def gauge(self, name: str, doc: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read whenever the metrics are rendered."""
        self.metrics.gauge(name, doc, read)


def logged_age_ms(age_ms: float) -> int | str:
    """Format an age for log lines: whole ms, or "none" without any confirmation."""
    return round(age_ms) if math.isfinite(age_ms) else "none"
