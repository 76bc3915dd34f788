"""The reference pages say what the code does."""

import dataclasses
import json
import logging
import re
from enum import Enum
from pathlib import Path

import pytest

from cactusvane.configuration.model import Health, Leaving, Objective, Route, Service
from cactusvane.daemon import read_settings
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.request.budget import RetrySettings
from cactusvane.settings import HttpLimits, Settings
from cactusvane.ui import EPILOG
from cactusvane.ui.codes import ExitCode

REFERENCE = Path(__file__).parents[1] / "docs" / "reference"
GUIDES = REFERENCE.parent / "guides"


def rows(text: str) -> list[list[str]]:
    lines = [line for line in text.splitlines() if line.startswith("| ")]
    return [[cell.strip() for cell in line.strip("|").split(" | ")] for line in lines]


def section(page: str, title: str) -> list[list[str]]:
    (body,) = re.findall(rf"^## {title}\b.*?\n(.*?)(?=^## |\Z)", page, re.MULTILINE | re.DOTALL)
    return rows(body)[2:]


def default(field: "dataclasses.Field[object]") -> str:
    if field.default is not dataclasses.MISSING:
        value = field.default.value if isinstance(field.default, Enum) else field.default
        return f"`{json.dumps(value)}`"
    return "required" if field.default_factory is dataclasses.MISSING else "see below"


@pytest.mark.parametrize(
    ("file", "kind"),
    [
        ("service-file.md", Service),
        ("service-file.md", Route),
        ("service-file.md", Leaving),
        ("service-file.md", Health),
        ("service-file.md", Objective),
        ("settings.md", Settings),
        ("settings.md", HttpLimits),
        ("settings.md", RetrySettings),
        ("settings.md", Address),
    ],
)
def test_fields_and_defaults(file: str, kind: type):
    documented = {row[0]: row[1] for row in section((REFERENCE / file).read_text(), kind.__name__)}
    assert documented == {f"`{field.name}`": default(field) for field in dataclasses.fields(kind)}


def test_the_settings_example_is_right(tmp_path: Path):
    (example,) = re.findall(
        r"```json\n(.*?)```", (REFERENCE / "settings.md").read_text(), re.DOTALL
    )
    file = tmp_path / "settings.json"
    file.write_text(example)
    assert read_settings(file).vm == "gobabis-1"


def test_events():
    page = {row[0]: row[1:3] for row in rows((REFERENCE / "events.md").read_text())[2:]}
    missing = [
        f"| {kind.number} | {logging.getLevelName(kind.level).lower()} | {kind.text} | (do what) |"
        for kind in (event.value for event in Event)
        if page.pop(str(kind.number), None) != [logging.getLevelName(kind.level).lower(), kind.text]
    ]
    assert not missing, "put these rows into docs/reference/events.md:\n" + "\n".join(missing)
    assert not page, f"events.py has no such events any more: {sorted(page)}"


def test_event_numbers_are_unique():
    numbers = [event.value.number for event in Event]
    assert len(numbers) == len(set(numbers))


def test_exit_codes_are_in_the_help_and_the_guide():
    guide = (GUIDES / "publishing.md").read_text()
    for code in ExitCode:
        assert f"{code.value} " in EPILOG
        assert f"| {code.value} |" in guide
