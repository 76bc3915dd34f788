"""A fleet of processes on a stand-in of the users' platform: store, targets, entries, callers."""

import asyncio
import os
import signal
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

import msgspec

from tests.processes.callers import Call, Callers, RequestKind, ask
from tests.processes.chaos import FAILURE_DOMAINS, Chaos
from tests.processes.harness import ROOT, Fleet, Process, free_port

DEADLINE_MS = 5_000
LATENCY_MS = 1_000
SERVICES = ("records", "booking")
BOUNDS = {"grace-s": 6, "config-apply-ms": 2_000, "retry-budget-ratio": 0.2, "budget-slack": 64}


class PlatformCallers(Callers):
    """Callers that use the platform's names of header fields."""

    def request_headers(self, call: Call) -> dict[str, str]:
        """Return the header fields of a call."""
        return {"X-Request-Id": call.request_id, "X-Deadline-Ms": str(DEADLINE_MS)}


@dataclass(frozen=True, slots=True)
class ServiceShape:
    """One service of the fleet, with the attributes that `Chaos` uses."""

    name: str
    slots: int = 4


SHAPES = tuple(ServiceShape(name) for name in SERVICES)


def kinds() -> tuple[RequestKind, ...]:
    """Return the kinds of calls: lookups are idempotent, bookings are not."""
    return tuple(
        kind
        for name in SERVICES
        for kind in (
            RequestKind(name, f"{name}.example", "/lookups/1", "GET", "lookup"),
            RequestKind(name, f"{name}.example", "/bookings/1", "POST", "booking"),
        )
    )


def route(service: str, prefix: str, kind: str) -> dict[str, object]:
    """Return a route in the form in which operators write it."""
    return {
        "name": f"{service}{prefix}",
        "prefix": prefix,
        "route-type": kind,
        "timeout-ms": DEADLINE_MS,
        "target-latency-ms": LATENCY_MS,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
    }


