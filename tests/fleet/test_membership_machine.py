"""Stateful test of the membership of a small fleet under events in any order."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cactusvane.configuration.model import Head
from cactusvane.fleet.membership import fingerprint
from cactusvane.fleet.messages import (
    Envelope,
    HeadInForce,
    MessageReceived,
    Send,
    Status,
    VmListReceived,
)
from cactusvane.fleet.vm import Address
from tests.fleet.net import Net, make_vm

SIZE = 5
NUMBERS = st.integers(0, SIZE - 1)
HEAL_MS = 45_000.0


def peer(number: int) -> Address:
    return Address("127.0.0.1", 20_000 + number)


class Fleet(RuleBasedStateMachine):
    """Cuts, suspended VMs, VM lists and heads; after the faults all VMs agree that all are alive.

    Fails if `Membership.refute` lacks ``incarnation + 1`` (a suspended VM stays dead), and if
    `Membership.announce_head` does not check the version (a head is replaced by an older one).
    """

    @initialize()
    def start(self) -> None:
        self.net = Net(SIZE)
        self.versions = dict.fromkeys(range(SIZE), 0)
        self.seen: dict[tuple[int, str], tuple[int, int]] = {}
        self.old: list[tuple[int, Envelope]] = []

    @rule(ms=st.sampled_from([50, 300, 1_000, 4_000]))
    def wait(self, ms: int) -> None:
        self.net.run(float(ms))

    @rule(a=NUMBERS, b=NUMBERS)
    def cut_one_way(self, a: int, b: int) -> None:
        before = self.net.cut
        self.net.cut = lambda source, to: (source, to) == (peer(a), peer(b)) or before(source, to)

    @rule(number=NUMBERS)
    def freeze(self, number: int) -> None:
        self.net.frozen.add(peer(number))

    @rule(number=NUMBERS)
    def wake(self, number: int) -> None:
        self.net.frozen.discard(peer(number))

    @rule(number=NUMBERS, listed=st.sets(NUMBERS))
    def list_some(self, number: int, listed: set[int]) -> None:
        vms = tuple(make_vm(each) for each in sorted(listed))
        self.net.deliver(
            peer(number), self.net.nodes[peer(number)].handle(VmListReceived(vms), 0.0)
        )

    @rule(number=NUMBERS, version=st.integers(1, 9))
    def publish(self, number: int, version: int) -> None:
        event = HeadInForce(Head(version, f"d{version}", "p"))
        self.net.deliver(peer(number), self.net.nodes[peer(number)].handle(event, self.net.now))

    @rule(number=NUMBERS)
    def record(self, number: int) -> None:
        node = self.net.nodes[peer(number)]
        for command in node.sync():
            if isinstance(command, Send):
                self.old.append((command.to.port - 20_000, command.envelope))

    @rule(index=st.integers(0, 50))
    def replay(self, index: int) -> None:
        if self.old:
            number, envelope = self.old[index % len(self.old)]
            node = self.net.nodes[peer(number)]
            self.net.deliver(peer(number), node.handle(MessageReceived(envelope), self.net.now))

    @invariant()
    def versions_and_beliefs_never_go_back(self) -> None:
        if not hasattr(self, "net"):
            return
        for number in range(SIZE):
            node = self.net.nodes[peer(number)]
            version = node.head.version if node.head else 0
            assert version >= self.versions[number]
            self.versions[number] = version
            assert node.local.status is Status.ALIVE
            digest = 0
            for name, member in node.members.items():
                digest ^= fingerprint(member)
                belief = (member.incarnation, member.status.value)
                assert belief >= self.seen.get((number, name), (0, 0))
                self.seen[(number, name)] = belief
            assert digest == node.digest

    def teardown(self) -> None:
        if not hasattr(self, "net"):
            return
        self.net.frozen.clear()
        self.net.cut = lambda source, to: False
        for number in range(SIZE):
            everyone = tuple(make_vm(each) for each in range(SIZE))
            self.net.nodes[peer(number)].handle(VmListReceived(everyone), self.net.now)
        self.net.run(HEAL_MS)
        assert self.net.views() == {tuple(f"vm-{number}" for number in range(SIZE))}
        best = max(self.versions.values())
        heads = {node.head.version if node.head else 0 for node in self.net.nodes.values()}
        assert heads == {best}


TestFleet = Fleet.TestCase
TestFleet.settings = settings(
    derandomize=True, deadline=None, max_examples=30, stateful_step_count=25
)
