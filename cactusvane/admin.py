"""What every process answers on its admin port."""

from cactusvane.http.message import Response
from cactusvane.metrics import Recorder

EXPOSITION_FIELDS = [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")]


def ready_response(ready: bool) -> Response:
    """Tell the balancer whether callers should be sent here."""
    return Response(200, (), b"ready") if ready else Response(503, (), b"not ready")


def metrics_response(recorder: Recorder) -> Response:
    """Return counters and histograms in the exposition format."""
    return Response(200, EXPOSITION_FIELDS, recorder.text())
