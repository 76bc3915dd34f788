"""The shell round `Relaying`: datagrams and one timer."""

import asyncio
from collections.abc import Callable
from math import inf

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.placement.domain import Domain
from cactusvane.placement.endpoint import NoticeEndpoint
from cactusvane.placement.messages import Message, Passed, Reading
from cactusvane.placement.relaying import Relaying

LEAST_PAUSE_MS = 1.0
"""Time between two looks at what is due; timers may fire a little early."""


class Announcer:
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
        own: Address,
        reading: Callable[[], Reading],
        heard: Callable[[list[Passed]], None],
        clock: Clock,
    ) -> None:
        self.own = own
        self.heard = heard
        self.clock = clock
        self.relaying = Relaying(domain, own, reading, clock.now())
        self.endpoint = NoticeEndpoint(self.hear)
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = inf
        self.closed = False

    async def start(self) -> None:
        """Take notices and tell the first one."""
        await self.endpoint.start(self.own)
        self.schedule()

    def announce(self, urgent: bool) -> None:
        """Tell the other entries soon, or at once where the news is urgent."""
        self.relaying.announce(urgent, self.clock.now())
        self.schedule()

    def greet(self, address: Address) -> None:
        """Tell an entry of this one."""
        self.relaying.greet(address)
        self.announce(True)

    def hear(self, message: Message, address: Address) -> None:
        """Take in a message."""
        news = self.relaying.hear(message, address, self.clock.now())
        self.schedule()
        if news:
            self.heard(news)

    def schedule(self) -> None:
        """Wake when something is due, and not later than planned before."""
        at = self.relaying.next_at(self.clock.now())
        if self.closed or self.endpoint.transport is None or at >= self.timer_at:
            return
        if self.timer is not None:
            self.timer.cancel()
        pause = max(LEAST_PAUSE_MS, at - self.clock.now())
        self.timer_at = at
        self.timer = asyncio.get_running_loop().call_later(pause / MS_PER_SECOND, self.step)

    def step(self) -> None:
        """Send what is due."""
        self.timer = None
        self.timer_at = inf
        before = self.relaying.relay
        heard_at = self.relaying.heard_relay_at()
        for outgoing in self.relaying.step(self.clock.now()):
            self.endpoint.send(outgoing.message, outgoing.to)
        if self.relaying.relay != before:
            self.log_relay(before, heard_at)
        self.schedule()

    def log_relay(self, before: str, heard_at: float) -> None:
        """Log that another entry passes on notices."""
        events.write(
            Event.RELAY_CHANGED,
            relay=self.relaying.relay,
            before=before,
            heard_ago_ms=round(self.clock.now() - heard_at, 1),
            entries=len(self.relaying.domain.live_peers(self.clock.now())) + 1,
        )

    def close(self) -> None:
        """Stop."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.endpoint.close()
