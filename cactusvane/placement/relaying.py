"""How notices reach all entries of a failure domain. No sockets, no wall clock.

Answers domains of dozens of entries: where each told every other one, datagrams would grow with
the square of their number. Instead each tells one, the relay, which passes on in rounds what is
news to it. The relay is the first entry, in an order that is the same everywhere, of those that
were heard lately; nobody is elected. Two that relay at a time do no harm: a notice counts by its
sender and number, however often it comes. To all entries a relay passes on only what it was told
itself; what it heard through another one it repeats to those that tell it, since they may not hear
the other.

The relay's link carries each batch a few times only: some entries, others in each round, send it
on. As each notice goes out in two rounds, one of them that ended takes nothing away.

An entry whose notice does not come back in a batch tells it again. While batches stay away, or
the notice does, it leaves the relay alone for a time and tells the next one.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import ceil, inf

from msgspec.structs import replace

from cactusvane.fleet.vm import Address
from cactusvane.placement.domain import Domain, Peer
from cactusvane.placement.messages import Batch, Message, Notice, Passed, Reading

BEAT_MS = 1_000.0
"""How often an entry tells the others of itself without traffic."""

GATHER_MS = 5.0
"""How long ordinary news of an entry waits for more."""

URGENT_MS = 2.0
"""The same for news of a failure or of a table's change."""

ROUND_MS = 50.0
"""Time between two batches of a relay; a small part of what requests take at their targets."""

QUIET_ROUND_MS = 100.0
"""The same without news, so that a relay that ended is noticed."""

ASKED_MS = 1_500.0
"""How long an entry relays after it was told a notice; more than a beat."""

AGAIN_MS = 110.0
"""A notice that has not come back after this time is told again; two rounds and the way."""

SILENT_MS = 300.0
"""After so long without a batch the next entry relays."""

UNRETURNED_MS = 450.0
"""The same without one's own notices in the batches; some of them may have been lost."""

MOST_SEEN = 64
"""Observations that one notice holds; older ones say little by the time they arrive."""

SHARE = 8
"""Entries that one of them serves: the relay sends batches to some, which send them on."""

