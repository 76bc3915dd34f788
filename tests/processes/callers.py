"""Callers that speak plain HTTP to entries and keep a ledger of what they were told."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import h11

from standins.target import response_body

READ_BYTES = 65_536
GIVE_UP_SECONDS = 20.0
CONNECT_SECONDS = 1.0
PARALLEL_SHARE = 0.3
MOST_REPEATS = 4
KEY_RAN_STATUS = 409
REPEAT_SECONDS = 0.4


class Told(Enum):
    """What a caller knows at the end of one call."""

    WHOLE = "whole"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    REPEATED = "repeated"
    """The key had run before; the answer says so."""

    FOREIGN = "foreign"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Reply:
    """What came back on one exchange; `complete` is False where it broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request a caller sends."""

    service: str
    host: str
    path: str
    method: str
    name: str
    keyed: bool = False


@dataclass(slots=True)
class Call:
    """One line of the callers' ledger; times in seconds since the epoch."""

    request_id: str
    kind: Kind
    key: str
    entry: str
    sent_at: float
    ended_at: float = 0.0
    told: Told = Told.MAY_HAVE_RUN
    status: int = 0
    text: str = ""
    first: bool = False
    """Whether the caller states that it has not sent this key before."""

    broken: bool = False
    """Whether the connection ended without a whole answer."""


