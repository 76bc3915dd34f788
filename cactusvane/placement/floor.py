"""Which targets get a request again though others are cheaper, so that enough stay in use.

Answers services of which many targets fail by themselves at any moment: each alone is better left
alone for some seconds, all together are capacity that the service needs. No sockets, no wall clock.

A share of the targets near by may rest for long: the worst, and no more than part of what the
floor leaves, since an entry does not see all that is lost, nor which targets are cut off. All
others are used again within a second or two. Entries do not agree on who tries a target; each
request takes the chance that makes them together try it a few times a second.
"""

from collections.abc import Iterable
from math import inf
from random import Random

from cactusvane.fleet.vm import Vm, VmState
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.target import Target

NEAREST = 0.5
"""Added before a number is cut to a whole one, so that it is rounded to the nearest."""

SLOW = 1.5
"""Time of an answer, as a multiple of the usual one, from which a target counts as slow."""


def part_before(vms: Iterable[Vm], domain: str, settings: PlacementSettings) -> float:
    """Return the part of a target that the domains before this one may not let rest.

    Each domain lets a whole number of targets rest. What is left of one goes on to the next, in the
    order of their names, so that small domains together let as many rest as a large one. The sum
    is rounded to the nearest whole number.
    """
    before = sum(vm.failure_domain < domain and vm.state is VmState.LIVE for vm in vms)
    return (rest_share(settings) * before + NEAREST) % 1.0


def rest_share(settings: PlacementSettings) -> float:
    """Return the share of the targets that may rest for long."""
    return (1.0 - settings.floor_share) * settings.spared_share


def count_spared(
    near: Iterable[Target], before: float, settings: PlacementSettings, now: float
) -> int:
    """Return how many of the targets near by may rest for long.

    Those that failed lately do not count as capacity, and one more of the others may fail at any
    moment.
    """
    sound = sum(now - target.failed_at > settings.failed_ms for target in near)
    most = int((1.0 - settings.floor_share) * (sound - 1))
    return max(0, min(most, int(rest_share(settings) * sound + before)))


def speaks_against(target: Target, now: float) -> bool:
    """Say whether a target failed or was slow; one of which nothing is known may not rest."""
    return target.failed_at > -inf or target.evidence.slowness(now) > SLOW


def due(
    near: list[Target], before: float, idempotent: bool, settings: PlacementSettings, now: float
) -> list[Target]:
    """Return the targets near by that should be used again.

    Parameters
    ----------
    near
        Targets of the own failure domain that may take work.
    before
        What `part_before` says.
    idempotent
        Whether the request at hand may be sent again; such go first.
    settings
        Floor and pauses.
    now
        Milliseconds of the process's clock.
    """
    more_ms = 0.0 if idempotent else settings.unused_more_ms
    unused = [t for t in near if now - t.used_at > settings.unused_ms + more_ms]
    if not unused:
        return []
    bad = sorted(
        (target for target in unused if speaks_against(target, now)),
        key=lambda target: (target.evidence.failure_share(now), target.evidence.slowness(now)),
    )
    spared = bad[max(0, len(bad) - count_spared(near, before, settings, now)) :]
    pause_ms = settings.spared_ms + more_ms
    return [t for t in unused if t not in spared or now - t.used_at > pause_ms]


def take_chance(
    targets: list[Target], per_s: float, settings: PlacementSettings, random: Random
) -> list[Target]:
    """Return those that this request may try, where the entries send `per_s` requests a second."""
    chance = settings.tries_per_s / max(settings.tries_per_s, per_s)
    return [target for target in targets if random.random() < chance]
