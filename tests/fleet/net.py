"""A simulated network of `Membership` instances with a manual clock."""

from collections.abc import Callable
from random import Random

from cactusvane.fleet.membership import Membership
from cactusvane.fleet.messages import (
    FleetCommand,
    HeadInForce,
    MessageReceived,
    NewerHeadSeen,
    Send,
    Ticked,
    VmListReceived,
)
from cactusvane.fleet.vm import Address, Vm

DOMAINS = ("Gobabis", "Witvlei", "Leonardville")
STEP_MS = 50.0


def make_vm(number: int) -> Vm:
    peer = Address("127.0.0.1", 20_000 + number)
    return Vm(f"vm-{number}", Address("127.0.0.1", number), DOMAINS[number % 3], peer=peer)


class Net:
    def __init__(self, size: int, seed: int = 1) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.nodes: dict[Address, Membership] = {}
        self.frozen: set[Address] = set()
        self.sent = 0
        self.cut: Callable[[Address, Address], bool] = lambda source, to: False
        vms = tuple(make_vm(number) for number in range(size))
        for vm in vms:
            self.add(vm).handle(VmListReceived(vms), self.now)

    def add(self, vm: Vm) -> Membership:
        assert vm.peer is not None
        self.nodes[vm.peer] = Membership(vm, Random(self.random.random()))
        return self.nodes[vm.peer]

    def deliver(self, source: Address, commands: tuple[FleetCommand, ...]) -> None:
        queue = [(source, command) for command in commands]
        while queue:
            origin, command = queue.pop(0)
            if isinstance(command, NewerHeadSeen):
                responses = self.nodes[origin].handle(HeadInForce(command.head), self.now)
                queue.extend((origin, each) for each in responses)
            if not isinstance(command, Send) or self.cut(origin, command.to):
                continue
            self.sent += 1
            node = self.nodes.get(command.to)
            if node is not None and command.to not in self.frozen:
                responses = node.handle(MessageReceived(command.envelope), self.now)
                queue.extend((command.to, each) for each in responses)

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.now < until:
            self.now += STEP_MS
            for peer, node in list(self.nodes.items()):
                if peer not in self.frozen:
                    self.deliver(peer, node.handle(Ticked(), self.now))

    def views(self) -> set[tuple[str, ...]]:
        nodes = (node for peer, node in self.nodes.items() if peer not in self.frozen)
        return {tuple(vm.name for vm in node.live()) for node in nodes}
