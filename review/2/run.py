"""Reads that clients send before the first one is answered, at a machine that gets SIGTERM."""

import asyncio
import signal
from pathlib import Path

from review.lib.calls import CLOSED, Call, Client, describe, lost_calls
from review.lib.case import run_case
from review.lib.deployment import Deployment, route
from review.lib.upstream import Upstream

CLIENTS = 6
DEPTH = 3
"""Requests that a client sends before the first of them is answered."""

WORK_S = 0.31
TIMEOUT_S = 2.0
CALM_S = 4.0
LAST_S = 4.0


async def keep_sending(client: Client, until: float) -> None:
    """Send groups of reads on one connection; a new one where the machine closes it."""
    loop = asyncio.get_running_loop()
    await client.connect()
    while loop.time() < until:
        group = [client.send("GET", "/levo940/2f", TIMEOUT_S) for _ in range(DEPTH)]
        if not await receive_all(client, group):
            return
    client.close()


async def receive_all(client: Client, group: list[Call]) -> bool:
    """Receive the answers in the order of the requests; return whether the connection stays."""
    for call in group:
        if not await client.receive(call):
            for behind in group[group.index(call) + 1 :]:
                behind.status, behind.ended_at = CLOSED, call.ended_at
                client.record.write("closed", behind.request_id)
            return False
    return True


async def play(deployment: Deployment, trouble: bool) -> str | None:
    """Return how the rule was broken, or None."""
    record = deployment.record
    routes = [route("catalogue", "/levo940/", "read_only", "catalogue-svc", 2_000, 1_000)]
    await deployment.start_store(routes, ["catalogue-svc"])
    for number in range(3):
        await deployment.add_upstream(Upstream(f"i-{number:08x}", "catalogue-svc", WORK_S, record))
    await deployment.start_entries(2)
    entry = deployment.entries[0]
    clients = [Client(f"c{number:02}", entry, record) for number in range(CLIENTS)]
    until = asyncio.get_running_loop().time() + CALM_S + LAST_S

    async def stop() -> None:
        await asyncio.sleep(CALM_S + 0.15)
        if trouble:
            record.write("SIGTERM", entry.name)
            entry.signal(signal.SIGTERM)

    await asyncio.gather(stop(), *(keep_sending(client, until) for client in clients))
    calls = [call for client in clients for call in client.calls]
    lost = lost_calls(calls, record)
    text = f"{describe(calls)}; passed on and closed without an answer: {len(lost)}"
    record.write("seen", text)
    return text if lost else None


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
