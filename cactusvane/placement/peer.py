"""Another entry, as one entry knows it."""

from dataclasses import dataclass

from cactusvane.fleet.vm import Address
from cactusvane.placement.messages import StateUpdate, StoreStatus

PEER_TIMEOUT_MS = 2_500.0
"""An entry without an update for this long counts as gone; longer than two heartbeats."""


@dataclass(slots=True)
class Peer:
    """Another entry of the failure domain.

    Parameters
    ----------
    address
        Address at which it receives updates.
    last_seen_at
        Time of its latest update, in milliseconds (monotonic clock of the process).
    rank
        A number that is the same on all VMs.
    last_update
        Its latest update; None before the first one.
    store_status, store_status_at
        Its latest store status, and when that was received.
    known_observations
        Number of its observations that are known here.
    """

    address: Address
    last_seen_at: float
    rank: int
    last_update: StateUpdate | None = None
    store_status: StoreStatus | None = None
    store_status_at: float = 0.0
    known_observations: int = 0

    def is_live(self, now: float) -> bool:
        """Return whether an update was received recently."""
        return self.last_update is not None and now - self.last_seen_at <= PEER_TIMEOUT_MS

    @property
    def order(self) -> tuple[int, int]:
        """Sort key that is the same on all VMs; the strongest come first."""
        return (-self.last_update.strength if self.last_update else 0, self.rank)
