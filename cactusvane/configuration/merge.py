"""Three-way merge of an operator's change with what others published in the meantime."""

from collections.abc import Mapping
from dataclasses import dataclass

from cactusvane.configuration.check import check_together
from cactusvane.configuration.digest import digest_service
from cactusvane.configuration.model import Configuration, Service
from cactusvane.errors import ConfigurationConflictError


@dataclass(frozen=True, slots=True)
class Change:
    """The change that one operator publishes.

    Parameters
    ----------
    services
        Services in the operator's files.
    removed
        Names of services to remove.
    base
        Content digest of each service as the operator last saw it published, by name; a service
        that is missing here was not published at that time.
    overwrite
        Whether the change overrides what others published in the meantime.
    """

    services: tuple[Service, ...] = ()
    removed: tuple[str, ...] = ()
    base: Mapping[str, str] | None = None
    overwrite: bool = False


def merge(current: Configuration, change: Change) -> Configuration:
    """Return `current` with `change` applied; services that the operator did not change stay.

    Raises
    ------
    ConfigurationConflictError
        The operator and someone else changed the same services, which the error names.
    ServiceFileError
        The services conflict with each other.
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
    """Return whether the operator changed `service` since they last saw it published."""
    return (change.base or {}).get(service.name) != digest_service(service)


def find_conflicts(current: Configuration, change: Change) -> tuple[str, ...]:
    """Return the names of services that the operator and someone else changed differently."""
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
