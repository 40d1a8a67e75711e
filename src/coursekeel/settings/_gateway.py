"""The settings of one gateway, as one frozen value."""

from attrs import field, frozen

__all__ = ["GatewayListen", "GatewaySettings", "GatewayTimers", "RetryShare"]


@frozen
class GatewayListen:
    """Addresses to listen at, each ``host:port``; one left empty is not opened."""

    callers: str
    readiness: str = ""
    metrics: str = ""


@frozen
class GatewayTimers:
    """Bounds of time, in milliseconds.

    ``belief_ms`` is the greatest age of what is known of keys at which a keyed
    request is still taken; ``configuration_ms`` that at which an unknown route or key
    is called unknown; ``grace_ms`` is the time from SIGTERM to the end.
    """

    belief_ms: int = field(default=3_900, metadata={"least": 100})
    configuration_ms: int = field(default=2_000, metadata={"least": 100})
    grace_ms: int = field(default=8_000, metadata={"least": 500})
    connect_ms: int = field(default=250, metadata={"least": 10, "most": 60_000})
    store_ms: int = field(default=1_000, metadata={"least": 10, "most": 60_000})
    report_ms: int = field(default=150, metadata={"least": 10, "most": 10_000})
    silence_ms: int = field(default=280, metadata={"least": 20})
    endpoints_hold_ms: int = field(default=4_000, metadata={"least": 100})


@frozen
class RetryShare:
    """How many repeats a pool bears, over all instances, in ``window_s``.

    ``ratio`` is of its requests, ``slack`` a number beside that.
    """

    ratio: float = 0.2
    slack: int = 10
    window_s: int = field(default=10, metadata={"least": 1})


@frozen
class GatewaySettings:
    """Everything a gateway is told. ``zone`` is its availability zone."""

    instance_id: str
    zone: str
    listen: GatewayListen
    store: str
    timers: GatewayTimers = field(factory=GatewayTimers)
    retries: RetryShare = field(factory=RetryShare)
    max_open_requests: int = field(default=1_000, metadata={"least": 1})
    log_level: str = "INFO"
    seed: int | None = None
