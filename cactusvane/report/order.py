"""What counts as a request delivered in good order."""

from cactusvane.configuration.model import Objective, Service
from cactusvane.verdict import Verdict

SERVER_ERROR = 500
"""Statuses from here on say that the service failed."""


def objective_of(service: Service, kind: str) -> Objective:
    """Return the service's objective for a kind, the default one where there is none."""
    for objective in service.objectives:
        if objective.kind == kind:
            return objective
    return Objective(kind)


def in_good_order(objective: Objective, status: int, verdict: Verdict, total_ms: float) -> bool:
    """Say whether a request counts as delivered in good order.

    Parameters
    ----------
    objective
        Of the service and kind.
    status
        HTTP status that the caller got.
    verdict
        What the caller was told.
    total_ms
        Time from the whole request to the answer in hand.

    Examples
    --------
    >>> lookup = Objective("lookup", latency_ms=500)
    >>> in_good_order(lookup, 200, Verdict.RAN, 30.0)
    True
    >>> in_good_order(lookup, 200, Verdict.RAN, 600.0)
    False
    >>> in_good_order(lookup, 503, Verdict.NOT_RUN, 1.0)
    False
    """
    succeeded = verdict is Verdict.RAN and status < SERVER_ERROR
    return succeeded and total_ms <= objective.latency_ms