REST_MS = 3_000.0
"""How long a relay that fell silent is left alone."""


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and where it goes."""

    message: Message
    to: tuple[Address, ...]


class News:
    """Notices that are to be passed on, each in two rounds, as one batch may be lost.

    Examples
    --------
    >>> news = News()
    >>> news.add(Passed(Notice("a", 1, 1, {})))
    >>> len(news.next_round()), len(news.next_round()), len(news.next_round())
    (1, 1, 0)
    """

    def __init__(self) -> None:
        self.fresh: list[Passed] = []
        self.before: list[Passed] = []

    def add(self, *passed: Passed) -> None:
        """Take in notices for the next round."""
        self.fresh += passed

    def next_round(self) -> list[Passed]:
        """Return what goes out now."""
        passed = [*self.before, *self.fresh]
        self.before, self.fresh = self.fresh, []
        return passed


class Relaying:
    """One entry's part in passing notices on.

    Parameters
    ----------
    domain
        What the entries share.
    own
        Where this entry takes notices.
    reading
        Returns how the platform answers this entry.
    now
        Milliseconds of the process's clock, as everywhere here.

    Attributes
    ----------
    relay
        The entry that passes on this one's notices.
    due
        When the next own notice is to be told.
    unreturned
        The latest own notice, until it came back.
    unreturned_since
        Since when none came back that had not before.
    returned
        Number of the latest own notice that came back.
    asked_at
        When other entries told this one a notice last.
    told
        Notices that were told to this entry, and its own.
    heard
        Notices that came in batches of another relay.
    """

    def __init__(
        self, domain: Domain, own: Address, reading: Callable[[], Reading], now: float
    ) -> None:
        self.domain = domain
        self.own = own
        self.reading = reading
        self.relay = domain.vm
        self.relay_since = now
        self.resting: dict[str, float] = {}
        self.batch_at: dict[str, float] = {}
        self.due = now
        self.told_at = -inf
        self.unreturned: Notice | None = None
        self.unreturned_since = now
        self.returned = 0
        self.again_at = inf
        self.asked_at: dict[str, float] = {}
        self.round_at = -inf
        self.told = News()
        self.heard = News()
        self.greeting: list[Address] = []
        self.forwards: list[Outgoing] = []
        self.turn = 0

    def announce(self, urgent: bool, now: float) -> None:
        """Tell the other entries soon, or at once where the news is urgent."""
        self.due = min(self.due, now + (URGENT_MS if urgent else GATHER_MS))

    def greet(self, address: Address) -> None:
        """Tell an entry of this one, once and directly."""
        self.greeting.append(address)

    def relays(self, now: float) -> bool:
        """Say whether this entry passes notices on."""
        return self.relay == self.domain.vm or any(
            now - asked_at <= ASKED_MS for asked_at in self.asked_at.values()
        )

    def next_at(self, now: float) -> float:
        """Return when `step` has something to do."""
        if self.forwards:
            return now
        times = [self.tell_at()]
        if self.relays(now):
            times.append(self.next_round_at())
        if self.relay != self.domain.vm:
            times += [self.again_at, self.heard_relay_at() + SILENT_MS]
        return min(times)

    def tell_at(self) -> float:
        """Return when the next own notice is to be told, at the latest with the next beat."""
        return min(self.due, self.told_at + BEAT_MS)

    def next_round_at(self) -> float:
        """Return when the next batch goes out, sooner where there is news."""
        news = self.told.fresh or self.heard.fresh
        return self.round_at + (ROUND_MS if news else QUIET_ROUND_MS)

    def heard_relay_at(self) -> float:
        """Return when the relay was heard last, or was chosen."""
        return max(self.relay_since, self.batch_at.get(self.relay, -inf))

    def step(self, now: float) -> Iterator[Outgoing]:
        """Do what is due, and return what is to be sent."""
        forwards, self.forwards = self.forwards, []
        yield from forwards
        self.choose(now)
        if now >= self.tell_at():
            yield from self.tell(now)
        elif self.unreturned is not None and now >= self.again_at:
            yield from self.tell_relay(self.unreturned, now)
        if self.relays(now):
            yield from self.pass_on(now)

    def choose(self, now: float) -> None:
        """Go by the first entry that is heard as the relay; the present one may have ended."""
        if self.is_silent(now):
            self.resting[self.relay] = now + REST_MS
        first, order = self.domain.vm, (-self.domain.strength, self.domain.rank)
        for vm, peer in self.domain.group().items():
            if not peer.is_heard(now) or now < self.resting.get(vm, -inf):
                continue
            if peer.order < order:
                first, order = vm, peer.order
        if first != self.relay:
            self.relay = first
            self.relay_since = self.unreturned_since = now
            self.due = now

    def is_silent(self, now: float) -> bool:
        """Say whether the relay sends nothing, or does not get what this entry tells it."""
        if self.relay == self.domain.vm:
            return False
        if now - self.heard_relay_at() >= SILENT_MS:
            return True
        return self.unreturned is not None and now - self.unreturned_since >= UNRETURNED_MS

    def tell(self, now: float) -> Iterator[Outgoing]:
        """Tell a new notice; it repeats the observations of one that has not come back."""
        self.due = inf
        self.told_at = now
        notice = self.domain.next_notice(self.reading(), now)
        if self.unreturned is None:
            self.unreturned_since = now
        else:
            notice = joined(self.unreturned, notice)
        if self.greeting:
            greeting = self.batch([Passed(notice, self.own)])
            yield Outgoing(greeting, tuple(self.greeting))
            self.greeting = []
        if self.relay == self.domain.vm:
            self.unreturned = None
            self.told.add(passed_on(notice, self.own))
        else:
            self.unreturned = notice
            yield from self.tell_relay(notice, now)

    def tell_relay(self, notice: Notice, now: float) -> Iterator[Outgoing]:
        """Tell the relay a notice, and once more later unless it comes back."""
        self.again_at = now + AGAIN_MS
        if self.relay in self.domain.peers:
            yield Outgoing(notice, (self.domain.peers[self.relay].address,))

    def pass_on(self, now: float) -> Iterator[Outgoing]:
        """Send a batch if it is time; each notice goes out in two of them, as one may be lost."""
        if now < self.next_round_at():
            return
        self.round_at = now
        everybody = list(self.domain.group().values())
        askers = self.askers(now)
        told, heard = self.told.next_round(), self.heard.next_round()
        if 2 * len(askers) >= len(everybody):
            yield from self.share_out([*heard, *told], everybody, now)
            return
        if told:
            yield from self.share_out(told, everybody, now)
        if askers and (heard or not told):
            yield from self.share_out(heard, askers, now)

    def askers(self, now: float) -> list[Peer]:
        """Return the entries that go by this one as their relay."""
        self.asked_at = {vm: at for vm, at in self.asked_at.items() if now - at <= ASKED_MS}
        group = self.domain.group()
        return [group[vm] for vm in self.asked_at if vm in group]

    def share_out(self, passed: list[Passed], to: list[Peer], now: float) -> Iterator[Outgoing]:
        """Send a batch to some entries, with the help of some of those that are heard."""
        peers = list(to)
        self.domain.random.shuffle(peers)
        helpers = self.next_helpers(peers, now)
        chosen = {peer.address for peer in helpers}
        others = [peer.address for peer in peers if peer.address not in chosen]
        if not helpers:
            yield Outgoing(self.batch(passed), tuple(others))
        for number, helper in enumerate(helpers):
            forward = tuple(others[number :: len(helpers)])
            batch = Batch(self.domain.vm, tuple(passed), forward)
            yield Outgoing(batch, (helper.address,))

    def next_helpers(self, peers: list[Peer], now: float) -> list[Peer]:
        """Return those that send this batch on, each in its turn; none where there are few."""
        heard = [peer for peer in peers if peer.is_heard(now)]
        if len(peers) <= 2 * SHARE or not heard:
            return []
        heard.sort(key=lambda peer: peer.rank)
        wanted = min(len(heard), ceil(len(peers) / SHARE))
        begin = self.turn % len(heard)
        self.turn += wanted
        return [heard[(begin + number) % len(heard)] for number in range(wanted)]

    def batch(self, passed: list[Passed]) -> Batch:
        """Return a batch of this entry."""
        return Batch(self.domain.vm, tuple(passed))

    def hear(self, message: Message, address: Address, now: float) -> list[Passed]:
        """Take in a message and return the notices in it that are news."""
        match message:
            case Notice():
                self.asked_at[message.sender] = now
                self.domain.meet(message.sender, address, now)
                told = passed_on(message, address)
                if not self.take(told, now):
                    self.return_again(told)
                    return []
                self.told.add(told)
                return [told]
            case Batch():
                self.batch_at[message.sender] = now
                if message.forward:
                    batch = Batch(message.sender, message.notices)
                    self.forwards.append(Outgoing(batch, message.forward))
                news = [each for each in message.notices if self.take(each, now)]
                if self.relays(now):
                    self.heard.add(*news)
                return news

    def take(self, passed: Passed, now: float) -> bool:
        """Take in one notice, and say whether it was news."""
        notice = passed.notice
        if notice.sender == self.domain.vm:
            self.note_return(notice, now)
            return False
        return self.domain.hear(notice, passed.address, now)

    def return_again(self, passed: Passed) -> None:
        """Pass on once more what its sender tells again, since the batches with it were lost."""
        peer = self.domain.peers.get(passed.notice.sender)
        if peer is not None and peer.notice == passed.notice and passed not in self.told.fresh:
            self.told.add(passed)

    def note_return(self, notice: Notice, now: float) -> None:
        """Note that an own notice came back: the others get it, too."""
        waiting = self.unreturned
        if waiting is None or notice.started != waiting.started:
            return
        if notice.number > self.returned:
            self.returned = notice.number
            self.unreturned_since = now
        if notice.number >= waiting.number:
            self.unreturned = None
            self.again_at = inf


def passed_on(notice: Notice, address: Address) -> Passed:
    """Return a notice as it is passed on; only a full one says where its sender takes notices."""
    return Passed(notice, address if notice.full else None)


def joined(earlier: Notice, later: Notice) -> Notice:
    """Return the later of two notices with what only the earlier one tells."""
    seen = earlier.seen + later.seen
    dropped = max(0, len(seen) - MOST_SEEN)
    return replace(
        later,
        seen=seen[dropped:],
        seen_before=earlier.seen_before + dropped,
        spent=earlier.spent if later.spent is None else later.spent,
        reading=earlier.reading if later.reading is None else later.reading,
    )
