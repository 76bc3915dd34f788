"""Settings of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times in milliseconds and bounds of the membership protocol.

    Parameters
    ----------
    neighbours
        VMs that one VM probes in turn.
    helpers
        VMs asked to probe when a direct probe had no answer.
    probe_ms
        Time between two probes.
    ack_ms
        Wait for a direct answer, and again for an indirect one.
    suspect_ms
        Time that a suspect has to refute before it counts as dead.
    gossip_ms
        Time between two rounds of gossip while there is something to tell.
    fanout
        Receivers of one round.
    updates
        Most updates in one message.
    sync_ms
        Time between two digest exchanges.
    frozen_ms
        A gap between ticks longer than this means that this VM stood still.
    forget_ms
        How long a dead member that is not listed is remembered.
    """

    neighbours: int = 3
    helpers: int = 3
    probe_ms: float = 500.0
    ack_ms: float = 250.0
    suspect_ms: float = 2_000.0
    gossip_ms: float = 250.0
    fanout: int = 2
    updates: int = 12
    sync_ms: float = 10_000.0
    frozen_ms: float = 1_000.0
    forget_ms: float = 120_000.0
