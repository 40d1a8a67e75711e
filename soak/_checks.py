"""The promises, each checked against what was seen from outside.

Each check names the line of docs/PROMISES.md that it holds, and gives a `Violation` for
each thing that breaks it. Pure functions: no sockets, no clock.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator

from attrs import frozen

from soak._bounds import Bounds, is_in_touch
from soak._callers import path_of
from soak._endings import (
    no_call_outlasts_its_limit,
    no_silence_bars,
    no_sound_stream_is_cut,
    what_is_passed_on_is_answered,
)
from soak._leaving_checks import (
    nothing_new_once_told,
    nothing_new_though_answers_are_lost,
    sound_servers_stay_in_use,
)
from soak._records import CallKind, CallRecord, Evidence, LimitNamed

__all__ = ["CHECKS", "Bounds", "Violation", "check"]

_REFUSALS = (408, 421, 429, 503)
_OK = 200
_UNAVAILABLE = 503
_BARRED = b"request_stops_engines"
# After so many servers that it ended a request may reach servers a few times more.
_CRASHES = 3
_MORE_SENDS = 3
# The users' rule on limits that servers name. An instance's requests count from a while
# after it passed on the limit.
_LIMIT_WINDOW_S = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_EXTRA = 5.0
_TOLD_S = 0.5
# The users' rule on gateways without links to servers: served two thirds as often as at
# the others, or few failures.
_CUT_SHARE = 2 / 3
_CUT_FAILURES = 10
_CUT_FAILED_SHARE = 1 / 50


@frozen
class Violation:
    """A promise that was broken, and by what."""

    promise: str
    what: str


def check(evidence: Evidence, bounds: Bounds) -> list[Violation]:
    """All that breaks a promise."""
    return [
        Violation(promise, what)
        for promise, checks in CHECKS.items()
        for each in checks
        for what in each(evidence, bounds)
    ]


def _every_event_once_and_in_order(seen: Evidence, _: Bounds) -> Iterator[str]:
    for call in _streams(seen):
        first = call.resumed_from + 1
        expected = list(range(first, first + len(call.events)))
        if call.events != expected:
            yield f"{call.request_id}: got events {call.events[:40]}, from {first}"
        last = call.events[-1] if call.events else call.resumed_from
        if call.status == _OK and call.whole and last != call.wanted:
            yield f"{call.request_id}: looked whole at {last}, expected {call.wanted}"


def _whole_answers_are_their_makers(seen: Evidence, _: Bounds) -> Iterator[str]:
    makers = _servers_of(seen)
    for call in seen.calls:
        if call.kind is CallKind.STREAM or call.status != _OK:
            continue
        maker = call.signed_by.removeprefix("sig-")
        expected = f"{maker} {call.request_id}".encode()
        if maker not in makers[call.request_id] or call.body != expected:
            yield f"{call.request_id}: got {call.body[:60]!r} signed {call.signed_by!r}"


def _what_may_run_once_runs_once(seen: Evidence, _: Bounds) -> Iterator[str]:
    once = {each.request_id for each in seen.calls if each.kind is CallKind.ONCE}
    times: dict[str, int] = defaultdict(int)
    for run in seen.runs:
        times[run.request_id] += run.request_id in once
    for request_id, count in times.items():
        if count > 1:
            yield f"{request_id}: ran {count} times"


def _not_run_is_true(seen: Evidence, _: Bounds) -> Iterator[str]:
    ran = {each.request_id for each in seen.runs}
    for call in seen.calls:
        refused = call.status in _REFUSALS and call.kind is CallKind.ONCE
        if refused and call.request_id in ran:
            yield f"{call.request_id}: answered {call.status}, and ran"


def _no_key_past_its_bound(seen: Evidence, bounds: Bounds) -> Iterator[str]:
    ran = {each.request_id for each in seen.runs}
    for revoked in seen.revoked:
        for call in seen.calls:
            late = revoked.at_s + bounds.revoke_s < call.sent_s < revoked.until_s
            if call.key == revoked.key and late and call.request_id in ran:
                after_s = call.sent_s - revoked.at_s
                yield f"{call.request_id}: sent {after_s:.2f} s after"


def _nothing_new_to_who_leaves(seen: Evidence, bounds: Bounds) -> Iterator[str]:
    """The word binds only if the store is sound from a while before until the run.

    Traced for seed 207: the store had been silent until 0.4 s before the word, refused
    0.8 s after it, and an instance whose question hung since the silence sent a run.
    The same holds for the way from the sending gateway to the store.
    """
    gateways = {each.request_id: each.gateway for each in seen.calls}
    for left in seen.left:
        for run in seen.runs:
            since_s = left.at_s - bounds.contact_s
            if _store_is_unsound(seen, since_s, run.at_s):
                continue
            if _is_cut_off(seen, gateways.get(run.request_id), since_s, run.at_s):
                continue
            if run.server == left.server and run.at_s > left.at_s + bounds.drain_s:
                after_s = run.at_s - left.at_s
                yield f"{run.request_id}: {run.server} {after_s:.2f} s after"


def _store_is_unsound(seen: Evidence, since_s: float, until_s: float) -> bool:
    return any(
        each.begun_s < until_s and each.ended_s > since_s for each in seen.store_faults
    )


def _is_cut_off(
    seen: Evidence, gateway: int | None, since_s: float, until_s: float
) -> bool:
    return any(
        each.gateway == gateway and each.begun_s < until_s and each.ended_s > since_s
        for each in seen.link_faults
    )


def _repeats_within_the_bound(seen: Evidence, bounds: Bounds) -> Iterator[str]:
    for pool in (True, False):
        names = {
            each.request_id
            for each in seen.calls
            if (each.kind is CallKind.STREAM) is pool
        }
        yield from _windows(seen, names, bounds)


def _windows(seen: Evidence, names: set[str], bounds: Bounds) -> Iterator[str]:
    runs = sorted(
        (each for each in seen.runs if each.request_id in names), key=lambda r: r.at_s
    )
    known: set[str] = set()
    repeats: list[float] = []
    for run in runs:
        if run.request_id in known:
            repeats.append(run.at_s)
        known.add(run.request_id)
    sent = sorted(each.sent_s for each in seen.calls if each.request_id in names)
    window_s = bounds.retry_window_s
    for end_s in repeats:
        inside = sum(end_s - window_s < each <= end_s for each in repeats)
        own = sum(end_s - window_s < each <= end_s for each in sent)
        before = sum(end_s - 2 * window_s < each <= end_s - window_s for each in sent)
        if inside > bounds.retry_ratio * max(own, before) + bounds.retry_slack:
            yield f"{inside} repeats within {window_s} s of {own} requests"


def _guilty_reach_few_more(seen: Evidence, bounds: Bounds) -> Iterator[str]:
    """By the users' rule: sends of gateways in touch, from a while after the third."""
    for path in sorted({each.path for each in seen.crashes}):
        crashed = sorted(each.at_s for each in seen.crashes if each.path == path)
        if len(crashed) < _CRASHES:
            continue
        calls = {x.request_id: x for x in seen.calls if x.guilty and path_of(x) == path}
        from_s = crashed[_CRASHES - 1] + bounds.contact_s
        late = [
            run
            for run in seen.runs
            if run.request_id in calls
            and run.at_s > from_s
            and is_in_touch(seen, calls[run.request_id].gateway, run.at_s, bounds)
        ]
        if len(late) > _MORE_SENDS:
            yield f"{path}: {len(late)} sends more, {len(crashed)} servers ended"


