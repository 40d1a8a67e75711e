"""The settings of one entry, as one frozen value."""

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
    """An address to listen at; port 0 lets the kernel choose."""

    host: str = "127.0.0.1"
    port: int = field(default=0, metadata={"least": 0, "most": 65_535})


@frozen
class PlatformSettings:
    """Where the platform's services are."""

    base_url: str
    timeout_ms: int = field(default=1_000, metadata={"least": 10, "most": 60_000})


@frozen
class OperatorKey:
    """An operator's bearer key, kept as the SHA-256 of the key in hexadecimal."""

    name: str
    key_hash: str
    may_confirm: bool = False


@frozen
class Timers:
    """Intervals and limits of time. Each is weighed in docs/design/."""

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
    """Bounds that keep one entry within its instance."""

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
    """Everything an entry is told. ``zone`` is its availability zone.

    With ``copies`` each run's memory is kept by a second engine as it grows, so that
    an answer goes on without reading its prompt again; engines that keep none ignore
    it.
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
