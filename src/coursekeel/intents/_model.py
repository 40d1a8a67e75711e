"""The intent of an operator: models, endpoints, services, teams and classes."""

from enum import Enum
from typing import Any

from attrs import field, frozen

from coursekeel.answers import AnswerPolicy
from coursekeel.units import MEBIBYTE

__all__ = [
    "CLASS_PROFILES",
    "ClassPolicy",
    "Delivery",
    "EndpointIntent",
    "EndpointKind",
    "Intent",
    "ModelIntent",
    "ModelName",
    "RouteIntent",
    "ServiceIntent",
    "TeamIntent",
]


class EndpointKind(Enum):
    """Whether an endpoint is a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class Delivery(Enum):
    """When a token may be sent to the caller: at once, or once it is journalled."""

    AT_ONCE = "at_once"
    AFTER_JOURNAL = "after_journal"


@frozen
class ModelName:
    """A model with its adapter and version, which together determine its tokens."""

    model: str
    adapter: str = ""
    version: str = "1"

    def __str__(self) -> str:
        return f"{self.model}:{self.adapter or '-'}:{self.version}"


@frozen
class ModelIntent:
    """A model in use; callers request it by ``name``."""

    name: str
    serves: ModelName


@frozen
class EndpointIntent:
    """One endpoint and what it serves.

    ``group`` names the lease whose holder may send it orders. ``checks_epochs`` says
    that the endpoint rejects orders with an old epoch of that lease.
    """

    endpoint_id: str
    kind: EndpointKind = EndpointKind.ENGINE
    models: tuple[str, ...] = ()
    role: str = "mixed"
    group: str = "default"
    checks_epochs: bool = False


@frozen
class RouteIntent:
    """A route of a service; ``repeatable`` calls may be sent more than once."""

    path_prefix: str
    methods: tuple[str, ...] = ("GET",)
    repeatable: bool = False


@frozen
class ServiceIntent:
    """A plain service with its endpoints and routes."""

    name: str
    endpoints: tuple[str, ...]
    routes: tuple[RouteIntent, ...] = ()
    request_class: str = "lookup"
    timeout_ms: int = 5_000


@frozen
class ClassPolicy:
    """Limits and priorities of one request class.

    ``rank`` orders the classes, lowest first. ``patience_ms`` is the longest wait for
    an endpoint, at the start and after each loss. ``keep_s`` is how long results and
    claims are kept.
    """

    name: str
    rank: int = 1
    durable: bool = False
    delivery: Delivery = Delivery.AT_ONCE
    patience_ms: int = 30_000
    first_token_ms: int = 10_000
    silence_ms: int = 1_000
    races: bool = True
    deaths_before_stop: int = 3
    keep_s: int = 3_600
    body_limit_bytes: int = 64 * MEBIBYTE
    queue_limit: int = 1_000
    retry_share: float = 0.2

    def answer_policy(self) -> AnswerPolicy:
        """The part of the policy that `AnswerCore` needs."""
        return AnswerPolicy(
            patience_ms=self.patience_ms,
            first_token_ms=self.first_token_ms,
            silence_ms=self.silence_ms,
            races=self.races,
            deaths_before_stop=self.deaths_before_stop,
        )


@frozen
class TeamIntent:
    """A team: its API keys' SHA-256 hashes, what it may use, and its limits."""

    name: str
    key_hashes: tuple[str, ...]
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    request_class: str = "dossier"
    open_answers_limit: int = 256
    weight: float = 1.0


@frozen
class Intent:
    """Everything that should run, as one value."""

    models: tuple[ModelIntent, ...] = ()
    endpoints: tuple[EndpointIntent, ...] = ()
    services: tuple[ServiceIntent, ...] = ()
    classes: tuple[ClassPolicy, ...] = ()
    teams: tuple[TeamIntent, ...] = ()
    loads_per_minute: int = 6
    _index: dict[str, Any] = field(factory=dict, init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        self._index.update(
            models={model.name: model for model in self.models},
            endpoints={endpoint.endpoint_id: endpoint for endpoint in self.endpoints},
            services={service.name: service for service in self.services},
            classes={policy.name: policy for policy in self.classes},
            teams={team.name: team for team in self.teams},
        )

    def model(self, name: str) -> ModelIntent | None:
        """The model that callers request by this name, if there is one."""
        model: ModelIntent | None = self._index["models"].get(name)
        return model

    def endpoint(self, endpoint_id: str) -> EndpointIntent | None:
        """The endpoint with this id, if there is one."""
        endpoint: EndpointIntent | None = self._index["endpoints"].get(endpoint_id)
        return endpoint

    def service(self, name: str) -> ServiceIntent | None:
        """The service with this name, if there is one."""
        service: ServiceIntent | None = self._index["services"].get(name)
        return service

    def request_class(self, name: str) -> ClassPolicy:
        """The class with this name, or one with default values."""
        policy: ClassPolicy | None = self._index["classes"].get(name)
        return policy or ClassPolicy(name)

    def team(self, name: str) -> TeamIntent | None:
        """The team with this name, if there is one."""
        team: TeamIntent | None = self._index["teams"].get(name)
        return team

    def engines_of(self, model_name: str) -> list[EndpointIntent]:
        """The engines that should serve a model."""
        return [
            endpoint
            for endpoint in self.endpoints
            if endpoint.kind is EndpointKind.ENGINE and model_name in endpoint.models
        ]


CLASS_PROFILES: dict[str, ClassPolicy] = {
    "dossier": ClassPolicy(
        "dossier", rank=2, durable=True, silence_ms=600, races=True, patience_ms=60_000
    ),
    "lookup": ClassPolicy("lookup", rank=1, patience_ms=2_000, keep_s=86_400),
    "defect_review": ClassPolicy(
        "defect_review",
        rank=2,
        durable=True,
        delivery=Delivery.AFTER_JOURNAL,
        silence_ms=4_000,
        races=False,
        patience_ms=300_000,
        first_token_ms=30_000,
    ),
    "label_check": ClassPolicy("label_check", rank=1, patience_ms=2_000, keep_s=86_400),
}
