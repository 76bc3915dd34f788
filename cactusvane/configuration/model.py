"""Data model of the service files and of the published configuration.

Names and fields of the classes that service files contain are part of the file format and of error
messages.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated, ClassVar

from annotated_types import Ge, Gt, Le, MinLen

STRICT = {"extra": "forbid"}


class KeyedPolicy(Enum):
    """Handling of requests with an idempotency key while the claim table is down."""

    REFUSE = "refuse"
    SERVE = "serve"


@dataclass(frozen=True, slots=True)
class Route:
    """One path of a service.

    Parameters
    ----------
    path
        Path prefix, matched on complete segments.
    methods
        HTTP methods in upper case.
    idempotent
        Whether the request may safely run twice.
    kind
        Kind of request for reports, for example ``booking``.
    deadline_ms
        Time within which the caller must have the response, in milliseconds.
    latency_ms
        Time within which the response is of full use to the caller, in milliseconds.
    attempts
        Maximum number of targets that one request is sent to.
    priority
        Priority among the routes of a service under overload; 0 is the highest.
    anonymous
        Whether requests need no key of a customer.
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
    anonymous: bool = False


@dataclass(frozen=True, slots=True)
class Objective:
    """Service level objective for one kind of request.

    Parameters
    ----------
    kind
        Kind of request, as routes declare it.
    share
        Share of requests that must succeed in time, between 0 and 1, for example 0.999.
    weight
        Weight of one request of this kind in the report.
    latency_ms
        Latency in milliseconds above which a response does not count as in time.
    """

    __pydantic_config__: ClassVar = STRICT

    kind: Annotated[str, MinLen(1)]
    share: Annotated[float, Gt(0.0), Le(0.99999)] = 0.999
    weight: Annotated[float, Gt(0.0)] = 1.0
    latency_ms: Annotated[int, Ge(1)] = 2_000


@dataclass(frozen=True, slots=True)
class Leaving:
    """Removal of targets.

    Parameters
    ----------
    targets
        Addresses (``ip:port``) of targets that the operators remove by this file.
    drain_ms
        Time that requests in flight may still take after the removal is announced, in
        milliseconds.
    """

    __pydantic_config__: ClassVar = STRICT

    targets: tuple[str, ...] = ()
    drain_ms: Annotated[int, Ge(0), Le(600_000)] = 30_000


@dataclass(frozen=True, slots=True)
class Health:
    """Weights of the costs that ejections balance.

    Parameters
    ----------
    detection_weight
        Cost of requests lost at a failing target, relative to `false_ejection_weight`.
    false_ejection_weight
        Cost of ejecting a healthy target.
    """

    __pydantic_config__: ClassVar = STRICT

    detection_weight: Annotated[float, Gt(0.0)] = 1.0
    false_ejection_weight: Annotated[float, Gt(0.0)] = 1.0


@dataclass(frozen=True, slots=True)
class Service:
    """Content of one service file.

    Parameters
    ----------
    name
        Name of the service, which its targets have on the platform's VM list.
    hosts
        Host names of the service in callers' requests.
    routes
        Routes by path; the longest matching prefix applies.
    targets
        Expected number of targets.
    floor
        Minimum number of targets that stay in use regardless of the evidence.
    slots
        Number of requests that one target runs concurrently.
    connections
        Number of connections that one target accepts from the whole fleet.
    warm_up_ms
        Time over which the load of a new target grows to its regular share, in milliseconds.
    leaving
        Targets to remove, and how long they may drain.
    health
        Weights that determine when a target is ejected.
    objectives
        Service level objectives by kind of request.
    keyed_while_table_down
        Handling of requests with an idempotency key while the claim table is down.
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
    """A route outside the service files, which may split its requests among several services.

    Parameters
    ----------
    host
        Host name, without a port.
    prefix
        Path prefix, which begins and ends with a slash.
    route
        Properties of the requests, such as the deadline; its path and methods are ignored.
    shares
        The services that the requests are sent to; at least one.
    """

    host: str
    prefix: str
    route: Route
    shares: tuple[Share, ...]


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer, whose requests carry one of its keys.

    Parameters
    ----------
    name
        Name of the customer, which targets are told.
    keys
        Its API keys; left out of the representation, since that may be logged.
    rate_per_s
        Requests per second that the whole fleet admits; 0 for no limit.
    burst
        Requests that it admits beyond the rate at once.
    priority
        Priority among the customers; 0 is the highest. It goes before the route's.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False)
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int = 0

    @property
    def is_limited(self) -> bool:
        """Whether the customer has a quota."""
        return self.rate_per_s > 0.0 or self.burst > 0.0


@dataclass(frozen=True, slots=True)
class Head:
    """The row that selects the active configuration.

    Parameters
    ----------
    version
        Version number, which each accepted publish increments by one.
    digest
        Content digest of the `Configuration` in the object store.
    publish_id
        Identifier of the publish, which tells after a lost response whether it was accepted.
    """

    version: int
    digest: str
    publish_id: str


@dataclass(frozen=True, slots=True)
class Configuration:
    """All services of one published version.

    Parameters
    ----------
    services
        Content of the service files.
    rules
        Routes outside the service files; the routes of the files take precedence.
    customers
        Customers that may send requests; without any, requests need no key.
    """

    services: tuple[Service, ...] = ()
    rules: tuple[Rule, ...] = ()
    customers: tuple[Customer, ...] = ()
