"""Simulation of hours without faults: how often healthy targets are ejected.

Bad outcomes of healthy targets are rare and independent, so only they are simulated one by one, at
exponentially distributed intervals. The good outcomes between them are drawn as one Poisson count
for each entry and target and are recorded in the pools of `cactusvane.pool` as counts.
"""

from dataclasses import dataclass
from random import Random

from bench.faults import ENTRIES, FAILURE_DOMAINS
from cactusvane.configuration.model import Health, Route, Service
from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome
from cactusvane.pool.keeper import EvidenceKeeper
from cactusvane.pool.messages import (
    AttemptEnded,
    AttemptStarted,
    Ejected,
    Ejection,
    EvidenceReported,
    ReportEvidence,
    TargetCounts,
    TargetsListed,
)
from cactusvane.pool.pool import Pool

MS_PER_HOUR = 3_600_000.0
BASE_ERRORS = 0.01
BASE_SLOW = 0.005
SERVICE_MS = 20.0
SLOW_MS = 400.0
MIN_NORMAL_MEAN = 12.0
"""Mean above which a Poisson count is approximated by the normal distribution."""


@dataclass(frozen=True, slots=True)
class Calm:
    """Result of a simulation without faults.

    The field names are keys of the JSON output.

    Parameters
    ----------
    hours
        Simulated time, in hours.
    requests
        Number of requests.
    by_keeper
        Number of ejections by the keeper; all targets are healthy.
    by_entries
        Number of ejections by entries for themselves, each counted as a share of all entries.
    """

    hours: float
    requests: int
    by_keeper: int
    by_entries: float


def poisson(random: Random, mean: float) -> int:
    """Return a random Poisson count with the given mean."""
    if mean > MIN_NORMAL_MEAN:
        return max(0, round(random.gauss(mean, mean**0.5)))
    elapsed, count = random.expovariate(1.0), 0
    while elapsed < mean:
        elapsed += random.expovariate(1.0)
        count += 1
    return count


class CalmFleet:
    """Entries and a keeper whose targets are all healthy.

    Parameters
    ----------
    health
        Weights of detection and of false ejections, as in the service file.
    rate
        Requests per second, all entries together.
    targets, floor
        Number of targets of the service and its floor.
    seed
        Seed of all random choices.
    """

    def __init__(self, health: Health, rate: float, targets: int, floor: int, seed: int) -> None:
        self.random = Random(seed)
        self.rate = rate
        route = Route("/", ("GET",), True, "read")
        self.service = Service(
            "records", ("records",), (route,), targets, floor, slots=4, health=health
        )
        self.vms = tuple(
            Vm(f"t{n}", Address("10.0.0.1", 8_000 + n), FAILURE_DOMAINS[n % 3])
            for n in range(targets)
        )
        self.domains = [FAILURE_DOMAINS[n % 3] for n in range(ENTRIES)]
        self.pools = [
            Pool(self.service, domain, Random(seed * 1_000 + n))
            for n, domain in enumerate(self.domains)
        ]
        self.keeper = EvidenceKeeper(self.service)
        self.drawn_until = [0.0] * ENTRIES
        self.by_keeper = 0
        self.by_entries = 0.0

    def run(self, hours: float) -> Calm:
        """Simulate `hours` hours and return the result."""
        for pool in self.pools:
            pool.handle(TargetsListed(self.vms), 0.0)
            for _ in range(100):
                pool.median.add(SERVICE_MS)
        self.keeper.handle(TargetsListed(self.vms), 0.0)
        end, now = hours * MS_PER_HOUR, 0.0
        bad_per_ms = self.rate / 1_000.0 * (BASE_ERRORS + BASE_SLOW)
        while now < end:
            now += self.random.expovariate(bad_per_ms)
            self.record_bad_outcome(self.random.randrange(ENTRIES), now)
        requests = round(hours * 3_600.0 * self.rate)
        return Calm(hours, requests, self.by_keeper, self.by_entries)

    def record_bad_outcome(self, entry: int, now: float) -> None:
        """Record one bad outcome (failed or slow) of a random target at an entry."""
        self.draw_good_outcomes(entry, now)
        pool = self.pools[entry]
        target = self.random.choice(self.vms).address
        failing = self.random.random() < BASE_ERRORS / (BASE_ERRORS + BASE_SLOW)
        outcome = Outcome.FAILED if failing else Outcome.SERVED
        latency = SERVICE_MS if failing else SLOW_MS
        pool.handle(AttemptStarted(target), now)
        self.execute(entry, pool.handle(AttemptEnded(target, outcome, latency), now), now)

    def draw_good_outcomes(self, entry: int, now: float) -> None:
        """Draw and record the good outcomes since the last bad one at this entry."""
        pool = self.pools[entry]
        rate_per_ms = (
            self.rate / 1_000.0 * (1.0 - BASE_ERRORS - BASE_SLOW) / ENTRIES / len(self.vms)
        )
        mean = rate_per_ms * (now - self.drawn_until[entry])
        self.drawn_until[entry] = now
        for state in pool.targets.values():
            count = poisson(self.random, mean)
            counts = TargetCounts(state.vm.address, served=count, in_time=count)
            self.execute(entry, pool.record_counts(state, counts, now), now)

    def execute(self, entry: int, commands: tuple[object, ...], now: float) -> None:
        """Deliver reports to the keeper; count ejections and undo them."""
        for command in commands:
            match command:
                case ReportEvidence(_, counts):
                    report = EvidenceReported(f"e{entry}", self.domains[entry], counts)
                    self.report_to_keeper(report, now)
                case Ejected(target, _):
                    self.by_entries += 1.0 / ENTRIES
                    pool = self.pools[entry]
                    pool.restore(pool.targets[target], now)

    def report_to_keeper(self, report: EvidenceReported, now: float) -> None:
        """Deliver a report to the keeper; count its ejections and undo them."""
        for command in self.keeper.handle(report, now):
            if isinstance(command, Ejection):
                self.by_keeper += 1
                self.keeper.restore(command.target, self.keeper.records[command.target], now)


def measure_calm(job: tuple[Health, float, int, int, int, float]) -> Calm:
    """Run one simulation; `job` is weights, requests per second, targets, floor, seed, hours."""
    health, rate, targets, floor, seed, hours = job
    return CalmFleet(health, rate, targets, floor, seed).run(hours)
