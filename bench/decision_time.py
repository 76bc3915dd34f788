"""Measure the CPU time of one placement decision: ``python -m bench.decision_time``.

Three failure domains have the targets; half of the targets have all slots busy. Prints the least
mean of several rounds for each number of targets, without and with expected work.
"""

import json
from random import Random
from time import process_time

from cactusvane.configuration.model import Configuration, Service
from cactusvane.fleet.vm import Address, Vm
from cactusvane.placement.domain import Domain
from cactusvane.placement.features import RequestFeatures
from cactusvane.placement.messages import Observation, RequestProfile, StateUpdate
from cactusvane.placement.settings import PlacementSettings

TARGETS = (40, 220, 1_000)
DOMAINS = ("a", "b", "c")
SLOTS = 2
PEERS = 16
ROUNDS = 7
DECISIONS = 20_000
"""Decisions in one round, divided by the number of targets."""

MS_PER_S = 1_000.0
SETTINGS = {
    "usual": PlacementSettings(),
    "work": PlacementSettings(expected_work=True),
    "work and affinity": PlacementSettings(expected_work=True, affinity_cost_share=0.1),
}


def make_domain(targets: int, settings: PlacementSettings) -> Domain:
    """Return an entry that knows the loads of its peers."""
    random = Random(1)
    vms = tuple(
        Vm(
            f"t{number}",
            Address("10.0.0.1", 8_000 + number),
            DOMAINS[number % len(DOMAINS)],
            service="s",
            slots=SLOTS,
        )
        for number in range(targets)
    )
    domain = Domain("e", "a", 1, Random(1), settings)
    domain.set_targets({"s": vms}, 0.0)
    domain.configure(Configuration((Service("s", (), (), 1, 1, 1),)), 0.0)
    loads = [random.choice((0, 1, 2, 3)) for _ in vms]
    for number in range(PEERS):
        flight = {
            vm.name: 1
            for vm, load in zip(vms, loads, strict=True)
            if any((each + vm.address.port) % PEERS == number for each in range(load))
        }
        work = dict.fromkeys(flight, 100) if settings.expected_work else None
        update = StateUpdate(f"p{number}", 1, 1, flight, work=work)
        domain.receive(update, Address("10.0.1.1", number), 0.0)
    return domain


def decision_us(targets: int, settings: PlacementSettings) -> float:
    """Return the CPU time of one decision in microseconds."""
    placement = make_domain(targets, settings).placements["s"]
    profile = RequestProfile(
        "k", 1, True, 0.0, 2_500.0, 1_000.0, "c", features=RequestFeatures("GET", "find", 0)
    )
    for number in range(targets):
        observation = Observation(f"t{number}", "k", None, 100.0)
        placement.record_observation(observation, 0.0)
    count = DECISIONS // targets
    best_s = float("inf")
    for _ in range(ROUNDS):
        started = process_time()
        for number in range(count):
            placement.decide(profile, frozenset(), 1.0 + number * 0.01)
        best_s = min(best_s, (process_time() - started) / count)
    return best_s * MS_PER_S * MS_PER_S


def main() -> None:
    """Print the table, followed by one line of JSON."""
    rows = {}
    for targets in TARGETS:
        rows[targets] = {
            name: round(decision_us(targets, settings), 1) for name, settings in SETTINGS.items()
        }
        print(f"{targets:6} targets, us for a decision: {rows[targets]}", flush=True)
    print(json.dumps({"bench": "decision_time", "us": rows}))


if __name__ == "__main__":
    main()
