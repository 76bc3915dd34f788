"""Customers and their keys, in a complete process with scripted targets."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from cactusvane.configuration.model import Customer
from cactusvane.customers.gate import OpenGate
from cactusvane.errors import RequestError
from cactusvane.events import Event, JsonLines
from cactusvane.fleet_process import FleetProcess
from cactusvane.http.fetch import fetch
from cactusvane.http.message import Headers, Response
from cactusvane.verdict import Verdict
from tests.adapter.test_process import BOOK, LIMITS, READ, Fleet, run_scenario, until

KEY = "s3cret-of-a"
TENANT: dict[str, object] = {"name": "tenant-a", "api-keys": [KEY], "priority": 1}
OTHER: dict[str, object] = {"name": "tenant-b", "api-keys": ["s3cret-of-b"]}
SECRET = "s3cret"

WithKeys = Callable[[Fleet, FleetProcess], Awaitable[None]]


async def send(
    process: FleetProcess, *fields: tuple[bytes, bytes], path: str = READ, time_ms: int = 1_500
) -> Response:
    headers: Headers = [
        (b"host", b"jepu9.example"),
        (b"x-request-id", b"q1"),
        (b"x-deadline-ms", b"%d" % time_ms),
        *fields,
    ]
    method = "POST" if path == BOOK else "GET"
    return await fetch(process.settings.listen, method, path, headers, b"", 5_000, LIMITS)


def key(text: str = KEY) -> tuple[bytes, bytes]:
    return b"api-key", text.encode()


def heads(fleet: Fleet) -> list[str]:
    return [head for target in fleet.targets for head in target.heads]


async def start(fleet: Fleet, *tenants: dict[str, object], **changes: Any) -> FleetProcess:
    fleet.tenants = list(tenants)
    fleet.configure(**changes)
    fleet.list_targets()
    process = await fleet.start_process("e1")
    await until(lambda: process.ready)
    return process


def run_with_keys(scenario: WithKeys) -> None:
    async def run(fleet: Fleet) -> None:
        await scenario(fleet, await start(fleet, TENANT, OTHER))

    run_scenario(run)


async def configure(fleet: Fleet, process: FleetProcess, *tenants: dict[str, object]) -> None:
    fleet.tenants = list(tenants)
    fleet.configure()
    await until(lambda: process.version == fleet.operator_version)


def lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [JsonLines("e1").format(record) for record in caplog.records]


def ends(caplog: pytest.LogCaptureFixture) -> list[dict[str, Any]]:
    number = Event.REQUEST_ENDED.value.number
    return [
        getattr(record, "fields", {})
        for record in caplog.records
        if getattr(record, "number", 0) == number
    ]


def test_targets_get_the_customers_name_and_no_key() -> None:
    """Guards against a key at a target, and a name that the caller has chosen."""

    async def scenario(fleet: Fleet, process: FleetProcess) -> None:
        forged = ((b"x-tenant-name", b"tenant-b"), (b"X-Tenant-Name", b"tenant-c"))
        assert (await send(process, key(), *forged)).status == 200
        assert (await send(process, key(), (b"connection", b"x-tenant-name"))).status == 200
        for head in heads(fleet):
            assert head.count("x-tenant-name") == head.count("x-tenant-name: tenant-a\r\n") == 1
            assert SECRET not in head
            assert "api-key" not in head
        assert len(heads(fleet)) == 2

    run_with_keys(scenario)


@pytest.mark.parametrize(
    "fields",
    [
        (),
        (key("s3cret-of-nobody"),),
        (key(KEY.upper()),),
        (key(), key()),
        (key(), key("s3cret-of-b")),
        ((b"x-tenant-name", b"tenant-a"),),
    ],
)
def test_a_request_without_exactly_one_known_key_gets_401(
    fields: tuple[tuple[bytes, bytes], ...], caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a request that runs without a key, and a caller that is not told so."""
    caplog.set_level(logging.INFO)

    async def scenario(fleet: Fleet, process: FleetProcess) -> None:
        for path in (READ, BOOK):
            response = await send(process, *fields, path=path)
            assert response.status == 401
            assert response.header(b"cactusvane-verdict") == b"not-run"
            assert b'"unknown-key"' in response.body
        assert heads(fleet) == []

    run_with_keys(scenario)
    assert [(end["code"], end["customer"]) for end in ends(caplog)] == [("unknown-key", "")] * 2


