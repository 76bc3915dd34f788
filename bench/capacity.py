"""Measure memory, CPU time and bytes of each part by size, with fits: ``make bench-capacity``."""

import asyncio
import gc
import itertools
import subprocess
import sys
from collections.abc import Callable
from dataclasses import replace
from random import Random

import msgspec

from bench.messages import measure_messages
from bench.population import configuration, members, service, targets
from bench.slope import Fit, Point, cpu_us, fit
from cactusvane.configuration.model import Configuration
from cactusvane.configuration.routes import RoutingTable
from cactusvane.configuration.tree import Tree, build_tree, fetch_tree
from cactusvane.fleet.assignment import Assignment
from cactusvane.fleet.membership import Membership
from cactusvane.fleet.messages import (
    Ack,
    Envelope,
    Member,
    MessageReceived,
    Ping,
    Rumor,
    Send,
    Status,
    VmListReceived,
)
from cactusvane.fleet.messages import Ticked as FleetTicked
from cactusvane.outcome import Outcome
from cactusvane.pool.keeper import EvidenceKeeper
from cactusvane.pool.messages import (
    AttemptEnded,
    AttemptStarted,
    EvidenceReported,
    TargetCounts,
    TargetsListed,
    Ticked,
)
from cactusvane.pool.pool import Pool

SIZES = (1_000, 10_000, 88_000)
POOL_SIZES = (6, 34, 200)
FLEET_SIZES = (48, 500, 5_700)
PARTS = {
    "routes": SIZES,
    "tree": SIZES,
    "pools": SIZES,
    "keepers": SIZES,
    "observers": FLEET_SIZES,
    "histograms": (30, 300, 2_600),
    "membership": FLEET_SIZES,
}


def resident(part: str, size: int) -> float:
    """Return the resident memory of a part in MB, measured in a separate process."""
    command = [sys.executable, "-m", "bench.resident", part, str(size)]
    done = subprocess.run(command, check=True, capture_output=True, text=True, timeout=120)
    return float(done.stdout)


def measure_memory() -> list[Fit]:
    """Measure resident memory by size."""
    return [
        fit(f"memory of {part}", "MB", "item", [Point(n, resident(part, n)) for n in sizes])
        for part, sizes in PARTS.items()
    ]


def sweep(name: str, sizes: tuple[int, ...], per: str, measure: Callable[[int], float]) -> Fit:
    """Measure CPU time at each size, in microseconds per call, and fit a line."""
    points = []
    for size in sizes:
        points.append(Point(size, measure(size)))
        gc.collect()
    return fit(name, "us", per, points)


