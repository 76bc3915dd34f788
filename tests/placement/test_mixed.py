"""Tests of which services are placed by expected work."""

from random import Random

from cactusvane.configuration.model import Configuration, Route, Rule, Service, Share
from cactusvane.placement.domain import Domain
from cactusvane.placement.settings import PlacementSettings

WHERE_MIXED = PlacementSettings(expected_work_where_mixed=True)


def rule(kind: str, latency_ms: int, service: str) -> Rule:
    route = Route(f"/{kind}/", ("*",), True, kind, latency_ms=latency_ms)
    return Rule("a.test", route.path, route, (Share(service, 1),))


def configured(*rules: Rule, settings: PlacementSettings = WHERE_MIXED) -> Domain:
    domain = Domain("e1", "a", 1, Random(1), settings)
    configure(domain, *rules)
    return domain


def configure(domain: Domain, *rules: Rule) -> None:
    services = tuple(Service(name, (), (), 1, 1, 1) for name in ("s", "t"))
    domain.configure(Configuration(services, rules), 0.0)


def test_only_a_mixed_service_is_placed_by_expected_work() -> None:
    """Guards against a change of services whose requests are alike."""
    domain = configured(rule("short", 250, "s"), rule("long", 1_000, "s"), rule("other", 900, "t"))
    assert domain.placements["s"].work is not None
    assert domain.placements["t"].work is None


def test_a_service_becomes_mixed_and_is_no_more_by_configurations() -> None:
    """Guards against estimates that are kept, or missing, after routes moved to another service."""
    domain = configured(rule("short", 250, "s"), rule("long", 1_000, "t"))
    assert domain.placements["s"].work is None
    configure(domain, rule("short", 250, "s"), rule("long", 1_000, "s"))
    learned = domain.placements["s"].work
    assert learned is not None
    configure(domain, rule("short", 250, "s"), rule("long", 1_000, "s"))
    assert domain.placements["s"].work is learned
    configure(domain, rule("short", 250, "t"), rule("long", 1_000, "s"))
    assert domain.placements["s"].work is None


def test_without_the_setting_a_mixed_service_is_placed_as_before() -> None:
    """Guards against a change of deployments that do not ask for it."""
    rules = rule("short", 250, "s"), rule("long", 1_000, "s")
    domain = configured(*rules, settings=PlacementSettings())
    assert domain.placements["s"].work is None
