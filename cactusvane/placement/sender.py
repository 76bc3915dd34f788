"""The shell round `Relaying`: datagrams and one timer."""

import asyncio
from collections.abc import Callable
from math import inf

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.placement.domain import Domain
from cactusvane.placement.endpoint import UpdateEndpoint
from cactusvane.placement.messages import Message, RelayedUpdate, StoreStatus
from cactusvane.placement.relaying import Relaying

MIN_DELAY_MS = 1.0
"""Time between two looks at what is due; timers may fire a little early."""


class UpdateSender:
    """Tells the entries of the failure domain, and hears them.

    Parameters
    ----------
    domain
        What the entries share.
    own
        Where this entry takes notices.
    reading
        Returns how the platform answers this entry.
    heard
        Called with the news of each message that brings any.
    clock
        The process's clock.
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

    async def start(self) -> None:
        """Take notices and tell the first one."""
        await self.endpoint.start(self.own_address)
        self.schedule_timer()

    def schedule_update(self, urgent: bool) -> None:
        """Tell the other entries soon, or at once where the news is urgent."""
        self.relaying.schedule_update(urgent, self.clock.now())
        self.schedule_timer()

    def introduce(self, address: Address) -> None:
        """Tell an entry of this one."""
        self.relaying.introduce(address)
        self.schedule_update(True)

    def receive(self, message: Message, address: Address) -> None:
        """Take in a message."""
        updates = self.relaying.receive(message, address, self.clock.now())
        self.schedule_timer()
        if updates:
            self.on_updates(updates)

    def schedule_timer(self) -> None:
        """Wake when something is due, and not later than planned before."""
        step_at = self.relaying.next_step_at(self.clock.now())
        if self.closed or self.endpoint.transport is None or step_at >= self.timer_at:
            return
        if self.timer is not None:
            self.timer.cancel()
        delay_ms = max(MIN_DELAY_MS, step_at - self.clock.now())
        self.timer_at = step_at
        self.timer = asyncio.get_running_loop().call_later(delay_ms / MS_PER_SECOND, self.step)

    def step(self) -> None:
        """Send what is due."""
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
        """Log that another entry passes on notices."""
        events.write(
            Event.RELAY_CHANGED,
            relay=self.relaying.relay,
            before=before,
            heard_ago_ms=round(self.clock.now() - last_seen_at, 1),
            entries=len(self.relaying.domain.live_peers(self.clock.now())) + 1,
        )

    def close(self) -> None:
        """Stop."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.endpoint.close()
