"""Which VMs of a failure domain read the platform's tables for all of them."""

from dataclasses import dataclass

READERS = 2
"""VMs of a failure domain that read; one more than needed, so that a dead one costs no time."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A VM that may read.

    Parameters
    ----------
    vm
        Its name.
    reads
        Whether the platform answers it, as far as it knows.
    """

    vm: str
    reads: bool


def is_reader(own: Candidate, others: tuple[Candidate, ...]) -> bool:
    """Say whether a VM is to read.

    The first VMs by name read, as far as the platform answers them. A VM that it does not answer
    goes on trying, so that it notices its return.

    Examples
    --------
    >>> others = (Candidate("a", True), Candidate("b", False), Candidate("d", True))
    >>> is_reader(Candidate("c", True), others), is_reader(Candidate("e", True), others)
    (True, False)
    """
    if not own.reads:
        return True
    before = sum(other.reads and other.vm < own.vm for other in others)
    return before < READERS
