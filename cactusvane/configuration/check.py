"""Validation of service files, one by one and against each other."""

import ipaddress
import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from cactusvane.configuration.model import Configuration, Service
from cactusvane.errors import ServiceFileError
from cactusvane.settings import MAX_PORT

METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH")
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
"""Methods that RFC 9110, section 9.2.2, defines as idempotent."""

SUFFIX = ".json"

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Fault:
    """A validation error in a file.

    Parameters
    ----------
    path
        Location in the file, for example ``routes[0].path``.
    value
        The invalid value.
    remedy
        How to correct it.
    """

    path: str
    value: object
    remedy: str


def parse(file: str, data: bytes, kind: type[T]) -> T:
    """Parse JSON strictly as `kind`.

    Imports pydantic in the function, since daemons start without it.

    Raises
    ------
    ServiceFileError
        With the file, the location in it, the invalid value, and how to correct it.
    """
    from pydantic import TypeAdapter, ValidationError

    try:
        return TypeAdapter(kind).validate_json(data)
    except ValidationError as error:
        first = error.errors(include_url=False, include_context=False)[0]
        fault = Fault(locate(first["loc"]), first["input"], remedy(first["type"], first["msg"]))
        raise to_error(file, fault) from None


def remedy(kind: str, message: str) -> str:
    """Return how to correct an error that pydantic reported.

    Parameters
    ----------
    kind
        Pydantic's error type.
    message
        Pydantic's error message.
    """
    match kind:
        case "unexpected_keyword_argument":
            return "there is no such field; remove it or correct its name"
        case "missing" | "missing_argument":
            return "add this field"
        case "json_invalid":
            return f"write valid JSON ({message})"
        case _:
            return message[:1].lower() + message[1:]


def locate(location: tuple[int | str, ...]) -> str:
    """Return pydantic's error location as text.

    Examples
    --------
    >>> locate(("routes", 0, "path"))
    'routes[0].path'
    """
    text = ""
    for part in location:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".") or "(whole file)"


def to_error(file: str, fault: Fault) -> ServiceFileError:
    """Return the error that reports `fault`."""
    value = fault.value
    if isinstance(value, bytes):
        value = value.decode(errors="replace")
    text = json.dumps(value, ensure_ascii=False, default=str)
    return ServiceFileError(
        file, fault.path, text if len(text) < 80 else text[:77] + "...", fault.remedy
    )


def check_service(file: str, data: bytes) -> Service:
    """Validate one service file.

    Parameters
    ----------
    file
        File name for error messages.
    data
        Content of the file.

    Raises
    ------
    ServiceFileError
        For the first fault found.
    """
    service = parse(file, data, Service)
    for fault in find_faults(service):
        raise to_error(file, fault)
    return service


def find_faults(service: Service) -> Iterator[Fault]:
    """Yield the faults of a service that its types do not exclude."""
    yield from find_host_faults(service)
    yield from find_route_faults(service)
    yield from find_capacity_faults(service)
    yield from find_leaving_faults(service)
    yield from find_objective_faults(service)


def find_host_faults(service: Service) -> Iterator[Fault]:
    """Yield faults of the host names."""
    for index, host in enumerate(service.hosts):
        if host != host.lower() or any(character in host for character in ":/ "):
            yield Fault(f"hosts[{index}]", host, "write the host in lower case and without a port")
        if host in service.hosts[:index]:
            yield Fault(f"hosts[{index}]", host, "list each host once")


def find_route_faults(service: Service) -> Iterator[Fault]:
    """Yield faults of the routes."""
    seen: set[tuple[str, str]] = set()
    for index, route in enumerate(service.routes):
        location = f"routes[{index}]"
        yield from find_path_faults(f"{location}.path", route.path)
        for method in route.methods:
            if method not in METHODS:
                yield Fault(f"{location}.methods", method, f"use one of {', '.join(METHODS)}")
            if (route.path, method) in seen:
                yield Fault(location, f"{method} {route.path}", "declare each path and method once")
            seen.add((route.path, method))
        unsafe = set(route.methods) - IDEMPOTENT_METHODS
        if route.idempotent and unsafe and unsafe != set(route.methods):
            remedy = f"put {', '.join(sorted(unsafe))} in a separate route"
            yield Fault(f"{location}.idempotent", True, remedy)