class PlatformFleet(Fleet):
    """Entries started through the adapter, and targets that register in the store."""

    target_module = "tests.adapter.target_standin"
    limits: ClassVar[dict[str, int]] = {}
    """Limits on callers in the configuration; those that are left out have their defaults."""

    def __init__(self, directory: Path) -> None:
        super().__init__(directory)
        self.version = 0
        self.written: dict[tuple[object, object], dict[str, object]] = {}

    async def write_again(self) -> None:
        """Write all rows again, as operators and targets do after a restore of the store."""
        await self.write(*self.written.values())

    async def start_platform(self) -> None:
        """Start the store and wait until it responds."""
        self.platform_port = free_port()
        port = str(self.platform_port)
        self.start("platform", self.platform_port, "tests.adapter.store_standin", "--port", port)
        await self.wait_until_ok("platform", self.platform_port, "/rows-get?table=op")

    async def write(self, *rows: dict[str, object]) -> None:
        """Write rows as operators and targets do."""
        self.written.update({(row["table"], row["key"]): row for row in rows})
        await ask(self.platform_port, "POST", "/_control/rows", msgspec.json.encode(rows))

    async def set_platform_faults(self, **faults: object) -> None:
        """Set the faults of the store; without any the store works normally."""
        body = msgspec.json.encode(faults)
        await ask(self.platform_port, "POST", "/_control/faults", body)

    async def configure(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 3
        hosts = [
            {
                "host": f"{name}.example",
                "path-rules": [
                    route(name, "/lookups/", "read_only"),
                    route(name, "/bookings/", "non_idempotent"),
                ],
            }
            for name in SERVICES
        ]
        value = {
            "version": f"{self.version:08x}",
            "services": [{"name": name} for name in SERVICES],
            "virtual-hosts": hosts,
            "limits": self.limits,
        }
        text = msgspec.json.encode(value).decode()
        await self.write({"table": "op", "key": "config", "value": text})

    async def register(self, *vms: dict[str, object], removed: tuple[str, ...] = ()) -> None:
        """Change the rows of targets in the store; entries register themselves."""
        rows = [target_row(vm) for vm in vms if vm["service"]]
        rows += [{"table": "servers", "key": name, "value": None} for name in removed]
        await self.write(*rows)

    async def start_entry(
        self, failure_domain: str, name: str = "", ready: bool = True, **settings: object
    ) -> str:
        """Start an entry and return its name."""
        name = name or f"entry-{len(self.entries)}"
        listen, admin, control, peer = (free_port() for _ in range(4))
        path = self.directory / f"{name}.json"
        seeds = [f"127.0.0.1:{entry.registration['control']}" for entry in self.entries.values()]
        path.write_bytes(
            msgspec.json.encode(
                {
                    "node-id": name,
                    "ip": "127.0.0.1",
                    "zone": failure_domain,
                    "region": "omaheke",
                    "zones": dict.fromkeys(FAILURE_DOMAINS, "omaheke"),
                    "listen": {
                        "front": f"127.0.0.1:{listen}",
                        "ready": f"127.0.0.1:{admin}",
                        "control": f"127.0.0.1:{control}",
                    },
                    "internal-ports": [peer, peer],
                    "seed-nodes": seeds[-3:],
                    "platform": {"address": f"127.0.0.1:{self.platform_port}"},
                    "bounds": BOUNDS,
                    **settings,
                }
            )
        )
        environment = os.environ | {"CACTUSVANE_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        process = self.spawn(name, listen, ("platform/serve.py",), environment)
        process.admin_port = admin
        process.registration = {"control": control}
        self.entries[name] = process
        if ready:
            await self.wait_until_ok(name, admin, "/ready")
            self.balanced_entries[name] = listen
        return name

    def callers(self, seed: int, abandon_share: float = 0.0) -> Callers:
        """Return callers that use this fleet's ready entries."""
        return PlatformCallers(self.reachable, seed, abandon_share)

    def reachable(self) -> dict[str, int]:
        """Return the ports of the entries that get calls: ready ones, or all if none is ready."""
        alive = {name: entry.port for name, entry in self.entries.items() if entry.alive()}
        return self.balanced_entries or alive


def target_row(vm: dict[str, object]) -> dict[str, object]:
    """Return the row that a target writes."""
    address = msgspec.convert(vm["address"], dict[str, object])
    state = "draining" if vm.get("state") == "leaving" else "ready"
    info = {
        "service": vm["service"],
        "zone": vm["failure_domain"],
        "max-concurrency": vm.get("slots", 4),
    }
    value = {
        "address": f"{address['host']}:{address['port']}",
        "info": info,
        "status": {"state": state, "sequence": 1, "warmup-left-ms": 0},
        "born": 1,
    }
    return {"table": "servers", "key": vm["name"], "value": msgspec.json.encode(value).decode()}


class PlatformChaos(Chaos):
    """Chaos with additional faults that are specific to the users' platform."""

    fleet: PlatformFleet

    async def forget_history(self) -> None:
        """Make the store drop its history."""
        await self.set_platform_faults(forget=True)

    async def lapse(self) -> None:
        """Remove the row of a live target during an outage of the store, and add it afterwards."""
        name = self.pick_process(self.fleet.targets, 2)
        if name is None:
            return
        listed = self.fleet.targets[name].registration
        with suppress(OSError, TimeoutError):
            await self.set_platform_faults(down=True)
            await self.fleet.register(removed=(name,))
            await self.wait_random()
            await self.set_platform_faults()
            await self.fleet.register(listed)
        self.affected.discard(name)

    async def restore(self) -> None:
        """Bring the store back from a copy some seconds old, and write again what it has lost."""
        with suppress(OSError, TimeoutError):
            await self.set_platform_faults(down=True)
            await self.wait_random()
            await self.set_platform_faults(restore_ms=1_000.0 * self.random.uniform(1.0, 10.0))
            await asyncio.sleep(self.random.uniform(0.0, 1.5))
            await self.fleet.write_again()
            await self.set_platform_faults()

    async def change_configuration(self) -> None:
        """Publish versions in quick succession."""
        with suppress(OSError, TimeoutError):
            for _ in range(self.random.randint(1, 5)):
                await self.fleet.configure()
                await asyncio.sleep(0.1)

    async def reload_settings(self) -> None:
        """Make an entry reload its settings."""
        names = [name for name, entry in self.fleet.entries.items() if entry.alive()]
        self.process(self.random.choice(names)).send_signal(signal.SIGHUP)

    async def kill_all(self) -> None:
        """Kill all entries at once and start the same number of new ones."""
        names = [name for name, entry in self.fleet.entries.items() if entry.alive()]
        names = [name for name in names if name not in self.affected]
        for name in names:
            self.fleet.kill(name)
            self.fleet.balanced_entries.pop(name, None)
        await asyncio.gather(*(self.new_entry() for _ in names))

    def process(self, name: str) -> Process:
        """Return a process by its name."""
        return self.fleet.processes[name]


PLATFORM_FAULTS = (
    *("kill_entry", "freeze_entry", "stop_entry", "kill_all", "reload_settings"),
    *("platform_down", "platform_slow", "lose_answers", "freeze_platform"),
    *("forget_history", "lapse", "change_configuration", "restore"),
    *("freeze_target", "kill_target", "gray_target", "wrong_answers", "leave_by_list"),
    *("cut_up", "cut_down", "cut_answers"),
)
