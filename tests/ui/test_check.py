import json
from pathlib import Path

import pytest

from cactusvane.daemon import read_settings
from cactusvane.errors import SettingsError
from cactusvane.ui import run
from cactusvane.ui.codes import ExitCode

ADDRESS = {"host": "127.0.0.1", "port": 7000}
VALID = {"vm": "gobabis-1", "failure_domain": "Gobabis"} | dict.fromkeys(
    ("listen", "peer", "admin", "platform"), ADDRESS
)


def write_settings(tmp_path: Path, **changes: object) -> str:
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(VALID | changes))
    return str(file)


def test_valid_settings_pass(tmp_path, capsys):
    assert run(["check", "--settings", write_settings(tmp_path)]) == ExitCode.OK
    assert "gobabis-1" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"platform": {"host": "platform.test", "port": 7000}}, "platform.test"),
        ({"admin": {"host": "127.0.0.1", "port": 70_000}}, "70000"),
        ({"head_ms": 0}, "head_ms"),
        ({"http": {"idle_ms": 0}}, "http.idle_ms"),
        ({"colour": "green"}, "colour"),
    ],
)
def test_an_invalid_setting_is_named_in_the_error(tmp_path, capsys, changes, named):
    assert run(["check", "--settings", write_settings(tmp_path, **changes)]) == ExitCode.INPUT
    assert named in capsys.readouterr().err


def test_a_daemon_accepts_ip_addresses_only(tmp_path):
    file = write_settings(tmp_path, peers=[{"host": "peer.test", "port": 7001}])
    with pytest.raises(SettingsError, match="peer.test"):
        read_settings(Path(file))
