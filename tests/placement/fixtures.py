"""Targets and requests for the tests of placement."""

from random import Random

from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome
from cactusvane.placement.groups import Group
from cactusvane.placement.messages import Observation, RequestProfile
from cactusvane.placement.placement import Placement
from cactusvane.placement.rate_limits import RateLimits
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.target_notices import TargetNotices

LOCAL = "Gobabis"
REMOTE = "Witvlei"


def make_target(number: int, domain: str = LOCAL, slots: int = 4, warm_up_ms: float = 0.0) -> Vm:
    address = Address("10.0.0.1", 8_000 + number)
    return Vm(f"t{number}", address, domain, service="records", slots=slots, warm_up_ms=warm_up_ms)


def make_rate_limits() -> RateLimits:
    group = Group("e1", LOCAL, frozenset({"e1"}))
    return RateLimits("e1", lambda now: group, Random(1))


def make_placement(*vms: Vm, seed: int = 1) -> Placement:
    limits = make_rate_limits()
    placement = Placement(LOCAL, Random(seed), PlacementSettings(), limits, TargetNotices("e1"))
    placement.set_targets(vms, 0.0)
    return placement


def make_profile(
    kind: str = "read",
    priority: int = 1,
    idempotent: bool = True,
    now: float = 0.0,
    time_ms: float = 2_500.0,
    latency_ms: float = 1_000.0,
) -> RequestProfile:
    return RequestProfile(kind, priority, idempotent, now, now + time_ms, latency_ms)


def served(target: str, latency_ms: float = 400.0, kind: str = "read") -> Observation:
    return Observation(target, kind, Outcome.SERVED, latency_ms)


def failed(target: str, outcome: Outcome = Outcome.FAILED, kind: str = "read") -> Observation:
    return Observation(target, kind, outcome, 10.0)
