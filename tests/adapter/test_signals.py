"""Signals that reach an entry's process while it starts or ends."""

import asyncio
import os
import signal
import time
from pathlib import Path

import msgspec
import pytest

from tests.adapter.fleet import PlatformFleet
from tests.processes.harness import ROOT, Process

WAIT_S = 10.0


class StartingFleet(PlatformFleet):
    """One entry whose start waits for its settings file."""

    def start_held(self) -> tuple[Process, Path, bytes]:
        """Start an entry with a named pipe in place of its settings file."""
        settings = self.directory / "entry-0.json"
        data = settings.read_bytes()
        settings.unlink()
        os.mkfifo(settings)
        environment = os.environ | {"CACTUSVANE_CONFIG": str(settings), "PYTHONPATH": str(ROOT)}
        process = self.spawn("held", 0, ("platform/serve.py",), environment)
        return process, settings, data

    async def release(self, settings: Path, data: bytes) -> None:
        """Let the entry read its settings; it reads a plain file from then on."""
        pipe = await asyncio.to_thread(os.open, settings, os.O_WRONLY)
        settings.unlink()
        settings.write_bytes(data)
        os.write(pipe, data)
        os.close(pipe)


async def reads_settings(process: Process, settings: Path) -> None:
    """Wait until the process has loaded its modules and waits at the pipe."""
    until = time.monotonic() + WAIT_S
    maps = Path(f"/proc/{process.popen.pid}/maps")
    while "msgspec" not in maps.read_text() and time.monotonic() < until:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.5)


async def logged(process: Process, number: int) -> bool:
    """Return whether an event is logged in time."""
    until = time.monotonic() + WAIT_S
    while time.monotonic() < until:
        lines = process.log.read_bytes().splitlines()
        found = [msgspec.json.decode(line) for line in lines if line.startswith(b"{")]
        if any(line["event"] == number for line in found):
            return True
        await asyncio.sleep(0.02)
    return False


def test_a_reload_that_is_requested_while_an_entry_starts_takes_place(tmp_path: Path) -> None:
    """Guards against a SIGHUP that ends a process before it has its handlers."""

    async def run() -> None:
        fleet = StartingFleet(tmp_path)
        try:
            await fleet.start_platform()
            await fleet.configure()
            await fleet.start_entry("gobabis")
            await fleet.stop("entry-0")
            process, settings, data = fleet.start_held()
            await reads_settings(process, settings)
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.1)
            assert process.alive()
            await fleet.release(settings, data)
            assert await logged(process, 1006)
            assert await logged(process, 1001)
        finally:
            fleet.close()

    asyncio.run(run())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_signals_during_a_stop_leave_it_as_it_is(tmp_path: Path, number: signal.Signals) -> None:
    """Guards against a second signal that ends the process with requests in flight."""

    async def run() -> None:
        fleet = PlatformFleet(tmp_path)
        try:
            await fleet.start_platform()
            await fleet.configure()
            name = await fleet.start_entry("gobabis")
            process = fleet.processes[name]
            process.send_signal(signal.SIGTERM)
            while process.alive():
                process.send_signal(number)
                await asyncio.sleep(0.02)
            assert process.popen.wait() == 0
            assert await logged(process, 1004)
        finally:
            fleet.close()

    asyncio.run(run())
