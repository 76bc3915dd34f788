"""What an operator last saw published, kept beside their files."""

from pathlib import Path

import msgspec

from cactusvane.configuration.digest import digest_service
from cactusvane.configuration.merge import Change, digest_services
from cactusvane.configuration.model import Configuration
from cactusvane.errors import InputError

BASE_FILE = ".cactusvane-base.json"


def read_base(directory: Path) -> dict[str, str]:
    """Return the digest of each service by name, empty where nothing was published from here.

    Raises
    ------
    InputError
        The file is there and cannot be read.
    """
    try:
        return msgspec.json.decode((directory / BASE_FILE).read_bytes(), type=dict[str, str])
    except FileNotFoundError:
        return {}
    except (OSError, msgspec.DecodeError) as error:
        raise InputError(f"{directory / BASE_FILE}: {error}; remove it or restore it") from error


def write_base(directory: Path, change: Change, accepted: Configuration) -> None:
    """Note which services `accepted` holds as this operator's files have them."""
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
