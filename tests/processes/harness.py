"""Starts processes of cactusvane and stand-ins, injects faults, and ends what it started."""

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TypeVar

import msgspec

from tests.processes.callers import Callers, Response, ask
from tests.processes.verdicts import Disturbance, Ledgers, PlannedStop, read_ledgers

ROOT = Path(__file__).resolve().parents[2]
FIRST_PORT, LAST_PORT = 20_000, 32_000
START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05
BALANCER_INTERVAL_SECONDS = 0.5

CommandResult = subprocess.CompletedProcess[str]
AnyFleet = TypeVar("AnyFleet", bound="Fleet")

taken_ports: set[int] = set()
port_rng = random.Random(os.getpid())


def free_port() -> int:
    """Return an unused port below the ephemeral range, and never the same port twice."""
    while True:
        port = port_rng.randrange(FIRST_PORT, LAST_PORT)
        if port in taken_ports:
            continue
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            taken_ports.add(port)
            return port


@dataclass(slots=True)
class Process:
    """A process that the harness started.

    Parameters
    ----------
    name
        Name of the process in the fleet.
    popen
        Handle of the process.
    port
        Port that it serves.
    log
        File with its output.
    started_at
        Time of its start, in seconds since the epoch.
    admin_port
        Port of its status pages; 0 if it has none.
    forwarder_control_port
        Control port of the forwarder in front of it; 0 without a forwarder.
    registration
        What the fleet knows of it once it is started; for daemons and targets, their row of the
        VM list.
    """

    name: str
    popen: "subprocess.Popen[bytes]"
    port: int
    log: Path
    started_at: float = field(default_factory=time.time)
    admin_port: int = 0
    forwarder_control_port: int = 0
    registration: dict[str, object] = field(default_factory=dict)

    def alive(self) -> bool:
        """Return whether the process still runs."""
        return self.popen.poll() is None

    def send_signal(self, signal_number: int) -> None:
        """Send a signal if the process still runs."""
        if self.alive():
            self.popen.send_signal(signal_number)


