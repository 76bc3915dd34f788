"""Serve a target that responds immediately, to measure the overhead of what is before it."""

import argparse
import asyncio

BODY = b"x" * 400
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(BODY), BODY)
HEAD_END = b"\r\n\r\n"
LENGTH = b"content-length:"


class Target(asyncio.Protocol):
    """One connection; responds to each request once its body is complete."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.data = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Respond to every complete request."""
        self.data += data
        while True:
            head, found, rest = self.data.partition(HEAD_END)
            length = body_length(head)
            if not found or len(rest) < length:
                return
            self.data = rest[length:]
            self.transport.write(RESPONSE)


def body_length(head: bytes) -> int:
    r"""Return the Content-Length of a request head, 0 without one.

    Examples
    --------
    >>> body_length(b"POST / HTTP/1.1\r\nContent-Length: 12\r\nhost: a")
    12
    """
    _, found, rest = head.lower().partition(LENGTH)
    return int(rest.partition(b"\r\n")[0]) if found else 0


async def serve(port: int) -> None:
    """Listen until cancelled."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Target, "127.0.0.1", port, backlog=512)
    await server.serve_forever()


def main() -> None:
    """Parse the arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(serve(parser.parse_args().port))


if __name__ == "__main__":
    main()
