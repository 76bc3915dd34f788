"""Each caller gets the complete response to its own request, or notices that it is incomplete.

Entries reuse few connections to targets that send truncated, repeated or too long responses, so
that bytes of one response could reach another caller.
"""

import asyncio

from tests.processes.callers import Outcome
from tests.processes.chaos import WRONG_RESPONSES
from tests.processes.harness import temporary_fleet
from tests.processes.services import make_service
from tests.processes.verdicts import count_verdicts

MIN_CALLS = 2_000
ROUND_SECONDS = 8.0
MAX_ROUNDS = 5
"""Maximum number of rounds; on a busy machine one round has fewer calls than `MIN_CALLS`."""


def test_distinct_responses_over_few_connections_from_faulty_targets():
    async def run():
        async with temporary_fleet() as fleet:
            service = make_service("records", targets=4, floor=3)
            service.write(fleet.directory / "services")
            await fleet.start_platform()
            published = await fleet.publish(fleet.directory / "services")
            assert published.returncode == 0, published.stderr
            for _ in range(service.targets):
                name = await fleet.start_target(service.name, "Gobabis", slots=64, mean_ms=4.0)
                await fleet.set_behaviour(name, **{**WRONG_RESPONSES, "late_ms": 300.0})
            for domain in ("Gobabis", "Witvlei"):
                await fleet.start_entry(domain)
            callers = fleet.callers(seed=21, abandon_share=0.05)
            for _ in range(MAX_ROUNDS):
                await callers.run(
                    service.kinds(), sessions=24, pause_ms=10.0, seconds=ROUND_SECONDS
                )
                if len(callers.calls) > MIN_CALLS:
                    break
            return callers.calls, fleet.ledgers()

    calls, ledgers = asyncio.run(run())
    verdicts = count_verdicts(calls, ledgers, [])
    print(verdicts.to_json())
    assert [call for call in calls if call.told is Outcome.FOREIGN] == []
    assert verdicts.good()
    assert verdicts.sent > MIN_CALLS
    assert verdicts.whole > verdicts.sent / 2
