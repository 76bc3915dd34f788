"""A stand-in of a target that uses the platform's names of header fields."""

import asyncio
import contextlib
from dataclasses import replace

from standins.server import Connection, Request, Response
from standins.target import CONTROL, Target, arguments, serve

OWN_NAMES = {"x-request-id": "request-id", "x-deadline-ms": "cactusvane-deadline-ms"}
"""Maps the platform's header fields of requests to those of the stand-in."""


class PlatformTarget(Target):
    """Rejects requests for other targets, signs its responses and marks requests it did not run."""

    async def serve(self, connection: Connection, request: Request) -> bool:
        """Respond to one request, and return whether the connection stays open."""
        if request.path.startswith(CONTROL):
            return await super().serve(connection, request)
        if request.headers.get("x-expect-instance", self.name) != self.name:
            await connection.send(Response(421, b"", (("X-Instance-Id", self.name),)))
            return True
        headers = {OWN_NAMES.get(name, name): value for name, value in request.headers.items()}
        return await super().serve(connection, replace(request, headers=headers))

    def refusal(self, request: Request) -> Response | None:
        """Return the response to a request that is not run, or None to run it."""
        response = super().refusal(request)
        if response is None:
            return None
        return replace(response, headers=(*self.fields(request), ("X-Not-Executed", "1")))

    def fields(self, request: Request) -> tuple[tuple[str, str], ...]:
        """Return the header fields of a response other than its length."""
        request_id = request.headers.get("request-id", "")
        return (("X-Request-Id", request_id), ("X-Response-Stamp", f"{self.name}.{request_id}"))


if __name__ == "__main__":
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(serve(arguments(), PlatformTarget))
