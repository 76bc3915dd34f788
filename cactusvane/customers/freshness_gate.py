"""Rejects requests with a key while the configuration may be outdated."""

from collections.abc import Callable

from cactusvane import events
from cactusvane.clock import Clock
from cactusvane.customers.freshness import Lease
from cactusvane.errors import RequestError
from cactusvane.events import Event
from cactusvane.verdict import Verdict

RETRY_AFTER_MS = 500.0
"""Delay after which callers may retry; the lease is regained within a round trip."""

STORE_SOURCE = "platform"
"""Name of the store as the source of a proof, in log lines."""


class FreshnessGate:
    """Decides whether a request may be accepted by what the configuration says of its key.

    Parameters
    ----------
    lease
        What is known of the currency of the configuration.
    clock
        Clock of the process.

    Attributes
    ----------
    active
        Whether the configuration has customers; without any, all requests pass.
    on_missing
        Called when a request finds no lease.
    """

    def __init__(self, lease: Lease, clock: Clock) -> None:
        self.lease = lease
        self.clock = clock
        self.active = False
        self.on_missing: Callable[[], None] = lambda: None
        self.held = False

    @property
    def is_current(self) -> bool:
        """Whether requests with a key are accepted now."""
        return not self.active or self.lease.holds(self.clock.boot())

    @property
    def may_reject_key(self) -> bool:
        """Whether an unknown key may be rejected for good; otherwise it may be a new one."""
        return not self.active or self.lease.is_recent(self.clock.boot())

    def check_current(self) -> None:
        """Check that a request that was completely read may be accepted.

        It has to be called after the request was read and before its key is looked up; the clock is
        read here.

        Raises
        ------
        RequestError
            The configuration may be outdated; the request has not run.
        """
        if not self.is_current:
            self.log_change()
            raise self.rejection()

    def check_unknown_key(self) -> None:
        """Check that a key which the configuration lacks cannot have been added meanwhile.

        Raises
        ------
        RequestError
            The configuration may be outdated; the request has not run.
        """
        if not self.may_reject_key:
            raise self.rejection()

    def rejection(self) -> RequestError:
        """Return the error for a request that the configuration may be too old for."""
        self.on_missing()
        text = "this VM does not know whether its configuration is current"
        return RequestError(503, "configuration-not-current", text, Verdict.NOT_RUN, RETRY_AFTER_MS)

    def log_change(self) -> None:
        """Log that the lease was gained or lost since the last call."""
        held = self.active and self.is_current
        if held == self.held:
            return
        self.held = held
        if self.active:
            self.log(Event.LEASE_GAINED if held else Event.LEASE_LOST)

    def log(self, event: Event) -> None:
        """Log an event of the lease with the proof that it is based on."""
        proof, age_ms = self.lease.proof, self.lease.age_ms(self.clock.boot())
        position = self.lease.position
        events.write(
            event,
            age_ms=None if age_ms is None else round(age_ms, 1),
            source=None if proof is None else proof.source or STORE_SOURCE,
            version=None if position is None else position.version,
            era=None if position is None else position.era,
            proved_version=None if proof is None else proof.position.version,
            pending=len(self.lease.pending),
        )
