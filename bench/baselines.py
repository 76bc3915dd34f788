"""Rules to compare the product's with: no ejection, and consecutive errors per entry."""

from random import Random

from cactusvane.configuration.model import Service
from cactusvane.fleet.vm import Address
from cactusvane.outcome import Outcome
from cactusvane.pool.messages import AttemptEnded, Ejected, PoolCommand, PoolEvent, Ticked
from cactusvane.pool.pool import FAILURE_OUTCOMES, Pool
from cactusvane.pool.settings import PoolSettings

CONSECUTIVE_ERRORS = 5
EJECTION_MS = 30_000.0


class NoEjection(Pool):
    """Chooses by load alone."""

    def handle(self, event: PoolEvent, now: float) -> tuple[PoolCommand, ...]:
        """Count requests in flight and learn nothing."""
        if isinstance(event, AttemptEnded):
            state = self.targets.get(event.target)
            if state is not None:
                state.end(now - event.latency_ms)
            return ()
        return () if isinstance(event, Ticked) else super().handle(event, now)


class ConsecutiveErrors(NoEjection):
    """Ejects after errors in a row, for a fixed time, within the same floor."""

    def __init__(
        self,
        service: Service,
        failure_domain: str,
        random: Random,
        settings: PoolSettings | None = None,
    ) -> None:
        super().__init__(service, failure_domain, random, settings)
        self.consecutive_errors: dict[Address, int] = {}
        self.ejected_until: dict[Address, float] = {}

    def handle(self, event: PoolEvent, now: float) -> tuple[PoolCommand, ...]:
        """Count errors in a row."""
        commands = super().handle(event, now)
        match event:
            case AttemptEnded(target, outcome, _):
                return self.count_errors(target, outcome, now)
            case Ticked():
                for target in [t for t, until in self.ejected_until.items() if now >= until]:
                    del self.ejected_until[target]
                    self.refresh_in_use()
        return commands

    def count_errors(
        self, target: Address, outcome: Outcome, now: float
    ) -> tuple[PoolCommand, ...]:
        """Eject after the last error in a row, if the floor allows."""
        if outcome not in FAILURE_OUTCOMES:
            self.consecutive_errors[target] = 0
            return ()
        self.consecutive_errors[target] = self.consecutive_errors.get(target, 0) + 1
        spare = len(self.targets) - self.service.floor
        if self.consecutive_errors[target] < CONSECUTIVE_ERRORS or len(self.ejected_until) >= spare:
            return ()
        self.consecutive_errors[target] = 0
        self.ejected_until[target] = now + EJECTION_MS
        self.refresh_in_use()
        return (Ejected(target, "errors in a row"),)

    def refresh_in_use(self) -> None:
        """Work out anew which targets are in use."""
        self.ejected = frozenset(self.ejected_until)
        states = self.targets.values()
        self.in_use = tuple(state for state in states if state.vm.address not in self.ejected)
