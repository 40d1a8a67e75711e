"""The settings of a gateway.

Owns the gateway's time limits and the intervals derived from them.
"""

from attrs import field, frozen

from coursekeel.units import MEBIBYTE, MS_PER_SECOND

__all__ = [
    "AnswerSettings",
    "CanarySettings",
    "GatewayListen",
    "GatewaySettings",
    "GatewayTimers",
    "RelaySettings",
    "RetryBudgetSettings",
]


# Shares of `revoke_ms`. When a store outage begins the last confirmation is at most a
# hold old, so an instance accepts keys for at least the difference of these two: 2.9 of
# 5 s. With 0.78 and 0.46 it was 1.6 s, and the mean score of a site's days 0.840 in
# place of 0.902.
_KEY_AGE_SHARE = 0.92
_HOLD_SHARE = 0.34
# Share of `revoke_ms`, longer than a hold and its response, so that an instance that
# reaches the store can always reject an unknown key.
_UNKNOWN_SHARE = 0.52
# Share of `drain_ms`; the rest is for the store's response, the local queue and the
# network. 450 ms at 2 s; with 800 ms a quiet day had 0.801 to 0.810 in place of 0.838.
_GATHERING_SHARE = 0.225
# Shares of `configuration_ms` and `drain_ms`: how long the store holds a request that
# serves other instances too, and how late its response may be. If the store stops
# responding to the requester alone, the others must notice and query elsewhere well
# within the limit (`test_a_holder_that_goes_deaf_keeps_no_change_from_its_zone`). With
# holds of 1.7 and 4 s a change once came into force there after the 2 s allowed.
_SHARED_SHARE = 0.3
_LATE_SHARE = 0.1
# The same where the store's responses are usually late.
_LATEST_SHARE = 0.3
# Share of `configuration_ms`: the longest hold of a request that waits for changes of
# the configuration. With the latest response, which may be lost, and the next query it
# stays below the limit.
_CONFIGURATION_HOLD_SHARE = 0.5
# Shares of `drain_ms`: how long a member of the group may hold a request, and how late
# its response may be. Together with the gathering they bound the delay of a change
# behind a member that stops responding: 0.775 of the limit.
_MEMBER_HOLD_SHARE = 0.4
_MEMBER_SLACK_SHARE = 0.15
# Share of `configuration_ms` for the transfer of a member's response. If the member's
# link takes longer, the store's response arrives sooner. 1,469 routes have 24 kB on the
# way, 40 ms at 5 Mbit/s; the store's own response has 411 kB.
_MEMBER_TRANSFER_SHARE = 0.25
# Share of `drain_ms` for which an endpoint that is missing after an outage takes work.
# The rest is for a process that stops for 0.3 s at a send, and for the request's way.
_MISSING_SHARE = 0.75
# Share of `drain_ms` for which its word that it serves counts, from the request for it.
_OWN_STATE_SHARE = 0.4


@frozen
class GatewayListen:
    """Addresses to listen on, each ``host:port``; an empty one is not opened.

    ``peers`` is for the other instances, over TCP and UDP. All instances must use the
    same port for it; without it this instance has no peers.
    """

    callers: str
    readiness: str = ""
    metrics: str = ""
    peers: str = ""


