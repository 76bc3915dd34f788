"""Soak test with mixed faults: ``make soak SECONDS=60 SEED=1 ON=platform``.

With ``ON=platform`` the adapter starts the entries on the users' platform; with ``ON=daemon`` the
entries are daemons with keepers. The last line is the demo's JSON object with further counts and
the number of injected faults by name. It exits with 1 if a guarantee was violated.
"""

import argparse
import asyncio
import signal
import sys
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from standins.target import LedgerLine
from tests.adapter.fleet import (
    PLATFORM_FAULTS,
    SERVICES,
    SHAPES,
    PlatformChaos,
    PlatformFleet,
    kinds,
)
from tests.processes.callers import Call, Outcome
from tests.processes.chaos import ALL_FAULTS, FAILURE_DOMAINS, MIN_ENTRIES, Chaos
from tests.processes.harness import Fleet, temporary_fleet, temporary_fleet_of
from tests.processes.services import ServiceFile, make_service
from tests.processes.verdicts import (
    PlannedStop,
    Verdicts,
    count_verdicts,
    find_cut_calls,
    find_doubled,
    find_false_not_run,
    find_late_work,
)

NOTICE_BOUND_SECONDS = 3.0
INTERRUPTED_EXIT_CODE = 130
"""Exit code after SIGINT or SIGTERM."""
SETTLE_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 8.0
TARGETS = 5
FLOOR = 3
CLIENT_ERRORS = range(400, 500)
"""Statuses that report a fault in the request."""

RETRYABLE_STATUSES = frozenset({408, 421, 429})
"""Statuses of `CLIENT_ERRORS` that only ask the caller to retry."""

ABANDON_SHARE = 0.03


@dataclass(slots=True)
class SoakResult:
    """Result of a soak test.

    Parameters
    ----------
    verdicts
        Counts of calls and violated guarantees.
    calls
        The callers' ledger.
    faults
        Number of injected faults by name.
    bookings
        Number of keys that callers booked with.
    known_outcomes
        Number of those keys whose caller knows whether the booking ran.
    late_work
        Number of requests that leaving targets received too late.
    denied
        Number of valid requests that were rejected with a client error.
    findings
        Description of each violated guarantee.
    """

    verdicts: Verdicts
    calls: list[Call]
    faults: Counter[str]
    bookings: int = 0
    known_outcomes: int = 0
    late_work: int = 0
    denied: int = 0
    findings: list[str] = field(default_factory=list)

    def good(self) -> bool:
        """Return whether no guarantee was violated."""
        return self.verdicts.good() and not self.late_work and not self.denied

    def to_json(self) -> str:
        """Return the last line of the output."""
        values = {
            **msgspec.to_builtins(self.verdicts),
            "late_work": self.late_work,
            "denied": self.denied,
            "bookings": self.bookings,
            "bookings_sure": self.known_outcomes,
            "faults": dict(sorted(self.faults.items())),
        }
        return msgspec.json.encode(values).decode()


async def soak(
    seconds: float, seed: int, faults: tuple[str, ...] = ALL_FAULTS, gap_seconds: float = 0.8
) -> SoakResult:
    """Run callers against a fleet of daemons while faults are injected.

    Parameters
    ----------
    seconds
        Duration of the load and of the faults.
    seed
        Seed of the callers and the faults.
    faults
        Names of the faults to draw from.
    gap_seconds
        Mean time between two faults.
    """
    services = (
        make_service("records", TARGETS, FLOOR),
        make_service("booking", TARGETS, FLOOR),
    )
    async with temporary_fleet() as fleet:
        await start_fleet(fleet, services)
        balancer = asyncio.ensure_future(fleet.run_balancer())
        chaos = Chaos(fleet, services, seed, faults, gap_seconds)
        callers = fleet.callers(seed, ABANDON_SHARE)
        callers.timeout_seconds = CALL_TIMEOUT_SECONDS
        request_kinds = tuple(kind for service in services for kind in service.kinds())
        booking = next(kind for kind in services[1].kinds() if kind.keyed)
        load = asyncio.gather(
            callers.run(request_kinds, 10, 40.0, seconds),
            callers.run_bookings(booking, 6, seconds),
        )
        await chaos.run(seconds)
        await load
        await asyncio.sleep(SETTLE_SECONDS)
        balancer.cancel()
        return collect_result(fleet, callers.calls, chaos)


async def soak_platform(
    seconds: float,
    seed: int,
    faults: tuple[str, ...] = PLATFORM_FAULTS,
    gap_seconds: float = 0.8,
    entries: int = 4,
) -> SoakResult:
    """Run callers against entries on the users' platform while faults are injected.

    Parameters
    ----------
    seconds
        Duration of the load and of the faults.
    seed
        Seed of the callers and the faults.
    faults
        Names of the faults to draw from.
    gap_seconds
        Mean time between two faults.
    entries
        Number of entries at the start.
    """
    async with temporary_fleet_of(PlatformFleet) as fleet:
        await fleet.start_platform()
        await fleet.configure()
        await start_processes(fleet, SERVICES, entries)
        balancer = asyncio.ensure_future(fleet.run_balancer())
        chaos = PlatformChaos(fleet, SHAPES, seed, faults, gap_seconds)
        callers = fleet.callers(seed, ABANDON_SHARE)
        callers.timeout_seconds = CALL_TIMEOUT_SECONDS
        load = asyncio.ensure_future(callers.run(kinds(), 16, 60.0, seconds))
        await chaos.run(seconds)
        await load
        await asyncio.sleep(SETTLE_SECONDS)
        balancer.cancel()
        return collect_result(fleet, callers.calls, chaos)