def _limits_that_servers_name_are_kept(seen: Evidence, bounds: Bounds) -> Iterator[str]:
    """By the users' rule: requests of gateways in touch, in any window that counts."""
    gateways = {each.request_id: each.gateway for each in seen.calls}
    for limit in seen.limits:
        for server in limit.servers:
            told_s = _told_s(seen, limit, server)
            counted = [
                each.at_s
                for each in seen.arrivals
                if each.server == server
                and told_s <= each.at_s <= limit.ended_s
                and is_in_touch(
                    seen, gateways.get(each.request_id, -1), each.at_s, bounds
                )
            ]
            from_s = told_s - _TOLD_S + bounds.contact_s
            allowed = _LIMIT_FACTOR * limit.per_s * _LIMIT_WINDOW_S + _LIMIT_EXTRA
            for end_s in (each for each in counted if each >= from_s):
                got = sum(end_s - _LIMIT_WINDOW_S < each <= end_s for each in counted)
                if got > allowed:
                    yield (
                        f"{server}: got {got} requests in {_LIMIT_WINDOW_S} s, "
                        f"expected at most {allowed:.0f} at {limit.per_s} a second"
                    )
                    break


def _told_s(seen: Evidence, limit: LimitNamed, server: str) -> float:
    """The earliest moment at which a request to a server may count."""
    answered = [
        each.at_s
        for each in seen.arrivals
        if each.server == server and each.at_s >= limit.begun_s
    ]
    return min(answered, default=limit.begun_s) + _TOLD_S


def _gateways_without_servers_serve(seen: Evidence, bounds: Bounds) -> Iterator[str]:
    """By the users' rule: calls at gateways in touch, from a while after the cut.

    A gateway is in touch while the store is sound, and another one must reach servers
    to serve for it. A key that was taken away isn't owed an answer.
    """
    for cut in seen.server_cuts:
        from_s, to_s = cut.begun_s + bounds.contact_s, cut.ended_s
        calls = [
            each
            for each in seen.calls
            if from_s <= each.sent_s < to_s
            and not each.guilty
            and _another_reaches_servers(seen, cut.gateway, each, bounds)
            and not _store_is_unsound(
                seen, each.sent_s - bounds.contact_s, each.ended_s
            )
            and not _is_revoked(seen, each)
            and is_in_touch(seen, each.gateway, each.sent_s, bounds)
        ]
        there = [_served(each) for each in calls if each.gateway == cut.gateway]
        others = [
            _served(each)
            for each in calls
            if not _is_without_servers(seen, each.gateway, each.sent_s)
        ]
        failed = there.count(False)
        allowed = _CUT_FAILURES + _CUT_FAILED_SHARE * (len(there) + len(others))
        if not there or not others or failed <= allowed:
            continue
        share, usual = sum(there) / len(there), sum(others) / len(others)
        if share < _CUT_SHARE * usual:
            yield (
                f"gateway {cut.gateway}: served {sum(there)} of {len(there)} without "
                f"links to servers, the others {sum(others)} of {len(others)}"
            )


