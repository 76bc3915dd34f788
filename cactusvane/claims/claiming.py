"""How one keyed request gets its claim; no sockets and no wall clock."""

from dataclasses import dataclass, replace

from cactusvane.claims.record import KeyState, Outcome, Record, decode, encode
from cactusvane.configuration.model import KeyedPolicy
from cactusvane.errors import RequestError
from cactusvane.store.interface import ABSENT, Row
from cactusvane.verdict import Verdict

MOST_SILENCES = 2
"""Exchanges without an answer after which the table counts as down."""

WAITS_MS = (30.0, 100.0, 300.0, 600.0)
"""How long a repeat waits for the first request's outcome before each further look."""


@dataclass(frozen=True, slots=True)
class Committed:
    """The write took effect."""


@dataclass(frozen=True, slots=True)
class Conflicted:
    """The row has another version."""


@dataclass(frozen=True, slots=True)
class Silent:
    """No answer came; a write may have taken effect."""


@dataclass(frozen=True, slots=True)
class RowRead:
    """The row as it stands."""

    row: Row | None


ClaimEvent = Committed | Conflicted | Silent | RowRead


@dataclass(frozen=True, slots=True)
class Insert:
    """Write `value` where the row has version `expected`."""

    value: str
    expected: int


@dataclass(frozen=True, slots=True)
class Look:
    """Wait, then read the row."""

    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Grant:
    """The request may be sent; `version` is the claim's row version, `ABSENT` for no claim."""

    version: int


@dataclass(frozen=True, slots=True)
class Replay:
    """The key ran; the caller gets the answer that was kept."""

    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Refuse:
    """The request is not sent."""

    status: int
    code: str
    text: str
    verdict: Verdict

    def to_error(self) -> RequestError:
        """Return the error that tells the caller."""
        return RequestError(self.status, self.code, self.text, self.verdict)


ClaimCommand = Insert | Look | Grant | Replay | Refuse

IN_PROGRESS = Refuse(
    409, "key-in-progress", "a request with this key may have run", Verdict.MAY_HAVE_RUN
)
REUSED = Refuse(
    422, "key-reused", "this key came with another request before", Verdict.MAY_HAVE_RUN
)
NOT_KEPT = Refuse(409, "key-ran", "this key ran; its answer was too large to keep", Verdict.RAN)


class Claiming:
    """The claim of one keyed request.

    Parameters
    ----------
    claim
        What the row should hold, with a nonce of its own.
    policy
        What happens while the table is down.
    first
        Whether the caller states that it has not sent this key before.
    """

    def __init__(self, claim: Record, policy: KeyedPolicy, first: bool = False) -> None:
        self.claim = claim
        self.policy = policy
        self.first = first
        self.expected = ABSENT
        self.silences = 0
        self.looks = 0
        self.met_another = False
        self.reading = False

    def start(self) -> ClaimCommand:
        """Return the first command."""
        return self.insert(ABSENT)

    def insert(self, expected: int) -> Insert:
        """Claim the key where its row has version `expected`."""
        self.expected = expected
        self.reading = False
        return Insert(encode(self.claim), expected)

    def look(self, wait_ms: float = 0.0) -> Look:
        """Read the row."""
        self.reading = True
        return Look(wait_ms)

    def handle(self, event: ClaimEvent) -> ClaimCommand:
        """Take in how the last command ended and return the next."""
        match event:
            case Committed():
                return Grant(self.expected + 1)
            case Conflicted():
                return self.look()
            case Silent():
                return self.after_silence()
            case RowRead(row):
                return self.judge(decode(row.value), row.version) if row else self.insert(ABSENT)

    def after_silence(self) -> ClaimCommand:
        """Do the same again, or act as for a table that is down.

        A repeated insert is safe: where the first took effect, the second conflicts and the row
        shows this claim's nonce.
        """
        self.silences += 1
        if self.silences >= MOST_SILENCES:
            return self.table_down()
        return self.look() if self.reading else self.insert(self.expected)

    def table_down(self) -> Grant | Refuse:
        """Apply the service's policy; a key that is known to be another's is not run."""
        if self.met_another:
            return IN_PROGRESS
        if self.policy is KeyedPolicy.SERVE and not self.reading:
            return Grant(ABSENT)
        return self.refuse("table-down", "the claim table is down; this attempt did not run")

    def refuse(self, code: str, text: str) -> Refuse:
        """Refuse an attempt; only a first one proves that the key has not run."""
        verdict = Verdict.NOT_RUN if self.first else Verdict.MAY_HAVE_RUN
        return Refuse(503, code, text, verdict)

    def judge(self, found: Record, version: int) -> ClaimCommand:
        """Decide by what the row holds."""
        if found.nonce == self.claim.nonce and found.state is KeyState.CLAIMED:
            return Grant(version)
        if found.state is KeyState.RELEASED:
            return self.insert(version)
        self.met_another = True
        if found.fingerprint != self.claim.fingerprint:
            return REUSED
        if found.outcome is None:
            return self.wait()
        return Replay(found.outcome) if found.outcome.body is not None else NOT_KEPT

    def wait(self) -> Look | Refuse:
        """Look again a few times while another holds the key."""
        if self.looks == len(WAITS_MS):
            return IN_PROGRESS
        self.looks += 1
        return self.look(WAITS_MS[self.looks - 1])


def ended(claim: Record, verdict: Verdict, outcome: Outcome | None) -> Record | None:
    """Return what the row should hold after the request ended, or None where it stays.

    A claim whose request may have run stays for good: nobody can prove that running it again is
    harmless.
    """
    match verdict:
        case Verdict.NOT_RUN:
            return replace(claim, state=KeyState.RELEASED)
        case Verdict.RAN:
            return replace(claim, state=KeyState.DONE, outcome=outcome)
        case Verdict.MAY_HAVE_RUN:
            return None
