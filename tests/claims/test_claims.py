import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import pytest

from cactusvane.claims import claims as claims_module
from cactusvane.claims.claims import AlreadyRan, Claims, GrantedClaim
from cactusvane.claims.record import MAX_STORED_RESPONSE_BYTES, to_stored_response
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
    monkeypatch.setattr(claims_module, "RELEASE_DELAY_MS", 0.0)
    monkeypatch.setattr(claims_module, "RETRY_DELAY_MS", 1.0)
    monkeypatch.setattr(claims_module, "POLL_DELAYS_MS", (1.0, 1.0))

    def start(check: Check) -> None:
        platform = FakePlatform()
        clock = ManualClock()
        asyncio.run(check(platform, lambda vm: Claims(platform, clock, Random(vm), vm)))  # type: ignore[arg-type]

    return start


async def acquire_claim(claims: Claims, **options: bool) -> GrantedClaim:
    granted = await claims.begin(service(), REQUEST, KEY, 1_000.0, **options)
    assert isinstance(granted, GrantedClaim)
    return granted


async def rejection(
    claims: Claims, request: Request = REQUEST, first_attempt: bool = False
) -> RequestError:
    with pytest.raises(RequestError) as caught:
        await claims.begin(service(), request, KEY, 1_000.0, first_attempt)
    return caught.value


async def writes_done(claims: Claims) -> None:
    while claims.tasks:
        await asyncio.gather(*claims.tasks)


def test_repeat_gets_the_stored_response_at_any_vm(run):
    async def check(platform, at):
        one, two = at("vm-1"), at("vm-2")
        one.finish(await acquire_claim(one), Verdict.RAN, to_stored_response(RESPONSE))
        await writes_done(one)
        for claims in (one, two):
            already_ran = await claims.begin(service(), REQUEST, KEY, 1_000.0)
            assert isinstance(already_ran, AlreadyRan)
            assert already_ran.response.body == b"booked"
        other = Request("POST", "/bookings", ((b"authorization", b"member 8"),), b"heater 3")
        for claims in (one, two):
            assert (await rejection(claims, other)).status == 422

    run(check)


def test_proof_of_not_run_releases_the_key(run):
    async def check(platform, at):
        one, two = at("vm-1"), at("vm-2")
        one.finish(await acquire_claim(one), Verdict.NOT_RUN, None)
        await writes_done(one)
        assert (await acquire_claim(two)).version == 3

    run(check)


def test_repeat_at_the_same_vm_waits_for_the_response(run):
    async def check(platform, at):
        one = at("vm-1")
        granted = await acquire_claim(one)
        repeat = asyncio.create_task(one.begin(service(), REQUEST, KEY, 1_000.0))
        await asyncio.sleep(0)
        one.finish(granted, Verdict.RAN, to_stored_response(RESPONSE))
        assert isinstance(await repeat, AlreadyRan)
        await one.drain(1_000.0)
        assert not one.tasks

    run(check)


def test_delayed_release_does_not_overwrite_the_next_claim(run):
    async def check(platform, at):
        one, two = at("vm-1"), at("vm-2")
        granted = await acquire_claim(one)
        platform.faults = Faults(lose_answers=1)
        one.finish(granted, Verdict.NOT_RUN, None)
        while platform.faults.lose_answers:
            await asyncio.sleep(0)
        await acquire_claim(two)
        await writes_done(one)
        assert (await rejection(at("vm-3"))).verdict is Verdict.MAY_HAVE_RUN

    run(check)


def test_key_that_may_have_run_stays_claimed(run):
    async def check(platform, at):
        one, two = at("vm-1"), at("vm-2")
        one.finish(await acquire_claim(one), Verdict.MAY_HAVE_RUN, None)
        for claims in (one, two):
            assert (await rejection(claims)).verdict is Verdict.MAY_HAVE_RUN

    run(check)


def test_lost_response_to_a_claim_is_resolved_by_its_nonce(run):
    async def check(platform, at):
        platform.faults = Faults(lose_answers=1)
        assert (await acquire_claim(at("vm-1"))).version == 1

    run(check)


def test_verdicts_while_the_table_is_down(run):
    async def check(platform, at):
        platform.faults = Faults(down=True)
        assert (await rejection(at("vm-1"), first_attempt=True)).verdict is Verdict.NOT_RUN
        assert (await rejection(at("vm-2"))).verdict is Verdict.MAY_HAVE_RUN
        claims = at("vm-3")
        granted = await claims.begin(service(KeyedPolicy.SERVE), REQUEST, KEY, 1_000.0)
        assert isinstance(granted, GrantedClaim)
        assert granted.reported_verdict(Verdict.NOT_RUN) is Verdict.MAY_HAVE_RUN
        assert (await rejection(claims)).code == "key-in-progress"
        claims.finish(granted, Verdict.RAN, to_stored_response(RESPONSE))
        platform.faults = Faults()
        await writes_done(claims)
        assert isinstance(await at("vm-4").begin(service(), REQUEST, KEY, 1_000.0), AlreadyRan)

    run(check)


def test_claim_written_without_confirmation_is_released(run):
    async def check(platform, at):
        one = at("vm-1")
        platform.faults = Faults(lose_answers=1_000)
        await rejection(one)
        platform.faults = Faults()
        await writes_done(one)
        assert (await acquire_claim(at("vm-2"))).version == 3

    run(check)


def test_paused_holder_may_not_send_after_its_lease(run):
    async def check(platform, at):
        claims = at("vm-1")
        granted = await acquire_claim(claims)
        assert granted.may_send(claims.clock.now())
        claims.clock.advance(1_000.0)
        assert not granted.may_send(claims.clock.now())

    run(check)


def test_claim_writes_stay_within_the_budget(run):
    async def check(platform, at):
        claims = at("vm-1")
        claims.budget.vms = 300
        claims.budget.tokens = 2.0
        await acquire_claim(claims)
        claims.recent.clear()
        assert (await rejection(claims)).code == "claims-busy"
        claims.clock.advance(2_000.0)
        assert (await rejection(claims)).code == "key-in-progress"

    run(check)


def test_response_too_large_to_store_is_reported_as_ran(run):
    async def check(platform, at):
        one = at("vm-1")
        large = Response(201, (), b"x" * (MAX_STORED_RESPONSE_BYTES + 1))
        one.finish(await acquire_claim(one), Verdict.RAN, to_stored_response(large))
        await writes_done(one)
        for claims in (one, at("vm-2")):
            assert (await rejection(claims)).verdict is Verdict.RAN

    run(check)
