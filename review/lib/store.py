"""Stand-in of the platform's store: rows, their changes, and writes without preconditions."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from review.lib.http import Message, MessageError, encode, read_message

Row = dict[str, object]


class Store:
    """Rows by table, part and key.

    Attributes
    ----------
    rows
        Value (None where the row was removed) and version by table, part and key.
    ver
        Version of the newest transaction.
    era
        Number of times that it came back from an older copy, plus one.
    away
        Whether it turns all calls away.
    """

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[bytes | None, int]] = {}
        self.ver = 0
        self.era = 1
        self.away = False
        self.changed = asyncio.Event()

    async def start(self) -> int:
        """Listen on a free port of the loopback address and return it."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.server = server
        return int(server.sockets[0].getsockname()[1])

    def put(self, table: str, key: str, value: object, part: str = "") -> None:
        """Write a row as the operator and the servers do; None removes it."""
        self.ver += 1
        data = None if value is None else json.dumps(value).encode()
        self.rows[table, part, key] = (data, self.ver)
        self.notify()

    def come_back(self) -> None:
        """Come back from a copy made after the newest transaction: only the era differs."""
        self.era += 1
        self.away = False
        self.notify()

    def notify(self) -> None:
        """Wake the reads that wait for changes."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        try:
            while (call := await read_message(reader)) is not None:
                status, body = await self.respond(call)
                headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
                data = json.dumps(body).encode()
                writer.write(encode(f"HTTP/1.1 {status} X", headers, data))
                await writer.drain()
        except (MessageError, OSError):
            pass
        finally:
            writer.close()

    async def respond(self, call: Message) -> tuple[int, Row]:
        """Return status and body of the response to a call."""
        if self.away:
            return 503, {}
        url = urlsplit(call.start[1])
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        match url.path:
            case "/rows-get":
                return 200, self.get(query)
            case "/rows-feed":
                return 200, await self.feed(query)
            case "/rows-tx":
                return self.transact(json.loads(call.body))
        return 404, {}

    def answer(self, rows: list[Row]) -> Row:
        """Return the body of a response with rows."""
        now_ms = int(time.monotonic() * 1_000)
        return {"rows": rows, "has-more": False, "ver": self.ver, "now-ms": now_ms}

    def get(self, query: dict[str, str]) -> Row:
        """Return all rows of one part of a table."""
        wanted = query["table"], query.get("part", "")
        found = [
            row(place, value, ver)
            for place, (value, ver) in sorted(self.rows.items())
            if place[:2] == wanted and place[2] >= query.get("from", "") and value is not None
        ]
        return self.answer(found)

    async def feed(self, query: dict[str, str]) -> Row:
        """Return the changes after a version, as soon as there is one."""
        after, table = int(query["after"]), query["table"]
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1_000
        while not (found := self.changes(table, after)) and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except TimeoutError:
                break
        return self.answer(found)

    def changes(self, table: str, after: int) -> list[Row]:
        """Return the changes in a table after a version, in their order."""
        places = sorted(self.rows.items(), key=lambda each: each[1][1])
        return [
            row(place, value, ver)
            for place, (value, ver) in places
            if place[0] == table and ver > after
        ]

    def transact(self, body: dict[str, list[dict[str, str]]]) -> tuple[int, Row]:
        """Apply a transaction without preconditions."""
        if body.get("precondition"):
            return 400, {}
        self.ver += 1
        for each in body.get("upsert-rows", []):
            place = each["table"], each["part"], each["key"]
            self.rows[place] = (base64.b64decode(each["value"]), self.ver)
        self.notify()
        return 200, self.answer([])


def row(place: tuple[str, str, str], value: bytes | None, ver: int) -> Row:
    """Return a row as the store sends it."""
    found: Row = {"table": place[0], "part": place[1], "key": place[2], "ver": ver}
    if value is None:
        return found | {"removed": True}
    return found | {"value": base64.b64encode(value).decode()}
