"""Configurations, targets and VMs of any size, in the proportions of the intended fleet size."""

from cactusvane.configuration.model import Configuration, Route, Service
from cactusvane.fleet.vm import Address, Vm

ROUTES_PER_SERVICE = 34
TARGETS_PER_SERVICE = 34
FAILURE_DOMAINS = 4
PORT = 8080


def configuration(size: int) -> Configuration:
    """Return a configuration with about `size` routes, and as many targets."""
    count = max(1, round(size / ROUTES_PER_SERVICE))
    return Configuration(tuple(service(index) for index in range(count)))


def service(index: int) -> Service:
    """Return the service with the given index."""
    routes = tuple(
        Route(f"/area-{index}/item-{place}", ("GET",), True, "lookup")
        for place in range(ROUTES_PER_SERVICE)
    )
    return Service(
        name=f"service-{index}",
        hosts=(f"service-{index}.example",),
        routes=routes,
        targets=TARGETS_PER_SERVICE,
        floor=TARGETS_PER_SERVICE * 2 // 3,
        slots=4,
    )


def targets(services: tuple[Service, ...], size: int) -> list[tuple[Vm, ...]]:
    """Return about `size` targets, distributed evenly over the services."""
    share = max(1, size // len(services))
    return [
        tuple(target(number * share + place, owner.name) for place in range(share))
        for number, owner in enumerate(services)
    ]


def target(index: int, owner: str) -> Vm:
    """Return the target with the given index."""
    domain = f"zone-{index % FAILURE_DOMAINS}"
    return Vm(f"target-{index}", address(10, index), domain, service=owner)


def members(size: int) -> tuple[Vm, ...]:
    """Return the VMs of a fleet of `size` VMs."""
    return tuple(
        Vm(f"vm-{i}", address(11, i), f"zone-{i % FAILURE_DOMAINS}", peer=address(12, i))
        for i in range(size)
    )


def address(network: int, index: int) -> Address:
    """Return an address of a network; addresses are distinct for indexes below 2^24."""
    return Address(f"{network}.{index >> 16}.{index >> 8 & 255}.{index & 255}", PORT)
