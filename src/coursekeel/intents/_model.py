"""What an operator wants to run: models, endpoints, services, teams and classes."""

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
    """Model engines generate; plain services answer calls."""

    ENGINE = "engine"
    SERVICE = "service"


class Delivery(Enum):
    """When a token may leave for the caller."""

    AT_ONCE = "at_once"
    AFTER_JOURNAL = "after_journal"


@frozen
class ModelName:
    """A model with its adapter and version, which together fix what it generates."""

    model: str
    adapter: str = ""
    version: str = "1"

    def __str__(self) -> str:
        return f"{self.model}:{self.adapter or '-'}:{self.version}"


@frozen
class ModelIntent:
    """A model in use, by the name that callers ask for."""

    name: str
    serves: ModelName


@frozen
class EndpointIntent:
    """One endpoint, what it is for, and whether it checks who orders it.

    ``group`` names the lease under which orders for it are given.
    """

    endpoint_id: str
    kind: EndpointKind = EndpointKind.ENGINE
    models: tuple[str, ...] = ()
    role: str = "mixed"
    group: str = "default"
    checks_epochs: bool = False


@frozen
class RouteIntent:
    """A service's route; a call is repeatable only where the intent says so."""

    path_prefix: str
    methods: tuple[str, ...] = ("GET",)
    repeatable: bool = False


@frozen
class ServiceIntent:
    """A plain service: its endpoints and its routes."""

    name: str
    endpoints: tuple[str, ...]
    routes: tuple[RouteIntent, ...] = ()
    request_class: str = "lookup"
    timeout_ms: int = 5_000


@frozen
class ClassPolicy:
    """How requests of one class are treated.

    ``rank`` orders the classes, lowest first; ``patience_ms`` bounds how long a
    request waits for an endpoint, at its start and after each loss.
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
        """The part of the policy that an answer's core needs."""
        return AnswerPolicy(
            patience_ms=self.patience_ms,
            first_token_ms=self.first_token_ms,
            silence_ms=self.silence_ms,
            races=self.races,
            deaths_before_stop=self.deaths_before_stop,
        )


@frozen
class TeamIntent:
    """A team, the hashes of its bearer keys, what it may use, and its limits."""

    name: str
    key_hashes: tuple[str, ...]
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    request_class: str = "dossier"
    open_answers_limit: int = 256
    weight: float = 1.0


@frozen
class Intent:
    """The whole of what should run, as one value."""

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
        """The model that callers know by this name."""
        model: ModelIntent | None = self._index["models"].get(name)
        return model

    def endpoint(self, endpoint_id: str) -> EndpointIntent | None:
        """The endpoint of this id."""
        endpoint: EndpointIntent | None = self._index["endpoints"].get(endpoint_id)
        return endpoint

    def service(self, name: str) -> ServiceIntent | None:
        """The service of this name."""
        service: ServiceIntent | None = self._index["services"].get(name)
        return service

    def request_class(self, name: str) -> ClassPolicy:
        """The class of this name, or one with the defaults."""
        policy: ClassPolicy | None = self._index["classes"].get(name)
        return policy or ClassPolicy(name)

    def team(self, name: str) -> TeamIntent | None:
        """The team of this name."""
        team: TeamIntent | None = self._index["teams"].get(name)
        return team

    def engines_of(self, model_name: str) -> list[EndpointIntent]:
        """The engines that are to serve a model."""
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
