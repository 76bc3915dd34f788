"""Number of targets that one entry connects to, within the connection limits of the targets."""

PLANNED_SHARE = 0.8
"""Share of a target's connection limit to use, since hashing spreads entries unevenly."""

MIN_TARGETS = 2
"""Minimum number of targets of an entry; with fewer it could not avoid a failing one."""


def subset_size(entries: int, targets: int, connections: int) -> int:
    """Return how many targets an entry may connect to.

    Parameters
    ----------
    entries
        Number of VMs of the fleet.
    targets
        Number of targets of the service.
    connections
        Number of connections that one target accepts from the whole fleet.

    Returns
    -------
    int
        All targets while the fleet is small, then a number that falls with its size. At
        `MIN_TARGETS` the limit may be below one connection per entry, so that no idle
        connections may be held.

    Examples
    --------
    >>> subset_size(48, 6, 400), subset_size(5_700, 714, 400), subset_size(5_700, 6, 400)
    (6, 40, 2)
    """
    planned = int(PLANNED_SHARE * connections * targets / max(1, entries))
    return min(targets, max(MIN_TARGETS, planned))


def may_hold_idle(entries: int, targets: int, connections: int) -> bool:
    """Return whether each entry may hold an idle connection to each target of its subset.

    Examples
    --------
    >>> may_hold_idle(48, 6, 400), may_hold_idle(5_700, 714, 400), may_hold_idle(5_700, 6, 400)
    (True, True, False)
    """
    size = subset_size(entries, targets, connections)
    return entries * size <= PLANNED_SHARE * connections * targets
