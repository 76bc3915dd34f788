import asyncio
import json
import shutil
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from cactusvane.clock import Clock
from cactusvane.fleet.vm import Address, Vm
from cactusvane.ui import run
from cactusvane.ui.codes import ExitCode
from standins.platform import PlatformServer
from standins.store import Faults

EXAMPLES = Path(__file__).parents[2] / "examples"


@contextmanager
def serve_stand_in(platform: PlatformServer) -> Iterator[str]:
    """Serve the stand-in on a separate event loop, because each command runs its own loop."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    start = asyncio.start_server(platform.serve_connection, "127.0.0.1", 0)
    server = asyncio.run_coroutine_threadsafe(start, loop).result()
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        loop.call_soon_threadsafe(server.close)
        loop.call_soon_threadsafe(loop.stop)
        thread.join()


def copy(tmp_path: Path, name: str) -> Path:
    return Path(shutil.copytree(EXAMPLES / "omaheke", tmp_path / name))


def set_slots(directory: Path, service: str, slots: int) -> None:
    file = directory / f"{service}.json"
    file.write_text(json.dumps(json.loads(file.read_text()) | {"slots": slots}))


def test_concurrent_changes_conflict_only_on_the_same_service(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
):
    one = copy(tmp_path, "one")
    with serve_stand_in(PlatformServer(Clock())) as platform:
        assert run(["publish", str(one), "--platform", platform]) == ExitCode.OK
        two = Path(shutil.copytree(one, tmp_path / "two"))
        set_slots(one, "field", 5)
        assert run(["publish", str(one), "--platform", platform]) == ExitCode.OK
        set_slots(two, "booking", 3)
        capsys.readouterr()
        assert run(["publish", str(two), "--platform", platform, "--json"]) == ExitCode.OK
        assert json.loads(capsys.readouterr().out)["changed"] == ["booking"]
        set_slots(two, "field", 6)
        assert run(["publish", str(two), "--platform", platform]) == ExitCode.CONFLICT
        assert "field" in capsys.readouterr().err
        assert run(["show", "config", "--platform", platform, "--json"]) == ExitCode.OK
        shown = json.loads(capsys.readouterr().out)
        slots = {each["name"]: each["slots"] for each in shown["configuration"]["services"]}
        assert slots == {"booking": 3, "field": 5, "records": 4}


def test_commands_fail_cleanly_while_the_platform_is_down(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
):
    server = PlatformServer(Clock())
    server.faults = Faults(down=True)
    with serve_stand_in(server) as platform:
        directory = str(copy(tmp_path, "one"))
        assert run(["publish", directory, "--platform", platform]) == ExitCode.PLATFORM
        assert run(["status", "--platform", platform]) == ExitCode.PLATFORM
    assert "Traceback" not in capsys.readouterr().err


def test_waiting_for_a_vm_that_does_not_respond_times_out(tmp_path: Path):
    server = PlatformServer(Clock())
    nowhere = Address("127.0.0.1", 1)
    server.store.register((Vm("vm-1", nowhere, "Gobabis", admin=nowhere),), (), 0.0)
    with serve_stand_in(server) as platform:
        directory = str(copy(tmp_path, "one"))
        options = ["--wait", "--wait-seconds", "0.1", "--platform", platform]
        assert run(["publish", directory, *options]) == ExitCode.NOT_EVERYWHERE
        assert run(["status", "--platform", platform]) == ExitCode.NOT_EVERYWHERE


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["--help"], ExitCode.OK),
        (["publsh"], ExitCode.USAGE),
        (["status", "--platform", "nowhere"], ExitCode.USAGE),
        (["check", "nowhere.json"], ExitCode.INPUT),
        (["check", str(EXAMPLES / "murets" / "ledger.json")], ExitCode.OK),
    ],
)
def test_exit_codes(arguments: list[str], code: ExitCode):
    assert run(arguments) == code
