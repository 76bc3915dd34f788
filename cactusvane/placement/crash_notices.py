"""Notices about requests that may crash targets, to entries of other groups and failure domains.

State updates stay within a group. The few requests that matter to the whole fleet are told to some
entries of each other group, which pass them on to theirs. Notices are repeated, since datagrams may
be lost, and again while the request comes back.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import inf
from random import Random

from cactusvane.fleet.vm import Address, Vm
from cactusvane.placement.groups import count_groups, hash_name
from cactusvane.request.crashes import CrashRecord

RECEIVERS = 2
"""Number of entries of each other group that get one notice."""

REPEATS = 3
REPEAT_MS = 200.0
"""How often a notice is sent, to other entries each time, and the time between."""

REMINDER_MS = 2_000.0
"""How often a request is told again while this entry sees it come back."""


@dataclass(slots=True)
class Notice:
    """What was told of one request.

    Parameters
    ----------
    targets
        Number of targets that it had ended, as last told.
    left
        How often this is still to be sent.
    next_at
        When, in milliseconds (monotonic clock of the process).
    """

    targets: int = 0
    left: int = 0
    next_at: float = -inf


class CrashNotices:
    """Decides when the other groups are told of which requests.

    Parameters
    ----------
    crashes
        What is known of such requests.
    """

    def __init__(self, crashes: CrashRecord) -> None:
        self.crashes = crashes
        self.notices: dict[bytes, Notice] = {}

    def due(self, now: float) -> list[bytes]:
        """Return the requests to tell the other groups of now.

        Only entries that have seen a request end a target, or have rejected it, tell of it.
        """
        witnessed = self.crashes.witnessed
        isolated = [each for each in self.crashes.isolated(now) if each in witnessed]
        self.notices = {each: self.notices.get(each, Notice()) for each in isolated}
        return [each for each in isolated if self.is_due(each, now)]

    def is_due(self, fingerprint: bytes, now: float) -> bool:
        """Return whether a request is to be told of now, and count it."""
        notice = self.notices[fingerprint]
        targets = self.crashes.count(fingerprint, now)
        if targets > notice.targets:
            notice.targets, notice.left, notice.next_at = targets, REPEATS, now
        elif notice.left == 0 and now >= notice.next_at + REMINDER_MS:
            if not self.crashes.take_rejected(fingerprint):
                return False
            notice.left = 1
        if notice.left == 0 or now < notice.next_at:
            return False
        notice.left -= 1
        notice.next_at = now + REPEAT_MS
        return True


def choose_receivers(vms: Iterable[Vm], own: Vm, random: Random) -> list[Address]:
    """Return the addresses of some entries of each group but the own one.

    Parameters
    ----------
    vms
        Entries of all failure domains.
    own
        The entry that sends.
    random
        Source of the choice.

    Examples
    --------
    >>> def entry(number, domain):
    ...     return Vm(f"e{number}", Address("h", number), domain, peer=Address("h", number))
    >>> others = [entry(number, "estrie") for number in range(9)]
    >>> near, far = entry(20, "beauce"), entry(21, "beauce")
    >>> chosen = choose_receivers([*others, near, far], far, Random(1))
    >>> len(chosen), near.peer in chosen
    (2, False)
    """
    domains: dict[str, list[Vm]] = {}
    for vm in vms:
        domains.setdefault(vm.failure_domain, []).append(vm)
    groups: dict[tuple[str, int], list[Address]] = {}
    for domain, entries in domains.items():
        count = count_groups(len(entries))
        own_group = hash_name(own.name) % count if domain == own.failure_domain else None
        for vm in entries:
            group = hash_name(vm.name) % count
            if vm.peer is not None and group != own_group:
                groups.setdefault((domain, group), []).append(vm.peer)
    return [
        address
        for addresses in groups.values()
        for address in random.sample(addresses, min(RECEIVERS, len(addresses)))
    ]
