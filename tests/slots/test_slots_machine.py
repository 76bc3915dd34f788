"""One keeper and three entries under reordered, late, duplicated and lost messages."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome
from cactusvane.slots.entry import EntrySlots
from cactusvane.slots.keeper import SlotKeeper
from cactusvane.slots.messages import (
    Arrived,
    CreditRequest,
    CreditRequestReceived,
    CreditResponse,
    Dispatch,
    Ended,
    EntryCommand,
    EntryDisconnected,
    EntryEvent,
    FleetSizeChanged,
    KeeperChanged,
    Reject,
    TargetsInUse,
    Ticked,
    Withdrawn,
)

SLOTS = 2
ENTRIES = 3
DOMAINS = ("Gobabis", "Witvlei")
TARGETS = tuple(Vm(f"t{n}", Address("10.0.0.1", n + 1), DOMAINS[n % 2]) for n in range(3))
ENTRY_NUMBERS = st.integers(0, ENTRIES - 1)
DEADLINE_MS = 2_000.0
OUTCOMES = st.sampled_from([Outcome.SERVED, Outcome.SHED, Outcome.FAILED, Outcome.CANCELLED])


class SlotSharingMachine(RuleBasedStateMachine):
    """Each request is decided once, outstanding credits never exceed slots, no request hangs.

    Seen to catch: `EntrySlots.retry` that also appends the request to the end of the queue
    (dispatched twice), `SlotKeeper.return_credit` without its check that the credit is outstanding
    (a duplicated return frees a slot twice), and `EntrySlots.check_keeper_timeout` that does
    nothing (a request waits for a dead keeper until it is rejected at its deadline).
    """

    @initialize()
    def start(self) -> None:
        self.now = 0.0
        self.keeper = SlotKeeper(SLOTS)
        self.keeper.handle(TargetsInUse(TARGETS), 0.0)
        self.entries = [EntrySlots(DOMAINS[n % 2], SLOTS, Random(n)) for n in range(ENTRIES)]
        self.requests: list[tuple[int, CreditRequest]] = []
        self.responses: list[tuple[int, CreditResponse]] = []
        self.waiting: dict[int, int] = {}
        self.running: dict[int, tuple[int, Address]] = {}
        self.lossy = False
        self.next_request = 0
        for number in range(ENTRIES):
            self.handle_entry_event(number, TargetsInUse(TARGETS))
            self.handle_entry_event(number, FleetSizeChanged(ENTRIES))
            self.handle_entry_event(number, KeeperChanged(True))

    def handle_entry_event(self, number: int, event: EntryEvent) -> None:
        for command in self.entries[number].handle(event, self.now):
            self.execute(number, command)

    def execute(self, number: int, command: EntryCommand) -> None:
        match command:
            case Dispatch(request, target):
                assert self.waiting.pop(request) == number
                self.running[request] = (number, target)
            case Reject(request):
                assert self.waiting.pop(request) == number
            case CreditRequest():
                self.requests.append((number, command))

    def handle_keeper_event(self, event: object) -> None:
        for grant in self.keeper.handle(event, self.now):  # type: ignore[arg-type]
            self.responses.append((int(grant.entry), grant.response))

    @rule(number=ENTRY_NUMBERS, busy=st.booleans())
    def arrive(self, number: int, busy: bool) -> None:
        self.next_request += 1
        self.waiting[self.next_request] = number
        self.entries[number].shed_share = 1.0 if busy else 0.0
        self.handle_entry_event(number, Arrived(self.next_request, self.now + DEADLINE_MS))

    @rule(index=st.integers(0, 20), outcome=OUTCOMES)
    def end(self, index: int, outcome: Outcome) -> None:
        if not self.running:
            return
        request = sorted(self.running)[index % len(self.running)]
        number, _ = self.running.pop(request)
        if outcome is Outcome.SHED:
            self.waiting[request] = number
        self.handle_entry_event(number, Ended(request, outcome, 20.0))

    @rule(index=st.integers(0, 20))
    def withdraw(self, index: int) -> None:
        if self.waiting:
            request = sorted(self.waiting)[index % len(self.waiting)]
            self.handle_entry_event(self.waiting.pop(request), Withdrawn(request))

    @rule(index=st.integers(0, 20), duplicate=st.booleans())
    def deliver_request(self, index: int, duplicate: bool) -> None:
        if self.requests:
            number, request = self.requests.pop(index % len(self.requests))
            for _ in range(1 + duplicate):
                self.handle_keeper_event(
                    CreditRequestReceived(str(number), DOMAINS[number % 2], request)
                )

    @rule(index=st.integers(0, 20))
    def deliver_response(self, index: int) -> None:
        if self.responses:
            number, response = self.responses.pop(index % len(self.responses))
            self.handle_entry_event(number, response)

    @rule()
    def lose_all(self) -> None:
        self.requests.clear()
        self.responses.clear()

    @rule(ms=st.sampled_from([1, 10, 60, 400]))
    def wait(self, ms: int) -> None:
        self.now += ms
        self.handle_keeper_event(Ticked())
        for number in range(ENTRIES):
            self.handle_entry_event(number, Ticked())

    @rule(number=ENTRY_NUMBERS)
    def reconnect(self, number: int) -> None:
        self.handle_keeper_event(EntryDisconnected(str(number)))
        self.handle_entry_event(number, KeeperChanged(False))
        self.handle_entry_event(number, KeeperChanged(True))

    @rule(count=st.integers(0, 3))
    def change_targets(self, count: int) -> None:
        self.handle_keeper_event(TargetsInUse(TARGETS[:count]))

    @invariant()
    def credits_stay_within_slots(self) -> None:
        if not hasattr(self, "keeper"):
            return
        outstanding: dict[Address, int] = {}
        for credit in self.keeper.outstanding_credits.values():
            outstanding[credit.target] = outstanding.get(credit.target, 0) + 1
        assert all(count <= SLOTS for count in outstanding.values())
        for address, limit in self.keeper.limits.items():
            assert limit.outstanding == outstanding.get(address, 0)
            assert 1.0 <= limit.slots <= SLOTS
            assert limit.uncredited >= 0
        for entry in self.entries:
            assert entry.uncredited >= 0
            assert all(count >= 0 for count in entry.in_flight.values())

    def teardown(self) -> None:
        if not hasattr(self, "keeper"):
            return
        self.requests.clear()
        self.responses.clear()
        for request, (number, _) in sorted(self.running.items()):
            del self.running[request]
            self.handle_entry_event(number, Ended(request, Outcome.SERVED, 20.0))
        started = self.now
        while self.waiting and self.now < started + DEADLINE_MS / 4:
            self.now += 5.0
            for request, (number, _) in sorted(self.running.items()):
                del self.running[request]
                self.handle_entry_event(number, Ended(request, Outcome.SERVED, 5.0))
            for number in range(ENTRIES):
                self.handle_entry_event(number, Ticked())
        assert not self.waiting


TestSlotSharing = SlotSharingMachine.TestCase
TestSlotSharing.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
