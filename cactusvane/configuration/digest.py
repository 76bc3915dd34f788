"""Stored form and content digest of a configuration."""

from hashlib import sha256

import msgspec

from cactusvane.configuration.model import Configuration, Service


def encode(configuration: Configuration) -> bytes:
    """Return the stored form: JSON, services by name, so equal content has equal bytes."""
    services = tuple(sorted(configuration.services, key=lambda service: service.name))
    return msgspec.json.encode(Configuration(services))


def decode(data: bytes) -> Configuration:
    """Return the configuration stored as `data`; raise `msgspec.DecodeError` for other bytes."""
    return msgspec.json.decode(data, type=Configuration)


def digest(data: bytes) -> str:
    """Return the SHA-256 of `data` in hexadecimal."""
    return sha256(data).hexdigest()


def digest_service(service: Service) -> str:
    """Return the content digest of one service."""
    return digest(msgspec.json.encode(service))
