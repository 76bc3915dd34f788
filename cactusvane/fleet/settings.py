"""Settings of the membership protocol."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times in milliseconds and limits of the membership protocol.

    Parameters
    ----------
    neighbours
        Number of VMs that one VM probes in turn.
    indirect_probers
        Number of VMs that are asked to probe after a direct probe timed out.
    probe_interval_ms
        Time between two probes.
    ack_timeout_ms
        Timeout of a direct probe, and of the indirect probe after it.
    suspicion_timeout_ms
        Time in which a suspect can refute the suspicion before it counts as dead.
    gossip_interval_ms
        Time between two rounds of gossip while there are updates to send.
    fanout
        Number of receivers of one round of gossip.
    max_updates
        Maximum number of updates in one message.
    sync_interval_ms
        Mean time between two digest exchanges.
    max_tick_gap_ms
        A longer gap between two ticks means that this VM was suspended.
    dead_retention_ms
        How long a dead or departed member that is not in the VM list is remembered.
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
