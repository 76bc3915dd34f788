"""Fair sharing of a service's capacity among customers, while there is too little of it.

Each entry tells the others of its group the expected work of its requests in flight, by service and
customer. From the sums each of them decides alone whether a request takes its customer beyond the
max-min fair share of the capacity: the largest level at which the work of all customers, each
counted up to the level, fits into the slots. Customers of a higher priority are served first, so
only what they leave is shared among the customers of a lower one. Anonymous requests count
together as one customer, with an empty name.

Performs no I/O; the current time is passed in. Only customers with work in flight occupy memory.
Work is counted in whole milliseconds, so that sums return to zero exactly.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from math import inf

from cactusvane.configuration.model import Configuration
from cactusvane.placement.messages import RequestProfile, ShareInputs
from cactusvane.placement.target import Target

MIN_WORK_MS = 1
"""Least expected work of a request, so that a customer with a request in flight is counted."""


@dataclass(frozen=True, slots=True)
class Capacity:
    """Capacity of a service, and how much of it is in use.

    Parameters
    ----------
    slots
        Slots of its usable targets in the own failure domain.
    load
        Requests in flight of the entries of the group at all of its targets.
    """

    slots: int
    load: int


def measure_capacity(
    targets: Iterable[Target], failure_domain: str, is_usable: Callable[[Target], bool]
) -> Capacity:
    """Return the capacity of the given targets.

    Parameters
    ----------
    targets
        All targets of the service.
    failure_domain
        The own failure domain; load and slots of others are not known well enough.
    is_usable
        Returns whether a target gets new requests.
    """
    slots, load = 0, 0
    for target in targets:
        load += target.load
        if target.vm.failure_domain == failure_domain and is_usable(target):
            slots += target.slots
    return Capacity(slots, load)


def water_level(works: Iterable[float], capacity: float) -> float:
    """Return the max-min fair share of one customer in a capacity; infinite if all work fits.

    Parameters
    ----------
    works
        Work of each customer.
    capacity
        Work that fits, in the same unit.

    Examples
    --------
    >>> water_level([1, 2, 9], 9.0)
    6.0
    >>> water_level([1, 2, 3], 9.0)
    inf
    """
    left = max(0.0, capacity)
    ascending = sorted(works)
    for number, work in enumerate(ascending):
        level = left / (len(ascending) - number)
        if work > level:
            return level
        left -= work
    return inf


class WorkInFlight:
    """Expected work by customer, without customers that have none."""

    def __init__(self) -> None:
        self.by_customer: dict[str, int] = {}

    def add(self, customer: str, work_ms: int) -> None:
        """Add work in milliseconds; a negative number subtracts it."""
        total_ms = self.by_customer.get(customer, 0) + work_ms
        if total_ms > 0:
            self.by_customer[customer] = total_ms
        else:
            self.by_customer.pop(customer, None)

    def of(self, customer: str) -> int:
        """Return the work of one customer in milliseconds."""
        return self.by_customer.get(customer, 0)


@dataclass(frozen=True, slots=True)
class StartedWork:
    """Expected work of one request in flight, until its attempt ends.

    Parameters
    ----------
    shares
        Where it is counted.
    customer
        Name of the request's customer.
    work_ms
        Its expected work in milliseconds.
    """

    shares: ServiceShares
    customer: str
    work_ms: int

    def end(self) -> None:
        """Count the work no longer; to be called once."""
        self.shares.own.add(self.customer, -self.work_ms)


class ServiceShares:
    """Expected work in flight of one service by customer, and the fair share of each.

    Parameters
    ----------
    priorities
        Priorities of customers, without those of priority 0.
    age_ms
        Returns the age of the oldest update that counts, in milliseconds, at the given time.

    Attributes
    ----------
    own, peers
        Work of this entry's requests, and of those of the other entries of its group.
    """

    def __init__(self, priorities: dict[str, int], age_ms: Callable[[float], float | None]) -> None:
        self.priorities = priorities
        self.age_ms = age_ms
        self.own = WorkInFlight()
        self.peers = WorkInFlight()

    def start(self, customer: str, expected_ms: float) -> StartedWork:
        """Count a request that is sent to a target; its end is reported to the result."""
        work_ms = max(MIN_WORK_MS, round(expected_ms))
        self.own.add(customer, work_ms)
        return StartedWork(self, customer, work_ms)

    def work_ms(self, customer: str) -> int:
        """Return the work in flight of a customer over all entries of the group."""
        return self.own.of(customer) + self.peers.of(customer)

    def works(self) -> dict[str, int]:
        """Return the work in flight of all customers over all entries of the group."""
        peers = self.peers.by_customer
        both = {name: work + peers.get(name, 0) for name, work in self.own.by_customer.items()}
        return {**peers, **both}

    def is_beyond(self, profile: RequestProfile, expected_ms: float, capacity: Capacity) -> bool:
        """Return whether a request takes its customer beyond its fair share of the capacity.

        The level is below the customer's work exactly if the work of all customers, each counted
        up to that of this one, does not fit. A customer without work in flight is never beyond its
        share; otherwise many customers with one request each would hold each other back.
        """
        own_ms = self.work_ms(profile.customer)
        if own_ms == 0:
            return False
        wanted_ms = own_ms + expected_ms
        others, room_ms = self.competition(profile, capacity)
        return wanted_ms + sum(min(work, wanted_ms) for work in others) > room_ms

    def competition(
        self, profile: RequestProfile, capacity: Capacity
    ) -> tuple[Collection[int], float]:
        """Return the work of each other customer of the same priority, and the room for all.

        The room is the work that fits into the slots, less the work of customers of a higher
        priority. Work fits as the mean request in flight does: long requests are in flight for
        longer, so it exceeds the mean of all requests.
        """
        works = self.works()
        priority = profile.customer_priority
        others: list[int] = []
        total_ms, urgent_ms = 0, 0
        for customer, work_ms in works.items():
            total_ms += work_ms
            its_priority = self.priorities.get(customer, 0)
            if its_priority < priority:
                urgent_ms += work_ms
            elif its_priority == priority and customer != profile.customer:
                others.append(work_ms)
        if capacity.slots == 0 or capacity.load == 0:
            return others, inf
        return others, max(0.0, capacity.slots * total_ms / capacity.load - urgent_ms)

    def inputs(
        self, profile: RequestProfile, expected_ms: float, capacity: Capacity, now: float
    ) -> ShareInputs:
        """Return what a decision about a request is based on, for the log."""
        others, room_ms = self.competition(profile, capacity)
        work_ms = self.work_ms(profile.customer)
        level_ms = water_level([*others, work_ms + expected_ms], room_ms)
        age_ms = self.age_ms(now)
        return ShareInputs(
            work_ms=work_ms,
            share_ms=None if level_ms == inf else round(level_ms),
            customers=len(others) + 1,
            slots=capacity.slots,
            load=capacity.load,
            age_ms=None if age_ms is None else round(age_ms),
        )


class FairSharing:
    """The shares of all services of one entry; empty if the configuration has no customers.

    Parameters
    ----------
    age_ms
        As for `ServiceShares`.
    """

    def __init__(self, age_ms: Callable[[float], float | None]) -> None:
        self.age_ms = age_ms
        self.services: dict[str, ServiceShares] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; the work of services that stay is kept."""
        if not configuration.customers:
            self.services = {}
            return
        priorities = {each.name: each.priority for each in configuration.customers if each.priority}
        before = self.services
        self.services = {
            service.name: before.get(service.name) or ServiceShares(priorities, self.age_ms)
            for service in configuration.services
        }
        for shares in self.services.values():
            shares.priorities = priorities

    def forget_peers(self) -> None:
        """Drop the work of all other entries, before it is added anew."""
        for shares in self.services.values():
            shares.peers = WorkInFlight()

    def add_peer(self, customer_work: dict[str, dict[str, int]], sign: int) -> None:
        """Add the work that another entry reports, or subtract it (`sign` -1)."""
        for service, works in customer_work.items():
            shares = self.services.get(service)
            if shares is not None:
                for customer, work_ms in works.items():
                    shares.peers.add(customer, sign * work_ms)

    def to_send(self) -> dict[str, dict[str, int]] | None:
        """Return this entry's work by service and customer; None if there is none."""
        works = {
            name: dict(shares.own.by_customer)
            for name, shares in self.services.items()
            if shares.own.by_customer
        }
        return works or None
