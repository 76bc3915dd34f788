"""Record of an idempotency key, as stored in the platform's table."""

from dataclasses import dataclass
from enum import Enum
from hashlib import sha256

import msgspec

from cactusvane.http.message import Request, Response

TABLE = "claims"
MAX_STORED_RESPONSE_BYTES = 8_192
"""Largest response that is stored for repeats, headers included."""

IDENTITY_HEADERS = (b"authorization", b"cookie")
"""Header fields that identify the caller."""


class KeyState(Enum):
    """State of a key."""

    CLAIMED = "claimed"
    """The holder of the claim may have run the request."""

    RELEASED = "released"
    """The request is proven not to have run."""

    DONE = "done"
    """The request ran."""


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """The response to a key that ran; `body` is None if it was too large to store."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """The value of a key's row; the field names are part of the stored JSON.

    Parameters
    ----------
    state
        State of the key.
    nonce
        Unique random value of this claim.
    fingerprint
        Digest of the request that was sent with the key.
    outcome
        The response, if the request ran.
    """

    state: KeyState
    nonce: str
    fingerprint: str
    outcome: StoredResponse | None = None


def encode(record: ClaimRecord) -> str:
    """Return `record` as JSON text."""
    return msgspec.json.encode(record).decode()


def decode(value: str) -> ClaimRecord:
    """Return the record that the JSON text `value` holds."""
    return msgspec.json.decode(value, type=ClaimRecord)


def row_key(service: str, key: bytes) -> str:
    """Return the row key for a caller's idempotency key: a SHA-256 in hexadecimal."""
    return sha256(service.encode() + b"\0" + key).hexdigest()


def fingerprint(request: Request) -> str:
    """Return a digest of the request and the identity of its caller.

    A repeat has the same fingerprint. Another caller who guesses the key has a different one, and
    so never gets the response of this caller.
    """
    parts = [request.method.encode(), request.target.encode(), request.body]
    parts += [request.header(name) or b"" for name in IDENTITY_HEADERS]
    return sha256(b"\0".join(b"%d:%s" % (len(part), part) for part in parts)).hexdigest()


def to_stored_response(response: Response) -> StoredResponse:
    """Return the part of a response that is stored."""
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in response.headers
    )
    size = len(response.body) + sum(len(name) + len(value) for name, value in headers)
    if response.rest is not None or size > MAX_STORED_RESPONSE_BYTES:
        return StoredResponse(response.status, (), None)
    return StoredResponse(response.status, headers, response.body)
