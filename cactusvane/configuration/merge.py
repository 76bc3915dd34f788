"""Join operators' changes with what others published meanwhile."""

from collections.abc import Mapping
from dataclasses import dataclass

from cactusvane.configuration.check import check_together
from cactusvane.configuration.digest import digest_service
from cactusvane.configuration.model import Configuration, Service
from cactusvane.errors import ConfigurationConflictError


@dataclass(frozen=True, slots=True)
class Change:
    """What one operator wants to publish.

    Parameters
    ----------
    services
        Their files.
    removed
        Names of services to take out.
    base
        Content digest of each service as the operator last saw it published, by name; a service
        that is missing here was not published when they looked.
    overwrite
        Whether their word stands against what others published meanwhile.
    """

    services: tuple[Service, ...] = ()
    removed: tuple[str, ...] = ()
    base: Mapping[str, str] | None = None
    overwrite: bool = False


def merge(current: Configuration, change: Change) -> Configuration:
    """Return `current` with what `change` changes; services that it left alone stay.

    Raises
    ------
    ConfigurationConflictError
        Both changed the same service; names it.
    ServiceFileError
        The services do not go together.
    """
    conflicts = find_conflicts(current, change)
    if conflicts and not change.overwrite:
        raise ConfigurationConflictError(conflicts)
    merged = {service.name: service for service in current.services}
    for service in change.services:
        if is_changed(service, change):
            merged[service.name] = service
    for name in change.removed:
        merged.pop(name, None)
    return check_together({f"{name}.json": service for name, service in merged.items()})


def is_changed(service: Service, change: Change) -> bool:
    """Say whether the operator changed `service` since they last saw it published."""
    return (change.base or {}).get(service.name) != digest_service(service)


def find_conflicts(current: Configuration, change: Change) -> tuple[str, ...]:
    """Return names of services that the operator and someone else changed differently."""
    base = change.base or {}
    published = digest_services(current)
    wanted: dict[str, str | None] = {
        service.name: digest_service(service)
        for service in change.services
        if is_changed(service, change)
    }
    wanted.update(dict.fromkeys(change.removed))
    return tuple(
        sorted(
            name
            for name, digest in wanted.items()
            if published.get(name) not in (base.get(name), digest)
        )
    )


def digest_services(configuration: Configuration) -> dict[str, str]:
    """Return the content digest of each service by name."""
    return {service.name: digest_service(service) for service in configuration.services}
