"""The platform's names must not occur outside the adapter."""

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]

WIRE_NAMES = (
    "x-expect-instance",
    "x-not-executed",
    "x-response-stamp",
    "x-deadline-ms",
    "rows-get",
    "rows-feed",
    "rows-tx",
    "upsert-rows",
    "virtual-hosts",
    "path-rules",
    "route-type",
    "read_only",
    "traffic-split",
    "max-concurrency",
    "warmup-left-ms",
    "seed-nodes",
    "internal-ports",
    "fleetbench",
)


def test_no_module_outside_the_adapter_uses_names_on_the_wire() -> None:
    pattern = re.compile("|".join(map(re.escape, WIRE_NAMES)), re.IGNORECASE)
    found = [
        f"{path.relative_to(ROOT)}: {match.group()}"
        for path in sorted((ROOT / "cactusvane").rglob("*.py"))
        for match in pattern.finditer(path.read_text())
    ]
    assert not found