def find_path_faults(location: str, path: str) -> Iterator[Fault]:
    """Yield faults of one path prefix."""
    if not path.startswith("/"):
        yield Fault(location, path, "begin the path with /")
    if path != "/" and path.endswith("/"):
        yield Fault(location, path, "end the path without /; it matches complete segments anyway")
    if any(part in (".", "..") for part in path.split("/")) or "//" in path:
        yield Fault(location, path, "write the path without empty or dot segments")
    if any(character in path for character in "%?#\\ "):
        yield Fault(location, path, "write the path without escapes, query or spaces")


def find_capacity_faults(service: Service) -> Iterator[Fault]:
    """Yield faults of floor, slots and connections."""
    if service.floor >= service.targets > 1:
        yield Fault("floor", service.floor, f"choose at most {service.targets - 1}, below targets")
    if service.floor > service.targets:
        yield Fault("floor", service.floor, f"choose at most {service.targets}")
    if service.connections < service.slots:
        yield Fault(
            "connections", service.connections, f"allow at least {service.slots}, the slots"
        )


def find_leaving_faults(service: Service) -> Iterator[Fault]:
    """Yield faults of the `leaving` section."""
    leaving = service.leaving
    for index, target in enumerate(leaving.targets):
        if not is_address(target):
            yield Fault(
                f"leaving.targets[{index}]", target, "write an IP number and a port, ip:port"
            )
    if service.targets > 1 and len(set(leaving.targets)) > service.targets - service.floor:
        remedy = f"let at most {service.targets - service.floor} leave at once, or lower the floor"
        yield Fault("leaving.targets", list(leaving.targets), remedy)
    longest = max(route.deadline_ms for route in service.routes)
    if leaving.drain_ms < longest:
        remedy = f"allow at least {longest}, the longest deadline_ms of the routes"
        yield Fault("leaving.drain_ms", leaving.drain_ms, remedy)


def find_objective_faults(service: Service) -> Iterator[Fault]:
    """Yield faults of the objectives."""
    kinds = {route.kind for route in service.routes}
    seen: set[str] = set()
    for index, objective in enumerate(service.objectives):
        location = f"objectives[{index}].kind"
        if objective.kind not in kinds:
            yield Fault(
                location, objective.kind, f"use a kind of the routes: {', '.join(sorted(kinds))}"
            )
        if objective.kind in seen:
            yield Fault(location, objective.kind, "give each kind one objective")
        seen.add(objective.kind)


def is_address(text: str) -> bool:
    """Return whether `text` is ``ip:port``.

    Examples
    --------
    >>> is_address("10.0.0.7:8080"), is_address("host:8080")
    (True, False)
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) <= MAX_PORT


def check_together(files: dict[str, Service]) -> Configuration:
    """Validate services against each other and return them as a configuration.

    Parameters
    ----------
    files
        Services by file name.

    Raises
    ------
    ServiceFileError
        Two services have the same name or the same route.
    """
    names: dict[str, str] = {}
    routes: dict[tuple[str, str, str], str] = {}
    for file, service in files.items():
        other = names.setdefault(service.name, file)
        if other != file:
            raise to_error(file, Fault("name", service.name, f"{other} has this name already"))
        for index, key in route_keys(service):
            other = routes.setdefault(key, file)
            if other != file:
                text = " ".join(key)
                raise to_error(file, Fault(f"routes[{index}]", text, f"{other} has it already"))
    return Configuration(tuple(sorted(files.values(), key=lambda service: service.name)))


def route_keys(service: Service) -> Iterator[tuple[int, tuple[str, str, str]]]:
    """Yield each route's index with each method, host and path that it matches."""
    for index, route in enumerate(service.routes):
        for host in service.hosts:
            for method in route.methods:
                yield index, (method, host, route.path)


def read_files(paths: list[Path]) -> dict[str, Service]:
    """Read and validate service files one by one; return the services by file name.

    Raises
    ------
    ServiceFileError
        A file cannot be read or is invalid.
    """
    services: dict[str, Service] = {}
    for path in paths:
        try:
            data = path.read_bytes()
        except OSError as error:
            text = error.strerror or str(error)
            raise to_error(str(path), Fault("(whole file)", text, "name a readable file")) from None
        services[str(path)] = check_service(str(path), data)
    return services


def find_service_files(directory: Path) -> list[Path]:
    """Return the service files below `directory`, sorted by path; hidden files are skipped."""
    return sorted(path for path in directory.rglob(f"*{SUFFIX}") if not path.name.startswith("."))
