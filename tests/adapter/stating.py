"""Targets that say in their responses that they leave, or that they want a pause."""

import asyncio
from random import Random

import msgspec

from tests.adapter.limited import LimitedFleet, LimitedTarget

PAUSE_BINDING_S = 0.5
"""Time from a response that asks for a pause until the pause must be kept."""

MAX_REQUESTS_IN_PAUSE = 2


class StatingTarget(LimitedTarget):
    """A target that may say that it leaves, and may answer 503 with a pause.

    Attributes
    ----------
    leaving
        Value of the field that says that it leaves; empty for no such field.
    pause
        Value of ``Retry-After`` in its rejections; empty while it rejects nothing.
    stated_at
        Times at which it said either.
    """

    def __init__(self, name: str, zone: str, seed: int) -> None:
        super().__init__(name, zone, seed)
        self.leaving = ""
        self.pause = ""
        self.stated_at: list[float] = []
        self.started_ms = 1

    async def respond(self, head: str, reader: asyncio.StreamReader) -> bytes:
        response = await super().respond(head, reader)
        if self.pause:
            request = head.split("x-request-id: ")[1].split("\r\n")[0]
            response = (
                "HTTP/1.1 503 No\r\nx-not-executed: 1\r\n"
                f"x-request-id: {request}\r\nretry-after: {self.pause}\r\ncontent-length: 0\r\n\r\n"
            ).encode()
        if self.leaving or self.pause:
            self.stated_at.append(asyncio.get_running_loop().time())
        if not self.leaving:
            return response
        end = b"\r\n\r\n"
        return response.replace(end, b"\r\nserver-leaving: " + self.leaving.encode() + end, 1)

    def row(self, **status: object) -> bytes:
        fields = msgspec.json.decode(super().row(**status))
        return msgspec.json.encode(fields | {"born": self.started_ms})

    def requests_in_pauses(self, pause_s: float) -> int:
        """Return the most requests that came in one pause, as far as it binds."""
        return max(self.count(at + PAUSE_BINDING_S, at + pause_s) for at in self.stated_at)


class StatingFleet(LimitedFleet):
    """Entries and targets that state something."""

    def __init__(self, zones: dict[str, int], targets: int, seed: int = 1) -> None:
        super().__init__(zones, 0, seed)
        names = list(zones)
        self.stating = [
            StatingTarget(f"i{n}", names[n % len(names)], seed + n) for n in range(targets)
        ]
        for target in self.stating:
            target.random = Random(seed)
        self.targets = list(self.stating)
