"""Measure the latency that one daemon adds to a request: ``make bench-added``.

Runs a platform stand-in, a target that responds immediately and a daemon, each as a process.
Requests arrive as a Poisson process and are sent alternately to the target directly and through
the daemon, so that both are measured under the same load of the machine. The last line of the
output is one JSON object; its ``added`` figures are differences between the quantiles of the two.
"""

import argparse
import asyncio
import json
import os
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

import msgspec

from cactusvane.clock import MS_PER_SECOND
from cactusvane.configuration.merge import Change
from cactusvane.configuration.model import Route, Service
from cactusvane.configuration.publish import publish as publish_change
from cactusvane.errors import ExchangeError, PlatformError
from cactusvane.fleet.vm import Address, Vm
from cactusvane.http.fetch import fetch
from cactusvane.settings import HttpLimits, Settings
from cactusvane.store.client import HttpPlatform
from cactusvane.store.messages import VmList

HOST = "127.0.0.1"
ROUTES = (
    Route("/records", ("GET",), True, "record"),
    Route("/booking", ("POST",), False, "booking"),
)
SERVICE = Service("records", ("records",), ROUTES, targets=1, floor=1, slots=200, warm_up_ms=0)
START_TIMEOUT_SECONDS = 20.0
WARM_UP_REQUESTS = 200
BODY = b"x" * 400
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PERCENT = 100.0


class CallerConnection(asyncio.Protocol):
    """A client connection with little overhead, so that mainly the other side is measured."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.data = b""
        self.response_future: asyncio.Future[bytes] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Set the result of the pending request once its response is complete."""
        self.data += data
        head, found, body = self.data.partition(b"\r\n\r\n")
        if not found:
            return
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        if len(body) >= length and self.response_future and not self.response_future.done():
            self.response_future.set_result(self.data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request with `ConnectionResetError`."""
        if self.response_future and not self.response_future.done():
            self.response_future.set_exception(ConnectionResetError())

    async def send_request(self, data: bytes) -> bytes:
        """Send a request and return the complete response.

        Raises `ConnectionResetError` if the connection is closed before that.
        """
        self.data = b""
        self.response_future = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return await self.response_future


class Client:
    """A client of the target or of the daemon, with a pool of idle connections."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.idle: list[CallerConnection] = []
        self.latencies: list[float] = []
        self.failed = 0

    async def request(self, number: int) -> None:
        """Send one request and record its latency in milliseconds.

        A request counts as failed if its connection fails or its status is not 200.
        """
        started = time.perf_counter()
        try:
            connection = self.idle.pop() if self.idle else await self.connect()
            response = await connection.send_request(request_bytes(number))
        except OSError:
            self.failed += 1
            return
        self.latencies.append((time.perf_counter() - started) * MS_PER_SECOND)
        self.failed += not response.startswith(b"HTTP/1.1 200")
        self.idle.append(connection)

    async def connect(self) -> CallerConnection:
        """Open a connection."""
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            CallerConnection, self.address.host, self.address.port
        )
        return connection

    def quantile(self, share: float) -> float:
        """Return the quantile `share` (0 to 1) of the latencies, in milliseconds."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def request_bytes(number: int) -> bytes:
    """Return an encoded request, a read or a booking.

    Numbers 0 and 1 of each four are reads, 2 and 3 bookings, so that every second request of each
    client is a booking.
    """
    head = b"GET /records/7" if number % 4 < 2 else b"POST /booking"
    body = b"" if number % 4 < 2 else BODY
    return b"%b HTTP/1.1\r\nhost: records\r\nrequest-id: %d\r\ncontent-length: %d\r\n\r\n%b" % (
        head,
        number,
        len(body),
        body,
    )


def free_address() -> Address:
    """Return a loopback address with a free port."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return Address(HOST, probe.getsockname()[1])


@contextmanager
def process(*arguments: str) -> Iterator[subprocess.Popen[bytes]]:
    """Run ``python -m arguments``; terminate it at the end of the block."""
    child = subprocess.Popen([sys.executable, "-m", *arguments], stderr=subprocess.DEVNULL)
    try:
        yield child
    finally:
        child.terminate()
        child.wait()


async def wait_until_ok(address: Address, path: str) -> None:
    """Wait until a process responds with status 200.

    Raises `TimeoutError` after `START_TIMEOUT_SECONDS`.
    """
    limits = HttpLimits()
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        while True:
            try:
                response = await fetch(address, "GET", path, (), b"", MS_PER_SECOND, limits)
                if response.status == 200:
                    return
            except ExchangeError:
                pass
            await asyncio.sleep(0.05)


