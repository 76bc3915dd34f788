"""How one keyed request gets its claim; no sockets and no wall clock."""

from dataclasses import dataclass, replace

from cactusvane.claims.record import ClaimRecord, KeyState, StoredResponse, decode, encode
from cactusvane.configuration.model import KeyedPolicy
from cactusvane.errors import RequestError
from cactusvane.store.interface import ABSENT, Row
from cactusvane.verdict import Verdict

MAX_UNANSWERED = 2
"""Exchanges without an answer after which the table counts as down."""

POLL_DELAYS_MS = (30.0, 100.0, 300.0, 600.0)
"""How long a repeat waits for the first request's outcome before each further look."""


@dataclass(frozen=True, slots=True)
class Committed:
    """The write took effect."""


@dataclass(frozen=True, slots=True)
class Conflicted:
    """The row has another version."""


@dataclass(frozen=True, slots=True)
class NoResponse:
    """No answer came; a write may have taken effect."""


@dataclass(frozen=True, slots=True)
class RowRead:
    """The row as it stands."""

    row: Row | None


ClaimEvent = Committed | Conflicted | NoResponse | RowRead


@dataclass(frozen=True, slots=True)
class WriteClaim:
    """Write `value` where the row has version `expected`."""

    value: str
    expected: int


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Wait, then read the row."""

    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Grant:
    """The request may be sent; `version` is the claim's row version, `ABSENT` for no claim."""

    version: int


@dataclass(frozen=True, slots=True)
class Replay:
    """The key ran; the caller gets the answer that was kept."""

    response: StoredResponse


@dataclass(frozen=True, slots=True)
class RejectClaim:
    """The request is not sent."""

    status: int
    code: str
    text: str
    verdict: Verdict

    def to_error(self) -> RequestError:
        """Return the error that tells the caller."""
        return RequestError(self.status, self.code, self.text, self.verdict)


ClaimCommand = WriteClaim | ReadRow | Grant | Replay | RejectClaim

KEY_IN_PROGRESS = RejectClaim(
    409, "key-in-progress", "a request with this key may have run", Verdict.MAY_HAVE_RUN
)
KEY_REUSED = RejectClaim(
    422, "key-reused", "this key came with another request before", Verdict.MAY_HAVE_RUN
)
RESPONSE_NOT_STORED = RejectClaim(
    409, "key-ran", "this key ran; its answer was too large to keep", Verdict.RAN
)


class ClaimAcquisition:
    """The claim of one keyed request.

    Parameters
    ----------
    claim
        What the row should hold, with a nonce of its own.
    policy
        What happens while the table is down.
    first_attempt
        Whether the caller states that it has not sent this key before.
    """

    def __init__(
        self, claim: ClaimRecord, policy: KeyedPolicy, first_attempt: bool = False
    ) -> None:
        self.claim = claim
        self.policy = policy
        self.first_attempt = first_attempt
        self.expected = ABSENT
        self.unanswered = 0
        self.polls = 0
        self.found_other_claim = False
        self.reading = False

    def start(self) -> ClaimCommand:
        """Return the first command."""
        return self.write_claim(ABSENT)

    def write_claim(self, expected: int) -> WriteClaim:
        """Claim the key where its row has version `expected`."""
        self.expected = expected
        self.reading = False
        return WriteClaim(encode(self.claim), expected)

    def read_row(self, wait_ms: float = 0.0) -> ReadRow:
        """Read the row."""
        self.reading = True
        return ReadRow(wait_ms)

    def handle(self, event: ClaimEvent) -> ClaimCommand:
        """Take in how the last command ended and return the next."""
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
        """Do the same again, or act as for a table that is down.

        A repeated insert is safe: where the first took effect, the second conflicts and the row
        shows this claim's nonce.
        """
        self.unanswered += 1
        if self.unanswered >= MAX_UNANSWERED:
            return self.table_down()
        return self.read_row() if self.reading else self.write_claim(self.expected)

    def table_down(self) -> Grant | RejectClaim:
        """Apply the service's policy; a key that is known to be another's is not run."""
        if self.found_other_claim:
            return KEY_IN_PROGRESS
        if self.policy is KeyedPolicy.SERVE and not self.reading:
            return Grant(ABSENT)
        return self.reject("table-down", "the claim table is down; this attempt did not run")

    def reject(self, code: str, text: str) -> RejectClaim:
        """Refuse an attempt; only a first one proves that the key has not run."""
        verdict = Verdict.NOT_RUN if self.first_attempt else Verdict.MAY_HAVE_RUN
        return RejectClaim(503, code, text, verdict)

    def decide(self, found: ClaimRecord, version: int) -> ClaimCommand:
        """Decide by what the row holds."""
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
        """Look again a few times while another holds the key."""
        if self.polls == len(POLL_DELAYS_MS):
            return KEY_IN_PROGRESS
        self.polls += 1
        return self.read_row(POLL_DELAYS_MS[self.polls - 1])


def final_record(
    claim: ClaimRecord, verdict: Verdict, response: StoredResponse | None
) -> ClaimRecord | None:
    """Return what the row should hold after the request ended, or None where it stays.

    A claim whose request may have run stays for good: nobody can prove that running it again is
    harmless.
    """
    match verdict:
        case Verdict.NOT_RUN:
            return replace(claim, state=KeyState.RELEASED)
        case Verdict.RAN:
            return replace(claim, state=KeyState.DONE, outcome=response)
        case Verdict.MAY_HAVE_RUN:
            return None
