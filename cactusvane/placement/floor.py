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

from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.target import Target


def count_spared(near: Iterable[Target], settings: PlacementSettings, now: float) -> int:
    """Return how many of the targets near by may rest for long.

    Those that failed when they were used lately do not count as capacity.
    """
    sound = sum(not failed_in_use(target, settings, now) for target in near)
    return int((1.0 - settings.floor_share) * settings.spared_share * sound)


def failed_in_use(target: Target, settings: PlacementSettings, now: float) -> bool:
    """Say whether a target is in use and failed lately."""
    in_use = now - target.used_at <= settings.unused_ms
    return in_use and now - target.failed_at <= settings.failed_ms


def due(
    near: list[Target], idempotent: bool, settings: PlacementSettings, now: float
) -> list[Target]:
    """Return the targets near by that should be used again.

    Parameters
    ----------
    near
        Targets of the own failure domain that may take work.
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
    unused.sort(key=lambda target: target.evidence.failure_share(now))
    failed = [target for target in unused if target.failed_at > -inf]
    spared = failed[max(0, len(failed) - count_spared(near, settings, now)) :]
    pause_ms = settings.spared_ms + more_ms
    return [t for t in unused if t not in spared or now - t.used_at > pause_ms]


def take_chance(
    targets: list[Target], per_s: float, settings: PlacementSettings, random: Random
) -> list[Target]:
    """Return those that this request may try, where the entries send `per_s` requests a second."""
    chance = settings.tries_per_s / max(settings.tries_per_s, per_s)
    return [target for target in targets if random.random() < chance]
