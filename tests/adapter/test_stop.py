"""A planned stop: which late requests are still sent to targets, and what their callers hear."""

import asyncio
from dataclasses import dataclass, field

import pytest

from cactusvane.fleet_process import FleetProcess
from tests.adapter.test_process import BOOK, READ, Fleet, run_scenario, until

LEAVING_S = 0.1
DRAIN_S = 2.0
ENDS_S = LEAVING_S + DRAIN_S
"""From the signal to the cut of what is in flight; set by `Fleet.start_process`."""

LONG_MS = 6_000


@dataclass(slots=True)
class Answer:
    """What a caller received; status 0 if the connection ended without a response."""

    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    verdict: str = ""
    after_s: float = 0.0

    @property
    def returns_at_once(self) -> bool:
        """Whether the caller is told that the request has not run and may be repeated now."""
        return (self.status, self.verdict, self.fields.get("retry-after")) == (503, "not-run", "0")


async def receive(reader: asyncio.StreamReader, since: float) -> Answer:
    answer = Answer()
    try:
        head, _, body = (await reader.read()).decode().partition("\r\n\r\n")
    except ConnectionError:
        return answer
    lines = head.lower().split("\r\n")
    if len(lines) > 1:
        answer.status = int(lines[0].split()[1])
        answer.fields = dict(line.split(": ", 1) for line in lines[1:])
        answer.verdict = answer.fields.get("cactusvane-verdict", "")
    answer.after_s = asyncio.get_running_loop().time() - since
    return answer


class LateCaller:
    """A caller on a kept connection whose request ends late.

    Parameters
    ----------
    process
        The entry that it is connected to.
    path
        Path of the request; `BOOK` is not idempotent.
    time_ms
        Time that the caller waits.
    """

    def __init__(self, process: FleetProcess, path: str, time_ms: int) -> None:
        self.process = process
        self.path = path
        self.time_ms = time_ms

    async def connect(self) -> None:
        address = self.process.settings.listen
        self.reader, self.writer = await asyncio.open_connection(address.host, address.port)

    def send(self, part: str) -> None:
        """Send the head, the body, or both (``whole``)."""
        method = "POST" if self.path == BOOK else "GET"
        head = (
            f"{method} {self.path} HTTP/1.1\r\nhost: jepu9.example\r\ncontent-length: 4\r\n"
            f"x-request-id: q-{id(self)}\r\nx-deadline-ms: {self.time_ms}\r\n\r\n"
        )
        parts = {"head": head, "body": "body", "whole": f"{head}body"}
        self.writer.write(parts[part].encode())

    async def answer(self) -> Answer:
        since = asyncio.get_running_loop().time()
        answer = await asyncio.wait_for(receive(self.reader, since), 10)
        self.writer.close()
        return answer


async def serving(fleet: Fleet, reply: str = "slow", latency_ms: int = 500) -> FleetProcess:
    fleet.configure(**{"timeout-ms": LONG_MS, "target-latency-ms": latency_ms})
    fleet.list_targets()
    process = await fleet.start_process("e1")
    await until(lambda: process.ready)
    for target in fleet.targets:
        target.reply = reply
    return process


def runs(fleet: Fleet) -> int:
    return sum(len(target.ran) for target in fleet.targets)


async def call_whole_at(fleet: Fleet, path: str, time_ms: int, seconds: float) -> Answer:
    """Send a request whose last byte is sent this long after the signal to stop."""
    process = await serving(fleet)
    caller = LateCaller(process, path, time_ms)
    await caller.connect()
    process.stopping.set()
    await asyncio.sleep(0.05)
    caller.send("head")
    await asyncio.sleep(seconds - 0.05)
    caller.send("body")
    return await caller.answer()


async def stop_with_a_call_in_flight(fleet: Fleet, path: str) -> LateCaller:
    """Stop an entry while a target that does not answer has a request; return its caller."""
    process = await serving(fleet, "hang")
    caller = LateCaller(process, path, LONG_MS)
    await caller.connect()
    caller.send("whole")
    await until(lambda: runs(fleet) == 1)
    process.stopping.set()
    return caller