@frozen
class GatewayTimers:
    """Time limits, each in the unit that its name ends with.

    With ``strict_revoke`` no request runs with a key ``revoke_ms`` after the key was
    revoked, even without the store. Otherwise only an instance that reaches the store
    is bound: by ``configuration_ms``, and by up to ``stretch_ms`` more while the store
    is in trouble.

    ``drain_ms`` after the list shows that an endpoint is leaving, no new work may reach
    it. In ``endpoints_return_ms`` after a store outage of ``endpoints_lapse_ms`` or
    more, endpoints register again: one that is removed in that time may take work for
    a part of ``drain_ms``, and for longer if it says itself that it serves.

    ``grace_s`` is the time from SIGTERM to exit. ``silence_ms`` is the silence after
    which a started stream counts as lost, ``report_ms`` the timeout of a request for an
    endpoint's load.
    """

    revoke_ms: float = field(default=5_000, metadata={"least": 100})
    strict_revoke: bool = True
    configuration_ms: float = field(default=2_000, metadata={"least": 100})
    stretch_ms: float = field(default=5_000, metadata={"least": 0})
    grace_s: float = field(default=8, metadata={"least": 1})
    connect_ms: int = field(default=250, metadata={"least": 10, "most": 60_000})
    store_ms: int = field(default=1_000, metadata={"least": 10, "most": 60_000})
    report_ms: int = field(default=150, metadata={"least": 10, "most": 10_000})
    silence_ms: int = field(default=280, metadata={"least": 20})
    endpoints_hold_ms: int = field(default=4_000, metadata={"least": 100})
    configuration_gathering_ms: int = field(default=200, metadata={"least": 0})
    drain_ms: float = field(default=2_000, metadata={"least": 100})
    endpoints_lapse_ms: int = field(default=1_000, metadata={"least": 0})
    endpoints_return_ms: int = field(default=2_000, metadata={"least": 0})

    @property
    def max_key_age_ms(self) -> float:
        """The greatest age of the cached configuration at which keys are accepted.

        With ``strict_revoke`` the rest of ``revoke_ms`` is for sending the request to
        the endpoint. Without it an instance that reaches the store is bound by
        ``configuration_ms`` and ``stretch_ms`` together, and one that doesn't is not
        bound, so the sum is used for both.
        """
        if self.strict_revoke:
            return _KEY_AGE_SHARE * self.revoke_ms
        return self.configuration_ms + self.stretch_ms

    @property
    def configuration_hold_ms(self) -> float:
        """How long the store holds a request that waits for configuration changes."""
        return min(
            _HOLD_SHARE * self.revoke_ms,
            _CONFIGURATION_HOLD_SHARE * self.configuration_ms,
        )

    @property
    def max_unknown_age_ms(self) -> float:
        """The greatest age of the configuration at which an unknown key is rejected.

        The same holds for unknown routes.
        """
        return _UNKNOWN_SHARE * self.revoke_ms

    @property
    def endpoints_gathering_ms(self) -> float:
        """How long changes of the endpoint list gather before it is requested again.

        At a large site the list changes all the time, and each request has a cost.
        """
        return _GATHERING_SHARE * self.drain_ms

    @property
    def endpoints_missing_ms(self) -> float:
        """How long an endpoint that is missing after an outage may take work."""
        return _MISSING_SHARE * self.drain_ms

    @property
    def endpoints_own_state_ms(self) -> float:
        """How long a missing endpoint's word that it serves counts."""
        return _OWN_STATE_SHARE * self.drain_ms

    @property
    def shared_configuration_hold_ms(self) -> float:
        """The configuration hold of a request that serves other instances too.

        They get a change no sooner than the requester.
        """
        return min(self.configuration_hold_ms, _SHARED_SHARE * self.configuration_ms)

    @property
    def endpoints_query_hold_ms(self) -> float:
        """How long the store holds a request that waits for endpoint changes.

        A response may be lost, which is noticed only after the hold; so it is short
        also at an instance that queries for itself.
        """
        return min(self.endpoints_hold_ms, _SHARED_SHARE * self.drain_ms)

    @property
    def usual_configuration_age_ms(self) -> float:
        """The greatest age of a shared confirmation while the store responds.

        It is the confirmation of the configuration at the instance that queries the
        store for others too.
        """
        return self.shared_configuration_hold_ms + _LATE_SHARE * self.configuration_ms

    @property
    def usual_endpoints_age_ms(self) -> float:
        """The same for the endpoint list, whose changes gather between requests."""
        interval_ms = self.endpoints_gathering_ms + self.endpoints_query_hold_ms
        return interval_ms + _LATE_SHARE * self.drain_ms

    @property
    def configuration_slack(self) -> tuple[float, float]:
        """The least and the greatest limit on a response's delay, in ms."""
        limit_ms = self.configuration_ms
        return _LATE_SHARE * limit_ms, _LATEST_SHARE * limit_ms

    @property
    def endpoints_slack(self) -> tuple[float, float]:
        """The same for the endpoint list."""
        return _LATE_SHARE * self.drain_ms, _LATEST_SHARE * self.drain_ms

    @property
    def member_hold_ms(self) -> float:
        """How long a member of the group may hold another instance's request."""
        return _MEMBER_HOLD_SHARE * self.drain_ms

    @property
    def member_slack_ms(self) -> float:
        """How much later than its hold a member's response may begin."""
        return _MEMBER_SLACK_SHARE * self.drain_ms

    @property
    def member_transfer_ms(self) -> float:
        """How long the transfer of a member's response may take."""
        return _MEMBER_TRANSFER_SHARE * self.configuration_ms

    @property
    def grace_ms(self) -> float:
        """`grace_s` in milliseconds."""
        return self.grace_s * MS_PER_SECOND


