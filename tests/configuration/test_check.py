import json
from pathlib import Path

import pytest

from cactusvane.configuration.check import (
    check_service,
    check_together,
    find_service_files,
    read_files,
)
from cactusvane.errors import ServiceFileError

EXAMPLES = Path(__file__).parents[2] / "examples"
RECORDS = EXAMPLES / "omaheke" / "records.json"


@pytest.mark.parametrize("user", ["omaheke", "murets"])
def test_examples_are_valid(user: str):
    configuration = check_together(read_files(find_service_files(EXAMPLES / user)))
    assert len(configuration.services) == 3


@pytest.mark.parametrize(
    ("change", "path", "value", "remedy"),
    [
        ({"flor": 4}, "flor", "4", "there is no such field"),
        ({"floor": 6}, "floor", "6", "at most 5"),
        ({"floor": "many"}, "floor", '"many"', "valid integer"),
        ({"connections": 3}, "connections", "3", "at least 4"),
        ({"hosts": ["Records:80"]}, "hosts[0]", '"Records:80"', "lower case"),
        ({"leaving": {"targets": ["host:1"]}}, "leaving.targets[0]", '"host:1"', "IP number"),
        ({"leaving": {"drain_ms": 10}}, "leaving.drain_ms", "10", "at least 20000"),
        ({"leaving": {"targets": [f"10.0.0.{n}:1" for n in range(3)]}}, "leaving", "", "at most 2"),
        ({"objectives": [{"kind": "rekord"}]}, "objectives[0].kind", '"rekord"', "record"),
        ({"keyed_while_table_down": "run"}, "keyed_while_table_down", '"run"', "refuse"),
    ],
)
def test_error_names_the_invalid_field(
    change: dict[str, object], path: str, value: str, remedy: str
):
    content = json.loads(RECORDS.read_text()) | change
    with pytest.raises(ServiceFileError) as caught:
        check_service("a.json", json.dumps(content).encode())
    error = caught.value
    assert error.file == "a.json"
    assert error.path.startswith(path)
    assert value in error.value
    assert remedy in error.remedy


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"path": "records"}, "routes[0].path"),
        ({"path": "/records/"}, "routes[0].path"),
        ({"path": "/a/../b"}, "routes[0].path"),
        ({"methods": ["get"]}, "routes[0].methods"),
        ({"methods": ["GET", "POST"]}, "routes[0].idempotent"),
        ({"path": "/notes"}, "routes[1]"),
    ],
)
def test_error_names_the_invalid_route(change: dict[str, object], path: str):
    content = json.loads(RECORDS.read_text())
    content["routes"][0] |= change
    with pytest.raises(ServiceFileError) as caught:
        check_service("a.json", json.dumps(content).encode())
    assert caught.value.path == path


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"\xff", b"null"])
def test_data_that_is_no_service_file_is_rejected(data: bytes):
    with pytest.raises(ServiceFileError):
        check_service("a.json", data)


def test_same_route_in_two_services_is_rejected():
    service = check_service("a.json", RECORDS.read_bytes())
    other = json.loads(RECORDS.read_text()) | {"name": "other"}
    with pytest.raises(ServiceFileError, match="a.json has it already"):
        check_together(
            {"a.json": service, "b.json": check_service("b", json.dumps(other).encode())}
        )
