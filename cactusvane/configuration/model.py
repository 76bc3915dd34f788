"""What operators declare about a service, and the whole that a publish accepts."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated, ClassVar

from annotated_types import Ge, Gt, Le, MinLen

STRICT = {"extra": "forbid"}


class KeyedPolicy(Enum):
    """What happens to requests with an idempotency key while the table is down."""

    REFUSE = "refuse"
    SERVE = "serve"


@dataclass(frozen=True, slots=True)
class Route:
    """One path of a service.

    Parameters
    ----------
    path
        Path prefix, matched on whole segments.
    methods
        HTTP methods in upper case.
    idempotent
        Whether running the request twice does no harm.
    kind
        Kind of request for reports, for example ``booking``.
    deadline_ms
        Time within which the caller must have the answer.
    latency_ms
        Time within which the answer is of full use to the caller.
    attempts
        Targets that one request may be sent to at most.
    priority
        Rank among the routes of a service when there is too little room; 0 goes first.
    """

    __pydantic_config__: ClassVar = STRICT

    path: Annotated[str, MinLen(1)]
    methods: Annotated[tuple[str, ...], MinLen(1)]
    idempotent: bool
    kind: Annotated[str, MinLen(1)]
    deadline_ms: Annotated[int, Ge(1), Le(600_000)] = 5_000
    latency_ms: Annotated[int, Ge(1)] = 2_000
    attempts: Annotated[int, Ge(1), Le(10)] = 3
    priority: Annotated[int, Ge(0)] = 0


@dataclass(frozen=True, slots=True)
class Objective:
    """The share of requests of one kind that must be delivered in good order.

    Parameters
    ----------
    kind
        The kind that routes name.
    share
        Between 0 and 1, for example 0.999.
    weight
        How much one request of this kind counts in the report.
    latency_ms
        An answer later than this does not count as in good order.
    """

    __pydantic_config__: ClassVar = STRICT

    kind: Annotated[str, MinLen(1)]
    share: Annotated[float, Gt(0.0), Le(0.99999)] = 0.999
    weight: Annotated[float, Gt(0.0)] = 1.0
    latency_ms: Annotated[int, Ge(1)] = 2_000


@dataclass(frozen=True, slots=True)
class Leaving:
    """How a target leaves.

    Parameters
    ----------
    targets
        Addresses (``ip:port``) that the operators take out with this file.
    drain_ms
        How long work in flight may still take after the notice.
    """

    __pydantic_config__: ClassVar = STRICT

    targets: tuple[str, ...] = ()
    drain_ms: Annotated[int, Ge(0), Le(600_000)] = 30_000


@dataclass(frozen=True, slots=True)
class Health:
    """How evidence is weighed.

    Parameters
    ----------
    detection_weight
        Cost of work lost at a sick target, against `false_ejection_weight`.
    false_ejection_weight
        Cost of a healthy target taken out.
    """

    __pydantic_config__: ClassVar = STRICT

    detection_weight: Annotated[float, Gt(0.0)] = 1.0
    false_ejection_weight: Annotated[float, Gt(0.0)] = 1.0


@dataclass(frozen=True, slots=True)
class Service:
    """One operators' file.

    Parameters
    ----------
    name
        Name of the service; targets on the platform's VM list carry it.
    hosts
        Host names under which callers ask for the service.
    routes
        Paths; the longest matching prefix wins.
    targets
        How many targets the service has when all is well.
    floor
        How many targets must stay in use whatever the evidence says.
    slots
        Requests that one target runs at once.
    connections
        Connections that one target accepts from the whole fleet.
    """

    __pydantic_config__: ClassVar = STRICT

    name: Annotated[str, MinLen(1)]
    hosts: Annotated[tuple[str, ...], MinLen(1)]
    routes: Annotated[tuple[Route, ...], MinLen(1)]
    targets: Annotated[int, Ge(1), Le(10_000)]
    floor: Annotated[int, Ge(1)]
    slots: Annotated[int, Ge(1), Le(10_000)]
    connections: Annotated[int, Ge(1)] = 400
    warm_up_ms: Annotated[int, Ge(0)] = 10_000
    leaving: Leaving = field(default_factory=Leaving)
    health: Health = field(default_factory=Health)
    objectives: tuple[Objective, ...] = ()
    keyed_while_table_down: KeyedPolicy = KeyedPolicy.REFUSE


@dataclass(frozen=True, slots=True)
class Share:
    """The part of a rule's requests that one service gets, in proportion to `weight`."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Rule:
    """A route that names its host and its services itself.

    Parameters
    ----------
    host
        Host name, without a port.
    prefix
        Beginning of the path; begins and ends with a slash.
    route
        What is allowed and within which time; its path and methods are not looked at.
    shares
        The services that its requests go to; at least one.
    """

    host: str
    prefix: str
    route: Route
    shares: tuple[Share, ...]


@dataclass(frozen=True, slots=True)
class Head:
    """The one row that decides which configuration is in force.

    Parameters
    ----------
    version
        Grows by one with each accepted publish.
    digest
        Content digest of the `Configuration` in the object store.
    publish_id
        Identifies the publish, so that a lost answer can be settled.
    """

    version: int
    digest: str
    publish_id: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """All services, as one publish left them.

    Parameters
    ----------
    services
        The operators' files.
    rules
        Routes that stand outside the services' files; those of the files go first.
    """

    services: tuple[Service, ...] = ()
    rules: tuple[Rule, ...] = ()
