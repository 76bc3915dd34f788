from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cactusvane.configuration.digest import digest
from cactusvane.configuration.model import Head
from cactusvane.configuration.versions import (
    Activate,
    Fetch,
    HeadOffered,
    HeadRead,
    ObjectRead,
    Reject,
    VersionSelector,
)

DOMAINS = ("Estrie", "Montérégie", "Beauce")
VMS = st.integers(0, 2)


def stored(version: int) -> bytes:
    return f"configuration {version}".encode()


def head(version: int) -> Head:
    return Head(version, digest(stored(version)), f"publish-{version}")


class Fleet(RuleBasedStateMachine):
    """VMs that read heads, get offers, fetch and restart, with stale peers and false objects."""

    def __init__(self) -> None:
        super().__init__()
        self.accepted = 1
        self.vms = [VersionSelector() for _ in range(3)]
        self.seen = [0] * 3
        self.wanted: list[list[Head]] = [[] for _ in range(3)]

    def handle_event(self, vm: int, event: HeadRead | HeadOffered | ObjectRead) -> None:
        for command in self.vms[vm].handle(event):
            match command:
                case Fetch(wanted):
                    assert wanted.version > self.vms[vm].version
                    self.wanted[vm].append(wanted)
                case Activate(activated, data):
                    assert data == stored(activated.version)
                    assert activated.version > self.seen[vm]
                    self.seen[vm] = activated.version
                case Reject():
                    pass

    @rule()
    def publish(self) -> None:
        self.accepted += 1

    @rule(vm=VMS, age=st.integers(0, 3))
    def read_head(self, vm: int, age: int) -> None:
        self.handle_event(vm, HeadRead(head(max(1, self.accepted - age))))

    @rule(vm=VMS, peer=VMS)
    def receive_offer(self, vm: int, peer: int) -> None:
        offered = self.vms[peer].head
        if offered:
            self.handle_event(vm, HeadOffered(offered, DOMAINS[peer % 3]))

    @precondition(lambda self: any(self.wanted))
    @rule(
        index=st.integers(0, 5), kind=st.sampled_from(["right", "right", "right", "false", "none"])
    )
    def end_fetch(self, index: int, kind: str) -> None:
        fetching = [(vm, wanted) for vm in range(3) for wanted in self.wanted[vm]]
        vm, wanted = fetching[index % len(fetching)]
        self.wanted[vm].remove(wanted)
        data = {"right": stored(wanted.version), "false": b"x", "none": None}[kind]
        self.handle_event(vm, ObjectRead(wanted, data))

    @rule(vm=VMS, really=st.integers(0, 4))
    def restart(self, vm: int, really: int) -> None:
        if really:
            return
        self.vms[vm] = VersionSelector()
        self.seen[vm] = 0
        self.wanted[vm] = []

    @invariant()
    def active_version_is_the_activated_one(self) -> None:
        for vm, versions in enumerate(self.vms):
            assert versions.version == self.seen[vm]
            assert versions.version <= self.accepted


TestFleet = Fleet.TestCase
TestFleet.settings = settings(derandomize=True, deadline=None, stateful_step_count=60)


def test_offers_of_one_failure_domain_do_not_decide_the_first_version():
    versions = VersionSelector()
    assert versions.handle(HeadOffered(head(3), "Estrie")) == ()
    assert versions.handle(HeadOffered(head(3), "Estrie")) == ()
    assert versions.handle(HeadOffered(head(5), "Beauce")) == (Fetch(head(5)),)


def test_failed_fetch_is_retried_at_the_next_read():
    versions = VersionSelector()
    versions.handle(HeadRead(head(2)))
    assert versions.handle(HeadRead(head(2))) == ()
    versions.handle(ObjectRead(head(2), None))
    assert versions.handle(HeadRead(head(2))) == (Fetch(head(2)),)


def test_another_digest_for_the_active_version_is_reported():
    versions = VersionSelector()
    versions.handle(HeadRead(head(2)))
    versions.handle(ObjectRead(head(2), stored(2)))
    (command,) = versions.handle(HeadRead(Head(2, "other", "p")))
    assert isinstance(command, Reject)
