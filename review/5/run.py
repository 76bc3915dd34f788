"""A restore of the store that changes no row; seconds later an upstream leaves unreported."""

import asyncio
from pathlib import Path

from review.lib.calls import Client, describe
from review.lib.case import run_case
from review.lib.deployment import Deployment, route
from review.lib.upstream import Upstream

ENTRIES = 3
CLIENTS = 18
WORK_S = 0.1
TIMEOUT_S = 2.5
CALM_S = 4.0
AWAY_S = 1.0
STABLE_S = 5.0
"""Time from the return of the store until the upstream leaves; 3 s would make it stable."""

DRAIN_S = 2.0
LINGER_S = 0.3
"""How much longer than `drain-timeout-ms` the upstream goes on serving before it exits."""


async def keep_sending(client: Client, delay_s: float, until: float) -> None:
    """Send enrolments, a new connection for each that ends badly."""
    await asyncio.sleep(delay_s)
    await client.connect()
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        if not await client.receive(client.send("POST", "/xapu221/2f", TIMEOUT_S, b"e" * 1_200)):
            await client.connect()
    client.close()


async def play(deployment: Deployment, trouble: bool) -> str | None:
    """Return how the rule was broken, or None."""
    record, store = deployment.record, deployment.store
    routes = [route("enrol", "/xapu221/", "non_idempotent", "inscription", 2_500, 1_000)]
    await deployment.start_store(routes, ["inscription"])
    upstreams = [Upstream(f"i-{number:08x}", "inscription", WORK_S, record) for number in range(4)]
    for upstream in upstreams:
        await deployment.add_upstream(upstream)
    await deployment.start_entries(ENTRIES)
    loop = asyncio.get_running_loop()
    until = loop.time() + CALM_S + AWAY_S + STABLE_S + DRAIN_S + 2.0
    clients = [
        Client(f"c{number:02}", deployment.entries[number % ENTRIES], record)
        for number in range(CLIENTS)
    ]
    sending = [
        asyncio.create_task(keep_sending(client, WORK_S * number / CLIENTS, until))
        for number, client in enumerate(clients)
    ]
    await asyncio.sleep(CALM_S)
    if trouble:
        record.write("store", "is away")
        store.away = True
        await asyncio.sleep(AWAY_S)
        store.come_back()
        record.write("store", "is back, era", store.era)
    await asyncio.sleep(STABLE_S)
    leaving = upstreams[0]
    store.put("servers", leaving.name, None)
    left_at = loop.time()
    record.write("left", leaving.name, "its row is removed")
    await asyncio.sleep(DRAIN_S + LINGER_S)
    leaving.exit()
    await asyncio.gather(*sending)
    late = [at - left_at for at in leaving.arrivals if at - left_at > DRAIN_S]
    calls = [call for client in clients for call in client.calls]
    last = max((at - left_at for at in leaving.arrivals), default=0.0)
    text = (
        f"requests that reached {leaving.name} over {DRAIN_S} s after it had left: {len(late)}, "
        f"the last of all {last:.3f} s after it; {describe(calls)}"
    )
    record.write("seen", text)
    return text if late else None


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
