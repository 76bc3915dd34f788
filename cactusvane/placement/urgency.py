"""Which requests are the most urgent ones, for which the others leave capacity."""

from cactusvane.placement.messages import RequestProfile

CUSTOMER_MEMORY_MS = 60_000.0
"""A customer that sent no request for this long reserves no capacity; a new configuration may have
removed it, or lowered its priority."""


class Urgency:
    """The latest requests by kind and customer priority.

    Their number is bounded by the kinds and the different priorities in the configurations.

    Attributes
    ----------
    latest
        Latest request of each kind and customer priority.
    """

    def __init__(self) -> None:
        self.latest: dict[tuple[str, int], RequestProfile] = {}

    def record(self, profile: RequestProfile) -> None:
        """Record a request."""
        self.latest[profile.kind, profile.customer_priority] = profile

    def most_urgent(self, profile: RequestProfile) -> RequestProfile:
        """Return the most urgent request that a request has to leave capacity for, or itself."""
        oldest = profile.arrived - CUSTOMER_MEMORY_MS
        recent = (
            each for each in self.latest.values() if not each.customer or each.arrived > oldest
        )
        return min(recent, key=lambda each: each.rank, default=profile)

    def has_less_urgent(self, profile: RequestProfile) -> bool:
        """Return whether there are recent requests that are less urgent by their route."""
        oldest = profile.arrived - CUSTOMER_MEMORY_MS
        return any(
            each.priority > profile.priority and each.arrived > oldest
            for each in self.latest.values()
        )
