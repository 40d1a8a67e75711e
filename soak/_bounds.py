"""What a group was told to keep, and who counts as sound or in touch at a moment."""

from attrs import frozen

from soak._records import CallRecord, Evidence

__all__ = ["Bounds", "is_excused_by_its_gateway", "is_in_touch", "is_unsound"]


@frozen
class Bounds:
    """Times that the group was told to keep, and sizes that it must not pass.

    ``contact_s`` after its last fault the store binds again, by the users' rules, and
    ``late_s`` after a request's time limit its final answer is late.
    """

    revoke_s: float
    drain_s: float
    contact_s: float
    whole_again_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    grace_s: float = 6.0
    late_s: float = 0.5
    memory_mb: float = 160.0
    descriptors: int = 600
    log_lines_s: float = 400.0


def is_in_touch(seen: Evidence, gateway: int, at_s: float, bounds: Bounds) -> bool:
    """Whether a gateway ran and reached the store for long enough before a moment."""
    since_s = at_s - bounds.contact_s
    return not any(
        each.gateway == gateway and each.begun_s < at_s and each.ended_s > since_s
        for each in seen.gateway_faults + seen.link_faults
    )


def is_excused_by_its_gateway(seen: Evidence, call: CallRecord, bounds: Bounds) -> bool:
    """Whether its gateway was away around a call, or past the grace of its stop."""
    since_s = call.sent_s - bounds.contact_s
    away = any(
        each.gateway == call.gateway
        and each.begun_s < call.ended_s
        and each.ended_s > since_s
        for each in seen.gateway_outages
    )
    return away or any(
        each.gateway == call.gateway
        and each.begun_s + bounds.grace_s < call.ended_s
        and each.ended_s > call.sent_s
        for each in seen.gateway_stops
    )


def is_unsound(seen: Evidence, address: int, since_s: float, until_s: float) -> bool:
    """Whether a server had another fault than a silence between two moments."""
    return any(
        each.address == address and each.begun_s < until_s and each.ended_s > since_s
        for each in seen.server_faults
    )
