"""The settings of one gateway, as one frozen value.

Owns the gateway's bounds of time and what follows from them. Deployments set their own.
"""

from attrs import field, frozen

from coursekeel.units import MS_PER_SECOND

__all__ = [
    "CanaryShare",
    "GatewayListen",
    "GatewaySettings",
    "GatewayTimers",
    "RetryShare",
]


# Shares of `revoke_ms`. A proof is at most a hold old when the store goes, so an
# instance still acts on keys for 2.9 of 5 s then. With 0.78 and 0.46 it was 1.6 s, and
# the mean score of a site's days 0.840 in place of 0.902.
_KEY_AGE_SHARE = 0.92
_HOLD_SHARE = 0.34  # see above
# More than a hold and its answer, so that an instance in touch with the store can
# always call a key unknown.
_UNKNOWN_SHARE = 0.52
# Of `drain_ms`; the rest is for the store's answer, for the queue here, and for the way
# there. 450 ms at 2 s: with 800 ms a quiet day had 0.801 to 0.810 in place of 0.838.
_GATHERING_SHARE = 0.225
# Of `configuration_ms` and `drain_ms`: how long the store holds a question that is
# asked for others too, and how much later its answer may come. The store may fall
# silent for the one that asks while the others could reach it; they must notice, and
# ask elsewhere, well within the bound. With holds of 1.7 and 4 s a change was once in
# force for them after more than the 2 s allowed
# (`test_a_holder_that_goes_deaf_keeps_no_change_from_its_zone`).
_SHARED_SHARE = 0.3
_LATE_SHARE = 0.1  # see above
# Of `drain_ms`, how long a member of the group may hold a question, and how much later
# its answer may come. With the gathering they bound how late the news of an endpoint
# that leaves comes past a member that fell silent: 0.775 of the bound.
_MEMBER_HOLD_SHARE = 0.4
_MEMBER_SLACK_SHARE = 0.15  # see above
# Of `configuration_ms`, how long a member's answer may take from its head to its end. A
# whole configuration of 1,469 routes has 24 kB on the way, 40 ms at 5 Mbit/s; from a
# member whose link is full the store's own, of 411 kB, is sooner here.
_MEMBER_TRANSFER_SHARE = 0.25


@frozen
class GatewayListen:
    """Addresses to listen at, each ``host:port``; one left empty is not opened.

    ``peers`` is for the other instances, by TCP and UDP. They are all found at the same
    port; without it this instance knows none.
    """

    callers: str
    readiness: str = ""
    metrics: str = ""
    peers: str = ""


