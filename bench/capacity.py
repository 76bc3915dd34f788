"""What each part costs as it grows, and the lines through the figures: ``make bench-capacity``."""

import gc
import itertools
import subprocess
import sys
from collections.abc import Callable
from random import Random

import msgspec

from bench.population import configuration, members, service, targets
from bench.slope import Fit, Point, cpu_us, fit
from cactusvane.configuration.digest import decode, encode
from cactusvane.configuration.routes import RoutingTable
from cactusvane.fleet import cells
from cactusvane.fleet.membership import Membership
from cactusvane.fleet.messages import Envelope, Listed, Member, Received, Rumor, Status
from cactusvane.fleet.messages import Ticked as FleetTicked
from cactusvane.pool.keeper import Keeper
from cactusvane.pool.messages import (
    AttemptEnded,
    AttemptStarted,
    EvidenceReported,
    Outcome,
    TargetCounts,
    TargetsListed,
    Ticked,
)
from cactusvane.pool.pool import Pool

SIZES = (1_000, 10_000, 88_000)
POOL_SIZES = (6, 34, 200)
FLEET_SIZES = (48, 500, 5_700)
PARTS = ("routes", "pools", "keepers", "membership")


def resident(part: str, size: int) -> float:
    """Return the memory of a part in MB, measured in a process of its own."""
    command = [sys.executable, "-m", "bench.resident", part, str(size)]
    done = subprocess.run(command, check=True, capture_output=True, text=True, timeout=120)
    return float(done.stdout)


def memory() -> list[Fit]:
    """Measure resident memory by size."""
    return [
        fit(f"memory of {part}", "MB", "item", [Point(n, resident(part, n)) for n in SIZES])
        for part in PARTS
    ]


def sweep(name: str, sizes: tuple[int, ...], per: str, measure: Callable[[int], float]) -> Fit:
    """Measure processor time at each size, in microseconds a call."""
    points = []
    for size in sizes:
        points.append(Point(size, measure(size)))
        gc.collect()
    return fit(name, "us", per, points)


def find_route(size: int) -> float:
    """Measure one lookup among `size` routes."""
    table = RoutingTable(configuration(size))
    hosts = itertools.cycle([f"service-{i}.example" for i in range(0, size // 34, 7)])
    return cpu_us(lambda: table.find(next(hosts), "GET", "/area-7/item-3/17"), 20_000)


def change_service(size: int) -> float:
    """Measure the change of one service of 34 routes among `size` routes."""
    table = RoutingTable(configuration(size))
    changed = itertools.cycle([service(5), service(6)])
    return cpu_us(lambda: table.replace_service(next(changed)), 500)


def decode_configuration(size: int) -> float:
    """Measure decoding a whole configuration of `size` routes."""
    data = encode(configuration(size))
    return cpu_us(lambda: decode(data), 1 if size > SIZES[0] else 20)


def filled_pool(size: int) -> Pool:
    """Return a pool of `size` targets."""
    pool = Pool(service(0), "zone-0", Random(1))
    pool.handle(TargetsListed(targets((service(0),), size)[0]), 0.0)
    return pool


def request(size: int) -> float:
    """Measure the decisions about one request at a pool of `size` targets."""
    pool = filled_pool(size)
    now = itertools.count(20_000)

    def one() -> None:
        moment = float(next(now))
        chosen = pool.choose(moment)
        assert chosen is not None
        pool.handle(AttemptStarted(chosen.address), moment)
        pool.handle(AttemptEnded(chosen.address, Outcome.SERVED, 25.0), moment + 25.0)

    return cpu_us(one, 5_000)


def tick_pool(size: int) -> float:
    """Measure one tick of a quiet pool."""
    pool = filled_pool(size)
    now = itertools.count(20_000, 100)
    return cpu_us(lambda: pool.handle(Ticked(), float(next(now))), 2_000)


def report_to_keeper(size: int) -> float:
    """Measure a report of successes of all targets at a keeper."""
    keeper = Keeper(service(0))
    vms = targets((service(0),), size)[0]
    keeper.handle(TargetsListed(vms), 0.0)
    counts = tuple(TargetCounts(vm.address, served=20, in_time=20) for vm in vms)
    report = EvidenceReported("vm-1", "zone-0", counts)
    now = itertools.count(20_000)
    return cpu_us(lambda: keeper.handle(report, float(next(now))), 500)


def filled_membership(size: int) -> Membership:
    """Return the beliefs about `size` VMs."""
    vms = members(size)
    membership = Membership(vms[0], Random(1))
    membership.handle(Listed(vms), 0.0)
    membership.rumors.clear()
    return membership


def tick_membership(size: int) -> float:
    """Measure one tick of a fleet in which nothing happens."""
    membership = filled_membership(size)
    now = itertools.count(10_000_000, 100)
    return cpu_us(lambda: membership.handle(FleetTicked(), float(next(now))), 200)


def hear_death(size: int) -> float:
    """Measure a message that says a VM is dead and one that says it came back."""
    membership = filled_membership(size)
    vms = members(size)
    beliefs = itertools.count(1)

    def one() -> None:
        number = next(beliefs)
        status = Status.DEAD if number % 2 else Status.ALIVE
        update = Member(vms[2], number, status)
        envelope = Envelope(Member(vms[1]), Rumor(), (update,))
        membership.handle(Received(envelope), 10_000_000.0)

    return cpu_us(one, 200)


def find_keepers(size: int) -> float:
    """Measure finding the keepers of one cell."""
    vms = members(size)
    names = itertools.count()
    return cpu_us(lambda: cells.keepers(f"service-{next(names)}", vms), 5)


def processor() -> list[Fit]:
    """Measure processor time by size."""
    return [
        sweep("find a route", SIZES, "route", find_route),
        sweep("change a service's routes", SIZES, "route", change_service),
        sweep("decode a configuration", SIZES, "route", decode_configuration),
        sweep("decide a request", POOL_SIZES, "target", request),
        sweep("tick a pool", POOL_SIZES, "target", tick_pool),
        sweep("report at a keeper", POOL_SIZES, "target", report_to_keeper),
        sweep("tick the membership", FLEET_SIZES, "VM", tick_membership),
        sweep("hear of one VM", FLEET_SIZES, "VM", hear_death),
        sweep("find the keepers of a cell", FLEET_SIZES, "VM", find_keepers),
    ]


def bytes_of() -> list[Fit]:
    """Measure the length of stored forms."""
    stored = [Point(n, len(encode(configuration(n)))) for n in SIZES]
    return [fit("stored configuration", "bytes", "route", stored)]


def row(line: Fit) -> str:
    """Return one line of the table."""
    points = "  ".join(f"{point.size:g}: {point.cost:.4g}" for point in line.points)
    return (
        f"{line.name:28} {line.unit:>6}/{line.per:7} slope {line.slope:10.4g} "
        f"from {line.intercept:10.4g}  r2 {line.r2:.3f}   {points}"
    )


def main() -> None:
    """Measure, print a table, and one line of JSON last."""
    fits = [*memory(), *bytes_of(), *processor()]
    for line in fits:
        print(row(line))
    print(msgspec.json.encode(fits).decode())


if __name__ == "__main__":
    main()