def test_no_key_is_in_the_log_in_the_metrics_or_in_a_response(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against keys that whoever reads logs or metrics can use."""
    caplog.set_level(logging.DEBUG)
    told: list[bytes] = []

    async def scenario(fleet: Fleet, process: FleetProcess) -> None:
        for reply in ("ok", "shed", "error", "foreign"):
            for target in fleet.targets:
                target.reply = reply
            for fields in ((key(),), (key("s3cret-of-nobody"),), (key(), key())):
                told.append((await send(process, *fields)).body)
        told.append((await send(process, key(), path="/nowhere/")).body)
        told.append(await send_bytes(process, f"api-key: {KEY}\x00\r\n\r\n"))
        told.append(await send_bytes(process, f"api-key : {KEY}\r\n\r\n"))
        told.append(await send_bytes(process, f"transfer-encoding: chunked\r\n\r\n{KEY}\r\n"))
        told.append(process.recorder.text())
        await configure(fleet, process, OTHER)

    run_with_keys(scenario)
    assert len(lines(caplog)) > 20
    assert [line for line in lines(caplog) if SECRET in line] == []
    assert [body for body in told if SECRET.encode() in body] == []


async def send_bytes(process: FleetProcess, rest: str) -> bytes:
    """Send a request whose head ends with `rest`, and return the response."""
    address = process.settings.listen
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(f"GET {READ} HTTP/1.1\r\nhost: jepu9.example\r\n{rest}".encode())
    response = await asyncio.wait_for(reader.readuntil(b"}"), 3.0)
    writer.close()
    assert b" 400 " in response
    return response


def test_an_anonymous_route_needs_no_key_and_forwards_none() -> None:
    """Guards against a 401 for the public, and a key or a forged name at a target."""

    async def scenario(fleet: Fleet) -> None:
        process = await start(fleet, TENANT, anonymous=True)
        for fields in ((), (key(), (b"x-tenant-name", b"tenant-a")), (key("s3cret-x"),)):
            assert (await send(process, *fields)).status == 200
        for head in heads(fleet):
            assert "api-key" not in head
            assert "x-tenant-name" not in head

    run_scenario(scenario)


def test_without_customers_both_fields_are_forwarded() -> None:
    """Guards against a change for services whose own fields have these names."""

    async def scenario(fleet: Fleet) -> None:
        process = await start(fleet)
        assert (await send(process, key("own"), (b"x-tenant-name", b"own"))).status == 200
        (head,) = heads(fleet)
        assert "api-key: own\r\n" in head
        assert "x-tenant-name: own\r\n" in head

    run_scenario(scenario)


def test_keys_come_and_go_with_versions_of_the_configuration(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a removed key that is still accepted, and a new one that is not."""
    caplog.set_level(logging.INFO)

    async def scenario(fleet: Fleet, process: FleetProcess) -> None:
        added = TENANT | {"api-keys": [KEY, "s3cret-2"]}
        assert (await send(process, key("s3cret-2"))).status == 401
        await configure(fleet, process, added, OTHER)
        assert (await send(process, key("s3cret-2"))).status == 200
        await configure(fleet, process, TENANT | {"api-keys": ["s3cret-2"]}, OTHER)
        assert (await send(process, key())).status == 401
        assert (await send(process, key("s3cret-2"))).status == 200
        await configure(fleet, process)
        assert (await send(process)).status == 200

    run_with_keys(scenario)
    number = Event.KEYS_CHANGED.value.number
    changed = [record for record in caplog.records if getattr(record, "number", 0) == number]
    fields = [getattr(record, "fields", {}) for record in changed]
    assert [(each["added"], each["removed"]) for each in fields] == [(2, 0), (1, 0), (0, 1), (0, 2)]
    assert fields[2]["names"] == ("tenant-a",)


def test_a_configuration_with_one_key_for_two_customers_is_refused_whole(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against requests that run for the wrong customer."""

    async def scenario(fleet: Fleet, process: FleetProcess) -> None:
        before = process.version
        fleet.tenants = [TENANT, OTHER | {"api-keys": ["s3cret-3", KEY]}]
        fleet.configure()
        await until(lambda: any("the same key" in line for line in lines(caplog)))
        assert process.version == before
        assert (await send(process, key("s3cret-3"))).status == 401
        assert (await send(process, key("s3cret-of-b"))).status == 200
        await configure(fleet, process, TENANT, OTHER)

    run_with_keys(scenario)
    assert [line for line in lines(caplog) if SECRET in line] == []


def test_the_customer_is_in_the_log_the_metrics_and_the_profile(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against overload that nobody can trace to a customer."""
    caplog.set_level(logging.INFO)

    async def scenario(fleet: Fleet, process: FleetProcess) -> None:
        assert (await send(process, key())).status == 200
        label = 'class="2xx",customer="tenant-a"'
        await until(lambda: label in process.recorder.text().decode())
        (profile,) = process.domain.placements["huvo11a"].profiles.values()
        assert (profile.customer, profile.customer_priority) == ("tenant-a", 1)

    run_with_keys(scenario)
    assert [end["customer"] for end in ends(caplog)] == ["tenant-a"]


class ScriptedGate(OpenGate):
    """A gate that keeps what it is asked, and rejects what the test says."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.rejects: dict[str, int] = {}

    def record(self, call: str) -> None:
        self.calls.append(call)
        if call in self.rejects:
            raise RequestError(self.rejects[call], f"code-{call}", call, Verdict.NOT_RUN, 500.0)

    def check_current(self) -> None:
        self.record("current")

    def check_unknown_key(self) -> None:
        self.record("unknown")

    def admit(self, customer: Customer) -> None:
        self.record("admit")

    def give_back(self, customer: Customer) -> None:
        self.record("give-back")


def install_gate(process: FleetProcess) -> ScriptedGate:
    gate = ScriptedGate()
    process.entry.gate.freshness = process.entry.gate.quota = gate
    return gate


@pytest.mark.parametrize(
    ("rejects", "text", "status", "calls"),
    [
        ({}, KEY, 200, ["current", "admit"]),
        ({}, "s3cret-x", 401, ["current", "unknown"]),
        ({"current": 503}, KEY, 503, ["current"]),
        ({"unknown": 503}, "s3cret-x", 503, ["current", "unknown"]),
        ({"admit": 429}, KEY, 429, ["current", "admit"]),
    ],
)
def test_the_gate_is_asked_in_order_and_rejects(
    rejects: dict[str, int],
    text: str,
    status: int,
    calls: list[str],
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a key that is looked up in an outdated configuration, and uncounted 429s."""
    caplog.set_level(logging.INFO)

    async def scenario(fleet: Fleet, process: FleetProcess) -> None:
        gate = install_gate(process)
        gate.rejects = rejects
        response = await send(process, key(text))
        assert response.status == status
        assert gate.calls == calls
        if status != 200:
            assert response.header(b"cactusvane-verdict") == b"not-run"
            assert heads(fleet) == []
        if rejects:
            assert response.header(b"retry-after") == b"0.5"
        if status == 429:
            label = 'cactusvane_customer_answers_total{class="4xx",customer="tenant-a"} 1.0'
            assert label in process.recorder.text().decode()

    run_with_keys(scenario)
    (end,) = ends(caplog)
    assert (end["status"], end["customer"]) == (status, "tenant-a" if status in (200, 429) else "")


def test_the_gate_is_not_asked_about_anonymous_requests() -> None:
    """Guards against a public route that is rejected because of a customer's keys."""

    async def scenario(fleet: Fleet) -> None:
        process = await start(fleet, TENANT, anonymous=True)
        gate = install_gate(process)
        assert (await send(process, key())).status == 200
        assert gate.calls == []

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("path", "reply", "verdict", "given_back"),
    [
        (READ, "ok", b"ran", 0),
        (READ, "shed", b"not-run", 1),
        (READ, "error", b"ran", 0),
        (READ, "foreign", b"may-have-run", 0),
        (BOOK, "shed", b"not-run", 1),
        (BOOK, "foreign", b"may-have-run", 0),
        (BOOK, "hang", b"may-have-run", 0),
    ],
)
def test_a_request_is_given_back_once_if_it_has_not_run(
    path: str, reply: str, verdict: bytes, given_back: int
) -> None:
    """Guards against a quota that counts requests which no target ran, or forgets some that ran."""

    async def scenario(fleet: Fleet, process: FleetProcess) -> None:
        gate = install_gate(process)
        for target in fleet.targets:
            target.reply = reply
        response = await send(process, key(), path=path, time_ms=600)
        assert response.header(b"cactusvane-verdict") == verdict
        assert gate.calls == ["current", "admit", *["give-back"] * given_back]

    run_with_keys(scenario)


def test_a_request_without_any_target_is_given_back() -> None:
    """Guards against a quota that is used up while a service is down."""

    async def scenario(fleet: Fleet, process: FleetProcess) -> None:
        gate = install_gate(process)
        for target in fleet.targets:
            fleet.store.put("servers", target.name, None)
        await until(lambda: not process.listed)
        assert (await send(process, key())).status == 503
        assert gate.calls == ["current", "admit", "give-back"]

    run_with_keys(scenario)


@pytest.mark.parametrize(("waits", "given_back"), [(True, 1), (False, 0)])
def test_a_request_whose_caller_is_gone_is_given_back_if_it_was_not_sent(
    waits: bool, given_back: int
) -> None:
    """Guards against tokens lost to callers that give up, and requests at targets uncounted."""

    async def scenario(fleet: Fleet, process: FleetProcess) -> None:
        gate = install_gate(process)
        for target in fleet.targets:
            target.reply = "hang"
            if waits:
                fleet.store.put("servers", target.name, None)
        await until(lambda: len(process.listed) == (0 if waits else 2))
        task = asyncio.ensure_future(send(process, key()))
        await until(lambda: "admit" in gate.calls)
        if not waits:
            await until(lambda: any(target.ran for target in fleet.targets))
        task.cancel()
        await asyncio.sleep(0.05)
        assert gate.calls.count("give-back") == given_back
        assert not process.entry.dispatches
        await asyncio.sleep(0.3)
        assert gate.calls.count("give-back") == given_back

    run_with_keys(scenario)


def test_a_request_that_is_invalid_is_not_admitted() -> None:
    """Guards against a request that is counted and never given back."""

    async def scenario(fleet: Fleet, process: FleetProcess) -> None:
        gate = install_gate(process)
        headers = [(b"host", b"jepu9.example"), (b"x-deadline-ms", b"soon"), key()]
        response = await fetch(process.settings.listen, "GET", READ, headers, b"", 5_000, LIMITS)
        assert response.status == 400
        assert gate.calls == ["current"]

    run_with_keys(scenario)
