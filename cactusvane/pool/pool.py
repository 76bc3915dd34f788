"""The targets of one service, as one entry sees them; no sockets and no wall clock."""

from random import Random

from cactusvane.configuration.model import Service
from cactusvane.fleet.vm import Address, Vm, VmState
from cactusvane.pool.messages import (
    AttemptEnded,
    AttemptStarted,
    CloseIdle,
    LeavingNoticed,
    Outcome,
    PoolCommand,
    PoolEvent,
    TargetsListed,
    Ticked,
)


class Pool:
    """Chooses targets for requests and learns from how the attempts end.

    Parameters
    ----------
    service
        The operators' file in force.
    failure_domain
        Where this VM stands.
    random
        Source of all random choices.
    """

    def __init__(self, service: Service, failure_domain: str, random: Random) -> None:
        self.service = service
        self.failure_domain = failure_domain
        self.random = random
        self.targets: dict[Address, Vm] = {}
        self.leaving: set[Address] = set()
        self.in_flight: dict[Address, int] = {}

    def handle(self, event: PoolEvent, now: float) -> tuple[PoolCommand, ...]:
        """Take in one event.

        Parameters
        ----------
        event
            What happened.
        now
            Milliseconds of the process's clock.

        Returns
        -------
        tuple of PoolCommand
            What the caller has to do, in order.
        """
        match event:
            case TargetsListed(targets):
                self.targets = {vm.address: vm for vm in targets}
            case AttemptStarted(target):
                self.in_flight[target] = self.in_flight.get(target, 0) + 1
            case AttemptEnded(target, outcome, _):
                self.in_flight[target] = self.in_flight.get(target, 0) - 1
                if outcome is Outcome.DRAINING:
                    self.leaving.add(target)
            case LeavingNoticed(target, _):
                self.leaving.add(target)
                return (CloseIdle(target),)
            case Ticked():
                pass
        return ()

    def choose(self, now: float, exclude: frozenset[Address] = frozenset()) -> Vm | None:
        """Choose a target for one attempt by power of two choices.

        Parameters
        ----------
        now
            Milliseconds of the process's clock.
        exclude
            Targets that this request has tried already.

        Returns
        -------
        Vm or None
            None where no target may take new work.
        """
        candidates = [
            vm
            for vm in self.targets.values()
            if vm.state is VmState.LIVE
            and vm.address not in self.leaving
            and vm.address not in exclude
        ]
        if not candidates:
            return None
        pair = self.random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda vm: self.in_flight.get(vm.address, 0))