@frozen
class RetryBudgetSettings:
    """The retry budget of a pool: retries in ``window_s`` over all instances.

    It is the share ``ratio`` of the pool's requests, plus ``slack`` retries.
    """

    ratio: float = 0.2
    slack: float = 10
    window_s: float = field(default=10, metadata={"least": 1})


@frozen
class CanarySettings:
    """The requests that a canary version may get, over all instances.

    They are the share ``share`` of its pool's requests, plus ``slack`` requests. No
    request may be sent to it ``rollback_ms`` after its fiftieth bad answer.
    """

    share: float = field(default=0.1, metadata={"least": 0, "most": 1})
    slack: float = field(default=50, metadata={"least": 0})
    rollback_ms: float = field(default=5_000, metadata={"least": 1_000})


@frozen
class RelaySettings:
    """Requests that other instances relay here.

    At most ``max_requests`` at a time; 0 to serve none.
    """

    max_requests: int = field(default=300, metadata={"least": 0, "most": 100_000})


@frozen
class AnswerSettings:
    """Bounds on the answers of endpoints.

    A whole answer's body has ``max_body_bytes`` at most, an event of a stream
    ``max_event_bytes``. A longer one counts as no answer: its connection is closed, and
    the request is sent again if it may be, or else fails.

    ``max_unsent_bytes`` bounds all that callers, or members, haven't taken yet; over it
    the connections of those who don't read are closed. ``max_held_bytes`` bounds that
    together with all bodies that are being received, which wait over it.
    """

    max_body_bytes: int = field(default=8 * MEBIBYTE, metadata={"least": 1_024})
    max_event_bytes: int = field(default=MEBIBYTE, metadata={"least": 1_024})
    max_unsent_bytes: int = field(default=12 * MEBIBYTE, metadata={"least": 1_024})
    max_held_bytes: int = field(default=24 * MEBIBYTE, metadata={"least": 1_024})


@frozen
class GatewaySettings:
    """All settings of a gateway. ``zone`` is its availability zone.

    ``max_received_bytes`` bounds the bodies of all open requests; one for which there
    is no room is refused with 503.

    ``seeds`` are addresses of some instances, of which only the host is used. They may
    include instances that are down, and this one.
    """

    instance_id: str
    zone: str
    listen: GatewayListen
    store: str
    timers: GatewayTimers = field(factory=GatewayTimers)
    retries: RetryBudgetSettings = field(factory=RetryBudgetSettings)
    canary: CanarySettings = field(factory=CanarySettings)
    relay: RelaySettings = field(factory=RelaySettings)
    answers: AnswerSettings = field(factory=AnswerSettings)
    max_open_requests: int = field(default=1_000, metadata={"least": 1})
    max_received_bytes: int = field(default=24 * MEBIBYTE, metadata={"least": 1_024})
    log_level: str = "INFO"
    seed: int | None = None
    seeds: tuple[str, ...] = ()
