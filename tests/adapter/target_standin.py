"""The stand-in of a target, with the names that the users' pages give to header fields."""

import asyncio
import contextlib
from dataclasses import replace

from standins.server import Connection, Request, Response
from standins.target import CONTROL, Target, arguments, serve

OWN_NAMES = {"x-request-id": "request-id", "x-deadline-ms": "cactusvane-deadline-ms"}
"""Fields of requests to what the stand-in calls them."""


class PlatformTarget(Target):
    """Checks whom a request is meant for, signs its answers, and says what it did not start."""

    async def serve(self, connection: Connection, request: Request) -> bool:
        """Answer one request; return whether the connection goes on."""
        if request.path.startswith(CONTROL):
            return await super().serve(connection, request)
        if request.headers.get("x-expect-instance", self.name) != self.name:
            await connection.send(Response(421, b"", (("X-Instance-Id", self.name),)))
            return True
        headers = {OWN_NAMES.get(name, name): value for name, value in request.headers.items()}
        return await super().serve(connection, replace(request, headers=headers))

    def refusal(self, request: Request) -> Response | None:
        """Return the answer to a request that is not started, or None to start it."""
        response = super().refusal(request)
        if response is None:
            return None
        return replace(response, headers=(*self.fields(request), ("X-Not-Executed", "1")))

    def fields(self, request: Request) -> tuple[tuple[str, str], ...]:
        """Return the header fields of an answer besides its length."""
        request_id = request.headers.get("request-id", "")
        return (("X-Request-Id", request_id), ("X-Response-Stamp", f"{self.name}.{request_id}"))


if __name__ == "__main__":
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(serve(arguments(), PlatformTarget))
