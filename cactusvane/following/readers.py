"""Which VM of a failure domain reads the platform's tables for all of them."""

from dataclasses import dataclass
from math import inf

TURN_MS = 100.0
"""Time between two VMs that take over, so that they do not all read at once."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A VM that may read.

    Parameters
    ----------
    vm
        Its name.
    answer_age_ms
        Age of the platform's latest answer to it; None where it has none to tell of.
    able
        Whether it may take over: it is not stopping, and the platform answered its last call.
    """

    vm: str
    answer_age_ms: float | None
    able: bool


def is_reader(own: Candidate, others: tuple[Candidate, ...], max_staleness_ms: float) -> bool:
    """Say whether a VM is to read.

    The first able VM by name reads. Where the platform's latest answer to any VM is older than
    `max_staleness_ms`, the others take over in the order of their names; one that has taken over goes on
    until an answer to a VM before it is fresh. A VM that the platform does not answer goes on
    trying, so that it notices the platform's return.

    Examples
    --------
    >>> reader = Candidate("a", 200.0, True)
    >>> is_reader(Candidate("b", None, True), (reader,), 1_000.0)
    False
    >>> late = Candidate("a", 1_150.0, True)
    >>> is_reader(Candidate("b", None, True), (late,), 1_000.0)
    True
    >>> is_reader(Candidate("c", None, True), (late, Candidate("b", None, True)), 1_000.0)
    False
    >>> is_reader(Candidate("c", None, True), (late, Candidate("d", 50.0, True)), 1_000.0)
    False
    """
    if not own.able:
        return True
    before = [other for other in others if other.vm < own.vm]
    rank = sum(other.able for other in before)
    if rank == 0:
        return True
    reads = own.answer_age_ms is not None and own.answer_age_ms <= max_staleness_ms
    rivals = before if reads else others
    ages = [rival.answer_age_ms for rival in rivals if rival.answer_age_ms is not None]
    return min(ages, default=inf) > max_staleness_ms + rank * TURN_MS