def _served(call: CallRecord) -> bool:
    return call.status == _OK and call.whole


def _another_reaches_servers(
    seen: Evidence, gateway: int, call: CallRecord, bounds: Bounds
) -> bool:
    """Whether another gateway was in touch, with its servers, during a call."""
    others = {each.gateway for each in seen.calls} - {gateway}
    faults = seen.gateway_faults + seen.server_cuts
    away = {
        each.gateway
        for each in faults
        if each.begun_s < call.ended_s and each.ended_s > call.sent_s - bounds.contact_s
    }
    return bool(others - away)


def _is_revoked(seen: Evidence, call: CallRecord) -> bool:
    return any(
        each.key == call.key
        and each.at_s <= call.ended_s
        and call.sent_s < each.until_s
        for each in seen.revoked
    )


def _is_without_servers(seen: Evidence, gateway: int, at_s: float) -> bool:
    return any(
        each.gateway == gateway and each.begun_s <= at_s < each.ended_s
        for each in seen.server_cuts
    )


def _nobody_innocent_is_barred(seen: Evidence, _: Bounds) -> Iterator[str]:
    for call in seen.calls:
        barred = call.status == _UNAVAILABLE and call.body == _BARRED
        if barred and not call.guilty:
            yield f"{call.request_id}: refused as one that ends servers"


def _no_key_is_shown(seen: Evidence, _: Bounds) -> Iterator[str]:
    for run in seen.runs:
        if run.key_shown:
            yield f"{run.request_id}: {run.server} saw its key"


def _whole_again_in_time(seen: Evidence, bounds: Bounds) -> Iterator[str]:
    for number, took_s in enumerate(seen.whole_again_s):
        if took_s is None or took_s > bounds.whole_again_s:
            yield f"gateway {number}: {took_s} s, expected {bounds.whole_again_s}"


def _sizes_are_bounded(seen: Evidence, bounds: Bounds) -> Iterator[str]:
    for name, got, most in (
        ("memory_mb", seen.memory_mb, bounds.memory_mb),
        ("descriptors", seen.descriptors, bounds.descriptors),
        ("log_lines_s", seen.log_lines_s, bounds.log_lines_s),
    ):
        if got > most:
            yield f"{name}: got {got:.0f}, expected at most {most:.0f}"


def _no_invariant_breaks(seen: Evidence, _: Bounds) -> Iterator[str]:
    yield from seen.broken_invariants


_Check = Callable[[Evidence, Bounds], Iterator[str]]

# By the promise's line in docs/PROMISES.md.
CHECKS: dict[str, tuple[_Check, ...]] = {
    "events once, in order, from one run": (_every_event_once_and_in_order,),
    "no answer of another request, none that looks whole and isn't": (
        _whole_answers_are_their_makers,
    ),
    'at most once, and "not run" only if true': (
        _what_may_run_once_runs_once,
        _not_run_is_true,
    ),
    "keys end in time on every instance": (_no_key_past_its_bound,),
    "a leaving server gets nothing new": (
        _nothing_new_to_who_leaves,
        nothing_new_once_told,
        nothing_new_though_answers_are_lost,
    ),
    "a server whose row lapses with the store stays in use": (
        sound_servers_stay_in_use,
    ),
    "repeats within a shared budget": (_repeats_within_the_bound,),
    "a request that ends its servers reaches few more, and no other is barred": (
        _guilty_reach_few_more,
        _nobody_innocent_is_barred,
        no_silence_bars,
    ),
    "a request that was passed on ends with an answer or a refusal": (
        what_is_passed_on_is_answered,
    ),
    "a final answer at the route's timeout": (no_call_outlasts_its_limit,),
    "a silence of sound servers cuts no stream": (no_sound_stream_is_cut,),
    "a server that names a limit gets no more": (_limits_that_servers_name_are_kept,),
    "an instance without links to servers serves its callers": (
        _gateways_without_servers_serve,
    ),
    "a server gets the request as it came": (_no_key_is_shown,),
    "back after all instances died": (_whole_again_in_time,),
    "memory, descriptors and logs are bounded": (_sizes_are_bounded,),
    "only broken invariants stop a task, and none breaks": (_no_invariant_breaks,),
}


def _streams(seen: Evidence) -> Iterator[CallRecord]:
    return (each for each in seen.calls if each.kind is CallKind.STREAM)


def _servers_of(seen: Evidence) -> dict[str, set[str]]:
    makers: dict[str, set[str]] = defaultdict(set)
    for run in seen.runs:
        makers[run.request_id].add(run.server)
    return makers
