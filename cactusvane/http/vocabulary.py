"""Names of the header fields that callers, entries and targets exchange."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of header fields in lower case; an empty name means that the field is not used.

    Parameters
    ----------
    deadline
        Time left for the response, in milliseconds; sent by callers and forwarded to targets.
    shed
        In a target's response: the request was not started.
    draining
        In a target's 503 response: the target is leaving and did not start the request.
    request_id
        Id of a request, which a target echoes.
    expected_target
        Name of the target that the request is meant for; any other target rejects it with 421.
    signature
        Proves that a target made the response. A response with a status of success that lacks it
        is broken.
    rate_limit
        In a target's response: how many requests per second it accepts from all entries together,
        for as long as its responses have the field.
    leaving
        In any response of a target: with value ``1``, it leaves. Where it is used, ``Retry-After``
        in a target's 503 response is the time for which it wants no request from this entry.
    api_key
        Key of a customer, in callers' requests. It is never forwarded or logged.
    customer
        Name of the customer; set by entries in requests to targets.
    """

    deadline: bytes = b"cactusvane-deadline-ms"
    shed: bytes = b"cactusvane-shed"
    draining: bytes = b"cactusvane-draining"
    request_id: bytes = b""
    expected_target: bytes = b""
    signature: bytes = b""
    rate_limit: bytes = b""
    leaving: bytes = b""
    api_key: bytes = b""
    customer: bytes = b""

    @property
    def set_by_entries(self) -> frozenset[bytes]:
        """Fields of a request that an entry replaces with its own."""
        return frozenset({self.deadline, self.expected_target})
