"""Claims of idempotency keys in the platform's table, for the requests of one entry."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, replace
from random import Random

from cactusvane import events
from cactusvane.claims.acquisition import (
    KEY_IN_PROGRESS,
    KEY_REUSED,
    POLL_DELAYS_MS,
    RESPONSE_NOT_STORED,
    ClaimAcquisition,
    ClaimCommand,
    ClaimEvent,
    Committed,
    Conflicted,
    Grant,
    NoResponse,
    ReadRow,
    RejectClaim,
    Replay,
    RowRead,
    WriteClaim,
    final_record,
)
from cactusvane.claims.record import (
    TABLE,
    ClaimRecord,
    KeyState,
    StoredResponse,
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
"""Limit on claim writes of the whole fleet."""

BURST_SECONDS = 5.0
"""Capacity of a VM's write budget, in seconds of its rate."""

WRITES_PER_KEY = 2.0
MAX_RECENT_KEYS = 10_000
MAX_PENDING_WRITES = 10_000
RELEASE_DELAY_MS = 20.0
"""Delay before a release, so that the caller has the verdict "not run" before another request may
run the key."""

RETRY_DELAY_MS = 1_000.0


class WriteBudget:
    """Token bucket for a VM's share of the fleet's writes."""

    def __init__(self, now: float) -> None:
        self.vms = 1
        self.tokens = WRITES_PER_SECOND * BURST_SECONDS
        self.refilled_at = now

    def withdraw(self, writes: float, now: float) -> bool:
        """Take `writes` tokens; return whether enough were available."""
        rate = WRITES_PER_SECOND / self.vms
        refill = (now - self.refilled_at) * rate / MS_PER_SECOND
        self.tokens = min(max(rate * BURST_SECONDS, WRITES_PER_KEY), self.tokens + refill)
        self.refilled_at = now
        if self.tokens < writes:
            return False
        self.tokens -= writes
        return True


@dataclass(frozen=True, slots=True)
class GrantedClaim:
    """Permission to send one keyed request.

    Parameters
    ----------
    row_id
        Key of the row.
    claim
        The record in the row.
    version
        Version of the row; `ABSENT` if the table was down.
    lease_expires_at
        Time after which the request must not be sent, in milliseconds (monotonic clock of the
        process).
    first_attempt
        Whether the caller states that it has not sent this key before.
    """

    row_id: str
    claim: ClaimRecord
    version: int
    lease_expires_at: float
    first_attempt: bool

    def may_send(self, now: float) -> bool:
        """Return whether the lease is still valid; to be checked right before each attempt."""
        return now < self.lease_expires_at

    def reported_verdict(self, verdict: Verdict) -> Verdict:
        """Return the verdict for the caller; without a claim, another VM may have run the key."""
        if verdict is Verdict.NOT_RUN and self.version == ABSENT and not self.first_attempt:
            return Verdict.MAY_HAVE_RUN
        return verdict


@dataclass(frozen=True, slots=True)
class AlreadyRan:
    """The key already ran and got `response`."""

    response: StoredResponse


