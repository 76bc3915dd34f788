import json

from cactusvane.clock import Clock
from cactusvane.report.ledger import BUCKET_MS, Bucket, Count, bucket_start
from cactusvane.report.store import TABLE, row_key
from cactusvane.store.interface import ABSENT, Write
from cactusvane.ui import run
from cactusvane.ui.codes import ExitCode
from standins.platform import PlatformServer
from tests.ui.test_commands import copy, serve_stand_in


def test_the_burn_report_includes_buckets_stored_by_replaced_vms(tmp_path, capsys):
    server = PlatformServer(Clock())
    start = bucket_start(Clock().wall()) - BUCKET_MS
    counts = (Count("booking", "booking", 99, 100),)
    bucket = Bucket("gone-vm", start, counts)
    value = json.dumps(
        {"vm": bucket.vm, "start_ms": start, "counts": [to_json_object(count) for count in counts]}
    )
    server.store.commit((Write(TABLE, row_key(bucket), value, ABSENT),))
    page = tmp_path / "burn.html"
    with serve_stand_in(server) as platform:
        assert run(["publish", str(copy(tmp_path, "one")), "--platform", platform]) == ExitCode.OK
        capsys.readouterr()
        command = ["report", "burn", "--platform", platform, "--html", str(page), "--json"]
        assert run(command) == ExitCode.OK
    report = json.loads(capsys.readouterr().out)
    booking = next(part for part in report["services"] if part["service"] == "booking")
    assert booking["delivered"] == 0.99
    assert "booking" in page.read_text()


def to_json_object(count: Count) -> dict[str, object]:
    return {
        "service": count.service,
        "kind": count.kind,
        "good": count.good,
        "total": count.total,
    }
