"""Routing table: maps requests to services and routes by host, method and path prefix."""

from dataclasses import dataclass
from urllib.parse import unquote

from cactusvane.configuration.model import Configuration, Route, Service

AMBIGUOUS = ("\\", "\0")
"""Characters that some servers treat as a separator or as the end of the path."""


@dataclass(frozen=True, slots=True)
class Match:
    """A route and the service it belongs to."""

    service: Service
    route: Route


class RoutingTable:
    """Routes by host and path prefix.

    A lookup tries each prefix of the request's path, longest first, in one dictionary for the
    host, so its time grows with the number of path segments and not with the number of routes.

    Parameters
    ----------
    configuration
        Initial configuration.

    Examples
    --------
    >>> route = Route("/records", ("GET",), True, "record")
    >>> service = Service("records", ("records.test",), (route,), 6, 4, 4)
    >>> table = RoutingTable(Configuration((service,)))
    >>> table.find("records.test:80", "GET", "/records/7").route.kind
    'record'
    >>> table.find("records.test", "GET", "/recordsets") is None
    True
    """

    def __init__(self, configuration: Configuration = Configuration()) -> None:  # noqa: B008
        self.services: dict[str, Service] = {}
        self.hosts: dict[str, dict[str, tuple[Match, ...]]] = {}
        self.replace(configuration)

    def replace(self, configuration: Configuration) -> None:
        """Apply another configuration; services that did not change keep their entries."""
        names = {service.name for service in configuration.services}
        for name in self.services.keys() - names:
            self.remove_service(name)
        for service in configuration.services:
            if self.services.get(service.name) != service:
                self.replace_service(service)

    def replace_service(self, service: Service) -> None:
        """Replace the routes of `service`."""
        self.remove_service(service.name)
        self.services[service.name] = service
        for host in service.hosts:
            paths = self.hosts.setdefault(host, {})
            for route in service.routes:
                paths[route.path] = (*paths.get(route.path, ()), Match(service, route))

    def remove_service(self, name: str) -> None:
        """Remove the routes of the service called `name`, if it exists."""
        service = self.services.pop(name, None)
        if service is None:
            return
        for host in service.hosts:
            paths = self.hosts[host]
            for route in service.routes:
                self.remove_path(paths, route.path, name)
            if not paths:
                del self.hosts[host]

    def remove_path(self, paths: dict[str, tuple[Match, ...]], path: str, name: str) -> None:
        """Remove the routes of the service called `name` at `path`."""
        remaining = tuple(match for match in paths.get(path, ()) if match.service.name != name)
        if remaining:
            paths[path] = remaining
        else:
            paths.pop(path, None)

    def find(self, host: str, method: str, path: str) -> Match | None:
        """Return the match with the longest prefix that allows the method.

        Parameters
        ----------
        host
            Value of the ``Host`` field; a port is ignored.
        method
            HTTP method in upper case.
        path
            Path of the request, without its query.

        Returns
        -------
        Match or None
            None if no route matches, and for paths that a target might interpret differently.
        """
        paths = self.hosts.get(host.partition(":")[0].lower())
        prefix = normalize(path)
        if paths is None or prefix is None:
            return None
        while True:
            for match in paths.get(prefix, ()):
                if method in match.route.methods:
                    return match
            if prefix == "/":
                return None
            prefix = prefix.rpartition("/")[0] or "/"


def normalize(path: str) -> str | None:
    """Return the path to compare with routes, or None for an ambiguous path.

    A target may resolve dot segments, decode escapes or merge slashes (RFC 3986, section 6.2), and
    so run a different request than the route allows; such paths match no route.

    Examples
    --------
    >>> normalize("/%62ookings/7/")
    '/bookings/7'
    >>> normalize("/records/%2e%2e/bookings") is None
    True
    """
    plain = unquote(path) if "%" in path else path
    if plain == "/":
        return plain
    if not plain.startswith("/") or plain.count("/") != path.count("/"):
        return None
    plain = plain.removesuffix("/")
    if "//" in plain or any(character in plain for character in AMBIGUOUS):
        return None
    if "/." in plain and any(part in (".", "..") for part in plain.split("/")):
        return None
    return plain
