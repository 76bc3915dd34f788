"""Content digests of stored objects and of services."""

from hashlib import sha256

import msgspec

from cactusvane.configuration.model import Service


def digest(data: bytes) -> str:
    """Return the SHA-256 digest of `data` in hexadecimal."""
    return sha256(data).hexdigest()


def digest_service(service: Service) -> str:
    """Return the content digest of one service, taken from its JSON encoding."""
    return digest(msgspec.json.encode(service))
