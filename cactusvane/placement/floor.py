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

ROUND_HALF = 0.5
"""Added before a number is cut to a whole one, so that it is rounded to the nearest."""

SLOW_FACTOR = 1.5
"""Time of an answer, as a multiple of the usual one, from which a target counts as slow."""


def cooldown_carry(vms: Iterable[Vm], domain: str, settings: PlacementSettings) -> float:
    """Return the part of a target that the domains before this one may not let rest.

    Each domain lets a whole number of targets rest. What is left of one goes on to the next, in the
    order of their names, so that small domains together let as many rest as a large one. The sum
    is rounded to the nearest whole number.
    """
    before = sum(vm.failure_domain < domain and vm.state is VmState.LIVE for vm in vms)
    return (allowed_cooldown_share(settings) * before + ROUND_HALF) % 1.0


def allowed_cooldown_share(settings: PlacementSettings) -> float:
    """Return the share of the targets that may rest for long."""
    return (1.0 - settings.floor_share) * settings.cooldown_share


def count_in_cooldown(
    near: Iterable[Target], before: float, settings: PlacementSettings, now: float
) -> int:
    """Return how many of the targets near by may rest for long.

    Those that failed lately do not count as capacity, and one more of the others may fail at any
    moment.
    """
    healthy = sum(now - target.failed_at > settings.failure_memory_ms for target in near)
    max_count = int((1.0 - settings.floor_share) * (healthy - 1))
    return max(0, min(max_count, int(allowed_cooldown_share(settings) * healthy + before)))


def has_bad_evidence(target: Target, now: float) -> bool:
    """Say whether a target failed or was slow; one of which nothing is known may not rest."""
    return target.failed_at > -inf or target.evidence.slowness(now) > SLOW_FACTOR


def targets_to_probe(
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
    extra_ms = 0.0 if idempotent else settings.unused_extra_ms
    unused = [t for t in near if now - t.used_at > settings.unused_ms + extra_ms]
    if not unused:
        return []
    suspects = sorted(
        (target for target in unused if has_bad_evidence(target, now)),
        key=lambda target: (target.evidence.failure_share(now), target.evidence.slowness(now)),
    )
    cooling_down = suspects[
        max(0, len(suspects) - count_in_cooldown(near, before, settings, now)) :
    ]
    cooldown_ms = settings.cooldown_ms + extra_ms
    return [t for t in unused if t not in cooling_down or now - t.used_at > cooldown_ms]


def sample_probes(
    targets: list[Target], per_s: float, settings: PlacementSettings, random: Random
) -> list[Target]:
    """Return those that this request may try, where the entries send `per_s` requests a second."""
    chance = settings.probes_per_s / max(settings.probes_per_s, per_s)
    return [target for target in targets if random.random() < chance]
