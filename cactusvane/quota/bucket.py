"""One entry's replica of the token bucket of a customer."""

from dataclasses import dataclass

from cactusvane.clock import MS_PER_SECOND
from cactusvane.quota.reach import FULL_REACH, Reach


@dataclass(slots=True)
class Bucket:
    """Token bucket that all entries refill and empty alike.

    Parameters
    ----------
    rate_per_s
        Refill rate.
    capacity
        Maximum level.
    min_level
        Minimum level; a debt that takes longer than the window to refill has no effect on it.
    level
        Tokens that this entry and those in contact with it may use; negative if requests of other
        entries became known too late.
    settled_at
        Time up to which the bucket is refilled, in milliseconds.
    withheld
        Tokens left to entries out of contact, which are taken back when these report their usage.
        None are taken back after a long time, since the rest of the bucket has refilled then.
    withheld_per_s
        Part of the refill rate that is left to them.
    reach
        The contact that `withheld_per_s` is for.
    """

    rate_per_s: float
    capacity: float
    min_level: float
    level: float
    settled_at: float
    withheld: float = 0.0
    withheld_per_s: float = 0.0
    reach: Reach = FULL_REACH

    @property
    def refill_per_s(self) -> float:
        """Part of the refill rate that this entry and those in contact with it may use."""
        return self.rate_per_s - self.withheld_per_s

    def settle(self, now: float) -> None:
        """Refill the bucket for the time up to `now`, and keep the level within its bounds."""
        elapsed_s = (now - self.settled_at) / MS_PER_SECOND
        if elapsed_s <= 0.0:
            return
        self.settled_at = now
        if not self.reach.lasting:
            self.withheld += self.withheld_per_s * elapsed_s
        self.level += self.refill_per_s * elapsed_s
        self.limit_level()

    def limit_level(self) -> None:
        """Keep the level within its bounds."""
        self.level = max(self.min_level, min(self.capacity * self.reach.share, self.level))

    def add(self, tokens: float) -> None:
        """Add tokens, or take some (negative).

        The bounds apply at the next `settle`, so that the order of several changes at once has no
        effect.
        """
        self.level += tokens

    def change_reach(self, reach: Reach, withheld_per_s: float, missed: float, now: float) -> None:
        """Apply a change of the contact with the rest of the fleet.

        Parameters
        ----------
        reach
            The new contact. If it is less than before, the time since the bucket was last settled
            counts as without contact.
        withheld_per_s
            Part of the refill rate that is left to the entries out of contact.
        missed
            What those are assumed to have used between their last report and `settled_at`.
        now
            Current time in milliseconds.
        """
        before = self.reach.share
        kept = min(self.rate_per_s, max(0.0, withheld_per_s))
        if reach.share < before:
            self.reach = reach
            self.withhold(max(0.0, self.level) * (1.0 - reach.share / before) + missed)
            self.withheld_per_s = max(kept, self.withheld_per_s)
            self.settle(now)
        else:
            self.settle(now)
            self.reach = reach
        if reach.share > before:
            self.withhold(-self.withheld * (reach.share - before) / (1.0 - before))
        self.withheld_per_s = kept
        if reach.lasting:
            self.withheld = 0.0

    def deduct(self, tokens: float, withheld: bool) -> None:
        """Deduct requests that other entries admitted.

        Parameters
        ----------
        tokens
            Number of requests; negative if some did not run.
        withheld
            Whether those entries are out of contact, so that tokens were withheld for them.
        """
        if withheld and tokens > 0.0:
            part = min(tokens, self.withheld)
            self.withheld -= part
            tokens -= part
        self.level -= tokens

    def withhold(self, tokens: float) -> None:
        """Leave tokens to entries out of contact, or take some back (negative)."""
        self.level -= tokens
        self.withheld += tokens

    def change_limit(
        self, rate_per_s: float, capacity: float, min_level: float, now: float
    ) -> None:
        """Apply another limit; the level is at most the new capacity immediately."""
        self.settle(now)
        self.rate_per_s = rate_per_s
        self.withheld_per_s = rate_per_s * (1.0 - self.reach.share)
        self.capacity = capacity
        self.min_level = min_level
        self.limit_level()
