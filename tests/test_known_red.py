from pathlib import Path

from tests.conftest import KNOWN_RED, KnownRedTest, read_known_red

ROOT = Path(__file__).parent.parent


def test_an_entry_is_a_test_id_and_a_description(tmp_path):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text("tests/test_a.py::test_b | make test, seed 1: hung; issue 5\n")
    assert read_known_red(path) == (
        KnownRedTest("tests/test_a.py::test_b", "make test, seed 1: hung; issue 5"),
    )


def test_every_listed_test_exists():
    for entry in read_known_red(KNOWN_RED):
        file, _, name = entry.test.partition("::")
        assert f"def {name.partition('[')[0]}" in (ROOT / file).read_text()
