"""How many of a service's targets one entry connects to, so that no target gets too many."""

PLANNED_SHARE = 0.8
"""Share of a target's connections that is planned for; hashing spreads entries unevenly."""

MIN_TARGETS = 2
"""An entry with fewer targets could not go round a sick one."""


def subset_size(entries: int, targets: int, connections: int) -> int:
    """Return how many targets an entry may connect to.

    Parameters
    ----------
    entries
        VMs of the fleet.
    targets
        Targets of the service.
    connections
        Connections that one target accepts from the whole fleet.

    Returns
    -------
    int
        All targets while the fleet is small, then a share that falls with its size. At
        `MIN_TARGETS` no idle connection may be held, for the limit may be below one an entry.

    Examples
    --------
    >>> subset_size(48, 6, 400), subset_size(5_700, 714, 400), subset_size(5_700, 6, 400)
    (6, 40, 2)
    """
    planned = int(PLANNED_SHARE * connections * targets / max(1, entries))
    return min(targets, max(MIN_TARGETS, planned))


def may_hold_idle(entries: int, targets: int, connections: int) -> bool:
    """Say whether each entry may hold one connection open to each target of its subset.

    Examples
    --------
    >>> may_hold_idle(48, 6, 400), may_hold_idle(5_700, 714, 400), may_hold_idle(5_700, 6, 400)
    (True, True, False)
    """
    size = subset_size(entries, targets, connections)
    return entries * size <= PLANNED_SHARE * connections * targets
