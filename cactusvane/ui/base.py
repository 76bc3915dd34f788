"""Stores the digests of the services as last published by an operator, next to their files."""

from pathlib import Path

import msgspec

from cactusvane.configuration.digest import digest_service
from cactusvane.configuration.merge import Change, digest_services
from cactusvane.configuration.model import Configuration
from cactusvane.errors import InputError

BASE_FILE = ".cactusvane-base.json"


def read_base(directory: Path) -> dict[str, str]:
    """Return the digest of each service by name, or an empty dict without a base file.

    Raises
    ------
    InputError
        If the file exists but cannot be read or decoded.
    """
    try:
        return msgspec.json.decode((directory / BASE_FILE).read_bytes(), type=dict[str, str])
    except FileNotFoundError:
        return {}
    except (OSError, msgspec.DecodeError) as error:
        raise InputError(f"{directory / BASE_FILE}: {error}; remove it or restore it") from error


def write_base(directory: Path, change: Change, accepted: Configuration) -> None:
    """Write the digests of the services that were published as in the files of this operator.

    Parameters
    ----------
    directory
        Directory of the service files.
    change
        Change that was published.
    accepted
        Configuration that the platform accepted.

    Raises
    ------
    InputError
        If the file cannot be written.
    """
    base = dict(change.base or {})
    published = digest_services(accepted)
    for service in change.services:
        if published.get(service.name) == digest_service(service):
            base[service.name] = published[service.name]
    for name in change.removed:
        if name not in published:
            base.pop(name, None)
    try:
        (directory / BASE_FILE).write_bytes(msgspec.json.encode(base, order="sorted") + b"\n")
    except OSError as error:
        raise InputError(f"published, but {directory / BASE_FILE}: {error.strerror}") from error
