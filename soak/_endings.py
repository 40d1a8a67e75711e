"""Checks of how requests end, and of what a server's silence does to them.

A silence is no fault: a sound server says nothing for a second or so and goes on. It
neither ends a stream nor bars a request. Pure functions, as in `soak._checks`.
"""

from collections import defaultdict
from collections.abc import Iterator

from soak._bounds import Bounds, is_excused_by_its_gateway, is_unsound
from soak._records import CallKind, CallRecord, Evidence

__all__ = [
    "no_call_outlasts_its_limit",
    "no_silence_bars",
    "no_sound_stream_is_cut",
    "what_is_passed_on_is_answered",
]

_OK = 200


def what_is_passed_on_is_answered(seen: Evidence, bounds: Bounds) -> Iterator[str]:
    """A request that reached a server has a status, and a call its whole answer."""
    reached = {each.request_id for each in seen.reached}
    for call in seen.calls:
        if call.request_id not in reached or _is_answered(call) or call.timed_out:
            continue
        if not is_excused_by_its_gateway(seen, call, bounds):
            how = "a part of an answer" if call.any_byte else "no byte"
            took_s = call.ended_s - call.sent_s
            yield f"{call.request_id}: closed with {how} after {took_s:.2f} s"


def _is_answered(call: CallRecord) -> bool:
    return call.status != 0 and (call.whole or call.kind is CallKind.STREAM)


def no_call_outlasts_its_limit(seen: Evidence, bounds: Bounds) -> Iterator[str]:
    """A request is over soon after its time limit, whatever became of it."""
    for call in seen.calls:
        took_s = call.ended_s - call.sent_s
        is_late = took_s > call.limit_s + bounds.late_s
        if is_late and not is_excused_by_its_gateway(seen, call, bounds):
            yield f"{call.request_id}: open for {took_s:.2f} s, expected {call.limit_s}"


def no_sound_stream_is_cut(seen: Evidence, bounds: Bounds) -> Iterator[str]:
    """A stream whose servers all were sound ends whole or at its time limit."""
    addresses: dict[str, set[int]] = defaultdict(set)
    for each in seen.reached:
        addresses[each.request_id].add(each.address)
    for call in seen.calls:
        if call.guilty or not _is_cut_stream(call):
            continue
        since_s = call.sent_s - bounds.contact_s
        its_own = addresses[call.request_id]
        excused = (
            any(is_unsound(seen, each, since_s, call.ended_s) for each in its_own)
            or is_excused_by_its_gateway(seen, call, bounds)
            or _is_without_servers(seen, call, since_s)
        )
        if not excused:
            took_s = call.ended_s - call.sent_s
            yield f"{call.request_id}: cut after {took_s:.2f} s at servers {its_own}"


def _is_cut_stream(call: CallRecord) -> bool:
    """A stream that broke once it had begun, before its time was over."""
    is_cut = call.kind is CallKind.STREAM and call.status == _OK and not call.whole
    return is_cut and not call.timed_out and call.ended_s - call.sent_s < call.limit_s


def _is_without_servers(seen: Evidence, call: CallRecord, since_s: float) -> bool:
    return any(
        each.gateway == call.gateway
        and each.begun_s < call.ended_s
        and each.ended_s > since_s
        for each in seen.server_cuts
    )


def no_silence_bars(seen: Evidence, _: Bounds) -> Iterator[str]:
    """Each server that a bar names had another fault than a silence before it."""
    addresses = {each.server: each.address for each in seen.reached}
    for bar in seen.barred:
        for server in bar.servers:
            address = addresses.get(server, -1)
            if not is_unsound(seen, address, 0.0, bar.at_s):
                yield f"{bar.gateway}: {bar.fingerprint} is barred for sound {server}"
