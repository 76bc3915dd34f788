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
DELIVERIES = st.sampled_from(["answered", "answered", "answered", "lost", "dropped", "late"])
MAX_CONCURRENT = 3
RESPONSE = StoredResponse(201, (), b"booked")


@dataclass
class KeyedRequest:
    """One caller's request at one VM."""

    key: str
    acquisition: ClaimAcquisition
    command: ClaimCommand
    lease_expires_at: float
    sent: bool = False
    finished: bool = False

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
    """Keys repeated at several VMs, with paused claim holders and lost or delayed responses."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store = Store()
        self.late: list[Write] = []
        self.requests: list[KeyedRequest] = []
        self.seen: set[str] = set()
        self.runs: Counter[str] = Counter()
        self.puts: list[tuple[str, ClaimRecord, ClaimRecord]] = []

    def acquiring(self) -> list[KeyedRequest]:
        return [each for each in self.requests if isinstance(each.command, WriteClaim | ReadRow)]

    def granted(self) -> list[KeyedRequest]:
        return [
            each
            for each in self.requests
            if isinstance(each.command, Grant) and not each.sent and not each.finished
        ]

    def running(self) -> list[KeyedRequest]:
        return [each for each in self.requests if each.sent and not each.finished]

    @rule(key=KEYS, states_first_attempt=st.booleans())
    def arrive(self, key: str, states_first_attempt: bool) -> None:
        if len(self.acquiring()) >= MAX_CONCURRENT:
            return
        claim = ClaimRecord(KeyState.CLAIMED, f"nonce-{len(self.requests)}", f"print-{key}")
        first_attempt = states_first_attempt and key not in self.seen
        acquisition = ClaimAcquisition(claim, KeyedPolicy.REFUSE, first_attempt)
        self.seen.add(key)
        lease_expires_at = self.now + LEASE_MS
        self.requests.append(KeyedRequest(key, acquisition, acquisition.start(), lease_expires_at))

    def exchange(self, key: str, command: WriteClaim | ReadRow, delivery: str) -> ClaimEvent:
        if isinstance(command, ReadRow):
            return RowRead(self.store.read(TABLE, key)) if delivery == "answered" else NoResponse()
        write = Write(TABLE, key, command.value, command.expected)
        if delivery == "late":
            self.late.append(write)
        if delivery in ("late", "dropped"):
            return NoResponse()
        conflict = self.store.commit((write,))
        if delivery == "lost":
            return NoResponse()
        return Conflicted() if conflict else Committed()

    @precondition(lambda self: self.acquiring())
    @rule(index=INDEX, delivery=DELIVERIES)
    def step(self, index: int, delivery: str) -> None:
        request = pick(self.acquiring(), index)
        assert isinstance(request.command, WriteClaim | ReadRow)
        event = self.exchange(request.key, request.command, delivery)
        request.command = request.acquisition.handle(event)
        if isinstance(request.command, RejectClaim):
            self.check_verdict(request, request.command.verdict)
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
        request.finished = True
        self.check_verdict(request, granted.reported_verdict(Verdict.NOT_RUN))
        self.put(request, Verdict.NOT_RUN)

    @precondition(lambda self: self.running())
    @rule(index=INDEX, got_response=st.booleans())
    def end_request(self, index: int, got_response: bool) -> None:
        request = pick(self.running(), index)
        request.finished = True
        self.put(request, Verdict.RAN if got_response else Verdict.MAY_HAVE_RUN)

    def put(self, request: KeyedRequest, verdict: Verdict) -> None:
        claim = request.acquisition.claim
        record = final_record(claim, verdict, RESPONSE)
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

    def check_verdict(self, request: KeyedRequest, verdict: Verdict) -> None:
        """Check a verdict.

        A caller that stated a first attempt and sent a repeat since does not receive it.
        """
        sent_repeat = request.acquisition.first_attempt and any(
            each.key == request.key for each in self.requests[self.requests.index(request) + 1 :]
        )
        if verdict is Verdict.NOT_RUN and not sent_repeat:
            assert self.runs[request.key] == 0

    @invariant()
    def no_key_runs_twice(self) -> None:
        assert all(times <= 1 for times in self.runs.values())


TestRepeats = Repeats.TestCase
TestRepeats.settings = settings(derandomize=True, deadline=None, stateful_step_count=60)
