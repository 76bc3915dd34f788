"""Claims keys in the platform's table for the requests of one entry."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, replace
from random import Random

from cactusvane import events
from cactusvane.claims.claiming import (
    IN_PROGRESS,
    NOT_KEPT,
    REUSED,
    WAITS_MS,
    ClaimCommand,
    ClaimEvent,
    Claiming,
    Committed,
    Conflicted,
    Grant,
    Insert,
    Look,
    Refuse,
    Replay,
    RowRead,
    Silent,
    ended,
)
from cactusvane.claims.record import (
    TABLE,
    KeyState,
    Outcome,
    Record,
    decode,
    encode,
    fingerprint,
    row_key,
)
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.configuration.model import Service
from cactusvane.errors import PlatformUnavailableError, WriteConflictError
from cactusvane.events import Event
from cactusvane.http.message import Request
from cactusvane.store.interface import ABSENT, Platform, Row, Write
from cactusvane.verdict import Verdict

WRITES_PER_SECOND = 300.0
"""Writes of claims that the whole fleet may do."""

BURST_SECONDS = 5.0
"""How much unused budget a VM may save up."""

WRITES_PER_KEY = 2.0
RECENT_KEYS = 10_000
PENDING_WRITES = 10_000
RELEASE_PAUSE_MS = 20.0
"""Lets the caller have its "not run" before anyone else may run the key."""

RETRY_MS = 1_000.0


class WriteBudget:
    """A VM's share of the fleet's writes, as a token bucket."""

    def __init__(self, now: float) -> None:
        self.vms = 1
        self.tokens = WRITES_PER_SECOND * BURST_SECONDS
        self.filled = now

    def withdraw(self, writes: float, now: float) -> bool:
        """Take `writes` tokens if they are there."""
        rate = WRITES_PER_SECOND / self.vms
        gained = (now - self.filled) * rate / MS_PER_SECOND
        self.tokens = min(max(rate * BURST_SECONDS, WRITES_PER_KEY), self.tokens + gained)
        self.filled = now
        if self.tokens < writes:
            return False
        self.tokens -= writes
        return True


@dataclass(frozen=True, slots=True)
class Held:
    """The right to send one keyed request.

    Parameters
    ----------
    key
        Key of the row.
    claim
        What the row holds.
    version
        The row's version, `ABSENT` where the table was down.
    lease_end
        Milliseconds of the process's clock after which nothing is sent any more.
    first
        Whether the caller states that it has not sent this key before.
    """

    key: str
    claim: Record
    version: int
    lease_end: float
    first: bool

    def may_send(self, now: float) -> bool:
        """Say whether the lease still stands; ask right before each sending."""
        return now < self.lease_end

    def verdict(self, verdict: Verdict) -> Verdict:
        """Return what the caller may be told; without a claim, another VM may have run the key."""
        if verdict is Verdict.NOT_RUN and self.version == ABSENT and not self.first:
            return Verdict.MAY_HAVE_RUN
        return verdict


@dataclass(frozen=True, slots=True)
class Recorded:
    """The key ran before; this is its answer."""

    outcome: Outcome


class Claims:
    """Claims keys before their requests are sent and records how they ended.

    Parameters
    ----------
    platform
        Where the table is.
    clock
        The process's clock.
    random
        Source of nonces; `random.SystemRandom` in a daemon, since a nonce that a restarted
        process draws again would pass for its own claim.
    vm
        Name of this VM, part of each nonce.
    """

    def __init__(self, platform: Platform, clock: Clock, random: Random, vm: str) -> None:
        self.platform = platform
        self.clock = clock
        self.random = random
        self.vm = vm
        self.budget = WriteBudget(clock.now())
        self.recent: OrderedDict[str, Record] = OrderedDict()
        self.tasks: set[asyncio.Task[None]] = set()

    async def begin(
        self, service: Service, request: Request, key: bytes, lease_ms: float, first: bool = False
    ) -> Held | Recorded:
        """Claim `key` for `request`.

        Parameters
        ----------
        service
            Whose key it is; its policy counts while the table is down.
        request
            What the caller sent.
        key
            Value of ``Idempotency-Key``.
        lease_ms
            How long the request may be sent from now on.
        first
            Whether the caller states that it has not sent this key before.

        Raises
        ------
        RequestError
            The request must not be sent.
        """
        lease_end = self.clock.now() + lease_ms
        name = row_key(service.name, key)
        nonce = f"{self.vm}/{self.random.getrandbits(128):032x}"
        claim = Record(KeyState.CLAIMED, nonce, fingerprint(request))
        recorded = await self.recall(name, claim)
        if recorded:
            return recorded
        self.remember(name, claim)
        claiming = Claiming(claim, service.keyed_while_table_down, first)
        try:
            command = await self.settle(claiming, name)
        except asyncio.CancelledError:
            self.give_back(name, claim, unsure=True)
            raise
        match command:
            case Grant(version):
                return Held(name, claim, version, lease_end, first)
            case Replay(outcome):
                self.remember(name, Record(KeyState.DONE, nonce, claim.fingerprint, outcome))
                return Recorded(outcome)
            case Refuse():
                self.give_back(name, claim, unsure=claiming.silences > 0)
                raise command.to_error()

    async def recall(self, name: str, claim: Record) -> Recorded | None:
        """Answer from what this VM knows of the key; raise where it may not run."""
        for wait_ms in (*WAITS_MS, 0.0):
            known = self.recent.get(name)
            if known is None:
                return None
            if known.fingerprint != claim.fingerprint:
                raise REUSED.to_error()
            if known.outcome:
                return self.answer_known(known.outcome)
            await asyncio.sleep(wait_ms / MS_PER_SECOND)
        raise IN_PROGRESS.to_error()

    def answer_known(self, outcome: Outcome) -> Recorded:
        """Return the answer that was kept; raise where it was too large to keep."""
        if outcome.body is None:
            raise NOT_KEPT.to_error()
        return Recorded(outcome)

    def remember(self, name: str, record: Record) -> None:
        """Keep what this VM knows of a key, and forget the oldest."""
        self.recent[name] = record
        self.recent.move_to_end(name)
        while len(self.recent) > RECENT_KEYS:
            self.recent.popitem(last=False)

    async def settle(self, claiming: Claiming, name: str) -> Grant | Replay | Refuse:
        """Carry out the decision's commands until it is made."""
        if not self.budget.withdraw(WRITES_PER_KEY, self.clock.now()):
            events.write(Event.CLAIM_BUDGET_SPENT, key=name)
            return claiming.refuse("claims-busy", "too many keyed requests; try again")
        command: ClaimCommand = claiming.start()
        while isinstance(command, Insert | Look):
            command = claiming.handle(await self.carry_out(command, name))
        return command

    async def carry_out(self, command: Insert | Look, name: str) -> ClaimEvent:
        """Do one exchange with the table."""
        try:
            match command:
                case Insert(value, expected):
                    await self.platform.commit((Write(TABLE, name, value, expected),))
                    return Committed()
                case Look(wait_ms):
                    if wait_ms:
                        await asyncio.sleep(wait_ms / MS_PER_SECOND)
                    return RowRead(await self.platform.read(TABLE, name))
        except WriteConflictError:
            return Conflicted()
        except PlatformUnavailableError:
            return Silent()

    def give_back(self, name: str, claim: Record, unsure: bool) -> None:
        """Forget a claim that was not granted; release it if it may have taken effect unseen."""
        if self.recent.get(name) == claim:
            del self.recent[name]
        if unsure:
            self.write_later(name, claim, replace(claim, state=KeyState.RELEASED))

    def end(self, held: Held, verdict: Verdict, outcome: Outcome | None) -> None:
        """Record how the request ended; the table follows when it can.

        Parameters
        ----------
        held
            What `begin` returned.
        verdict
            Whether the request ran.
        outcome
            Its answer, where it ran.
        """
        record = ended(held.claim, verdict, outcome)
        if record is None:
            return
        if record.state is KeyState.RELEASED:
            self.recent.pop(held.key, None)
        else:
            self.remember(held.key, record)
        self.write_later(held.key, held.claim, record)

    def write_later(self, name: str, claim: Record, record: Record) -> None:
        """Start to put `record` in place of `claim`."""
        if len(self.tasks) >= PENDING_WRITES:
            events.write(Event.CLAIM_OUTCOME_DROPPED, key=name)
            return
        task = asyncio.get_running_loop().create_task(self.write(name, claim, record))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def drain(self, within_ms: float) -> None:
        """Wait for the writes in progress, before the process ends."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=within_ms / MS_PER_SECOND)

    async def write(self, name: str, claim: Record, record: Record) -> None:
        """Put `record` in place of `claim`, trying until the table says how it stands."""
        if record.state is KeyState.RELEASED:
            await asyncio.sleep(RELEASE_PAUSE_MS / MS_PER_SECOND)
        while True:
            try:
                return await self.write_once(name, claim, record)
            except WriteConflictError:
                continue
            except PlatformUnavailableError:
                spread = self.random.uniform(1.0, 3.0)
                await asyncio.sleep(RETRY_MS * spread / MS_PER_SECOND)

    async def write_once(self, name: str, claim: Record, record: Record) -> None:
        """Write `record` if the row still holds `claim`, or an outcome where there is no row."""
        row = await self.platform.read(TABLE, name)
        if may_replace(row, claim, record):
            version = row.version if row else ABSENT
            await self.platform.commit((Write(TABLE, name, encode(record), version),))


def may_replace(row: Row | None, claim: Record, record: Record) -> bool:
    """Say whether `record` may be written over what stands in the row of its key.

    Where the table was down and the service runs keyed requests all the same, there is no row;
    the outcome is written then, so that later repeats find it.
    """
    if row is None:
        return record.state is KeyState.DONE
    return decode(row.value) == claim