@frozen
class GatewayTimers:
    """Bounds of time, each in the unit its name ends with.

    ``revoke_ms`` after a key was taken away no request with it may run, whatever this
    instance could learn, if ``strict_revoke``. Otherwise only an instance that reaches
    the store is bound: by ``configuration_ms``, and by up to ``stretch_ms`` more while
    the store is in trouble. ``grace_s`` is the time from SIGTERM to the end.
    ``drain_ms`` after the list says that an endpoint leaves nothing new may reach it.
    After an outage of the store of ``endpoints_lapse_ms`` or more, endpoints whose
    entries are missing count as gone only ``endpoints_return_ms`` after its return:
    about two seconds by the users' news. ``silence_ms`` is how long a stream that has
    begun may be silent before its run counts as lost; ``report_ms`` how long an
    endpoint has to answer a question for its load, which takes it a few ms even when it
    is full.
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
        """The greatest age of what is known of keys at which one is still acted on.

        With ``strict_revoke`` the rest of ``revoke_ms`` is for the way to the endpoint.
        Without it an instance that reaches a store in trouble is bound by
        ``configuration_ms`` and ``stretch_ms`` together, counted from when a caller
        sent its request, and one that doesn't reach it isn't bound: so what is known is
        served for that long. 7 s in place of 4.6 s at the usual bounds: in an outage of
        8 s 0.024 in place of 0.038 of all requests were refused, and a mean worth of
        0.617 in place of 0.605 (20 days with trouble at a site of 6 instances, four
        seeds each).
        """
        if self.strict_revoke:
            return _KEY_AGE_SHARE * self.revoke_ms
        return self.configuration_ms + self.stretch_ms

    @property
    def configuration_hold_ms(self) -> float:
        """How long the store holds a question for changes of the configuration."""
        return _HOLD_SHARE * self.revoke_ms

    @property
    def max_unknown_age_ms(self) -> float:
        """The greatest age at which an unknown route or key is called unknown."""
        return _UNKNOWN_SHARE * self.revoke_ms

    @property
    def endpoints_gathering_ms(self) -> float:
        """How long changes of the list gather before it is asked for again.

        The list changes all the time at a large site, and each instance pays for each
        call: with 450 ms for any ``drain_ms``, 62 instances spent a tenth of all that
        their site earned on them.
        """
        return _GATHERING_SHARE * self.drain_ms

    @property
    def shared_configuration_hold_ms(self) -> float:
        """The same for whoever asks for others too: they learn no sooner than it."""
        return min(self.configuration_hold_ms, _SHARED_SHARE * self.configuration_ms)

    @property
    def shared_endpoints_hold_ms(self) -> float:
        """How long the store holds one after the list that is asked for others too."""
        return min(self.endpoints_hold_ms, _SHARED_SHARE * self.drain_ms)

    @property
    def configuration_peace_ms(self) -> float:
        """How old the proof of whoever asks for others gets while the store answers."""
        return self.shared_configuration_hold_ms + _LATE_SHARE * self.configuration_ms

    @property
    def endpoints_peace_ms(self) -> float:
        """The same for the list, whose changes gather before it is asked for again."""
        held_ms = self.endpoints_gathering_ms + self.shared_endpoints_hold_ms
        return held_ms + _LATE_SHARE * self.drain_ms

    @property
    def member_hold_ms(self) -> float:
        """How long a member of the group may hold a question."""
        return _MEMBER_HOLD_SHARE * self.drain_ms

    @property
    def member_slack_ms(self) -> float:
        """How much later than its hold a member's answer may come."""
        return _MEMBER_SLACK_SHARE * self.drain_ms

    @property
    def member_transfer_ms(self) -> float:
        """How long a member's answer may take once it has begun."""
        return _MEMBER_TRANSFER_SHARE * self.configuration_ms

    @property
    def grace_ms(self) -> float:
        """The grace in milliseconds."""
        return self.grace_s * MS_PER_SECOND


@frozen
class RetryShare:
    """How many repeats a pool bears, over all instances, in ``window_s``.

    ``ratio`` is of its requests, ``slack`` a number beside that.
    """

    ratio: float = 0.2
    slack: float = 10
    window_s: float = field(default=10, metadata={"least": 1})


@frozen
class CanaryShare:
    """What a version that is tried may get, over all instances.

    ``share`` is of its pool's requests, ``slack`` a number beside that. Nothing more
    may be sent to it ``rollback_ms`` after its fiftieth bad answer.
    """

    share: float = field(default=0.1, metadata={"least": 0, "most": 1})
    slack: float = field(default=50, metadata={"least": 0})
    rollback_ms: float = field(default=5_000, metadata={"least": 1_000})


@frozen
class GatewaySettings:
    """Everything a gateway is told. ``zone`` is its availability zone.

    ``seeds`` are addresses of some instances, of which only the host counts; they may
    be down, or this one's own.
    """

    instance_id: str
    zone: str
    listen: GatewayListen
    store: str
    timers: GatewayTimers = field(factory=GatewayTimers)
    retries: RetryShare = field(factory=RetryShare)
    canary: CanaryShare = field(factory=CanaryShare)
    max_open_requests: int = field(default=1_000, metadata={"least": 1})
    log_level: str = "INFO"
    seed: int | None = None
    seeds: tuple[str, ...] = ()
