import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import pytest

from cactusvane.claims import claims as shell
from cactusvane.claims.claims import Claims, Held, Recorded
from cactusvane.claims.record import OUTCOME_BYTES, to_outcome
from cactusvane.clock import ManualClock
from cactusvane.configuration.model import KeyedPolicy, Route, Service
from cactusvane.errors import RequestError
from cactusvane.http.message import Request, Response
from cactusvane.verdict import Verdict
from standins.store import Faults
from tests.fakes import FakePlatform

ROUTE = Route("/bookings", ("POST",), False, "booking")
REQUEST = Request("POST", "/bookings", ((b"authorization", b"member 7"),), b"heater 3")
KEY = b"key-1"
RESPONSE = Response(201, [(b"content-type", b"text/plain")], b"booked")
Check = Callable[[FakePlatform, Callable[[str], Claims]], Awaitable[None]]


def service(policy: KeyedPolicy = KeyedPolicy.REFUSE) -> Service:
    return Service("booking", ("b.test",), (ROUTE,), 3, 2, 4, keyed_while_table_down=policy)


@pytest.fixture
def run(monkeypatch: pytest.MonkeyPatch) -> Callable[[Check], None]:
    monkeypatch.setattr(shell, "RELEASE_PAUSE_MS", 0.0)
    monkeypatch.setattr(shell, "RETRY_MS", 1.0)
    monkeypatch.setattr(shell, "WAITS_MS", (1.0, 1.0))

    def start(check: Check) -> None:
        platform = FakePlatform()
        clock = ManualClock()
        asyncio.run(check(platform, lambda vm: Claims(platform, clock, Random(vm), vm)))  # type: ignore[arg-type]

    return start


async def hold(claims: Claims, **options: bool) -> Held:
    held = await claims.begin(service(), REQUEST, KEY, 1_000.0, **options)
    assert isinstance(held, Held)
    return held


async def refusal(claims: Claims, request: Request = REQUEST, first: bool = False) -> RequestError:
    with pytest.raises(RequestError) as caught:
        await claims.begin(service(), request, KEY, 1_000.0, first)
    return caught.value


async def written(claims: Claims) -> None:
    while claims.tasks:
        await asyncio.gather(*claims.tasks)


def test_a_repeat_gets_the_recorded_answer_at_any_vm(run):
    async def check(platform, at):
        one, two = at("vm-1"), at("vm-2")
        one.end(await hold(one), Verdict.RAN, to_outcome(RESPONSE))
        await written(one)
        for claims in (one, two):
            recorded = await claims.begin(service(), REQUEST, KEY, 1_000.0)
            assert isinstance(recorded, Recorded)
            assert recorded.outcome.body == b"booked"
        other = Request("POST", "/bookings", ((b"authorization", b"member 8"),), b"heater 3")
        for claims in (one, two):
            assert (await refusal(claims, other)).status == 422

    run(check)


def test_a_proved_not_run_frees_the_key(run):
    async def check(platform, at):
        one, two = at("vm-1"), at("vm-2")
        one.end(await hold(one), Verdict.NOT_RUN, None)
        await written(one)
        assert (await hold(two)).version == 3

    run(check)


def test_a_repeat_at_the_same_vm_waits_for_the_outcome(run):
    async def check(platform, at):
        one = at("vm-1")
        held = await hold(one)
        repeat = asyncio.create_task(one.begin(service(), REQUEST, KEY, 1_000.0))
        await asyncio.sleep(0)
        one.end(held, Verdict.RAN, to_outcome(RESPONSE))
        assert isinstance(await repeat, Recorded)
        await one.drain(1_000.0)
        assert not one.tasks

    run(check)


def test_a_release_that_comes_late_leaves_the_next_claim_alone(run):
    async def check(platform, at):
        one, two = at("vm-1"), at("vm-2")
        held = await hold(one)
        platform.faults = Faults(lose_answers=1)
        one.end(held, Verdict.NOT_RUN, None)
        while platform.faults.lose_answers:
            await asyncio.sleep(0)
        await hold(two)
        await written(one)
        assert (await refusal(at("vm-3"))).verdict is Verdict.MAY_HAVE_RUN

    run(check)


def test_a_key_that_may_have_run_stays_claimed(run):
    async def check(platform, at):
        one, two = at("vm-1"), at("vm-2")
        one.end(await hold(one), Verdict.MAY_HAVE_RUN, None)
        for claims in (one, two):
            assert (await refusal(claims)).verdict is Verdict.MAY_HAVE_RUN

    run(check)


def test_a_lost_answer_to_the_claim_is_settled_by_its_nonce(run):
    async def check(platform, at):
        platform.faults = Faults(lose_answers=1)
        assert (await hold(at("vm-1"))).version == 1

    run(check)


def test_the_table_is_down(run):
    async def check(platform, at):
        platform.faults = Faults(down=True)
        assert (await refusal(at("vm-1"), first=True)).verdict is Verdict.NOT_RUN
        assert (await refusal(at("vm-2"))).verdict is Verdict.MAY_HAVE_RUN
        claims = at("vm-3")
        held = await claims.begin(service(KeyedPolicy.SERVE), REQUEST, KEY, 1_000.0)
        assert isinstance(held, Held)
        assert held.verdict(Verdict.NOT_RUN) is Verdict.MAY_HAVE_RUN
        assert (await refusal(claims)).code == "key-in-progress"
        claims.end(held, Verdict.RAN, to_outcome(RESPONSE))
        platform.faults = Faults()
        await written(claims)
        assert isinstance(await at("vm-4").begin(service(), REQUEST, KEY, 1_000.0), Recorded)

    run(check)


def test_a_claim_that_took_effect_unseen_is_released(run):
    async def check(platform, at):
        one = at("vm-1")
        platform.faults = Faults(lose_answers=1_000)
        await refusal(one)
        platform.faults = Faults()
        await written(one)
        assert (await hold(at("vm-2"))).version == 3

    run(check)


def test_a_paused_holder_sends_nothing_after_its_lease(run):
    async def check(platform, at):
        claims = at("vm-1")
        held = await hold(claims)
        assert held.may_send(claims.clock.now())
        claims.clock.advance(1_000.0)
        assert not held.may_send(claims.clock.now())

    run(check)


def test_writes_stay_within_the_budget(run):
    async def check(platform, at):
        claims = at("vm-1")
        claims.budget.vms = 300
        claims.budget.tokens = 2.0
        await hold(claims)
        claims.recent.clear()
        assert (await refusal(claims)).code == "claims-busy"
        claims.clock.advance(2_000.0)
        assert (await refusal(claims)).code == "key-in-progress"

    run(check)


def test_an_answer_too_large_to_keep_is_said_to_have_run(run):
    async def check(platform, at):
        one = at("vm-1")
        large = Response(201, (), b"x" * (OUTCOME_BYTES + 1))
        one.end(await hold(one), Verdict.RAN, to_outcome(large))
        await written(one)
        for claims in (one, at("vm-2")):
            assert (await refusal(claims)).verdict is Verdict.RAN

    run(check)
