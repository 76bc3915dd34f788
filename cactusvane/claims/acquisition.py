"""Acquisition of the claim for one keyed request, as a state machine.

Performs no I/O: the caller executes the returned commands and reports their results.
"""

from dataclasses import dataclass, replace

from cactusvane.claims.record import ClaimRecord, KeyState, StoredResponse, decode, encode
from cactusvane.configuration.model import KeyedPolicy
from cactusvane.errors import RequestError
from cactusvane.store.interface import ABSENT, Row
from cactusvane.verdict import Verdict

MAX_NO_RESPONSES = 2
"""Exchanges without a response after which the table is considered down."""

POLL_DELAYS_MS = (30.0, 100.0, 300.0, 600.0)
"""Delays in milliseconds before each further read while a repeat waits for the first request."""


@dataclass(frozen=True, slots=True)
class Committed:
    """The write took effect."""


@dataclass(frozen=True, slots=True)
class Conflicted:
    """The write failed: the row has another version than expected."""


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The platform did not respond; a write may have taken effect."""


@dataclass(frozen=True, slots=True)
class RowRead:
    """The current row, or None if there is none."""

    row: Row | None


ClaimEvent = Committed | Conflicted | NoResponse | RowRead


@dataclass(frozen=True, slots=True)
class WriteClaim:
    """Write `value` if the row has version `expected`."""

    value: str
    expected: int


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row after `wait_ms` milliseconds."""

    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Grant:
    """The request may be sent.

    Parameters
    ----------
    version
        Version of the claim's row; `ABSENT` if the request runs without a claim.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Replay:
    """The key already ran; the caller gets the stored response."""

    response: StoredResponse


@dataclass(frozen=True, slots=True)
class RejectClaim:
    """The request must not be sent.

    Parameters
    ----------
    status
        HTTP status code for the caller.
    code
        Short machine-readable reason.
    text
        Error message.
    verdict
        Whether the key may have run.
    """

    status: int
    code: str
    text: str
    verdict: Verdict

    def to_error(self) -> RequestError:
        """Return the error to raise to the caller."""
        return RequestError(self.status, self.code, self.text, self.verdict)


ClaimCommand = WriteClaim | ReadRow | Grant | Replay | RejectClaim

KEY_IN_PROGRESS = RejectClaim(
    409, "key-in-progress", "a request with this key may have run", Verdict.MAY_HAVE_RUN
)
KEY_REUSED = RejectClaim(
    422, "key-reused", "this key was used with a different request before", Verdict.MAY_HAVE_RUN
)
RESPONSE_NOT_STORED = RejectClaim(
    409, "key-ran", "this key ran; its response was too large to store", Verdict.RAN
)


class ClaimAcquisition:
    """Acquires the claim for one keyed request.

    Parameters
    ----------
    claim
        The record to write, with a unique nonce.
    policy
        Whether the request runs without a claim while the table is down.
    first_attempt
        Whether the caller states that it has not sent this key before.

    Attributes
    ----------
    expected
        Row version that the last write expected.
    no_responses
        Number of exchanges without a response.
    polls
        Number of reads while waiting for another request with this key.
    found_other_claim
        Whether the row was seen to hold the claim or response of another request.
    reading
        Whether the last command was a read.
    """

    def __init__(
        self, claim: ClaimRecord, policy: KeyedPolicy, first_attempt: bool = False
    ) -> None:
        self.claim = claim
        self.policy = policy
        self.first_attempt = first_attempt
        self.expected = ABSENT
        self.no_responses = 0
        self.polls = 0
        self.found_other_claim = False
        self.reading = False

    def start(self) -> ClaimCommand:
        """Return the first command."""
        return self.write_claim(ABSENT)

    def write_claim(self, expected: int) -> WriteClaim:
        """Return the command that claims the key if its row has version `expected`."""
        self.expected = expected
        self.reading = False
        return WriteClaim(encode(self.claim), expected)

    def read_row(self, wait_ms: float = 0.0) -> ReadRow:
        """Return the command that reads the row."""
        self.reading = True
        return ReadRow(wait_ms)

    def handle(self, event: ClaimEvent) -> ClaimCommand:
        """Return the next command after the result of the last one."""
        match event:
            case Committed():
                return Grant(self.expected + 1)
            case Conflicted():
                return self.read_row()
            case NoResponse():
                return self.after_no_response()
            case RowRead(row):
                return (
                    self.decide(decode(row.value), row.version) if row else self.write_claim(ABSENT)
                )

    def after_no_response(self) -> ClaimCommand:
        """Retry the last command, or apply the policy for a table that is down.

        Retrying a write is safe: if the first one took effect, the second conflicts, and the row
        contains the nonce of this claim.
        """
        self.no_responses += 1
        if self.no_responses >= MAX_NO_RESPONSES:
            return self.table_down()
        return self.read_row() if self.reading else self.write_claim(self.expected)

    def table_down(self) -> Grant | RejectClaim:
        """Apply the service's policy for a table that is down.

        A key that is known to be claimed by another request is not run.
        """
        if self.found_other_claim:
            return KEY_IN_PROGRESS
        if self.policy is KeyedPolicy.SERVE and not self.reading:
            return Grant(ABSENT)
        return self.reject("table-down", "the claim table is down; this attempt did not run")

    def reject(self, code: str, text: str) -> RejectClaim:
        """Reject the request; only for a first attempt is it proven that the key has not run."""
        verdict = Verdict.NOT_RUN if self.first_attempt else Verdict.MAY_HAVE_RUN
        return RejectClaim(503, code, text, verdict)

    def decide(self, found: ClaimRecord, version: int) -> ClaimCommand:
        """Return the next command for a row that holds the record `found`."""
        if found.nonce == self.claim.nonce and found.state is KeyState.CLAIMED:
            return Grant(version)
        if found.state is KeyState.RELEASED:
            return self.write_claim(version)
        self.found_other_claim = True
        if found.fingerprint != self.claim.fingerprint:
            return KEY_REUSED
        if found.outcome is None:
            return self.poll()
        return Replay(found.outcome) if found.outcome.body is not None else RESPONSE_NOT_STORED

    def poll(self) -> ReadRow | RejectClaim:
        """Read the row again while another request holds the key; reject after the last delay."""
        if self.polls == len(POLL_DELAYS_MS):
            return KEY_IN_PROGRESS
        self.polls += 1
        return self.read_row(POLL_DELAYS_MS[self.polls - 1])


def final_record(
    claim: ClaimRecord, verdict: Verdict, response: StoredResponse | None
) -> ClaimRecord | None:
    """Return the record to store after the request ended, or None to leave the claim in place.

    The claim of a request that may have run is never released: nothing can prove that running the
    request again is safe.
    """
    match verdict:
        case Verdict.NOT_RUN:
            return replace(claim, state=KeyState.RELEASED)
        case Verdict.RAN:
            return replace(claim, state=KeyState.DONE, outcome=response)
        case Verdict.MAY_HAVE_RUN:
            return None