@pytest.mark.parametrize("path", [READ, BOOK])
@pytest.mark.parametrize(("seconds", "time_ms"), [(0.06, 1_500), (0.4, 1_500), (1.3, 600)])
def test_a_request_whose_deadline_is_before_the_end_of_a_stop_is_served(
    path: str, seconds: float, time_ms: int
) -> None:
    async def scenario(fleet: Fleet) -> None:
        answer = await call_whole_at(fleet, path, time_ms, seconds)
        assert (answer.status, answer.fields["connection"], runs(fleet)) == (200, "close", 1)

    run_scenario(scenario)


@pytest.mark.parametrize("path", [READ, BOOK])
@pytest.mark.parametrize(
    ("seconds", "time_ms"), [(0.9, 1_500), (1.9, 1_500), (1.6, 600), (0.3, LONG_MS)]
)
def test_a_request_that_may_not_end_before_a_stop_does_is_rejected_at_once(
    path: str, seconds: float, time_ms: int
) -> None:
    """Guards against passing it on and cutting it off without an answer at the end."""

    async def scenario(fleet: Fleet) -> None:
        answer = await call_whole_at(fleet, path, time_ms, seconds)
        assert answer.returns_at_once
        assert answer.after_s < 0.1
        assert runs(fleet) == 0

    run_scenario(scenario)


@pytest.mark.parametrize(("path", "status"), [(READ, 200), (BOOK, 503)])
def test_early_in_a_stop_only_what_may_not_be_repeated_needs_its_whole_deadline(
    path: str, status: int
) -> None:
    """A read with a long deadline is served, as it usually ends long before."""

    async def scenario(fleet: Fleet) -> None:
        answer = await call_whole_at(fleet, path, LONG_MS, 0.06)
        assert (answer.status, runs(fleet)) == (status, int(status == 200))

    run_scenario(scenario)


@pytest.mark.parametrize("path", [READ, BOOK])
def test_a_request_that_a_target_does_not_answer_gets_an_answer_at_the_end_of_a_stop(
    path: str,
) -> None:
    """Guards against a reset, which does not say that the request may have run."""

    async def scenario(fleet: Fleet) -> None:
        caller = await stop_with_a_call_in_flight(fleet, path)
        answer = await caller.answer()
        assert (answer.status, answer.verdict) == (502, "may-have-run")
        assert ENDS_S - 0.1 < answer.after_s < ENDS_S + 0.2
        assert runs(fleet) == 1

    run_scenario(scenario)


@pytest.mark.parametrize(("path", "within_s"), [(BOOK, 0.4), (READ, ENDS_S)])
def test_a_request_that_waits_for_a_target_is_rejected_before_the_end_of_a_stop(
    path: str, within_s: float
) -> None:
    """It is told as soon as it could not be served any more."""

    async def scenario(fleet: Fleet) -> None:
        process = await serving(fleet, latency_ms=10 * LONG_MS)
        for target in fleet.targets:
            fleet.store.put("servers", target.name, None)
        await until(lambda: not process.listed)
        caller = LateCaller(process, path, LONG_MS)
        await caller.connect()
        caller.send("whole")
        await asyncio.sleep(0.1)
        process.stopping.set()
        answer = await caller.answer()
        assert answer.returns_at_once
        assert answer.after_s < within_s

    run_scenario(scenario)


def test_no_second_attempt_begins_that_a_stop_would_cut_off() -> None:
    """The first target breaks off shortly before the end of the stop."""

    async def scenario(fleet: Fleet) -> None:
        caller = await stop_with_a_call_in_flight(fleet, READ)
        await asyncio.sleep(ENDS_S - 0.3)
        for target in fleet.targets:
            target.break_off()
        answer = await caller.answer()
        assert (answer.status, answer.verdict, runs(fleet)) == (502, "may-have-run", 1)
        assert answer.after_s < 0.1

    run_scenario(scenario)


@pytest.mark.parametrize("part", ["head", "none"])
def test_a_request_that_is_not_whole_at_the_end_of_a_stop_is_rejected(part: str) -> None:
    async def scenario(fleet: Fleet) -> None:
        process = await serving(fleet)
        caller = LateCaller(process, BOOK, LONG_MS)
        await caller.connect()
        if part == "none":
            caller.writer.write(b"GET / HTTP/1.1\r\nhost")
        else:
            caller.send("head")
        process.stopping.set()
        answer = await caller.answer()
        assert (answer.status, answer.verdict, runs(fleet)) == (503, "not-run", 0)

    run_scenario(scenario)
