"""Tracing one request through the logs of several VMs."""

import json
from pathlib import Path

import pytest

from cactusvane.report.explain import explain, format_steps
from cactusvane.ui import run
from cactusvane.ui.codes import ExitCode


def line(time: float, vm: str, event: int, message: str, **members: object) -> str:
    return json.dumps({"time": time, "vm": vm, "event": event, "message": message, **members})


LOG = [
    line(1.0, "e1", 1601, "version 4 is in force", version=4),
    line(2.0, "e1", 1801, "records: t1 is listed, live", target="t1"),
    line(3.0, "e2", 1801, "records: t1 is listed, live", target="t1"),
    "a line of somebody else",
    line(4.0, "e1", 1701, "targets: the platform does not answer", table="targets"),
    "collector: "
    + line(5.0, "e1", 1804, "q1: t1: unreachable", request="q1", attempt={"target": "t1"}),
    line(5.5, "e1", 1805, "q1: 200, ran", request="q1", status=200, last={"target": "t2"}),
    line(5.6, "e2", 1805, "q2: 200, ran", request="q2", status=200, last={"target": "t1"}),
]


def test_the_lines_of_a_request_list_the_state_known_to_its_vm() -> None:
    first, last = explain("q1", LOG)
    assert (first.vm, first.event) == ("e1", 1804)
    ages = {belief.text: belief.age_s for belief in first.beliefs}
    assert ages == {
        "records: t1 is listed, live": 3.0,
        "version 4 is in force": 4.0,
        "targets: the platform does not answer": 1.0,
    }
    assert last.details["status"] == 200
    assert "known for 3.000 s: records: t1 is listed, live" in format_steps((first, last))


def test_an_outage_that_is_over_is_not_listed() -> None:
    log = [*LOG[:5], line(4.5, "e1", 1702, "targets: answers again", table="targets"), *LOG[5:]]
    first, _ = explain("q1", log)
    assert all("does not answer" not in belief.text for belief in first.beliefs)


def test_a_lost_lease_is_listed_until_it_is_gained_again() -> None:
    """The lines of a rejected request must lead to the reason."""
    lost = line(4.6, "e1", 1622, "requests with a key are rejected")
    first, _ = explain("q1", [*LOG[:5], lost, *LOG[5:]])
    assert any("rejected" in belief.text for belief in first.beliefs)
    gained = line(4.7, "e1", 1621, "requests with a key are accepted")
    first, _ = explain("q1", [*LOG[:5], lost, gained, *LOG[5:]])
    assert not any("with a key" in belief.text for belief in first.beliefs)


def test_the_explain_command(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    one, two = tmp_path / "e1.log", tmp_path / "e2.log"
    one.write_text("\n".join(LOG[:4]))
    two.write_text("\n".join(LOG[4:]))
    assert run(["explain", "q1", str(one), str(two)]) == ExitCode.OK
    assert "[1804] q1: t1: unreachable" in capsys.readouterr().out
    assert run(["explain", "q2", str(two), "--json"]) == ExitCode.OK
    (step,) = json.loads(capsys.readouterr().out)
    assert step["vm"] == "e2"
    assert run(["explain", "q9", str(one)]) == ExitCode.FAILED
    assert run(["explain", "q1", str(tmp_path / "none")]) != ExitCode.OK
