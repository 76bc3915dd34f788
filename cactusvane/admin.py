"""Responses of the admin port that all processes share."""

from cactusvane.http.message import Response
from cactusvane.metrics import Recorder

EXPOSITION_HEADERS = [(b"content-type", b"text/plain; version=0.0.4; charset=utf-8")]


def ready_response(ready: bool) -> Response:
    """Return the readiness response, which tells the load balancer whether to send callers here."""
    return Response(200, (), b"ready") if ready else Response(503, (), b"not ready")


def metrics_response(recorder: Recorder) -> Response:
    """Return all counters and histograms in the Prometheus text format."""
    return Response(200, EXPOSITION_HEADERS, recorder.text())
