"""Calls of clients: what was sent, when it was answered, and how."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from review.lib.deployment import HOST, Entry
from review.lib.http import CallerConnection, MessageError, encode
from review.lib.record import Record

NO_ANSWER = "none"
CLOSED = "closed"
MAX_WAIT_S = 8.0
"""How long a client waits for an answer; far longer than its deadline, so that the end is seen."""


@dataclass
class Call:
    """One request of a client.

    Parameters
    ----------
    request_id
        Its id.
    timeout_s
        Timeout of its route and deadline of the client, in seconds.
    sent_at
        When it was sent, in seconds of the event loop's clock.
    status
        Status of the answer, `CLOSED` if the connection ended without one, or `NO_ANSWER`.
    ended_at
        When the answer was there or the connection ended.
    headers
        Header fields of the answer.
    """

    request_id: str
    timeout_s: float
    sent_at: float
    status: str = NO_ANSWER
    ended_at: float = inf
    headers: dict[str, str] = field(default_factory=dict)

    def is_open_after(self, seconds: float) -> bool:
        """Return whether the call has no final answer so long after it was sent."""
        return self.ended_at - self.sent_at > seconds


@dataclass
class Client:
    """One connection of a client, which it keeps for many requests.

    Parameters
    ----------
    name
        Begins the ids of its requests.
    entry
        The machine that it is connected to.
    record
        Where its calls are written to.
    """

    name: str
    entry: Entry
    record: Record
    calls: list[Call] = field(default_factory=list)

    async def connect(self) -> None:
        """Open the connection."""
        self.connection = await CallerConnection(self.entry.front).open()

    def send(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
        extra: Iterable[tuple[str, str]] = (),
    ) -> Call:
        """Send a request, and return the call."""
        number = len(self.calls) + 1
        now = asyncio.get_running_loop().time()
        call = Call(f"{self.name}-{number:04}", timeout_s, now)
        self.calls.append(call)
        headers = [
            ("Host", HOST),
            ("X-Request-Id", call.request_id),
            ("X-Deadline-Ms", f"{timeout_s * 1_000:.0f}"),
            *extra,
        ]
        self.record.write("sent", call.request_id, self.entry.name, method, path, len(body))
        self.connection.send(encode(f"{method} {path} HTTP/1.1", headers, body))
        return call

    async def receive(self, call: Call) -> bool:
        """Wait for the answer to a call; return whether the connection can carry another one."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout_at(call.sent_at + MAX_WAIT_S):
                answer = await self.connection.response()
        except TimeoutError:
            self.record.write("unanswered", call.request_id)
            self.close()
            return False
        except MessageError:
            answer = None
        call.ended_at = loop.time()
        call.status = CLOSED if answer is None else answer.start[1]
        self.record.write("answered", call.request_id, call.status)
        if answer is not None:
            call.headers = answer.headers
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
            return False
        return True

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()


def describe(calls: list[Call]) -> str:
    """Return how many calls ended with which status."""
    counts: dict[str, int] = {}
    for call in calls:
        counts[call.status] = counts.get(call.status, 0) + 1
    return ", ".join(f"{status}: {count}" for status, count in sorted(counts.items()))


def lost_calls(calls: list[Call], record: Record) -> list[Call]:
    """Return the calls that an upstream began to run, and whose connection ended unanswered.

    Those that had reached their timeout by then are not counted.
    """
    return [
        call
        for call in calls
        if call.status == CLOSED
        and record.first_at("runs", call.request_id) < call.ended_at
        and not call.is_open_after(call.timeout_s)
    ]


def unanswered_at_timeout(calls: list[Call], grace_s: float = 0.5) -> tuple[int, int]:
    """Return how many calls had no answer at their route's timeout, and how many later still."""
    open_then = [call for call in calls if call.is_open_after(call.timeout_s)]
    open_later = [call for call in open_then if call.is_open_after(call.timeout_s + grace_s)]
    return len(open_then), len(open_later)
