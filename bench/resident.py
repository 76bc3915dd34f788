"""Print the resident memory that one part takes: ``python -m bench.resident PART SIZE``.

The names of the parts are the names of the functions that build them.
"""

import argparse
import gc
import os
from collections.abc import Callable
from random import Random

from bench.population import TARGETS_PER_SERVICE, configuration, members, service, targets
from cactusvane.configuration.model import Configuration
from cactusvane.configuration.routes import RoutingTable
from cactusvane.configuration.tree import build_tree
from cactusvane.fleet.membership import Membership
from cactusvane.fleet.messages import VmListReceived
from cactusvane.metrics import Recorder
from cactusvane.pool.keeper import EvidenceKeeper
from cactusvane.pool.messages import EvidenceReported, TargetCounts, TargetsListed
from cactusvane.pool.pool import Pool
from cactusvane.verdict import Verdict

MB = 1_000_000
STATM_RESIDENT = 1


def resident_mb() -> float:
    """Return the resident memory of this process in MB, from ``/proc/self/statm``."""
    with open("/proc/self/statm") as statm:
        pages = int(statm.read().split()[STATM_RESIDENT])
    return pages * os.sysconf("SC_PAGE_SIZE") / MB


def routes(size: int) -> object:
    """Return a routing table of `size` routes."""
    return RoutingTable(configuration(size))


def pools(size: int) -> object:
    """Return pools with `size` targets in all."""
    services = configuration(size).services
    held = []
    for owner, vms in zip(services, targets(services, size), strict=True):
        pool = Pool(owner, "zone-0", Random(1))
        pool.handle(TargetsListed(vms), 0.0)
        held.append(pool)
    return held


def keepers(size: int) -> object:
    """Return keepers of `size` targets in all."""
    services = configuration(size).services
    held = []
    for owner, vms in zip(services, targets(services, size), strict=True):
        keeper = EvidenceKeeper(owner)
        keeper.handle(TargetsListed(vms), 0.0)
        held.append(keeper)
    return held


def observers(size: int) -> object:
    """Return a keeper to which `size` entries have reported about 34 targets."""
    owner = service(0)
    vms = targets((owner,), TARGETS_PER_SERVICE)[0]
    keeper = EvidenceKeeper(owner)
    keeper.handle(TargetsListed(vms), 0.0)
    for step in (0.0, 600.0):
        for index in range(size):
            counts = tuple(TargetCounts(vm.address, served=20, in_time=20) for vm in vms)
            report = EvidenceReported(f"vm-{index}", "zone-0", counts)
            keeper.handle(report, step)
    return keeper


def tree(size: int) -> object:
    """Return a routing table of `size` routes and the tree of its configuration."""
    held = build_tree(configuration(size))
    return held, RoutingTable(held.configuration)


def histograms(size: int) -> object:
    """Return the metrics of `size` kinds of requests, with one response each."""
    recorder = Recorder()
    for index in range(size):
        recorder.kind(f"service-{index}", "lookup").record_response(200, Verdict.RAN, 25.0, 0.8)
    return recorder


def membership(size: int) -> object:
    """Return a membership with `size` VMs."""
    vms = members(size)
    held = Membership(vms[0], Random(1))
    held.handle(VmListReceived(vms), 0.0)
    return held


def nothing(size: int) -> object:
    """Return an empty configuration: the memory of the imports only."""
    return Configuration()


PARTS: dict[str, Callable[[int], object]] = {
    part.__name__: part
    for part in (routes, tree, pools, keepers, observers, histograms, membership, nothing)
}


def main() -> None:
    """Build the part and print the increase of the resident memory in MB."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=sorted(PARTS))
    parser.add_argument("size", type=int)
    options = parser.parse_args()
    gc.collect()
    before = resident_mb()
    held = PARTS[options.part](options.size)
    gc.collect()
    print(f"{resident_mb() - before:.3f}")
    del held


if __name__ == "__main__":
    main()
