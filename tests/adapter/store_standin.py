"""A stand-in of the platform's store: rows over HTTP, with faults, written from its pages."""

import asyncio
import base64
from urllib.parse import parse_qs

import msgspec

from cactusvane.fleet.vm import Address
from cactusvane.http.exchange import Caller
from cactusvane.http.message import Answer, Request
from cactusvane.http.server import Server
from cactusvane.settings import HttpLimits

LIMIT = 3
"""Rows of one answer; small, so that tests meet answers in parts."""


class StoreStandin:
    """Holds rows by table, part and key; `status` answers every call while it is set."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[bytes | None, int]] = {}
        self.ver = 0
        self.oldest = 0
        self.status = 0
        self.calls: list[str] = []
        self.changed = asyncio.Event()
        self.server = Server(HttpLimits(), self.handle)

    async def start(self) -> Address:
        return await self.server.start(Address("127.0.0.1", 0))

    def put(self, table: str, key: str, value: bytes | None, part: str = "") -> None:
        self.ver += 1
        self.rows[table, part, key] = (value, self.ver)
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request: Request, caller: Caller) -> Answer:
        call = request.path.removeprefix("/")
        self.calls.append(call)
        if self.status:
            return Answer(self.status)
        query = {
            key: values[0] for key, values in parse_qs(request.target.partition("?")[2]).items()
        }
        match call:
            case "rows-get":
                return self.get(query)
            case "rows-feed":
                return await self.feed(query)
            case "rows-tx":
                return self.write(request)
        return Answer(404)

    def get(self, query: dict[str, str]) -> Answer:
        part, first = query.get("part", ""), query.get("from", "")
        found = [
            self.row(table, key, value, ver)
            for (table, where, key), (value, ver) in sorted(self.rows.items())
            if table == query["table"] and where == part and key >= first and value is not None
        ]
        return self.answer(rows=found[:LIMIT], more=len(found) > LIMIT)

    async def feed(self, query: dict[str, str]) -> Answer:
        after = int(query["after"])
        if after < self.oldest:
            return Answer(410)
        found = self.changes(query["table"], after)
        if not found:
            try:
                async with asyncio.timeout(int(query["wait-ms"]) / 1_000):
                    await self.changed.wait()
            except TimeoutError:
                pass
            found = self.changes(query["table"], after)
        return self.answer(rows=found, more=False)

    def changes(self, name: str, after: int) -> list[dict[str, object]]:
        return [
            self.row(table, key, value, ver)
            for (table, _, key), (value, ver) in self.rows.items()
            if table == name and ver > after
        ]

    def row(self, table: str, key: str, value: bytes | None, ver: int) -> dict[str, object]:
        row: dict[str, object] = {"table": table, "part": "", "key": key, "ver": ver}
        if value is None:
            return row | {"removed": True}
        return row | {"value": base64.b64encode(value).decode()}

    def write(self, request: Request) -> Answer:
        body = msgspec.json.decode(request.body)
        for row in body["upsert-rows"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]), row["part"])
        return self.answer(rows=[], more=False)

    def answer(self, rows: list[dict[str, object]], more: bool) -> Answer:
        body = {"rows": rows, "has-more": more, "ver": self.ver, "now-ms": 1}
        return Answer(200, ((b"content-type", b"application/json"),), msgspec.json.encode(body))