def find_route(size: int) -> float:
    """Return the CPU time of one lookup among `size` routes, in microseconds."""
    table = RoutingTable(configuration(size))
    hosts = itertools.cycle([f"service-{i}.example" for i in range(0, size // 34, 7)])
    return cpu_us(lambda: table.find(next(hosts), "GET", "/area-7/item-3/17"), 20_000)


def change_service(size: int) -> float:
    """Return the CPU time of replacing one service of 34 routes among `size`, in microseconds."""
    table = RoutingTable(configuration(size))
    changed = itertools.cycle([service(5), service(6)])
    return cpu_us(lambda: table.replace_service(next(changed)), 500)


def with_one_change(size: int) -> tuple[Tree, Tree]:
    """Return the trees of a configuration of `size` routes before and after one change."""
    before = configuration(size)
    changed = replace(before.services[0], slots=before.services[0].slots + 1)
    return build_tree(before), build_tree(Configuration((changed, *before.services[1:])))


def transferred_bytes(size: int) -> int:
    """Return the bytes that a VM fetches after a change of one service among `size` routes."""
    before, after = with_one_change(size)
    changed_parts = after.digests() - before.digests()
    return sum(len(after.find(part) or b"") for part in changed_parts)


def read_change(size: int) -> float:
    """Return the CPU time of reading a change of one service, in microseconds.

    The configuration has `size` routes.
    """
    before, after = with_one_change(size)
    loop = asyncio.new_event_loop()

    async def fetch(part: str) -> bytes:
        return after.find(part) or b""

    spent = cpu_us(lambda: loop.run_until_complete(fetch_tree(fetch, after.digest, before)), 20)
    loop.close()
    return spent


def activate_change(size: int) -> float:
    """Return the CPU time of activating a change of one service, in microseconds.

    The routing table has `size` routes.
    """
    before, after = with_one_change(size)
    table = RoutingTable(before.configuration)
    versions = itertools.cycle([after.configuration, before.configuration])
    return cpu_us(lambda: table.replace(next(versions)), 20)


def filled_pool(size: int) -> Pool:
    """Return a pool with `size` targets."""
    pool = Pool(service(0), "zone-0", Random(1))
    pool.handle(TargetsListed(targets((service(0),), size)[0]), 0.0)
    return pool


def decide_request(size: int) -> float:
    """Return the CPU time of the decisions about one request, in microseconds.

    The pool has `size` targets.
    """
    pool = filled_pool(size)
    times = itertools.count(20_000)

    def decide_once() -> None:
        now = float(next(times))
        chosen = pool.choose(now)
        assert chosen is not None
        pool.handle(AttemptStarted(chosen.address), now)
        pool.handle(AttemptEnded(chosen.address, Outcome.SERVED, 25.0), now + 25.0)

    return cpu_us(decide_once, 5_000)


def tick_pool(size: int) -> float:
    """Return the CPU time of one tick of an idle pool of `size` targets, in microseconds."""
    pool = filled_pool(size)
    now = itertools.count(20_000, 100)
    return cpu_us(lambda: pool.handle(Ticked(), float(next(now))), 2_000)


def report_to_keeper(size: int) -> float:
    """Return the CPU time of a report at a keeper, in microseconds.

    The report counts successes of all `size` targets.
    """
    keeper = EvidenceKeeper(service(0))
    vms = targets((service(0),), size)[0]
    keeper.handle(TargetsListed(vms), 0.0)
    counts = tuple(TargetCounts(vm.address, served=20, in_time=20) for vm in vms)
    report = EvidenceReported("vm-1", "zone-0", counts)
    now = itertools.count(20_000)
    return cpu_us(lambda: keeper.handle(report, float(next(now))), 500)


def filled_membership(size: int) -> Membership:
    """Return a membership with `size` VMs."""
    vms = members(size)
    membership = Membership(vms[0], Random(1))
    membership.handle(VmListReceived(vms), 0.0)
    membership.pending_updates.clear()
    return membership


def tick_membership(size: int) -> float:
    """Return the CPU time of one tick of a VM in a stable fleet, in microseconds."""
    membership = filled_membership(size)
    by_peer = {vm.peer: vm for vm in members(size)}
    times = itertools.count(100, 100)

    def tick_once() -> None:
        now = float(next(times))
        for command in membership.handle(FleetTicked(), now):
            match command:
                case Send(to, Envelope(_, Ping(nonce))):
                    reply = Envelope(Member(by_peer[to]), Ack(nonce))
                    membership.handle(MessageReceived(reply), now + 1.0)

    return cpu_us(tick_once, 200)


def receive_status_change(size: int) -> float:
    """Return the CPU time of a message about one VM, in microseconds.

    The messages alternately report the VM dead and alive again.
    """
    membership = filled_membership(size)
    vms = members(size)
    incarnations = itertools.count(1)

    def receive_once() -> None:
        incarnation = next(incarnations)
        status = Status.DEAD if incarnation % 2 else Status.ALIVE
        update = Member(vms[2], incarnation, status)
        envelope = Envelope(Member(vms[1]), Rumor(), (update,))
        membership.handle(MessageReceived(envelope), 10_000_000.0)

    return cpu_us(receive_once, 200)


def replace_vm(size: int) -> float:
    """Return the CPU time of reassigning 260 cells after one VM was replaced, in microseconds."""
    vms = members(size + 200)
    assignment = Assignment()
    assignment.set_vms(vms[:size])
    assignment.set_cells([f"service-{number}" for number in range(260)])
    steps = itertools.count(1)

    def replace_once() -> None:
        step = next(steps)
        assignment.set_vms(vms[step : size + step])

    return cpu_us(replace_once, 10)


def measure_cpu() -> list[Fit]:
    """Measure CPU time by size."""
    return [
        sweep("find a route", SIZES, "route", find_route),
        sweep("change a service's routes", SIZES, "route", change_service),
        sweep("read a change", SIZES, "route", read_change),
        sweep("put a change in force", SIZES, "route", activate_change),
        sweep("decide a request", POOL_SIZES, "target", decide_request),
        sweep("tick a pool", POOL_SIZES, "target", tick_pool),
        sweep("report at a keeper", POOL_SIZES, "target", report_to_keeper),
        sweep("tick the membership", FLEET_SIZES, "VM", tick_membership),
        sweep("hear of one VM", FLEET_SIZES, "VM", receive_status_change),
        sweep("assign 260 cells again", FLEET_SIZES, "VM", replace_vm),
    ]


def measure_bytes() -> list[Fit]:
    """Measure the bytes fetched after one change, by size of the configuration."""
    transferred = [Point(n, transferred_bytes(n)) for n in SIZES]
    return [fit("moved by one change", "bytes", "route", transferred)]


def format_row(line: Fit) -> str:
    """Return one row of the table."""
    points = "  ".join(f"{point.size:g}: {point.cost:.4g}" for point in line.points)
    return (
        f"{line.name:28} {line.unit:>6}/{line.per:7} slope {line.slope:10.4g} "
        f"from {line.intercept:10.4g}  r2 {line.r2:.3f}   {points}"
    )


def main() -> None:
    """Measure and print a table, followed by one line of JSON."""
    fits = [*measure_memory(), *measure_bytes(), *measure_messages(), *measure_cpu()]
    for line in fits:
        print(format_row(line))
    print(msgspec.json.encode(fits).decode())


if __name__ == "__main__":
    main()
