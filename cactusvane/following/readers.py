"""Election of the VMs of a failure domain that read the platform's tables for all the others."""

from dataclasses import dataclass
from math import inf

TAKEOVER_INTERVAL_MS = 100.0
"""Time between the takeovers of two VMs, so that they do not all read at once."""


@dataclass(frozen=True, slots=True)
class ReaderCandidate:
    """A VM that may read the tables.

    Parameters
    ----------
    vm
        Name of the VM.
    response_age_ms
        Age of the platform's latest response to this VM, in milliseconds; None where there was
        none or its age is unknown.
    eligible
        Whether the VM may take over: it is not stopping, and the platform responded to its last
        call.
    """

    vm: str
    response_age_ms: float | None
    eligible: bool


def is_reader(
    own: ReaderCandidate, others: tuple[ReaderCandidate, ...], max_staleness_ms: float
) -> bool:
    """Return whether a VM should read the tables.

    The first eligible VM by name reads. When the platform's latest response to any VM is older
    than `max_staleness_ms`, the others take over one after the other in the order of their names.
    A VM that has taken over keeps reading until a VM before it in this order has a fresh response.
    A VM that gets no response from the platform keeps trying, so that it notices when the platform
    is available again.

    Parameters
    ----------
    own
        The VM that decides.
    others
        The other VMs of its failure domain.
    max_staleness_ms
        Age of the latest response, in milliseconds, at which other VMs take over.

    Returns
    -------
    bool
        Whether `own` should read.

    Examples
    --------
    >>> reader = ReaderCandidate("a", 200.0, True)
    >>> is_reader(ReaderCandidate("b", None, True), (reader,), 1_000.0)
    False
    >>> late = ReaderCandidate("a", 1_150.0, True)
    >>> second = ReaderCandidate("b", None, True)
    >>> is_reader(second, (late,), 1_000.0)
    True
    >>> third = ReaderCandidate("c", None, True)
    >>> is_reader(third, (late, second), 1_000.0)
    False
    >>> is_reader(third, (late, ReaderCandidate("d", 50.0, True)), 1_000.0)
    False
    """
    if not own.eligible:
        return True
    before = [other for other in others if other.vm < own.vm]
    rank = sum(other.eligible for other in before)
    if rank == 0:
        return True
    reads = own.response_age_ms is not None and own.response_age_ms <= max_staleness_ms
    rivals = before if reads else others
    ages = [rival.response_age_ms for rival in rivals if rival.response_age_ms is not None]
    return min(ages, default=inf) > max_staleness_ms + rank * TAKEOVER_INTERVAL_MS
