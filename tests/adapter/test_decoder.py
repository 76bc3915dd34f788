"""Decoding of valid and invalid rows of the platform's tables."""

import copy
from typing import Any

import msgspec
import pytest
from adapter.decoder import Decoder, WireTenant

from cactusvane.configuration.model import Customer, Share
from cactusvane.fleet.vm import Address, VmState

TARGET: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "info": {"service": "huvo11a", "version": "v1", "zone": "gobabis", "max-concurrency": 4},
    "status": {"state": "ready", "sequence": 4, "warmup-left-ms": 250},
    "born": 1_700_000_000_000,
}

CONFIGURATION: dict[str, Any] = {
    "version": "0000001f",
    "services": [{"name": "huvo11a", "health-path": "/health", "max-connections": 390}],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 67108864,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "virtual-hosts": [
        {
            "host": "jepu9.example",
            "path-rules": [
                {
                    "name": "r1",
                    "prefix": "/lepu270/",
                    "route-type": "read_only",
                    "timeout-ms": 2500,
                    "target-latency-ms": 1200,
                    "priority": 2,
                    "traffic-split": [
                        {"service": "huvo11a", "weight": 90},
                        {"service": "kafi81c", "weight": 10},
                    ],
                    "max-attempts": 2,
                },
                {
                    "name": "r2",
                    "prefix": "/xapu221/ny95/",
                    "route-type": "non_idempotent",
                    "timeout-ms": 2000,
                    "target-latency-ms": 1200,
                    "service": "wuno96b",
                    "max-attempts": 2,
                },
            ],
        }
    ],
}


def rows(**values: object) -> dict[str, bytes]:
    return {key: msgspec.json.encode(value) for key, value in values.items()}


def test_a_target() -> None:
    (vm,) = Decoder().targets(rows(i1=TARGET))
    assert vm.name == "i1"
    assert vm.address == Address("10.128.0.9", 8080)
    assert (vm.service, vm.failure_domain, vm.slots) == ("huvo11a", "gobabis", 4)
    assert (vm.state, vm.warm_up_ms) == (VmState.LIVE, 250.0)


def changed(path: tuple[str, ...], value: object) -> dict[str, Any]:
    target = copy.deepcopy(TARGET)
    inner = target
    for name in path[:-1]:
        inner = inner[name]
    inner[path[-1]] = value
    return target


@pytest.mark.parametrize(
    "bad",
    [
        changed(("address",), "nowhere"),
        changed(("address",), None),
        changed(("info",), {}),
        changed(("info", "service"), 7),
        changed(("info", "max-concurrency"), "4"),
        changed(("status", "state"), "resting"),
        changed(("status",), []),
        {},
        [],
        "text",
    ],
)
def test_invalid_rows_are_skipped_and_the_others_decoded(bad: object) -> None:
    found = Decoder().targets(rows(i1=TARGET, i2=bad) | {"i3": b"\xff\xfe"})
    assert [vm.name for vm in found] == ["i1"]


def test_draining_targets_are_leaving() -> None:
    (vm,) = Decoder().targets(rows(i1=changed(("status", "state"), "draining")))
    assert vm.state is VmState.LEAVING


def test_a_configuration() -> None:
    found = Decoder().configuration(rows(config=CONFIGURATION))
    assert found is not None
    assert found.version == 31
    assert (found.limits.head_ms, found.limits.idle_ms) == (3_000, 15_000)
    first, second = found.configuration.rules
    assert first.shares == (Share("huvo11a", 90), Share("kafi81c", 10))
    assert first.route.idempotent
    assert (first.route.deadline_ms, first.route.latency_ms) == (2_500, 1_200)
    assert (first.route.attempts, first.route.priority) == (2, 2)
    assert second.shares == (Share("wuno96b", 1),)
    assert not second.route.idempotent


@pytest.mark.parametrize(
    ("name", "value"),
    [("version", "xyz"), ("version", 7), ("virtual-hosts", None), ("services", [{"name": 1}])],
)
def test_an_invalid_configuration_is_none(name: str, value: object) -> None:
    assert Decoder().configuration(rows(config=CONFIGURATION | {name: value})) is None


def test_no_configuration() -> None:
    assert Decoder().configuration({}) is None


TENANT: dict[str, Any] = {"name": "a", "api-keys": ["s3cret", "k2"]}


def with_tenants(*tenants: object) -> dict[str, bytes]:
    return rows(config=CONFIGURATION | {"tenants": tenants})


def test_tenants() -> None:
    """Guards against a customer without its keys, its quota or its priority."""
    limited = {"name": "b", "api-keys": ["k3"], "priority": 2, "rate-per-s": 91, "burst": 0.5}
    found = Decoder().configuration(with_tenants(TENANT, limited))
    assert found is not None
    assert found.configuration.customers == (
        Customer("a", ("s3cret", "k2")),
        Customer("b", ("k3",), rate_per_s=91.0, burst=0.5, priority=2),
    )


@pytest.mark.parametrize("tenants", [{}, {"tenants": None}, {"tenants": []}])
def test_a_configuration_without_tenants_has_no_customers(tenants: dict[str, Any]) -> None:
    """Guards against a service that suddenly requires keys, or has no configuration."""
    found = Decoder().configuration(rows(config=CONFIGURATION | tenants))
    assert found is not None
    assert found.configuration.customers == ()


@pytest.mark.parametrize(
    ("tenants", "reason"),
    [
        ([TENANT, {"name": "b", "api-keys": ["s3cret"]}], "'a' and 'b' have the same key"),
        ([TENANT, {"name": "a", "api-keys": ["s3cret2"]}], "the name 'a'"),
        ([{"name": "", "api-keys": ["s3cret"]}], "no name"),
        ([{"api-keys": ["s3cret"]}], "missing required field `name`"),
        ([{"name": "a", "api-keys": ["s3cret", ""]}], "empty or not visible ASCII"),
        ([{"name": "a", "api-keys": ["s3cret\u00e9"]}], "empty or not visible ASCII"),
        ([{"name": "a", "api-keys": ["s3cret", 7]}], "Expected `str`"),
        ([{"name": "a", "api-keys": "s3cret"}], "Expected `array`"),
        ([{"name": "a", "api-keys": ["s3cret"], "rate-per-s": -1}], "Expected `float`"),
    ],
)
def test_invalid_tenants_make_the_configuration_unusable(
    tenants: list[object], reason: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a configuration that is used in part, and a key in the logged reason."""
    assert Decoder().configuration(with_tenants(*tenants)) is None
    (record,) = caplog.records
    assert reason in record.getMessage()
    assert "s3cret" not in f"{record.getMessage()} {vars(record)}"


@pytest.mark.parametrize(
    "text", [b'"s3cret', b'"s3cret\xff"', b'"s3cret\\ud800"', b'["s3cret" "k"]', b"s3cret"]
)
def test_a_configuration_that_is_no_json_is_reported_without_its_content(
    text: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a key in the text of an error of the JSON parser."""
    broken = b'{"version": "1f", "tenants": [{"name": "a", "api-keys": [' + text + b"]}]}"
    assert Decoder().configuration({"config": broken}) is None
    (record,) = caplog.records
    assert "s3cret" not in f"{record.getMessage()} {vars(record)}"


def test_the_representation_of_a_tenant_has_no_key() -> None:
    """Guards against a key in the log of whatever contains the decoded row."""
    assert "s3cret" not in repr(msgspec.convert(TENANT, WireTenant))