async def start_fleet(fleet: Fleet, services: tuple[ServiceFile, ...]) -> None:
    """Start the platform, publish the services, and start targets and entries."""
    directory = fleet.directory / "services"
    await fleet.start_platform()
    for service in services:
        service.write(directory)
    published = await fleet.publish(directory)
    assert published.returncode == 0, published.stderr
    await start_processes(fleet, [service.name for service in services], MIN_ENTRIES + 2)


async def start_processes(fleet: Fleet, services: Iterable[str], entries: int) -> None:
    """Start the targets of all services, and the entries."""
    starting = [
        fleet.start_target(name, FAILURE_DOMAINS[number % 3], mean_ms=15.0, forwarded=True)
        for name in services
        for number in range(TARGETS)
    ]
    await asyncio.gather(*starting)
    domains = [FAILURE_DOMAINS[number % 3] for number in range(entries)]
    await asyncio.gather(*(fleet.start_entry(domain) for domain in domains[:3]))
    await asyncio.gather(*(fleet.start_entry(domain) for domain in domains[3:]))
    assert len(fleet.entries) > MIN_ENTRIES


def collect_result(fleet: Fleet, calls: list[Call], chaos: Chaos) -> SoakResult:
    """Count the results, and describe each violated guarantee."""
    ledgers = fleet.ledgers()
    verdicts = count_verdicts(calls, ledgers, fleet.stops, fleet.disturbances)
    late = describe_late_work(fleet, calls)
    findings = [f"ran more than once: {work}" for work in find_doubled(ledgers)]
    findings += [
        f"reported as not run, but ran: {call}" for call in find_false_not_run(calls, ledgers)
    ]
    cut_calls = find_cut_calls(calls, ledgers, fleet.stops, fleet.disturbances)
    findings += [f"cut by a planned stop: {call}" for call in cut_calls]
    findings += late
    denied = [call for call in calls if is_denied(call)]
    findings += [f"denied: {call}" for call in denied]
    findings += [f"foreign response: {call}" for call in calls if call.told is Outcome.FOREIGN]
    bookings: dict[str, list[Call]] = {}
    for call in calls:
        if call.key.startswith("booking-"):
            bookings.setdefault(call.key, []).append(call)
    known_outcomes = sum(is_outcome_known(group) for group in bookings.values())
    return SoakResult(
        verdicts,
        calls,
        chaos.injected,
        bookings=len(bookings),
        known_outcomes=known_outcomes,
        late_work=len(late),
        denied=len(denied),
        findings=findings,
    )


def is_denied(call: Call) -> bool:
    """Return whether a valid request without a key was rejected with a client error."""
    return call.status in CLIENT_ERRORS and call.status not in RETRYABLE_STATUSES and not call.key


def could_know_notice(fleet: Fleet, call: Call, line: LedgerLine, stop: PlannedStop) -> bool:
    """Return whether the entry that sent a late request had enough time to learn of the notice.

    It must have run undisturbed for `NOTICE_BOUND_SECONDS` before the request. A notice by the VM
    list also requires that the platform was available for that time.
    """
    since = line.at - NOTICE_BOUND_SECONDS
    names = {call.entry, "platform"} if stop.by == "list" else {call.entry}
    disturbed = (
        fault.name in names and fault.end > max(stop.at, since) and fault.start < line.at
        for fault in fleet.disturbances
    )
    return fleet.entries[call.entry].started_at < since and not any(disturbed)


def describe_late_work(fleet: Fleet, calls: list[Call]) -> list[str]:
    """Describe late requests to leaving targets from entries that should have known the notice."""
    ledgers = fleet.ledgers()
    by_id = {call.request_id: call for call in calls}
    return [
        f"late work: {stop.name} received {line} {line.at - stop.at:.1f} s after its notice by"
        f" {stop.by}"
        f" from {by_id[line.request_id].entry}"
        for stop in fleet.stops
        for line in find_late_work(ledgers, [stop], NOTICE_BOUND_SECONDS)
        if could_know_notice(fleet, by_id[line.request_id], line, stop)
    ]


def is_outcome_known(calls: list[Call]) -> bool:
    """Return whether the caller of one booking knows in the end if it ran."""
    outcomes = {call.told for call in calls}
    return bool(outcomes & {Outcome.COMPLETE, Outcome.ALREADY_RAN}) or outcomes == {Outcome.NOT_RUN}


async def run_until_signal(options: argparse.Namespace) -> SoakResult:
    """Run the soak test; on SIGINT or SIGTERM, stop all processes and raise `CancelledError`."""
    if options.on == "platform":
        soak_run = soak_platform(options.seconds, options.seed, entries=options.entries)
    else:
        soak_run = soak(options.seconds, options.seed)
    task = asyncio.ensure_future(soak_run)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await task


def main() -> None:
    """Run the soak test, and exit with 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--on", choices=("platform", "daemon"), default="platform")
    parser.add_argument("--entries", type=int, default=4, help="number of entries on the platform")
    parser.add_argument("--calls", type=Path, help="file to write the callers' ledger to")
    options = parser.parse_args()
    try:
        result = asyncio.run(run_until_signal(options))
    except asyncio.CancelledError:
        sys.exit(INTERRUPTED_EXIT_CODE)
    if options.calls:
        options.calls.write_bytes(msgspec.json.encode(result.calls))
    for finding in result.findings:
        print(finding)
    print(result.to_json(), flush=True)
    sys.exit(0 if result.good() else 1)


if __name__ == "__main__":
    main()
