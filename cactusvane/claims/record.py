"""What a key's row in the platform's table holds."""

from dataclasses import dataclass
from enum import Enum
from hashlib import sha256

import msgspec

from cactusvane.http.message import Request, Response

TABLE = "claims"
OUTCOME_BYTES = 8_192
"""Largest answer that is kept for repeats."""

IDENTITY_HEADERS = (b"authorization", b"cookie")
"""Fields that tell one caller from another."""


class KeyState(Enum):
    """How far a key has come."""

    CLAIMED = "claimed"
    """Its holder may have run it."""

    RELEASED = "released"
    """Its holder proved that it has not run."""

    DONE = "done"
    """It ran."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """The answer of a key that ran; `body` is None where it was too large to keep."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Record:
    """The value of a key's row.

    Parameters
    ----------
    state
        How far the key has come.
    nonce
        Chosen by the holder for this claim alone.
    fingerprint
        Digest of the request that came with the key.
    outcome
        The answer, once it ran.
    """

    state: KeyState
    nonce: str
    fingerprint: str
    outcome: Outcome | None = None


def encode(record: Record) -> str:
    """Return the stored form of `record`."""
    return msgspec.json.encode(record).decode()


def decode(value: str) -> Record:
    """Return the record stored as `value`."""
    return msgspec.json.decode(value, type=Record)


def row_key(service: str, key: bytes) -> str:
    """Return the key of the row for a caller's idempotency key."""
    return sha256(service.encode() + b"\0" + key).hexdigest()


def fingerprint(request: Request) -> str:
    """Return a digest of what the caller asked and who they are.

    A repeat has the same fingerprint; another caller who guesses the key does not, and so never
    sees an answer that is not theirs.
    """
    parts = [request.method.encode(), request.target.encode(), request.body]
    parts += [request.header(name) or b"" for name in IDENTITY_HEADERS]
    return sha256(b"\0".join(b"%d:%s" % (len(part), part) for part in parts)).hexdigest()


def to_outcome(response: Response) -> Outcome:
    """Return what is kept of an answer."""
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in response.headers
    )
    size = len(response.body) + sum(len(name) + len(value) for name, value in headers)
    if response.rest is not None or size > OUTCOME_BYTES:
        return Outcome(response.status, (), None)
    return Outcome(response.status, headers, response.body)
