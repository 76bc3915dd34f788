"""Simulation of membership and keepers, with 12 to 1,000 instances of the daemon's own code.

``python -m bench.membership`` prints a table, followed by one line of JSON. The clock is virtual.
A pair of a VM and a cell is wrong while the VM believes in another keeper than the one that follows
from the VMs that are actually live. A cell is doubled while more than one live VM believes that it
is the keeper.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from multiprocessing import Pool as Processes
from random import Random
from statistics import median

import msgspec

from cactusvane.fleet.cells import weight
from cactusvane.fleet.membership import Membership, is_live
from cactusvane.fleet.messages import FleetCommand, MessageReceived, Send, Ticked, VmListReceived
from cactusvane.fleet.vm import Address, Vm

DOMAINS = ("Gobabis", "Witvlei", "Leonardville")
CELLS = tuple(f"cell-{n}" for n in range(24))
TICK_MS = 100.0
LOCAL_DELAY_MS = 0.2
REMOTE_DELAY_MS = 1.0
LIST_LAG_MS = 30_000.0
LIST_INTERVAL_MS = 1_000.0
FAULT_MS = 10_000.0
END_MS = 40_000.0
SAMPLE_MS = 250.0
FREEZE_MS = 12_000.0
CUT_SHARE = 0.05
REPLACED_SHARE = 0.1
REPLACEMENT_PERIOD_MS = 20_000.0
PROCESSES = 2
SEEDS = {12: 20, 48: 20, 200: 2, 1_000: 1}
FAULTS = ("none", "replaced", "domain", "cuts", "frozen")
FAULTS_AT = {1_000: ("none", "replaced", "domain")}
"""Sizes that run only some of the faults, to limit the run time."""


@dataclass(frozen=True, slots=True)
class Job:
    """Parameters of one run.

    Parameters
    ----------
    size
        Number of VMs at the start.
    fault
        ``none``, ``replaced`` (a tenth of the VMs within 20 s, without notice), ``domain`` (all
        VMs of one failure domain stop), ``cuts`` (one in twenty ordered pairs of VMs loses its
        messages) or ``frozen`` (one in twelve VMs is suspended for 12 s and then resumes).
    seed
        Seed of all random choices.
    """

    size: int
    fault: str
    seed: int


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of one run, measured from the fault on.

    The field names are keys of the JSON output.

    Parameters
    ----------
    wrong_mean, wrong_most
        Share of pairs of a VM and a cell with a wrong keeper, mean and maximum.
    wrong_ms
        Time in milliseconds from the fault until the last wrong pair; for ``replaced`` from the
        last replacement, for ``frozen`` from the moment at which the VMs resume.
    doubled_mean
        Share of cells with two or more keepers, mean over time.
    messages
        Messages sent per VM and second, mean.
    messages_most
        The same in the second with the most messages.
    """

    wrong_mean: float
    wrong_most: float
    wrong_ms: float
    doubled_mean: float
    messages: float
    messages_most: float