class Claims:
    """Claims keys before their requests are sent, and records how the requests ended.

    Parameters
    ----------
    platform
        The platform, which stores the table.
    clock
        Clock of the process.
    random
        Source of nonces; `random.SystemRandom` in a daemon, since a restarted process that draws a
        nonce again would take the claim of its predecessor for its own.
    vm
        Name of this VM, part of each nonce.
    """

    def __init__(self, platform: Platform, clock: Clock, random: Random, vm: str) -> None:
        self.platform = platform
        self.clock = clock
        self.random = random
        self.vm = vm
        self.budget = WriteBudget(clock.now())
        self.recent: OrderedDict[str, ClaimRecord] = OrderedDict()
        self.tasks: set[asyncio.Task[None]] = set()

    async def begin(
        self,
        service: Service,
        request: Request,
        key: bytes,
        lease_ms: float,
        first_attempt: bool = False,
    ) -> GrantedClaim | AlreadyRan:
        """Claim `key` for `request`.

        Parameters
        ----------
        service
            The service that the request is for; its policy applies while the table is down.
        request
            The request as the caller sent it.
        key
            Value of ``Idempotency-Key``.
        lease_ms
            Time from now during which the request may be sent, in milliseconds.
        first_attempt
            Whether the caller states that it has not sent this key before.

        Returns
        -------
        GrantedClaim or AlreadyRan
            Permission to send the request, or the stored response of an earlier request.

        Raises
        ------
        RequestError
            The request must not be sent.
        """
        lease_expires_at = self.clock.now() + lease_ms
        row_id = row_key(service.name, key)
        nonce = f"{self.vm}/{self.random.getrandbits(128):032x}"
        claim = ClaimRecord(KeyState.CLAIMED, nonce, fingerprint(request))
        already_ran = await self.check_recent(row_id, claim)
        if already_ran:
            return already_ran
        self.cache(row_id, claim)
        acquisition = ClaimAcquisition(claim, service.keyed_while_table_down, first_attempt)
        try:
            command = await self.acquire(acquisition, row_id)
        except asyncio.CancelledError:
            self.abandon(row_id, claim, may_be_written=True)
            raise
        match command:
            case Grant(version):
                return GrantedClaim(row_id, claim, version, lease_expires_at, first_attempt)
            case Replay(response):
                self.cache(row_id, ClaimRecord(KeyState.DONE, nonce, claim.fingerprint, response))
                return AlreadyRan(response)
            case RejectClaim():
                self.abandon(row_id, claim, may_be_written=acquisition.no_responses > 0)
                raise command.to_error()

    async def check_recent(self, row_id: str, claim: ClaimRecord) -> AlreadyRan | None:
        """Return the response if this VM knows that the key ran, or None if the key is unknown.

        Waits while another request with the key is in progress.

        Raises
        ------
        RequestError
            The key must not run, or its response was not stored.
        """
        for wait_ms in (*POLL_DELAYS_MS, 0.0):
            known = self.recent.get(row_id)
            if known is None:
                return None
            if known.fingerprint != claim.fingerprint:
                raise KEY_REUSED.to_error()
            if known.outcome:
                return self.replay_stored(known.outcome)
            await asyncio.sleep(wait_ms / MS_PER_SECOND)
        raise KEY_IN_PROGRESS.to_error()

    def replay_stored(self, response: StoredResponse) -> AlreadyRan:
        """Return the stored response.

        Raises
        ------
        RequestError
            The response was too large to store.
        """
        if response.body is None:
            raise RESPONSE_NOT_STORED.to_error()
        return AlreadyRan(response)

    def cache(self, row_id: str, record: ClaimRecord) -> None:
        """Cache the record of a key and evict the oldest ones."""
        self.recent[row_id] = record
        self.recent.move_to_end(row_id)
        while len(self.recent) > MAX_RECENT_KEYS:
            self.recent.popitem(last=False)

    async def acquire(
        self, acquisition: ClaimAcquisition, row_id: str
    ) -> Grant | Replay | RejectClaim:
        """Execute the commands of `acquisition` until it ends."""
        if not self.budget.withdraw(WRITES_PER_KEY, self.clock.now()):
            events.write(Event.CLAIM_BUDGET_SPENT, key=row_id)
            return acquisition.reject("claims-busy", "too many keyed requests; try again")
        command: ClaimCommand = acquisition.start()
        while isinstance(command, WriteClaim | ReadRow):
            command = acquisition.handle(await self.execute(command, row_id))
        return command

    async def execute(self, command: WriteClaim | ReadRow, row_id: str) -> ClaimEvent:
        """Execute one command on the table and return its result."""
        try:
            match command:
                case WriteClaim(value, expected):
                    await self.platform.commit((Write(TABLE, row_id, value, expected),))
                    return Committed()
                case ReadRow(wait_ms):
                    if wait_ms:
                        await asyncio.sleep(wait_ms / MS_PER_SECOND)
                    return RowRead(await self.platform.read(TABLE, row_id))
        except WriteConflictError:
            return Conflicted()
        except PlatformUnavailableError:
            return NoResponse()

    def abandon(self, row_id: str, claim: ClaimRecord, may_be_written: bool) -> None:
        """Drop a claim that was not granted; release it if it may have been written."""
        if self.recent.get(row_id) == claim:
            del self.recent[row_id]
        if may_be_written:
            self.schedule_write(row_id, claim, replace(claim, state=KeyState.RELEASED))

    def finish(
        self, granted: GrantedClaim, verdict: Verdict, response: StoredResponse | None
    ) -> None:
        """Record how the request ended; the table is updated in the background.

        Parameters
        ----------
        granted
            The claim that `begin` returned.
        verdict
            Whether the request ran.
        response
            The response of a request that ran.
        """
        record = final_record(granted.claim, verdict, response)
        if record is None:
            return
        if record.state is KeyState.RELEASED:
            self.recent.pop(granted.row_id, None)
        else:
            self.cache(granted.row_id, record)
        self.schedule_write(granted.row_id, granted.claim, record)

    def schedule_write(self, row_id: str, claim: ClaimRecord, record: ClaimRecord) -> None:
        """Start a background write that replaces `claim` by `record`."""
        if len(self.tasks) >= MAX_PENDING_WRITES:
            events.write(Event.CLAIM_OUTCOME_DROPPED, key=row_id)
            return
        task = asyncio.get_running_loop().create_task(self.write(row_id, claim, record))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def drain(self, within_ms: float) -> None:
        """Wait up to `within_ms` milliseconds for writes in progress, before the process exits."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=within_ms / MS_PER_SECOND)

    async def write(self, row_id: str, claim: ClaimRecord, record: ClaimRecord) -> None:
        """Replace `claim` by `record`; retry until the table confirms or the row has changed."""
        if record.state is KeyState.RELEASED:
            await asyncio.sleep(RELEASE_DELAY_MS / MS_PER_SECOND)
        while True:
            try:
                return await self.write_once(row_id, claim, record)
            except WriteConflictError:
                continue
            except PlatformUnavailableError:
                jitter = self.random.uniform(1.0, 3.0)
                await asyncio.sleep(RETRY_DELAY_MS * jitter / MS_PER_SECOND)

    async def write_once(self, row_id: str, claim: ClaimRecord, record: ClaimRecord) -> None:
        """Write `record` if the row still holds `claim`, or if it is a response and no row exists.

        Raises
        ------
        WriteConflictError
            The row changed between read and write.
        PlatformUnavailableError
            The platform did not respond; the write may have taken effect.
        """
        row = await self.platform.read(TABLE, row_id)
        if may_replace(row, claim, record):
            version = row.version if row else ABSENT
            await self.platform.commit((Write(TABLE, row_id, encode(record), version),))


def may_replace(row: Row | None, claim: ClaimRecord, record: ClaimRecord) -> bool:
    """Return whether `record` may replace the content of its row.

    If the table was down and the service runs keyed requests without a claim, there is no row; the
    response is written then, so that later repeats find it.
    """
    if row is None:
        return record.state is KeyState.DONE
    return decode(row.value) == claim
