"""Service files for the tests: the worked examples, scaled down to one machine."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from tests.processes.callers import RequestKind

ROOT = Path(__file__).resolve().parents[2]


@dataclass(frozen=True, slots=True)
class ServiceFile:
    """A service file of operators, as a test publishes it."""

    values: dict[str, Any]

    @property
    def name(self) -> str:
        """Name of the service."""
        return str(self.values["name"])

    @property
    def targets(self) -> int:
        """Number of targets of the service."""
        return int(self.values["targets"])

    @property
    def slots(self) -> int:
        """Maximum number of concurrent requests of a target."""
        return int(self.values["slots"])

    def kinds(self) -> tuple[RequestKind, ...]:
        """Return a kind of request for each route; those of non-idempotent routes are keyed.

        A route whose first method is GET without being idempotent, or the reverse, is left out.
        """
        return tuple(
            RequestKind(
                self.name,
                self.values["hosts"][0],
                route["path"],
                route["methods"][0],
                route["kind"],
                keyed=not route["idempotent"],
            )
            for route in self.values["routes"]
            if (route["methods"][0] == "GET") == route["idempotent"]
        )

    def write(self, directory: Path) -> None:
        """Write the file to a directory that is to be published."""
        directory.mkdir(exist_ok=True)
        data = msgspec.json.format(msgspec.json.encode(self.values))
        (directory / f"{self.name}.json").write_bytes(data)


def load_example(name: str, max_targets: int) -> tuple[ServiceFile, ...]:
    """Read ``examples/NAME``, with at most `max_targets` targets for each service."""
    files = sorted((ROOT / "examples" / name).glob("*.json"))
    decoded = [
        msgspec.json.decode(path.read_bytes()) for path in files if not path.name.startswith(".")
    ]
    return tuple(ServiceFile(scale_down(values, max_targets)) for values in decoded)


def scale_down(values: dict[str, Any], max_targets: int) -> dict[str, Any]:
    """Return a service file with at most `max_targets` targets and a floor in proportion."""
    original_targets = values["targets"]
    targets = min(original_targets, max_targets)
    floor = max(1, values["floor"] * targets // original_targets)
    return {**values, "targets": targets, "floor": floor}


def make_service(
    name: str, targets: int, floor: int, deadline_ms: int = 5_000, **members: object
) -> ServiceFile:
    """Return a service with idempotent lookups and non-idempotent bookings.

    Parameters
    ----------
    name
        Name of the service; its host is ``NAME.example``.
    targets
        Number of targets.
    floor
        Minimum number of targets that stay in use.
    deadline_ms
        Deadline of both routes, in milliseconds.
    members
        Members of the service file to add or replace.
    """
    routes: list[dict[str, Any]] = [
        {"path": "/lookups", "methods": ["GET"], "idempotent": True, "kind": "lookup"},
        {"path": "/bookings", "methods": ["POST"], "idempotent": False, "kind": "booking"},
    ]
    for route in routes:
        route["deadline_ms"] = deadline_ms
    values: dict[str, Any] = {
        "name": name,
        "hosts": [f"{name}.example"],
        "routes": routes,
        "targets": targets,
        "floor": floor,
        "slots": 4,
        "warm_up_ms": 0,
    }
    return ServiceFile({**values, **members})
