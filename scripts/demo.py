"""Demonstrate the fleet on one machine: faults occur and end while callers are served.

Start it with ``make demo``. It starts separate processes, logs each step and prints a table with
a line for each service and kind of request. The last line is a JSON object with counts from the
ledgers of the callers and the targets.
"""

import asyncio
import signal
import sys
import time
from collections import Counter

from tests.processes.callers import Call, Callers, Outcome
from tests.processes.harness import Fleet, temporary_fleet
from tests.processes.services import ServiceFile, load_example
from tests.processes.verdicts import Verdicts, count_verdicts, find_late_work

FAILURE_DOMAINS = ("Gobabis", "Witvlei", "Leonardville", "Gobabis")
MAX_TARGETS = 5
SESSIONS = 24
PAUSE_MS = 120.0
LOAD_SECONDS = 20.0
SEED = 1
NOTICE_BOUND_SECONDS = 3.0
INTERRUPTED_EXIT_CODE = 130
"""Exit code after SIGINT or SIGTERM."""


class Narration:
    """Logs what happens, with the seconds since the load started."""

    def __init__(self) -> None:
        self.start = time.monotonic()

    def log(self, text: str) -> None:
        """Print one line."""
        print(f"{time.monotonic() - self.start:6.1f} s  {text}", flush=True)

    async def wait_until(self, seconds: float, text: str) -> None:
        """Wait until `seconds` after the start, then print `text`."""
        await asyncio.sleep(max(0.0, self.start + seconds - time.monotonic()))
        self.log(text)


async def start_fleet(
    fleet: Fleet, services: tuple[ServiceFile, ...], narration: Narration
) -> None:
    """Start the platform, publish the example, and start targets and entries.

    Raises
    ------
    SystemExit
        If the example can't be published.
    """
    await fleet.start_platform()
    narration.log("the platform stand-in is ready")
    directory = fleet.directory / "services"
    for service in services:
        service.write(directory)
    published = await fleet.publish(directory)
    narration.log(f"published {len(services)} services: {published.stdout.strip()}")
    if published.returncode:
        raise SystemExit(f"publishing failed: {published.stderr}")
    for service in services:
        starts = (
            fleet.start_target(service.name, FAILURE_DOMAINS[number % 3], service.slots)
            for number in range(service.targets)
        )
        await asyncio.gather(*starts)
        narration.log(f"{service.targets} targets of {service.name} listen")
    await asyncio.gather(*(fleet.start_entry(domain) for domain in FAILURE_DOMAINS))
    narration.log(f"{len(FAILURE_DOMAINS)} entries are ready: {', '.join(fleet.entries)}")


async def inject_faults(
    fleet: Fleet, services: tuple[ServiceFile, ...], narration: Narration
) -> None:
    """Inject and remove faults according to a fixed schedule."""
    names = {service.name: first_target(fleet, service.name) for service in services}
    gray, leaving = list(names.values())[:2]
    victim = list(fleet.entries)[-1]
    await narration.wait_until(
        3, f"{gray} fails nine of ten requests, while its health check still returns 200"
    )
    await fleet.set_behaviour(gray, fail_share=0.9)
    await narration.wait_until(6, f"the platform's VM list marks {leaving} as leaving")
    await fleet.leave_by_list(leaving)
    await narration.wait_until(9, f"{victim} is killed with SIGKILL")
    fleet.kill(victim)
    await narration.wait_until(11, "the platform becomes unavailable")
    await fleet.set_platform_faults(down=True)
    await narration.wait_until(12, f"{leaving} stops")
    await fleet.stop(leaving)
    await narration.wait_until(15, "the platform is available again")
    await fleet.set_platform_faults()
    await narration.wait_until(16, f"{gray} is healthy again")
    await fleet.set_behaviour(gray, fail_share=0.0)


def first_target(fleet: Fleet, service: str) -> str:
    """Return the name of a service's first target."""
    return next(name for name in fleet.targets if name.startswith(f"{service}-"))


def format_table(calls: list[Call]) -> str:
    """Return a table of calls with a line for each service and kind of request."""
    lines = [f"{'service':<22}{'kind':<14}{'sent':>6}{'whole':>7}{'5xx':>5}{'not run':>9}"]
    lines[0] += f"{'may have':>10}{'p50 ms':>8}{'p99 ms':>8}"
    groups: dict[tuple[str, str], list[Call]] = {}
    for call in calls:
        groups.setdefault((call.kind.service, call.kind.name), []).append(call)
    for (service, kind), group in sorted(groups.items()):
        outcomes = Counter(call.told for call in group)
        failed = sum(call.told is Outcome.COMPLETE and call.status >= 500 for call in group)
        latencies_ms = sorted(
            1000 * (c.ended_at - c.sent_at) for c in group if c.told is Outcome.COMPLETE
        )
        p50, p99 = (
            latencies_ms[int(len(latencies_ms) * q)] if latencies_ms else 0.0 for q in (0.5, 0.99)
        )
        lines.append(
            f"{service:<22}{kind:<14}{len(group):>6}{outcomes[Outcome.COMPLETE]:>7}{failed:>5}"
            f"{outcomes[Outcome.NOT_RUN]:>9}{outcomes[Outcome.MAY_HAVE_RUN]:>10}{p50:>8.1f}{p99:>8.1f}"
        )
    return "\n".join(lines)


def log_late_work(fleet: Fleet, narration: Narration) -> None:
    """Log how many requests leaving targets received after the bound on notices."""
    late = find_late_work(fleet.ledgers(), fleet.stops, NOTICE_BOUND_SECONDS)
    narration.log(
        f"requests sent to a leaving target {NOTICE_BOUND_SECONDS:.0f} s after the notice or later"
    )
    print(f"          {len(late)}")


async def run() -> Verdicts:
    """Run the demo and return the counts."""
    narration = Narration()
    services = load_example("omaheke", MAX_TARGETS)
    async with temporary_fleet() as fleet:
        await start_fleet(fleet, services, narration)
        balancer = asyncio.ensure_future(fleet.run_balancer())
        callers: Callers = fleet.callers(SEED)
        kinds = tuple(kind for service in services for kind in service.kinds())
        narration.start = time.monotonic()
        narration.log(f"{SESSIONS} callers start, for {LOAD_SECONDS:.0f} s")
        load = asyncio.ensure_future(callers.run(kinds, SESSIONS, PAUSE_MS, LOAD_SECONDS))
        await inject_faults(fleet, services, narration)
        await load
        balancer.cancel()
        narration.log("all callers have finished; stopping all processes")
        log_late_work(fleet, narration)
        verdicts = count_verdicts(callers.calls, fleet.ledgers(), fleet.stops, fleet.disturbances)
    print(format_table(callers.calls))
    print(verdicts.to_json(), flush=True)
    return verdicts


async def run_until_signal() -> Verdicts:
    """Run the demo; on SIGINT or SIGTERM, stop all processes and raise `CancelledError`."""
    task = asyncio.ensure_future(run())
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    return await task


def main() -> None:
    """Run the demo, and exit with 1 if a guarantee was violated."""
    try:
        verdicts = asyncio.run(run_until_signal())
    except asyncio.CancelledError:
        sys.exit(INTERRUPTED_EXIT_CODE)
    sys.exit(0 if verdicts.good() else 1)


if __name__ == "__main__":
    main()
