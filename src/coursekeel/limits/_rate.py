"""How many permits a second the holder of an endpoint gives out.

Rule: an endpoint that names a limit L may get `ALLOWED_FACTOR` times what L allows in
any `WINDOW_S`, and `ALLOWED_EXTRA` more requests, from all instances together. In any
such window at most rate x (`WINDOW_S` + `PERMIT_VALID_S`) + 1 requests are sent under
the permits of one holder: a permit may be used until it lapses, and one may be given at
the window's start. The rate is such that two holders at once keep the bound, for
instances may differ about who the holder is; more than two don't arise
(`limits/_holders.py`). docs/design/endpoint-limits.md has the sums.

An endpoint that names almost nothing is still tried from time to time, since only an
answer can tell that its limit ended.
"""

__all__ = [
    "ALLOWED_EXTRA",
    "ALLOWED_FACTOR",
    "PERMIT_VALID_S",
    "TRIAL_PER_S",
    "WINDOW_S",
    "holder_rate_per_s",
]

# The users' rule on limits that endpoints name.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5.0

# How long after it was asked for a permit may be used: an exchange of datagrams and a
# connection.
PERMIT_VALID_S = 0.3

# Two holders at this rate and no limit at all send 3 requests in a window.
TRIAL_PER_S = 0.1

_HOLDERS_AT_ONCE = 2


def holder_rate_per_s(limit_per_s: float, share: float) -> float:
    """Permits a second that a holder gives out for an endpoint.

    ``share`` is the part of the group's instances that the holder reaches.
    """
    allowed = ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_EXTRA
    used_s = _HOLDERS_AT_ONCE * (WINDOW_S + PERMIT_VALID_S)
    safe_per_s = (allowed - _HOLDERS_AT_ONCE) / used_s
    return max(min(limit_per_s, safe_per_s) * share, TRIAL_PER_S)
