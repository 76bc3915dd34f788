"""Baseline ejection rules: no ejection, and consecutive errors counted by each entry alone."""

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
    """Chooses targets by load only and never ejects any."""

    def handle(self, event: PoolEvent, now: float) -> tuple[PoolCommand, ...]:
        """Count requests in flight; record no evidence of failures."""
        if isinstance(event, AttemptEnded):
            state = self.targets.get(event.target)
            if state is not None:
                state.end(now - event.latency_ms)
            return ()
        return () if isinstance(event, Ticked) else super().handle(event, now)


class ConsecutiveErrors(NoEjection):
    """Ejects a target for `EJECTION_MS` after `CONSECUTIVE_ERRORS`, with the same floor."""

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
        """Count consecutive errors and restore targets whose ejection time is over."""
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
        """Eject the target after the last of the consecutive errors, if the floor allows it."""
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
        """Recompute which targets are ejected and which are in use."""
        self.ejected = frozenset(self.ejected_until)
        states = self.targets.values()
        self.in_use = tuple(state for state in states if state.vm.address not in self.ejected)