class Fleet:
    """A platform, targets and entries on the loopback address, for one test or script run."""

    target_module = "standins.target"
    """Module of the program that targets run."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.processes: dict[str, Process] = {}
        self.entries: dict[str, Process] = {}
        self.targets: dict[str, Process] = {}
        self.platform_port = 0
        self.faults: dict[str, object] = {}
        self.stops: list[PlannedStop] = []
        self.disturbances: list[Disturbance] = []
        self.balanced_entries: dict[str, int] = {}

    def start(self, name: str, port: int, *arguments: str) -> Process:
        """Start ``python -m`` with the arguments; write its output to a file."""
        return self.spawn(name, port, ("-m", *arguments), dict(os.environ))

    def spawn(
        self, name: str, port: int, arguments: tuple[str, ...], environment: dict[str, str]
    ) -> Process:
        """Start ``python`` with the arguments; write its output to a file."""
        log = self.directory / f"{name}.log"
        with log.open("wb") as output:
            popen = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )
        process = Process(name, popen, port, log)
        self.processes[name] = process
        return process

    def close(self) -> None:
        """Kill the processes that still run, each by its own handle, and wait for them."""
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.popen.wait(STOP_TIMEOUT_SECONDS)

    async def start_platform(self) -> None:
        """Start the platform stand-in and wait until it responds."""
        self.platform_port = free_port()
        port = str(self.platform_port)
        self.start("platform", self.platform_port, "standins.platform", "--port", port)
        await self.wait_until_ok("platform", self.platform_port, "/vms")

    async def start_target(
        self,
        service: str,
        failure_domain: str,
        slots: int = 4,
        mean_ms: float = 25.0,
        cold_ms: float = 0.0,
        forwarded: bool = False,
    ) -> str:
        """Start a target, register it on the VM list and return its name."""
        name = f"{service}-{len(self.targets)}"
        port = free_port()
        process = self.start(
            name,
            port,
            *(self.target_module, "--port", str(port), "--service", service),
            *("--slots", str(slots), "--mean-ms", str(mean_ms), "--cold-ms", str(cold_ms)),
            *("--seed", str(len(self.targets)), "--name", name),
            *("--ledger", str(self.directory / f"{name}.ledger")),
        )
        self.targets[name] = process
        address = await self.forward(process) if forwarded else port
        await self.wait_until_ok(name, port, "/health")
        process.registration = vm_row(name, address, failure_domain, service)
        await self.register(process.registration)
        return name

    async def forward(self, process: Process) -> int:
        """Start a forwarder in front of a process and return the forwarder's port."""
        front, process.forwarder_control_port = free_port(), free_port()
        name = f"forwarder-{process.name}"
        self.start(
            name,
            front,
            *("standins.forwarder", "--port", str(front)),
            *(
                "--control",
                str(process.forwarder_control_port),
                "--to",
                f"127.0.0.1:{process.port}",
            ),
        )
        await self.wait_until_ok(name, process.forwarder_control_port, "/behaviour")
        return front

    async def start_entry(
        self, failure_domain: str, name: str = "", ready: bool = True, **settings: object
    ) -> str:
        """Start a daemon, register it on the VM list and return its name.

        Parameters
        ----------
        failure_domain
            Failure domain of the daemon.
        name
            Name of the daemon; chosen by the harness if empty.
        ready
            Whether to wait until the daemon is ready.
        settings
            Members of the settings file to add or replace.
        """
        name = name or f"entry-{len(self.entries)}"
        listen, peer, admin_port = free_port(), free_port(), free_port()
        path = self.directory / f"{name}.json"
        values = {
            "vm": name,
            "failure_domain": failure_domain,
            "listen": loopback_address(listen),
            "peer": loopback_address(peer),
            "admin": loopback_address(admin_port),
            "platform": loopback_address(self.platform_port),
            "peers": [entry.registration["peer"] for entry in self.entries.values()],
            "seed": len(self.entries),
            **settings,
        }
        path.write_bytes(msgspec.json.encode(values))
        process = self.start(name, listen, "cactusvane.daemon", str(path))
        process.admin_port = admin_port
        process.registration = {
            **vm_row(name, listen, failure_domain, ""),
            "peer": loopback_address(peer),
            "admin": loopback_address(admin_port),
        }
        self.entries[name] = process
        with suppress(OSError):
            await self.register(process.registration)
        if ready:
            await self.wait_until_ok(name, admin_port, "/ready")
            self.balanced_entries[name] = listen
        return name

    async def wait_until_ok(self, name: str, port: int, path: str) -> None:
        """Wait until a process responds with status 200.

        Raises
        ------
        AssertionError
            If the process ends or `START_TIMEOUT_SECONDS` pass; the message has the end of its log.
        """
        until = time.monotonic() + START_TIMEOUT_SECONDS
        while time.monotonic() < until and self.processes[name].alive():
            with suppress(OSError, TimeoutError):
                if (await ask(port, "GET", path)).status == 200:
                    return
            await asyncio.sleep(POLL_SECONDS)
        tail = self.processes[name].log.read_text(errors="replace")[-2_000:]
        raise AssertionError(f"{name} did not respond with 200 to {path}:\n{tail}")

    async def register(self, *vms: dict[str, object], removed: tuple[str, ...] = ()) -> None:
        """Add, replace or remove rows of the VM list."""
        body = msgspec.json.encode({"vms": vms, "removed": removed})
        await ask(self.platform_port, "POST", "/vms", body)

    async def set_platform_faults(self, **faults: object) -> None:
        """Set the faults of the platform; without any the platform works normally."""
        await ask(self.platform_port, "POST", "/faults", msgspec.json.encode(faults))

    async def set_behaviour(self, target: str, **behaviour: object) -> None:
        """Change members of a target's behaviour."""
        body = msgspec.json.encode(behaviour)
        response = await ask(self.targets[target].port, "POST", "/_control/behaviour", body)
        assert response.status == 200, response

    async def set_path_behaviour(self, name: str, **behaviour: object) -> None:
        """Change the behaviour of the forwarder in front of a process."""
        control = self.processes[name].forwarder_control_port
        response = await ask(control, "POST", "/behaviour", msgspec.json.encode(behaviour))
        assert response.status == 200, response

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL, and record the disturbance."""
        now = time.time()
        self.disturbances.append(Disturbance(name, now, now))
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].popen.wait(STOP_TIMEOUT_SECONDS)

    @contextmanager
    def frozen(self, name: str) -> Iterator[None]:
        """Suspend a process during the block, and record the disturbance."""
        start = time.time()
        self.processes[name].send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.processes[name].send_signal(signal.SIGCONT)
            self.disturbances.append(Disturbance(name, start, time.time()))

    def record_planned_stop(self, name: str, by: str = "signal") -> None:
        """Record that a process was notified of its planned stop.

        Parameters
        ----------
        name
            Name of the process.
        by
            Kind of the notice: ``signal``, ``list`` or ``answer``.
        """
        self.stops.append(PlannedStop(name, time.time(), by))

    async def leave_by_list(self, target: str) -> None:
        """Mark a target as leaving on the VM list."""
        self.record_planned_stop(target, "list")
        await self.register({**self.targets[target].registration, "state": "leaving"})

    async def leave_by_answer(self, target: str) -> None:
        """Let a target announce in its responses that it is draining."""
        self.record_planned_stop(target, "answer")
        await self.set_behaviour(target, draining=True)

    async def stop(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        if name in self.entries:
            self.record_planned_stop(name)
            self.balanced_entries.pop(name, None)
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        return await asyncio.to_thread(process.popen.wait, STOP_TIMEOUT_SECONDS)

    async def run_balancer(self) -> None:
        """Update the list of ready entries with some delay, as a load balancer does."""
        while True:
            await asyncio.sleep(BALANCER_INTERVAL_SECONDS)
            for name, entry in list(self.entries.items()):
                if entry.alive() and await is_ready(entry.admin_port):
                    self.balanced_entries[name] = entry.port
                else:
                    self.balanced_entries.pop(name, None)

    def callers(self, seed: int, abandon_share: float = 0.0) -> Callers:
        """Return callers that use this fleet's ready entries."""
        return Callers(lambda: self.balanced_entries, seed, abandon_share)

    def ledgers(self) -> Ledgers:
        """Read the targets' ledgers."""
        return read_ledgers(self.directory)

    async def publish(self, directory: Path, *options: str) -> CommandResult:
        """Publish a directory of service files with the command line."""
        return await self.run_cli("publish", str(directory), *options)

    async def run_cli(self, *arguments: str) -> CommandResult:
        """Run the command line of operators against the fleet's platform."""
        platform = f"127.0.0.1:{self.platform_port}"
        return await asyncio.to_thread(run_command, [*arguments, "--platform", platform])

    async def status(self, entry: str) -> Response:
        """Return an entry's status page."""
        return await ask(self.entries[entry].admin_port, "GET", "/status")


