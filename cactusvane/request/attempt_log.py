"""One attempt at a target, as the log tells it."""

from dataclasses import dataclass

from cactusvane.placement.messages import PlacementInputs, PlacementReason, RoomInputs


@dataclass(frozen=True, slots=True)
class AttemptLog:
    """One attempt as written to the log; the field names are keys of the log line.

    Parameters
    ----------
    target
        Name of the target, or its address if the name is unknown.
    address
        Address that the request was sent to.
    outcome
        How the attempt ended.
    latency_ms
        Duration of the attempt in milliseconds.
    inputs
        Values that the choice of the target was based on, or None if unknown.
    why
        Reason for the choice, or None if unknown.
    rested_ms
        Time in milliseconds that the connection had been idle; 0 for a new one, None without a
        connection.
    room
        What was known of the target's failure domain, if it was chosen for its free slots.
    """

    target: str
    address: str
    outcome: str
    latency_ms: float
    inputs: PlacementInputs | None
    why: PlacementReason | None
    rested_ms: float | None
    room: RoomInputs | None = None
