"""Choice of the targets to eject, so that healthy capacity does not fall below the floor."""

from dataclasses import dataclass

from cactusvane.fleet.vm import Address


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that is listed and not leaving.

    Parameters
    ----------
    address
        Address of the target.
    warm
        Whether it counts as healthy capacity while it is in use.
    severity
        Share of bad outcomes of a suspect; None for a target that is not suspected.
    """

    address: Address
    warm: bool
    severity: float | None


def select_ejected(candidates: tuple[Candidate, ...], floor: int) -> frozenset[Address]:
    """Return the suspects to eject.

    Leaving, unlisted and cold targets already count as missing capacity. Suspects are ejected in
    descending order of severity, ties by address, so that all entries with the same view eject
    the same targets.

    Parameters
    ----------
    candidates
        All targets that are listed and not leaving.
    floor
        Minimum number of targets that stay in use.

    Returns
    -------
    frozenset of Address
        Targets that get no regular requests.

    Examples
    --------
    >>> failing = Candidate(Address("10.0.0.1", 80), True, 0.9)
    >>> gray = Candidate(Address("10.0.0.2", 80), True, 0.3)
    >>> healthy = Candidate(Address("10.0.0.3", 80), True, None)
    >>> select_ejected((healthy, gray, failing), floor=2) == {failing.address}
    True
    """
    suspects = [candidate for candidate in candidates if candidate.severity is not None]
    suspects.sort(key=lambda suspect: (-(suspect.severity or 0.0), suspect.address))
    in_use = len(candidates)
    warm = sum(candidate.warm for candidate in candidates)
    ejected: set[Address] = set()
    for suspect in suspects:
        if in_use <= floor or (suspect.warm and warm <= floor):
            continue
        ejected.add(suspect.address)
        in_use -= 1
        warm -= suspect.warm
    return frozenset(ejected)