def run_command(arguments: list[str]) -> CommandResult:
    """Run the command line of operators and return its exit code and output."""
    command = [sys.executable, "-m", "cactusvane.ui", *arguments]
    return subprocess.run(
        command,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT_SECONDS,
        check=False,
    )


async def is_ready(admin_port: int) -> bool:
    """Return whether an entry reports within `BALANCER_INTERVAL_SECONDS` that it is ready."""
    try:
        async with asyncio.timeout(BALANCER_INTERVAL_SECONDS):
            return (await ask(admin_port, "GET", "/ready")).status == 200
    except (OSError, TimeoutError):
        return False


def loopback_address(port: int) -> dict[str, object]:
    """Return a loopback address in the form of settings files."""
    return {"host": "127.0.0.1", "port": port}


def vm_row(name: str, port: int, failure_domain: str, service: str) -> dict[str, object]:
    """Return a row of the VM list."""
    return {
        "name": name,
        "address": loopback_address(port),
        "failure_domain": failure_domain,
        "region": "omaheke",
        "service": service,
    }


def temporary_fleet() -> AbstractAsyncContextManager[Fleet]:
    """Return a context manager of a fleet of daemons.

    Its processes and files are removed at the end of the block.
    """
    return temporary_fleet_of(Fleet)


@asynccontextmanager
async def temporary_fleet_of(fleet_class: type[AnyFleet]) -> AsyncIterator[AnyFleet]:
    """Return a context manager of a fleet of the given class.

    Its processes and files are removed at the end of the block.
    """
    with TemporaryDirectory(prefix="cactusvane-") as directory:
        fleet = fleet_class(Path(directory))
        try:
            yield fleet
        finally:
            fleet.close()
