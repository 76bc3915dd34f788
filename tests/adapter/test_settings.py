"""Reading of the platform's settings file."""

import json
from pathlib import Path
from typing import Any

import pytest
from adapter.settings import (
    PLACEMENT_VARIABLE,
    SETTINGS_VARIABLE,
    StartupSettings,
    read_settings,
)

from cactusvane.errors import SettingsError
from cactusvane.fleet.vm import Address
from cactusvane.placement.settings import PlacementSettings
from cactusvane.settings import HttpLimits

FILE: dict[str, Any] = {
    "node-id": "front-gobabis-1",
    "role": "entry",
    "ip": "10.1.0.18",
    "zone": "gobabis",
    "region": "omaheke",
    "zones": {"gobabis": "omaheke", "witvlei": "omaheke"},
    "listen": {"front": "10.1.0.18:8381", "ready": "10.1.0.18:8388", "control": "10.1.0.18:8382"},
    "internal-ports": [7200, 7215],
    "seed-nodes": ["10.1.0.18:8382", "10.2.0.34:8382"],
    "bounds": {
        "grace-s": 6,
        "retry-budget-ratio": 0.2,
        "budget-slack": 64,
        "floor-share": 0.8,
        "drain-timeout-ms": 1500,
        "new": 1,
    },
    "platform": {"address": "10.200.1.7:8384", "form": "table"},
    "data-dir": None,
}


def read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, file: dict[str, Any]) -> StartupSettings:
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(file))
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    return read_settings()


def test_a_complete_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    start = read(tmp_path, monkeypatch, FILE)
    settings = start.settings
    assert (settings.vm, settings.failure_domain) == ("front-gobabis-1", "gobabis")
    assert settings.listen == Address("10.1.0.18", 8381)
    assert settings.peer == Address("10.1.0.18", 7200)
    assert settings.peers == (Address("10.1.0.18", 8382), Address("10.2.0.34", 8382))
    assert start.control == Address("10.1.0.18", 8382)
    assert start.fleet.retries.domains == 2
    assert start.fleet.retries.extra < 64
    assert start.fleet.retries.share < 0.2
    assert start.fleet.retries.window_ms == 10_000.0
    assert start.fleet.placement.floor_share == 0.8
    assert start.fleet.target_drain_ms == 1_500.0


@pytest.mark.parametrize(
    ("limits", "strength"),
    [
        ({"cpu-share": 0.43, "cpu-cores": 1, "link-mbps": 20}, 0),
        ({"cpu-share": 0.43, "cpu-cores": 1, "link-mbps": 1_000}, 0),
        ({"cpu-share": 0.86, "cpu-cores": 1, "link-mbps": 1_000}, 1),
        ({"cpu-share": 0.717, "cpu-cores": 3, "link-mbps": 200}, 2),
        ({"cpu-share": 0.717, "cpu-cores": 3, "link-mbps": 10}, 0),
    ],
)
def test_strength_is_limited_by_the_weaker_of_processor_and_link(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, limits: dict[str, float], strength: int
) -> None:
    settings = read(tmp_path, monkeypatch, FILE | {"limits": limits}).settings
    assert settings.strength == strength


def test_first_reads_are_spread_only_if_all_machines_start_together(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for bootstrap in (True, False):
        start = read(tmp_path, monkeypatch, FILE | {"bootstrap": bootstrap})
        assert (start.fleet.follow.startup_spread_ms > 0.0) is bootstrap


def test_a_planned_stop_ends_before_the_platform_kills_the_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for grace_s in (1, 2, 6, 30):
        file = FILE | {"bounds": {"grace-s": grace_s}}
        settings = read(tmp_path, monkeypatch, file).settings
        assert settings.leaving_ms + settings.drain_ms < grace_s * 1_000


@pytest.mark.parametrize("name", ["ip", "listen", "platform", "internal-ports"])
def test_the_error_names_a_missing_field(
    name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = {key: value for key, value in FILE.items() if key != name}
    with pytest.raises(SettingsError, match=name):
        read(tmp_path, monkeypatch, file)


def test_no_file(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv(SETTINGS_VARIABLE, raising=False)
    with pytest.raises(SettingsError, match=SETTINGS_VARIABLE):
        read_settings()
    monkeypatch.setenv(SETTINGS_VARIABLE, "/nowhere")
    with pytest.raises(SettingsError, match="nowhere"):
        read_settings()


@pytest.mark.parametrize(
    ("limits", "connections", "side_connections"),
    [
        ({}, 2_000, 256),
        ({"max-fds": 100_000}, 2_000, 256),
        ({"max-fds": 1_024}, 618, 41),
        ({"max-fds": 400}, 150, 16),
        ({"max-fds": 50}, 16, 16),
    ],
)
def test_connections_leave_descriptors_for_everything_else(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    limits: dict[str, int],
    connections: int,
    side_connections: int,
) -> None:
    """Guards against more connections than the VM has descriptors."""
    http = read(tmp_path, monkeypatch, FILE | {"limits": limits}).settings.http
    assert (http.connections, http.side_connections) == (connections, side_connections)
    assert HttpLimits(connections=5, side_connections=9).for_side().connections == 5


def test_a_configuration_does_not_change_the_limits_of_the_vm() -> None:
    """Guards against limits on connections that are lost with the first configuration."""
    own = HttpLimits(connections=150, side_connections=16, stall_ms=5_000, pipelined=9)
    adopted = own.adopt(HttpLimits(body_bytes=7, head_ms=3_000, idle_ms=15_000))
    assert (adopted.connections, adopted.side_connections) == (150, 16)
    assert (adopted.stall_ms, adopted.pipelined) == (5_000, 9)
    assert (adopted.body_bytes, adopted.head_ms, adopted.idle_ms) == (7, 3_000, 15_000)


def test_placement_options_are_off_unless_the_deploy_file_asks_for_them(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a change of deployments that did not ask for it."""
    monkeypatch.delenv(PLACEMENT_VARIABLE, raising=False)
    placement = read(tmp_path, monkeypatch, FILE).fleet.placement
    assert placement == PlacementSettings(floor_share=0.8)
    monkeypatch.setenv(PLACEMENT_VARIABLE, '{"expected-work": true, "share-room": true}')
    placement = read(tmp_path, monkeypatch, FILE).fleet.placement
    assert placement.expected_work_where_mixed
    assert placement.share_room
    assert placement.affinity_cost_share == 0.0


@pytest.mark.parametrize("text", ["{", '{"expected_work": true}', '{"share-room": 1}'])
def test_placement_options_that_are_invalid_are_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, text: str
) -> None:
    """Guards against a misspelt option that is ignored."""
    monkeypatch.setenv(PLACEMENT_VARIABLE, text)
    with pytest.raises(SettingsError, match=PLACEMENT_VARIABLE):
        read(tmp_path, monkeypatch, FILE)
