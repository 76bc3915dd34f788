"""Names of the header fields that entries and targets exchange."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header fields, in lower case; an empty name stands for a field that is not in use.

    Parameters
    ----------
    deadline
        Milliseconds that are left for the answer; callers send it, targets get it.
    shed
        In a target's answer: the request was not started.
    draining
        In a target's 503: it is leaving, and the request was not started.
    request_id
        Identifies a request; a target echoes it.
    expected_target
        Name of the target that the request is meant for; any other refuses it with 421.
    signature
        Proves that a target made the answer; an answer of success without it is broken.
    """

    deadline: bytes = b"cactusvane-deadline-ms"
    shed: bytes = b"cactusvane-shed"
    draining: bytes = b"cactusvane-draining"
    request_id: bytes = b""
    expected_target: bytes = b""
    signature: bytes = b""

    @property
    def set_by_entries(self) -> frozenset[bytes]:
        """Fields of a request that an entry sets anew."""
        return frozenset({self.deadline, self.expected_target})
