"""What every process answers on its admin port."""

from cactusvane.http.message import Answer
from cactusvane.metrics import Recorder

EXPOSITION_FIELDS = [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")]


def answer_ready(ready: bool) -> Answer:
    """Tell the balancer whether callers should be sent here."""
    return Answer(200, (), b"ready") if ready else Answer(503, (), b"not ready")


def answer_metrics(recorder: Recorder) -> Answer:
    """Return counters and histograms in the exposition format."""
    return Answer(200, EXPOSITION_FIELDS, recorder.text())
