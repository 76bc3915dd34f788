"""Hash tree of a configuration, so that a change of one service transfers little data.

The root lists the content digests of 64 shards, and a shard lists those of its services. A VM that
has one version fetches only the root, the shards and the services that differ in the next [1]_.

References
----------
.. [1] R. Merkle, "A digital signature based on a conventional encryption function", CRYPTO 1987.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from itertools import chain
from typing import TypeVar

import msgspec
import xxhash

from cactusvane.configuration.digest import digest, digest_service
from cactusvane.configuration.model import Configuration, Service
from cactusvane.errors import DigestError

SHARDS = 64
"""Number of shards of a tree; with 2,600 services a shard lists about 40."""

MAX_CONCURRENT_FETCHES = 16

FetchObject = Callable[[str], Awaitable[bytes]]
"""Returns the object with the given digest, or raises `PlatformError`."""

T = TypeVar("T", "Shard", Service)


@dataclass(frozen=True, slots=True)
class Root:
    """Content digests of all shards, by shard index."""

    shards: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ServiceDigest:
    """A service's name and content digest."""

    name: str
    digest: str


@dataclass(frozen=True, slots=True)
class Shard:
    """The services of one shard, sorted by name."""

    services: tuple[ServiceDigest, ...] = ()


@dataclass(frozen=True, slots=True)
class Tree:
    """A complete configuration with the digests of its parts.

    Parameters
    ----------
    digest
        Digest of the root, which identifies the complete content.
    root
        The root object.
    shards, services
        Shards and services by content digest.
    """

    digest: str
    root: Root
    shards: Mapping[str, Shard]
    services: Mapping[str, Service]

    @property
    def configuration(self) -> Configuration:
        """All services, sorted by name."""
        services = sorted(self.services.values(), key=lambda service: service.name)
        return Configuration(tuple(services))

    def find(self, wanted: str) -> bytes | None:
        """Return the encoded part with the digest `wanted`, or None if there is none."""
        part = self.root if wanted == self.digest else None
        found = part or self.shards.get(wanted) or self.services.get(wanted)
        return msgspec.json.encode(found) if found else None

    def digests(self) -> frozenset[str]:
        """Return the digests of all parts."""
        return frozenset((self.digest, *self.shards, *self.services))


def shard_index(name: str) -> int:
    """Return the index of the shard that a service belongs to.

    Examples
    --------
    >>> 0 <= shard_index("records") < SHARDS
    True
    """
    return xxhash.xxh64_intdigest(name.encode()) % SHARDS


def build_tree(configuration: Configuration) -> Tree:
    """Return the tree of a configuration; equal content results in an equal digest.

    Examples
    --------
    >>> build_tree(Configuration()).configuration
    Configuration(services=(), rules=(), customers=())
    """
    named: list[list[ServiceDigest]] = [[] for _ in range(SHARDS)]
    services: dict[str, Service] = {}
    for service in sorted(configuration.services, key=lambda service: service.name):
        key = digest_service(service)
        services[key] = service
        named[shard_index(service.name)].append(ServiceDigest(service.name, key))
    shards = [Shard(tuple(names)) for names in named]
    keys = [digest(msgspec.json.encode(shard)) for shard in shards]
    root = Root(tuple(keys))
    by_digest = dict(zip(keys, shards, strict=True))
    return Tree(digest(msgspec.json.encode(root)), root, by_digest, services)


EMPTY = build_tree(Configuration())
"""The tree of a configuration without services."""


async def fetch_tree(fetch: FetchObject, wanted: str, known: Tree = EMPTY) -> Tree:
    """Return the tree with the root digest `wanted`; fetch only the missing parts.

    Parameters
    ----------
    fetch
        Returns the object with a digest.
    wanted
        Digest of the root.
    known
        A tree whose parts are not fetched again.

    Raises
    ------
    PlatformError
        An object could not be fetched.
    DigestError
        An object does not match its digest.
    msgspec.DecodeError
        An object is not part of a tree.
    """
    root = (
        known.root
        if wanted == known.digest
        else msgspec.json.decode(await fetch_checked(fetch, wanted), type=Root)
    )
    shards = await fetch_missing(fetch, root.shards, known.shards, Shard)
    names = chain.from_iterable(shard.services for shard in shards.values())
    keys = (name.digest for name in names)
    services = await fetch_missing(fetch, keys, known.services, Service)
    return Tree(wanted, root, shards, services)


async def fetch_missing(
    fetch: FetchObject, wanted: Iterable[str], known: Mapping[str, T], kind: type[T]
) -> dict[str, T]:
    """Return the parts with the digests `wanted`; fetch those that `known` lacks."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)

    async def fetch_one(key: str) -> T:
        async with limit:
            return msgspec.json.decode(await fetch_checked(fetch, key), type=kind)

    keys = dict.fromkeys(wanted)
    missing = [key for key in keys if key not in known]
    fetched = await asyncio.gather(*(fetch_one(key) for key in missing))
    fresh = dict(zip(missing, fetched, strict=True))
    return {key: known[key] if key in known else fresh[key] for key in keys}


async def fetch_checked(fetch: FetchObject, key: str) -> bytes:
    """Return the object with the digest `key`.

    Raises
    ------
    DigestError
        The object has another digest.
    """
    data = await fetch(key)
    if digest(data) != key:
        raise DigestError(key)
    return data
