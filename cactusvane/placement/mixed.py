"""Which services get requests that are likely to cost very different amounts of work.

Routes say it by their latency objectives: operators give a longer objective to longer requests.
Performs no I/O.
"""

from collections.abc import Iterator

from cactusvane.configuration.model import Configuration, Route

MIN_OBJECTIVE_RATIO = 2.0
"""Longest latency objective of a service's routes as a multiple of the shortest from which its
requests count as different; half of that is within the variation of requests of one kind."""


def mixed_services(configuration: Configuration) -> frozenset[str]:
    """Return the names of the services whose routes differ much in their latency objectives.

    Examples
    --------
    >>> from cactusvane.configuration.model import Rule, Share
    >>> short = Route("/a/", ("*",), True, "short", latency_ms=400)
    >>> long = Route("/b/", ("*",), True, "long", latency_ms=1_500)
    >>> rules = tuple(
    ...     Rule("a.test", route.path, route, (Share(name, 1),))
    ...     for route, name in ((short, "s"), (long, "s"), (long, "t"))
    ... )
    >>> sorted(mixed_services(Configuration(rules=rules)))
    ['s']
    """
    shortest: dict[str, int] = {}
    longest: dict[str, int] = {}
    for service, route in routes_by_service(configuration):
        latency_ms = route.latency_ms
        shortest[service] = min(latency_ms, shortest.get(service, latency_ms))
        longest[service] = max(latency_ms, longest.get(service, latency_ms))
    return frozenset(
        name for name in shortest if longest[name] >= MIN_OBJECTIVE_RATIO * shortest[name]
    )


def routes_by_service(configuration: Configuration) -> Iterator[tuple[str, Route]]:
    """Return each route with the name of each service that gets requests of it."""
    for service in configuration.services:
        for route in service.routes:
            yield service.name, route
    for rule in configuration.rules:
        for share in rule.shares:
            if share.weight > 0:
                yield share.service, rule.route
