from collections import Counter
from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cactusvane.claims.acquisition import (
    ClaimAcquisition,
    ClaimCommand,
    ClaimEvent,
    Committed,
    Conflicted,
    Grant,
    NoResponse,
    ReadRow,
    RejectClaim,
    Replay,
    RowRead,
    WriteClaim,
    final_record,
)
from cactusvane.claims.claims import GrantedClaim, may_replace
from cactusvane.claims.record import TABLE, ClaimRecord, KeyState, StoredResponse, encode
from cactusvane.configuration.model import KeyedPolicy
from cactusvane.store.interface import Write
from cactusvane.verdict import Verdict
from standins.store import Store

LEASE_MS = 1_000.0
KEYS = st.sampled_from(["k", "l"])
INDEX = st.integers(0, 3)
FATES = st.sampled_from(["answered", "answered", "answered", "lost", "dropped", "late"])
MOST_AT_ONCE = 3
ANSWER = StoredResponse(201, (), b"booked")


@dataclass
class KeyedRequest:
    """One caller's request at one VM."""

    key: str
    acquisition: ClaimAcquisition
    command: ClaimCommand
    lease_expires_at: float
    sent: bool = False
    over: bool = False

    def granted(self) -> GrantedClaim:
        assert isinstance(self.command, Grant)
        version = self.command.version
        return GrantedClaim(
            self.key,
            self.acquisition.claim,
            version,
            self.lease_expires_at,
            self.acquisition.first_attempt,
        )


def pick(requests: list[KeyedRequest], index: int) -> KeyedRequest:
    return requests[index % len(requests)]


class Repeats(RuleBasedStateMachine):
    """Repeats of keys at many VMs, with holders that pause and answers that get lost or late."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.late: list[Write] = []
        self.requests: list[KeyedRequest] = []
        self.seen: set[str] = set()
        self.runs: Counter[str] = Counter()
        self.puts: list[tuple[str, ClaimRecord, ClaimRecord]] = []

    def asking(self) -> list[KeyedRequest]:
        return [each for each in self.requests if isinstance(each.command, WriteClaim | ReadRow)]

    def granted(self) -> list[KeyedRequest]:
        return [
            each
            for each in self.requests
            if isinstance(each.command, Grant) and not each.sent and not each.over
        ]

    def running(self) -> list[KeyedRequest]:
        return [each for each in self.requests if each.sent and not each.over]

    @rule(key=KEYS, states_first=st.booleans())
    def arrive(self, key: str, states_first: bool) -> None:
        if len(self.asking()) >= MOST_AT_ONCE:
            return
        claim = ClaimRecord(KeyState.CLAIMED, f"nonce-{len(self.requests)}", f"print-{key}")
        first_attempt = states_first and key not in self.seen
        acquisition = ClaimAcquisition(claim, KeyedPolicy.REFUSE, first_attempt)
        self.seen.add(key)
        lease_expires_at = self.now + LEASE_MS
        self.requests.append(KeyedRequest(key, acquisition, acquisition.start(), lease_expires_at))

    def exchange(self, key: str, command: WriteClaim | ReadRow, fate: str) -> ClaimEvent:
        if isinstance(command, ReadRow):
            return RowRead(self.store.read(TABLE, key)) if fate == "answered" else NoResponse()
        write = Write(TABLE, key, command.value, command.expected)
        if fate == "late":
            self.late.append(write)
        if fate in ("late", "dropped"):
            return NoResponse()
        conflict = self.store.commit((write,))
        if fate == "lost":
            return NoResponse()
        return Conflicted() if conflict else Committed()

    @precondition(lambda self: self.asking())
    @rule(index=INDEX, fate=FATES)
    def step(self, index: int, fate: str) -> None:
        request = pick(self.asking(), index)
        assert isinstance(request.command, WriteClaim | ReadRow)
        event = self.exchange(request.key, request.command, fate)
        request.command = request.acquisition.handle(event)
        if isinstance(request.command, RejectClaim):
            self.tell(request, request.command.verdict)
        if isinstance(request.command, Replay):
            assert self.runs[request.key] == 1

    @precondition(lambda self: self.late)
    @rule()
    def land_late_write(self) -> None:
        self.store.commit((self.late.pop(0),))

    @rule(ms=st.sampled_from([1.0, 600.0, 100_000.0]))
    def pause(self, ms: float) -> None:
        self.now += ms

    @precondition(lambda self: self.granted())
    @rule(index=INDEX, runs=st.booleans())
    def send(self, index: int, runs: bool) -> None:
        request = pick(self.granted(), index)
        granted = request.granted()
        if granted.may_send(self.now) and runs:
            request.sent = True
            self.runs[request.key] += 1
            return
        request.over = True
        self.tell(request, granted.reported_verdict(Verdict.NOT_RUN))
        self.put(request, Verdict.NOT_RUN)

    @precondition(lambda self: self.running())
    @rule(index=INDEX, answered=st.booleans())
    def answer(self, index: int, answered: bool) -> None:
        request = pick(self.running(), index)
        request.over = True
        self.put(request, Verdict.RAN if answered else Verdict.MAY_HAVE_RUN)

    def put(self, request: KeyedRequest, verdict: Verdict) -> None:
        claim = request.acquisition.claim
        record = final_record(claim, verdict, ANSWER)
        if record:
            self.puts.append((request.key, claim, record))
            self.put_again(len(self.puts) - 1)

    @precondition(lambda self: self.puts)
    @rule(index=st.integers(0, 20))
    def put_again(self, index: int) -> None:
        key, claim, record = self.puts[index % len(self.puts)]
        row = self.store.read(TABLE, key)
        if may_replace(row, claim, record):
            version = row.version if row else 0
            self.store.commit((Write(TABLE, key, encode(record), version),))

    def tell(self, request: KeyedRequest, verdict: Verdict) -> None:
        """Check a verdict; who states "first" waits for it, or else hears none."""
        gave_up = request.acquisition.first_attempt and any(
            each.key == request.key for each in self.requests[self.requests.index(request) + 1 :]
        )
        if verdict is Verdict.NOT_RUN and not gave_up:
            assert self.runs[request.key] == 0

    @invariant()
    def no_key_runs_twice(self) -> None:
        assert all(times <= 1 for times in self.runs.values())


TestRepeats = Repeats.TestCase
TestRepeats.settings = settings(derandomize=True, deadline=None, stateful_step_count=60)