async def publish(platform: Address, target: Address) -> None:
    """Publish the service and register its one target on the platform.

    Raises `PlatformError` if the platform rejects the VM list.
    """
    client = HttpPlatform(platform)
    await publish_change(client, Change((SERVICE,)), "bench")
    vm = Vm("records-1", target, "Gobabis", service=SERVICE.name)
    body = msgspec.json.encode(VmList((vm,)))
    limits = HttpLimits()
    response = await fetch(platform, "POST", "/vms", (), body, MS_PER_SECOND, limits)
    if response.status != 200:
        raise PlatformError(f"the platform rejected the VM list with status {response.status}")


def cpu_ms(pid: int) -> float:
    """Return the CPU time that a process has used so far, in milliseconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND * MS_PER_SECOND


async def generate_load(
    clients: tuple[Client, Client], rate: float, requests: int, random: Random
) -> None:
    """Send `requests` requests through each client, at `rate` per second each."""
    tasks = []
    send_at = time.perf_counter()
    for number in range(2 * requests):
        send_at += random.expovariate(2 * rate)
        await asyncio.sleep(max(0.0, send_at - time.perf_counter()))
        tasks.append(asyncio.create_task(clients[number % 2].request(number)))
    await asyncio.gather(*tasks)


async def measure(
    target: Address, entry: Address, daemon_pid: int, options: argparse.Namespace
) -> dict[str, float]:
    """Warm up, measure, and return the members of the JSON line.

    Raises `SystemExit` if a request failed.
    """
    random = Random(options.seed)
    await generate_load((Client(target), Client(entry)), options.rate, WARM_UP_REQUESTS, random)
    direct, through = Client(target), Client(entry)
    before = cpu_ms(daemon_pid)
    await generate_load((direct, through), options.rate, options.requests, random)
    used_ms = cpu_ms(daemon_pid) - before
    failed = direct.failed + through.failed
    if failed:
        raise SystemExit(f"{failed} requests failed")
    for name, client in (("direct", direct), ("through", through)):
        shares = " ".join(
            f"p{s * PERCENT:g}={client.quantile(s):.3f}" for s in (0.5, 0.9, 0.99, 0.999)
        )
        print(f"{name:8} ms {shares}")
    return {
        "direct_p99_ms": round(direct.quantile(0.99), 3),
        "through_p99_ms": round(through.quantile(0.99), 3),
        "added_p50_ms": round(through.quantile(0.5) - direct.quantile(0.5), 3),
        "added_p99_ms": round(through.quantile(0.99) - direct.quantile(0.99), 3),
        "requests": options.requests,
        "cpu_ms_per_request": round(used_ms / options.requests, 3),
    }


async def run(options: argparse.Namespace, directory: Path) -> dict[str, float]:
    """Start the processes, measure, and terminate them."""
    target = free_address()
    with ExitStack() as stack:
        stack.enter_context(process("bench.target", "--port", str(target.port)))
        await wait_until_ok(target, "/health")
        entry = target
        for number in range(options.relays + 1):
            entry, daemon_pid = await start_entry(stack, directory / str(number), entry, options)
        return await measure(target, entry, daemon_pid, options)


async def start_entry(
    stack: ExitStack, path: Path, target: Address, options: argparse.Namespace
) -> tuple[Address, int]:
    """Start a platform and a daemon with one target; return the daemon's address and its pid."""
    platform, listen, peer, admin = (free_address() for _ in range(4))
    path.write_bytes(
        msgspec.json.encode(Settings("entry-1", "Gobabis", listen, peer, admin, platform))
    )
    stack.enter_context(process("standins.platform", "--port", str(platform.port)))
    await wait_until_ok(platform, "/vms")
    await publish(platform, target)
    command: tuple[str, ...] = ("cactusvane.daemon", str(path))
    if options.profile:
        command = ("cProfile", "-o", options.profile, "-m", *command)
    child = stack.enter_context(process(*command))
    await wait_until_ok(admin, "/ready")
    return listen, child.pid


def main() -> None:
    """Parse the arguments, run, and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--rate",
        type=float,
        default=200.0,
        help="requests per second, each: direct and through the daemon",
    )
    parser.add_argument(
        "--requests",
        type=int,
        default=4_000,
        help="number of requests, each: direct and through the daemon",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--relays", type=int, default=0, help="additional daemons between entry and target"
    )
    parser.add_argument("--profile", default="", help="file for a cProfile profile of the daemon")
    options = parser.parse_args()
    with TemporaryDirectory() as directory:
        figures = asyncio.run(run(options, Path(directory)))
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
