"""Settings of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times in milliseconds and bounds of the membership protocol.

    Parameters
    ----------
    neighbours
        VMs that one VM probes in turn.
    indirect_probers
        VMs asked to probe when a direct probe had no answer.
    probe_interval_ms
        Time between two probes.
    ack_timeout_ms
        Wait for a direct answer, and again for an indirect one.
    suspicion_timeout_ms
        Time that a suspect has to refute before it counts as dead.
    gossip_interval_ms
        Time between two rounds of gossip while there is something to tell.
    fanout
        Receivers of one round.
    max_updates
        Most updates in one message.
    sync_interval_ms
        Time between two digest exchanges.
    max_tick_gap_ms
        A gap between ticks longer than this means that this VM stood still.
    dead_retention_ms
        How long a dead member that is not listed is remembered.
    """

    neighbours: int = 3
    indirect_probers: int = 3
    probe_interval_ms: float = 500.0
    ack_timeout_ms: float = 250.0
    suspicion_timeout_ms: float = 2_000.0
    gossip_interval_ms: float = 250.0
    fanout: int = 2
    max_updates: int = 12
    sync_interval_ms: float = 10_000.0
    max_tick_gap_ms: float = 1_000.0
    dead_retention_ms: float = 120_000.0
