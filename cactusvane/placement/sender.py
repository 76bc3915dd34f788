"""I/O around `Relaying`: datagrams and one timer."""

import asyncio
from collections.abc import Callable, Iterable
from math import inf

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.placement.domain import Domain
from cactusvane.placement.endpoint import UpdateEndpoint
from cactusvane.placement.messages import (
    FreshnessAnswer,
    FreshnessQuery,
    Message,
    RelayedUpdate,
    StoreStatus,
)
from cactusvane.placement.relaying import Relaying

MIN_DELAY_MS = 1.0
"""Minimum time between two steps; timers may fire slightly early."""

OnFreshness = Callable[[FreshnessQuery | FreshnessAnswer, Address], None]


class UpdateSender:
    """Sends state updates to the entries of the failure domain, and receives theirs.

    Parameters
    ----------
    domain
        The state that the entries share.
    own_address
        Address at which this entry receives updates.
    store_status
        Returns how the platform's tables respond to this entry.
    on_updates
        Called with the new updates of each message that contains any.
    clock
        Monotonic clock of the process.

    Attributes
    ----------
    on_freshness
        Called with each query for the age of a proof and each answer, and where it came from.
    """

    def __init__(
        self,
        domain: Domain,
        own_address: Address,
        store_status: Callable[[], StoreStatus],
        on_updates: Callable[[list[RelayedUpdate]], None],
        clock: Clock,
    ) -> None:
        self.own_address = own_address
        self.on_updates = on_updates
        self.clock = clock
        self.relaying = Relaying(domain, own_address, store_status, clock.now())
        self.endpoint = UpdateEndpoint(self.receive)
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = inf
        self.closed = False
        self.on_freshness: OnFreshness = lambda message, address: None

    async def start(self) -> None:
        """Receive messages and send the first update."""
        await self.endpoint.start(self.own_address)
        self.schedule_timer()

    def schedule_update(self, urgent: bool) -> None:
        """Send an update soon, sooner if it is urgent."""
        self.relaying.schedule_update(urgent, self.clock.now())
        self.schedule_timer()

    def introduce(self, address: Address) -> None:
        """Send an entry the address and state of this one."""
        self.relaying.introduce(address)
        self.schedule_update(True)

    def send(self, message: Message, to: Iterable[Address]) -> None:
        """Send a message to the entries at some addresses."""
        self.endpoint.send(message, to)

    def receive(self, message: Message, address: Address) -> None:
        """Process a message."""
        if isinstance(message, FreshnessQuery | FreshnessAnswer):
            self.on_freshness(message, address)
            return
        updates = self.relaying.receive(message, address, self.clock.now())
        self.schedule_timer()
        if updates:
            self.on_updates(updates)

    def schedule_timer(self) -> None:
        """Set the timer for the next step, unless it fires earlier already."""
        step_at = self.relaying.next_step_at(self.clock.now())
        if self.closed or self.endpoint.transport is None or step_at >= self.timer_at:
            return
        if self.timer is not None:
            self.timer.cancel()
        delay_ms = max(MIN_DELAY_MS, step_at - self.clock.now())
        self.timer_at = step_at
        self.timer = asyncio.get_running_loop().call_later(delay_ms / MS_PER_SECOND, self.step)

    def step(self) -> None:
        """Send all pending messages."""
        self.timer = None
        self.timer_at = inf
        before = self.relaying.relay
        last_seen_at = self.relaying.relay_last_seen_at()
        for outgoing in self.relaying.step(self.clock.now()):
            self.endpoint.send(outgoing.message, outgoing.to)
        if self.relaying.relay != before:
            self.log_relay_change(before, last_seen_at)
        self.schedule_timer()

    def log_relay_change(self, before: str, last_seen_at: float) -> None:
        """Log that another entry is the relay now."""
        events.write(
            Event.RELAY_CHANGED,
            relay=self.relaying.relay,
            before=before,
            heard_ago_ms=round(self.clock.now() - last_seen_at, 1),
            entries=len(self.relaying.domain.live_peers(self.clock.now())) + 1,
        )

    def close(self) -> None:
        """Stop the timer and close the endpoint."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.endpoint.close()
