"""Probes of unused targets, so that a floor of the capacity stays in use.

In a service where many targets have gray failures at any moment, each of them alone is better
avoided for some seconds, but all of them together are capacity that the service needs. Performs no
I/O; the current time is passed in.

A share of the targets in the own failure domain may be in a long cooldown: the worst ones, and no
more than part of what the floor leaves, since an entry does not see all failures, nor which targets
are cut off. All other targets are used again within a second or two. Entries do not coordinate who
probes a target; each request probes with a probability that makes all entries together probe it a
few times per second.
"""

from collections.abc import Iterable
from math import inf
from random import Random

from cactusvane.fleet.vm import Vm, VmState
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.target import Target

ROUND_HALF = 0.5
"""Added before truncation to an integer, so that numbers are rounded to the nearest."""

SLOW_FACTOR = 1.5
"""Latency, as a multiple of the expected latency, from which a target counts as slow."""


def cooldown_carry(vms: Iterable[Vm], domain: str, settings: PlacementSettings) -> float:
    """Return the fraction of a target that the domains before this one leave over.

    Each domain has a whole number of targets in cooldown. The remaining fraction is carried over to
    the next domain, in the order of their names, so that small domains together have as many
    targets in cooldown as a large one. The sum is rounded to the nearest whole number.
    """
    count = sum(vm.failure_domain < domain and vm.state is VmState.LIVE for vm in vms)
    return (allowed_cooldown_share(settings) * count + ROUND_HALF) % 1.0


def allowed_cooldown_share(settings: PlacementSettings) -> float:
    """Return the share of the targets that may be in the long cooldown."""
    return (1.0 - settings.floor_share) * settings.cooldown_share


def count_in_cooldown(
    local: Iterable[Target], carry: float, settings: PlacementSettings, now: float
) -> int:
    """Return how many targets of the own failure domain may be in the long cooldown.

    Those that failed recently do not count as capacity, and one more of the others may fail at any
    moment.
    """
    healthy = sum(now - target.failed_at > settings.failure_memory_ms for target in local)
    max_count = int((1.0 - settings.floor_share) * (healthy - 1))
    return max(0, min(max_count, int(allowed_cooldown_share(settings) * healthy + carry)))


def has_bad_evidence(target: Target, now: float) -> bool:
    """Return whether a target failed or was slow; one without evidence gets no long cooldown."""
    return target.failed_at > -inf or target.evidence.slowness(now) > SLOW_FACTOR


def targets_to_probe(
    local: list[Target], carry: float, idempotent: bool, settings: PlacementSettings, now: float
) -> list[Target]:
    """Return the targets of the own failure domain that should be used again.

    Parameters
    ----------
    local
        Targets of the own failure domain that accept requests.
    carry
        Result of `cooldown_carry`.
    idempotent
        Whether the request at hand may be sent again; such requests probe first.
    settings
        Floor and cooldowns.
    now
        Current time in milliseconds (monotonic clock of the process).
    """
    extra_ms = 0.0 if idempotent else settings.unused_extra_ms
    unused = [t for t in local if now - t.used_at > settings.unused_ms + extra_ms]
    if not unused:
        return []
    suspects = sorted(
        (target for target in unused if has_bad_evidence(target, now)),
        key=lambda target: (target.evidence.failure_share(now), target.evidence.slowness(now)),
    )
    cooling_down = suspects[
        max(0, len(suspects) - count_in_cooldown(local, carry, settings, now)) :
    ]
    cooldown_ms = settings.cooldown_ms + extra_ms
    return [t for t in unused if t not in cooling_down or now - t.used_at > cooldown_ms]


def sample_probes(
    targets: list[Target], per_s: float, settings: PlacementSettings, random: Random
) -> list[Target]:
    """Return the targets that this request may probe, at a total of `per_s` requests per second."""
    chance = settings.probes_per_s / max(settings.probes_per_s, per_s)
    return [target for target in targets if random.random() < chance]