class Run:
    """One job on a virtual clock."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.random = Random(f"{job.size}/{job.fault}/{job.seed}")
        self.now = 0.0
        self.sequence = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()
        self.nodes: dict[Address, Membership] = {}
        self.live: dict[str, Address] = {}
        self.frozen: set[Address] = set()
        self.blocked_links: set[tuple[Address, Address]] = set()
        self.lists: list[tuple[float, tuple[Vm, ...]]] = []
        self.sent: dict[int, int] = {}
        self.ranking: dict[str, list[tuple[int, str]]] = {cell: [] for cell in CELLS}
        self.samples: list[tuple[float, float, float]] = []
        self.last_change = FAULT_MS

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in milliseconds."""
        heapq.heappush(self.events, (self.now + delay, next(self.sequence), action))

    def start_vm(self) -> Vm:
        """Start a VM; like a daemon, it first reads the VM list, which lags."""
        number = next(self.numbers)
        peer = Address(f"10.0.{number // 250}.{number % 250}", 7_000)
        vm = Vm(f"vm-{number}", peer, DOMAINS[number % 3], peer=peer)
        self.nodes[peer] = Membership(vm, Random(self.random.random()))
        self.live[vm.name] = peer
        for cell in CELLS:
            self.ranking[cell].append((weight(cell, vm.name), vm.name))
            self.ranking[cell].sort(reverse=True)
        self.schedule(self.random.uniform(0.0, TICK_MS), lambda: self.tick(peer))
        if self.lists:
            self.read_list(peer)
        else:
            self.schedule(0.0, lambda: self.read_list(peer))
        return vm

    def stop_vm(self, name: str) -> None:
        """Stop a VM without notice."""
        del self.nodes[self.live.pop(name)]

    def publish_list(self) -> None:
        """Put the present VMs on the platform's list; VMs see it `LIST_LAG_MS` later."""
        vms = tuple(self.nodes[peer].local.vm for peer in self.live.values())
        self.lists.append((self.now, vms))

    def read_list(self, peer: Address) -> None:
        """Let a VM read the VM list, and schedule the next read."""
        if peer not in self.nodes:
            return
        self.schedule(LIST_INTERVAL_MS, lambda: self.read_list(peer))
        if peer in self.frozen:
            return
        seen = [vms for when, vms in self.lists if when <= self.now - LIST_LAG_MS]
        vms = seen[-1] if seen else self.lists[0][1]
        self.send_messages(peer, self.nodes[peer].handle(VmListReceived(vms), self.now))

    def tick(self, peer: Address) -> None:
        """Pass a tick to a VM and schedule the next one."""
        if peer not in self.nodes:
            return
        self.schedule(TICK_MS, lambda: self.tick(peer))
        if peer not in self.frozen:
            self.send_messages(peer, self.nodes[peer].handle(Ticked(), self.now))

    def send_messages(self, source: Address, commands: tuple[FleetCommand, ...]) -> None:
        """Send the messages of a VM."""
        for command in commands:
            if isinstance(command, Send):
                second = int(self.now // 1_000)
                self.sent[second] = self.sent.get(second, 0) + 1
                if (source, command.to) not in self.blocked_links:
                    delay = self.random.uniform(LOCAL_DELAY_MS, 1.5 * REMOTE_DELAY_MS)
                    self.schedule(delay, lambda each=command: self.deliver(each))  # type: ignore[misc]

    def deliver(self, send: Send) -> None:
        """Deliver a message; a frozen VM receives it once it resumes."""
        node = self.nodes.get(send.to)
        if node is None:
            return
        if send.to in self.frozen:
            self.schedule(TICK_MS, lambda: self.deliver(send))
            return
        self.send_messages(send.to, node.handle(MessageReceived(send.envelope), self.now))

    def inject_fault(self) -> None:
        """Inject the fault of the job."""
        names = sorted(self.live)
        match self.job.fault:
            case "replaced":
                for number in range(round(REPLACED_SHARE * len(names))):
                    delay = REPLACEMENT_PERIOD_MS * number / (REPLACED_SHARE * len(names))
                    self.schedule(delay, lambda: self.replace_vm())
            case "domain":
                for name in names:
                    if self.nodes[self.live[name]].local.vm.failure_domain == DOMAINS[0]:
                        self.stop_vm(name)
                self.publish_list()
            case "cuts":
                peers = list(self.nodes)
                for _ in range(round(CUT_SHARE * len(peers) * (len(peers) - 1))):
                    self.blocked_links.add((self.random.choice(peers), self.random.choice(peers)))
            case "frozen":
                chosen = self.random.sample(list(self.nodes), max(1, len(names) // 12))
                self.frozen.update(chosen)
                self.schedule(FREEZE_MS, self.frozen.clear)
                self.last_change = self.now + FREEZE_MS

    def replace_vm(self) -> None:
        """Stop one VM and start another."""
        self.stop_vm(self.random.choice(sorted(self.live)))
        self.start_vm()
        self.publish_list()
        self.last_change = self.now

    def believed_keeper(self, node: Membership, cell: str) -> str:
        """Return the name of the VM that a VM believes to be the keeper of a cell; "" for none."""
        for _, name in self.ranking[cell]:
            member = node.members.get(name)
            if member is not None and is_live(member):
                return name
        return ""

    def sample(self) -> None:
        """Compare the beliefs of all VMs with the actual state, and schedule the next sample."""
        self.schedule(SAMPLE_MS, self.sample)
        present = {name for name, peer in self.live.items() if peer not in self.frozen}
        wrong = 0
        doubled = 0
        for cell in CELLS:
            actual_keeper = next(name for _, name in self.ranking[cell] if name in present)
            self_keepers = 0
            for name in present:
                keeper = self.believed_keeper(self.nodes[self.live[name]], cell)
                wrong += keeper != actual_keeper
                self_keepers += keeper == name
            doubled += self_keepers > 1
        pairs = len(CELLS) * len(present)
        self.samples.append((self.now, wrong / pairs, doubled / len(CELLS)))

    def run(self) -> Figures:
        """Run to the end and return the results."""
        for _ in range(self.job.size):
            self.start_vm()
        self.publish_list()
        self.schedule(FAULT_MS, self.inject_fault)
        self.schedule(FAULT_MS, self.sample)
        while self.events[0][0] < END_MS:
            self.now, _, action = heapq.heappop(self.events)
            action()
        seconds = [n / self.job.size for s, n in self.sent.items() if s >= FAULT_MS / 1_000]
        wrong = [share for _, share, _ in self.samples]
        wrong_times = [when for when, share, _ in self.samples if share > 0.0]
        return Figures(
            wrong_mean=sum(wrong) / len(wrong),
            wrong_most=max(wrong),
            wrong_ms=(
                max(0.0, wrong_times[-1] + SAMPLE_MS - self.last_change) if wrong_times else 0.0
            ),
            doubled_mean=sum(share for _, _, share in self.samples) / len(self.samples),
            messages=sum(seconds) / len(seconds),
            messages_most=max(seconds),
        )


def run_job(job: Job) -> Figures:
    """Run one job."""
    return Run(job).run()


def main() -> None:
    """Run all jobs and print the table and the line of JSON."""
    jobs = [
        Job(size, fault, seed)
        for size, seeds in reversed(SEEDS.items())
        for fault in FAULTS_AT.get(size, FAULTS)
        for seed in range(seeds)
    ]
    with Processes(PROCESSES) as processes:
        results = dict(zip(jobs, processes.map(run_job, jobs, chunksize=1), strict=True))
    names = list(Figures.__slots__)
    print(f"{'VMs':>6} {'fault':9}{'seeds':>6}" + "".join(f"{name:>22}" for name in names))
    lines: list[dict[str, object]] = []
    for size, seeds in SEEDS.items():
        for fault in FAULTS_AT.get(size, FAULTS):
            rows = [msgspec.to_builtins(results[Job(size, fault, n)]) for n in range(seeds)]
            medians = {name: round(median(row[name] for row in rows), 4) for name in names}
            worst = {name: round(max(row[name] for row in rows), 4) for name in names}
            cells = "".join(f"{f'{medians[n]} ({worst[n]})':>22}" for n in names)
            print(f"{size:6} {fault:9}{seeds:6}{cells}")
            lines.append({"vms": size, "fault": fault, "median": medians, "worst": worst})
    print(msgspec.json.encode({"bench": "membership", "runs": lines}).decode())


if __name__ == "__main__":
    main()
