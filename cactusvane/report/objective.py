"""Decides whether a request counts as good for the objectives of its service."""

from cactusvane.configuration.model import Objective, Service
from cactusvane.verdict import Verdict

SERVER_ERROR = 500
"""HTTP statuses from this one upward report a failure of the service."""


def objective_of(service: Service, kind: str) -> Objective:
    """Return the objective of a service for a kind of request, or the default objective."""
    for objective in service.objectives:
        if objective.kind == kind:
            return objective
    return Objective(kind)


def meets_objective(objective: Objective, status: int, verdict: Verdict, total_ms: float) -> bool:
    """Return whether a request meets its objective and so counts as good.

    A good request ran, has no server error and took no longer than the latency of its objective.

    Parameters
    ----------
    objective
        Objective for the service and kind of the request.
    status
        HTTP status of the response to the caller.
    verdict
        Verdict sent to the caller.
    total_ms
        Time from the complete request to the complete response, in milliseconds.

    Examples
    --------
    >>> lookup = Objective("lookup", latency_ms=500)
    >>> meets_objective(lookup, 200, Verdict.RAN, 30.0)
    True
    >>> meets_objective(lookup, 200, Verdict.RAN, 600.0)
    False
    >>> meets_objective(lookup, 503, Verdict.NOT_RUN, 1.0)
    False
    """
    succeeded = verdict is Verdict.RAN and status < SERVER_ERROR
    return succeeded and total_ms <= objective.latency_ms
