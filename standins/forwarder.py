"""A TCP forwarder that can drop one direction, delay bytes, or close in the middle of a response.

Start it with ``python -m standins.forwarder --port 9001 --control 9002 --to 127.0.0.1:8080``.
``POST /behaviour`` on the control port changes members of `Behaviour`. The bytes of a dropped
direction are held, since TCP would retransmit them: they arrive late, once the direction works
again.
"""

import argparse
import asyncio
from dataclasses import dataclass, replace

import msgspec

from standins.server import READ_BYTES, Request, Response, Service

MS_PER_SECOND = 1000.0
POLL_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How the forwarder treats bytes from now on.

    Parameters
    ----------
    drop_up
        Whether bytes from the client to the server are held.
    drop_down
        Whether bytes from the server to the client are held.
    delay_ms
        Delay of each chunk that is read, in milliseconds.
    cut_after
        Close each connection after this many bytes from the server; -1 for never.
    """

    drop_up: bool = False
    drop_down: bool = False
    delay_ms: float = 0.0
    cut_after: int = -1


class Forwarder:
    """Forwards connections to one address."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.behaviour = Behaviour()

    async def control(self, request: Request) -> Response:
        """Return the behaviour as JSON; a POST changes members of it first."""
        if request.method == "POST":
            changes = msgspec.json.decode(request.body, type=dict[str, object])
            changed = replace(self.behaviour, **changes)  # type: ignore[arg-type]
            self.behaviour = msgspec.convert(msgspec.to_builtins(changed), Behaviour)
        return Response(200, msgspec.json.encode(self.behaviour))

    async def forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions until one side closes."""
        try:
            server_reader, server_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        tasks = (
            asyncio.ensure_future(self.forward_bytes(reader, server_writer, to_server=True)),
            asyncio.ensure_future(self.forward_bytes(server_reader, writer, to_server=False)),
        )
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for end in (writer, server_writer):
            end.close()

    async def forward_bytes(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_server: bool
    ) -> None:
        """Forward one direction; while it is dropped, its bytes and its end are held."""
        forwarded = 0
        try:
            while True:
                data = await reader.read(READ_BYTES)
                while self.is_dropped(to_server):
                    await asyncio.sleep(POLL_SECONDS)
                if self.behaviour.delay_ms:
                    await asyncio.sleep(self.behaviour.delay_ms / MS_PER_SECOND)
                if not data:
                    return
                limit = -1 if to_server else self.behaviour.cut_after
                if 0 <= limit < forwarded + len(data):
                    writer.write(data[: max(0, limit - forwarded)])
                    await writer.drain()
                    return
                forwarded += len(data)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            return

    def is_dropped(self, to_server: bool) -> bool:
        """Return whether a direction is dropped at present."""
        return self.behaviour.drop_up if to_server else self.behaviour.drop_down


async def serve(options: argparse.Namespace) -> None:
    """Forward connections until the process is killed."""
    host, _, port = options.to.rpartition(":")
    forwarder = Forwarder(host, int(port))
    service = Service(forwarder.control)
    await asyncio.start_server(forwarder.forward_connection, "127.0.0.1", options.port)
    await asyncio.start_server(service.serve_connection, "127.0.0.1", options.control)
    await asyncio.Event().wait()


def main() -> None:
    """Run the forwarder from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control", type=int, required=True)
    parser.add_argument("--to", required=True)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
