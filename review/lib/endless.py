"""An upstream whose answers have no end, as a process of its own.

Started with its id and the number of bytes in a chunk. It prints its port. Health checks and
requests for another upstream get a sound answer. What is in the body of any other answer comes
without end until the caller closes; the first line of its standard input turns this on.
"""

import asyncio
import sys

from review.lib.http import MessageError, encode, read_message

BLOCK_BYTES = 65_536
WORK_S = 0.1


class EndlessUpstream:
    """The upstream.

    Parameters
    ----------
    name
        Its id.
    chunk_bytes
        Bytes in a chunk of an endless body; 0 for a body without a length.
    """

    def __init__(self, name: str, chunk_bytes: int) -> None:
        self.name = name
        self.endless = False
        chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
        self.block = chunk * (BLOCK_BYTES // len(chunk)) if chunk_bytes else b"x" * BLOCK_BYTES
        self.framing = "Transfer-Encoding: chunked\r\n" if chunk_bytes else ""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        try:
            while (request := await read_message(reader)) is not None:
                request_id = request.headers.get("x-request-id", "")
                headers = [("X-Request-Id", request_id), ("X-Response-Stamp", f"{self.name}.1")]
                if request.headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(encode("HTTP/1.1 421 Misdirected", headers[:1]))
                    continue
                await asyncio.sleep(WORK_S)
                if self.endless:
                    await self.flood(writer, headers)
                writer.write(encode("HTTP/1.1 200 OK", headers, b"sound\n"))
                await writer.drain()
        except (MessageError, OSError):
            pass
        finally:
            writer.close()

    async def flood(self, writer: asyncio.StreamWriter, headers: list[tuple[str, str]]) -> None:
        """Send the head and then bytes until the caller closes."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}{self.framing}\r\n".encode())
        while True:
            writer.write(self.block)
            await writer.drain()

    async def follow_input(self) -> None:
        """Turn the endless answers on and off with each line of the standard input."""
        loop = asyncio.get_running_loop()
        while await loop.run_in_executor(None, sys.stdin.readline):
            self.endless = not self.endless


async def main() -> None:
    """Serve until the standard input ends."""
    upstream = EndlessUpstream(sys.argv[1], int(sys.argv[2]))
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await upstream.follow_input()


if __name__ == "__main__":
    asyncio.run(main())
