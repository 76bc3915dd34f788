from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusvane.configuration.model import Configuration, Route, Service
from cactusvane.configuration.routes import Match, RoutingTable

SEGMENTS = st.lists(st.sampled_from(["a", "b", "c"]), max_size=4)
PATHS = SEGMENTS.map(lambda parts: "/" + "/".join(parts))


def service(name: str, *paths: str, methods: tuple[str, ...] = ("GET",)) -> Service:
    routes = tuple(Route(path, methods, True, "kind") for path in dict.fromkeys(paths))
    return Service(name, ("host.test",), routes, 2, 1, 4)


def covers(prefix: str, path: str) -> bool:
    return prefix == "/" or path == prefix or path.startswith(prefix + "/")


def as_sets(table: RoutingTable) -> dict[str, set[Match]]:
    return {path: set(found) for path, found in table.hosts["host.test"].items()}


@settings(derandomize=True, deadline=None)
@given(st.lists(PATHS, min_size=1, max_size=6), PATHS)
def test_longest_prefix_of_complete_segments_matches(prefixes: list[str], path: str):
    match = RoutingTable(Configuration((service("s", *prefixes),))).find("host.test", "GET", path)
    fitting = [prefix for prefix in prefixes if covers(prefix, path)]
    assert (match.route.path if match else None) == max(fitting, key=len, default=None)


@settings(derandomize=True, deadline=None)
@given(st.lists(PATHS, min_size=1), st.lists(PATHS, min_size=1), st.lists(PATHS, min_size=1))
def test_replaced_configuration_equals_a_new_table(one: list[str], two: list[str], new: list[str]):
    other = service("other", *two, methods=("PUT",))
    table = RoutingTable(Configuration((service("s", *one), other)))
    table.replace(Configuration((service("s", *new), other)))
    assert as_sets(table) == as_sets(RoutingTable(Configuration((other, service("s", *new)))))
    table.replace(Configuration(()))
    assert table.hosts == {}


def test_change_of_one_service_keeps_the_entries_of_others():
    kept = service("kept", "/kept")
    table = RoutingTable(Configuration((kept, service("s", "/a"))))
    before = table.hosts["host.test"]["/kept"]
    table.replace(Configuration((replace(kept), service("s", "/b"))))
    assert table.hosts["host.test"]["/kept"] is before


@pytest.mark.parametrize(
    "path",
    [
        "/records/../bookings",
        "/records/%2e%2e/bookings",
        "/records/.",
        "/records//x",
        "/records/%2Fx",
        "/records\\x",
        "/records/%5c..",
        "/records/%00",
        "records",
        "*",
        "",
    ],
)
def test_ambiguous_paths_match_no_route(path: str):
    table = RoutingTable(Configuration((service("s", "/", "/records"),)))
    assert table.find("host.test", "GET", path) is None


def test_escapes_do_not_bypass_a_route():
    bookings = Route("/bookings", ("POST",), False, "booking")
    rest = Route("/", ("POST",), True, "rest")
    table = RoutingTable(Configuration((Service("s", ("host.test",), (rest, bookings), 2, 1, 4),)))
    match = table.find("HOST.test:8080", "POST", "/%62ookings/7")
    assert match is not None
    assert match.route is bookings
