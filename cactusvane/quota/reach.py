"""Which part of the fleet one entry is in contact with."""

from dataclasses import dataclass

GroupKey = tuple[str, int]
"""Failure domain and number of a group."""


@dataclass(frozen=True, slots=True)
class Reach:
    """The part of the fleet that shares a bucket with this entry at the moment.

    The entries out of contact are assumed to use what they last reported and their part of the
    capacity that nobody used. If every entry does so, the parts add up to the quota.

    Parameters
    ----------
    share
        Share of the fleet's entries, between 0 and 1.
    isolated
        Whether the entry receives nothing, not even from its own group.
    silent
        Other groups without recent reports.
    lasting
        Whether this has lasted so long that the reported rates are out of date; the entries out of
        contact then count with their number only.
    """

    share: float = 1.0
    isolated: bool = False
    silent: tuple[GroupKey, ...] = ()
    lasting: bool = False


FULL_REACH = Reach()