class Wire:
    """One connection of a caller, reused while it is in order."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.CLIENT)

    async def exchange(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Reply:
        """Send one request and read the answer, whole or broken."""
        lines = list({"Host": "standin", **headers, "Content-Length": str(len(body))}.items())
        head = self.http.send(h11.Request(method=method, target=path, headers=lines))
        data = self.http.send(h11.Data(data=body))
        self.writer.write((head or b"") + (data or b""))
        self.http.send(h11.EndOfMessage())
        return await self.read()

    async def read(self) -> Reply:
        """Read one answer; never raises for what the peer does."""
        status, headers, body = 0, dict[str, str](), bytearray()
        try:
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    self.http.receive_data(await self.reader.read(READ_BYTES))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                    headers = {k.decode().lower(): v.decode() for k, v in event.headers}
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    return Reply(status, headers, bytes(body), True)
                elif not isinstance(event, h11.InformationalResponse):
                    return Reply(status, headers, bytes(body), False)
        except (OSError, h11.ProtocolError):
            return Reply(status, headers, bytes(body), False)

    def reusable(self) -> bool:
        """Make the connection ready for another request; return False where it can't be."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False

    def close(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()


async def connect(port: int) -> Wire:
    """Connect within a bound, or raise `OSError` or `TimeoutError`."""
    async with asyncio.timeout(CONNECT_SECONDS):
        return Wire(*await asyncio.open_connection("127.0.0.1", port))


async def ask(port: int, method: str, path: str, body: bytes = b"") -> Reply:
    """Do one exchange on a connection of its own, for steering stand-ins and daemons."""
    wire = await connect(port)
    try:
        async with asyncio.timeout(GIVE_UP_SECONDS):
            return await wire.exchange(method, path, {}, body)
    finally:
        wire.close()


@dataclass(slots=True)
class Callers:
    """Many callers, each with few connections, drawing from one seed.

    Parameters
    ----------
    balancer
        Returns names and ports of the entries that a caller may use now.
    leave_share
        Callers that go away before their answer.
    patience
        Seconds after which a caller gives up.
    """

    balancer: Callable[[], dict[str, int]]
    seed: int
    leave_share: float = 0.0
    patience: float = GIVE_UP_SECONDS
    calls: list[Call] = field(default_factory=list)
    ids_of_key: dict[str, list[str]] = field(default_factory=dict)
    numbers: int = 0
    stopping: bool = False

    async def run(
        self, kinds: tuple[Kind, ...], sessions: int, pause_ms: float, seconds: float
    ) -> None:
        """Keep `sessions` callers busy for a while; each waits about `pause_ms` between calls."""
        until = time.monotonic() + seconds
        await asyncio.gather(
            *(self.session(number, kinds, pause_ms, until) for number in range(sessions))
        )

    async def session(
        self, number: int, kinds: tuple[Kind, ...], pause_ms: float, until: float
    ) -> None:
        """Call again and again on one connection, and reconnect when it is used up."""
        draws = random.Random(f"{self.seed} {number}")
        wire: Wire | None = None
        entry = ""
        while time.monotonic() < until and not self.stopping:
            await asyncio.sleep(draws.expovariate(1.0) * pause_ms / 1000.0)
            if wire is not None and (draws.random() < 0.05 or wire.reader.at_eof()):
                wire.close()
                wire = None
            call = self.new_call(draws.choice(kinds), draws)
            if wire is None:
                entry, wire = await self.connect_any(draws)
            call.entry = entry
            wire = await self.call(call, wire, draws)
        if wire is not None:
            wire.close()

    def new_call(
        self, kind: Kind, draws: random.Random, key: str = "", first: bool = False
    ) -> Call:
        """Write a new line into the ledger."""
        self.numbers += 1
        request_id = f"{self.seed}-{self.numbers}-{draws.getrandbits(32):08x}"
        if kind.keyed and not key:
            key, first = f"key-{request_id}", True
        call = Call(request_id, kind, key, "", time.time(), first=first)
        self.ids_of_key.setdefault(key, []).append(request_id)
        self.calls.append(call)
        return call

    async def connect_any(self, draws: random.Random) -> tuple[str, Wire | None]:
        """Connect to some entry that takes connections, as a balancer would."""
        entries = list(self.balancer().items())
        draws.shuffle(entries)
        for name, port in entries:
            try:
                return name, await connect(port)
            except (OSError, TimeoutError):
                continue
        return "", None

    async def book(self, kind: Kind, draws: random.Random) -> None:
        """Book with one key at several entries, at once or until an answer is sure."""
        key = f"booking-{self.seed}-{draws.getrandbits(48):012x}"
        at_once = 2 if draws.random() < PARALLEL_SHARE else 1
        for repeat in range(MOST_REPEATS):
            first = repeat == 0 and at_once == 1
            calls = [self.new_call(kind, draws, key, first) for _ in range(at_once)]
            await asyncio.gather(*(self.once(call, draws) for call in calls))
            if any(call.told in (Told.WHOLE, Told.REPEATED) for call in calls):
                return
            await asyncio.sleep(draws.random() * REPEAT_SECONDS)

    async def once(self, call: Call, draws: random.Random) -> None:
        """Make one call on a connection of its own."""
        call.entry, wire = await self.connect_any(draws)
        wire = await self.call(call, wire, draws)
        if wire is not None:
            wire.close()

    async def keep_booking(self, kind: Kind, sessions: int, seconds: float) -> None:
        """Keep `sessions` callers booking for a while."""
        until = time.monotonic() + seconds

        async def session(number: int) -> None:
            draws = random.Random(f"{self.seed} booking {number}")
            while time.monotonic() < until:
                await self.book(kind, draws)

        await asyncio.gather(*(session(number) for number in range(sessions)))

    async def call(self, call: Call, wire: Wire | None, draws: random.Random) -> Wire | None:
        """Make one call; return the connection if it can be used again."""
        call.sent_at = time.time()
        if wire is None:
            self.end(call, Told.NOT_RUN, "no entry takes connections")
            return None
        patience = self.patience
        leaves = draws.random() < self.leave_share
        if leaves:
            patience = draws.random() * 0.04
        headers = {"Host": call.kind.host, **self.fields(call)}
        if call.key:
            headers["Idempotency-Key"] = call.key
        if call.first:
            headers["Cactusvane-First-Attempt"] = "1"
        try:
            async with asyncio.timeout(patience):
                reply = await wire.exchange(call.kind.method, call.kind.path, headers)
        except TimeoutError:
            told = Told.LEFT if leaves else Told.MAY_HAVE_RUN
            self.end(call, told, "gave up waiting")
            wire.close()
            return None
        self.judge(call, reply)
        if reply.complete and wire.reusable():
            return wire
        wire.close()
        return None

    def fields(self, call: Call) -> dict[str, str]:
        """Return the header fields that tell what a call is."""
        return {"Request-Id": call.request_id}

    def judge(self, call: Call, reply: Reply) -> None:
        """Write down what the caller knows after an answer."""
        call.status = reply.status
        call.broken = not reply.complete
        own = response_body(call.request_id)
        verdict = reply.headers.get("cactusvane-verdict", "")
        text = reply.body[:120].decode(errors="replace")
        if verdict == "not-run":
            self.end(call, Told.NOT_RUN, text)
        elif verdict == "may-have-run":
            self.end(call, Told.MAY_HAVE_RUN, text)
        elif not reply.complete:
            whole_prefix = own.startswith(reply.body)
            told = Told.MAY_HAVE_RUN if whole_prefix else Told.FOREIGN
            self.end(call, told, f"broken after {len(reply.body)} bytes: {text}")
        elif reply.body == own:
            self.end(call, Told.WHOLE, "")
        elif self.repeats(call, reply):
            self.end(call, Told.REPEATED, text)
        else:
            self.end(call, Told.FOREIGN, text)

    def repeats(self, call: Call, reply: Reply) -> bool:
        """Say whether an answer is the one that another request with the same key brought."""
        if reply.status == KEY_RAN_STATUS and b'"key-ran"' in reply.body:
            return True
        ids = self.ids_of_key.get(call.key, []) if call.key else []
        replayed = reply.headers.get("cactusvane-replayed") == "1"
        return replayed and reply.body in [response_body(request_id) for request_id in ids]

    def end(self, call: Call, told: Told, text: str) -> None:
        """Close a line of the ledger."""
        call.told = told
        call.text = text
        call.ended_at = time.time()
