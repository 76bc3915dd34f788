"""Groups of entries that share their state with each other."""

from dataclasses import dataclass

import xxhash

MAX_GROUP_SIZE = 64
"""Entries that share loads with each other; a larger failure domain is split into groups."""


def count_groups(entries: int) -> int:
    """Return the number of groups of a failure domain with so many entries.

    The number is a power of two, so that a few entries more or less leave the groups unchanged.

    Examples
    --------
    >>> count_groups(48), count_groups(65), count_groups(1_425)
    (1, 2, 32)
    """
    groups = 1
    while groups * MAX_GROUP_SIZE < entries:
        groups *= 2
    return groups


def hash_name(name: str) -> int:
    """Return a number for a name that is the same on all VMs."""
    return xxhash.xxh64_intdigest(name.encode())


@dataclass(frozen=True, slots=True)
class Group:
    """The entries that share their state with this one.

    Parameters
    ----------
    vm
        Name of this VM.
    failure_domain
        Its failure domain.
    members
        Names of the live entries of the group, including this one.
    number, count
        Which of the groups of its failure domain it is, and how many there are.
    domains
        Number of failure domains of the fleet.
    """

    vm: str
    failure_domain: str
    members: frozenset[str]
    number: int = 0
    count: int = 1
    domains: int = 1

    @property
    def others(self) -> int:
        """Number of the other groups of the fleet; all failure domains count as equally large."""
        return self.domains * self.count - 1

    def is_home(self, target: str, failure_domain: str) -> bool:
        """Return whether this is the one group to which a target belongs.

        Parameters
        ----------
        target
            Name of the target.
        failure_domain
            Failure domain of the target.
        """
        if failure_domain != self.failure_domain:
            return False
        return hash_name(target) % self.count == self.number

    def rank(self, target: str) -> int:
        """Return the position of this VM in an order of the members that depends on the target."""
        own = hash_name(f"{target}/{self.vm}")
        return sum(hash_name(f"{target}/{member}") < own for member in self.members)
