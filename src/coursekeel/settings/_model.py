"""The settings of an entry."""

from attrs import field, frozen

from coursekeel.units import MEBIBYTE

__all__ = [
    "PROFILES",
    "EntrySettings",
    "Limits",
    "ListenSettings",
    "OperatorKey",
    "PlatformSettings",
    "Timers",
]


@frozen
class ListenSettings:
    """An address to listen on; with port 0 the kernel chooses the port."""

    host: str = "127.0.0.1"
    port: int = field(default=0, metadata={"least": 0, "most": 65_535})


@frozen
class PlatformSettings:
    """The URL of the platform's services, and the timeout of each call."""

    base_url: str
    timeout_ms: int = field(default=1_000, metadata={"least": 10, "most": 60_000})


@frozen
class OperatorKey:
    """An operator's bearer key, as its SHA-256 in hexadecimal.

    ``may_confirm`` allows the operator to confirm plans.
    """

    name: str
    key_hash: str
    may_confirm: bool = False


@frozen
class Timers:
    """Intervals and timeouts of an entry; docs/design/ explains them."""

    journal_ms: int = field(default=500, metadata={"least": 20, "most": 60_000})
    lease_ms: int = field(default=2_500, metadata={"least": 200, "most": 600_000})
    lease_margin_ms: int = field(default=500, metadata={"least": 50})
    status_ms: int = field(default=1_000, metadata={"least": 20, "most": 60_000})
    evidence_ms: int = field(default=3_000, metadata={"least": 100, "most": 60_000})
    list_ms: int = field(default=2_000, metadata={"least": 20, "most": 60_000})
    configuration_ms: int = field(default=2_000, metadata={"least": 20})
    greeting_ms: int = field(default=1_000, metadata={"least": 20, "most": 60_000})
    isolation_ms: int = field(default=2_500, metadata={"least": 200})
    order_ms: int = field(default=2_000, metadata={"least": 50, "most": 60_000})
    connect_ms: int = field(default=500, metadata={"least": 10, "most": 60_000})
    pulse_ms: int = field(default=50, metadata={"least": 5, "most": 10_000})
    silence_floor_ms: int = field(default=400, metadata={"least": 20})
    request_idle_ms: int = field(default=15_000, metadata={"least": 100})
    claim_batch_ms: int = field(default=3, metadata={"least": 0, "most": 1_000})
    keep_alive_ms: int = field(default=2_000, metadata={"least": 100})
    drain_ms: int = field(default=600_000, metadata={"least": 0})


@frozen
class Limits:
    """Limits on the memory and work of one entry."""

    body_bytes: int = field(default=64 * MEBIBYTE, metadata={"least": 1_024})
    header_bytes: int = field(default=16_384, metadata={"least": 1_024})
    open_streams: int = field(default=2_000, metadata={"least": 1})
    unstored_prompt_bytes: int = field(default=256 * MEBIBYTE, metadata={"least": 0})
    caller_lead_tokens: int = field(default=2_048, metadata={"least": 16})
    max_tokens: int = field(default=65_536, metadata={"least": 1})
    adopted_at_once: int = field(default=8, metadata={"least": 1})
    endpoint_subset: int = field(default=64, metadata={"least": 1})


@frozen
class EntrySettings:
    """All settings of an entry. ``zone`` is its availability zone.

    With ``copies`` a second engine keeps a copy of each run's memory, so that an answer
    resumes without reading its prompt again. Engines that keep no copies ignore it.
    """

    instance_id: str
    zone: str
    platform: PlatformSettings
    operators: tuple[OperatorKey, ...] = ()
    http: ListenSettings = field(factory=ListenSettings)
    peer: ListenSettings = field(factory=ListenSettings)
    timers: Timers = field(factory=Timers)
    limits: Limits = field(factory=Limits)
    copies: bool = True
    seed: int | None = None


PROFILES: dict[str, Timers] = {
    "head_office": Timers(silence_floor_ms=400, journal_ms=500),
    "inspection": Timers(silence_floor_ms=2_000, journal_ms=1_000),
}
