"""Publishing of a configuration: writes its objects, then commits by one conditional write."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from cactusvane.clock import MS_PER_SECOND
from cactusvane.configuration.merge import Change, digest_services, merge
from cactusvane.configuration.model import Configuration, Head
from cactusvane.configuration.tree import EMPTY, Tree, build_tree, fetch_tree
from cactusvane.errors import (
    PlatformUnavailableError,
    PublishUnsettledError,
    WriteConflictError,
)
from cactusvane.store.interface import ABSENT, Platform, Row, Write

TABLE = "configuration"
HEAD_KEY = "head"
HISTORY_TABLE = "publishes"
MAX_ATTEMPTS = 6
INITIAL_BACKOFF_MS = 100.0

Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Published:
    """Result of a publish.

    Parameters
    ----------
    head
        The head that this publish wrote, or an earlier head with the same content.
    changed
        Names of services that the publish changed.
    configuration
        The configuration that `head` refers to.
    """

    head: Head
    changed: tuple[str, ...]
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Base:
    """The head as read and its configuration; the version is 0 before the first publish."""

    head: Head
    row_version: int
    tree: Tree


UNPUBLISHED = Base(Head(0, "", ""), ABSENT, EMPTY)


async def sleep_ms(ms: float) -> None:
    """Sleep for `ms` milliseconds."""
    await asyncio.sleep(ms / MS_PER_SECOND)


async def publish(
    platform: Platform, change: Change, publish_id: str, sleep: Sleep = sleep_ms
) -> Published:
    """Publish `change`; idempotent for the same `publish_id`.

    Parameters
    ----------
    platform
        The platform, which stores the configuration.
    change
        The change to publish.
    publish_id
        Unique identifier of this publish.
    sleep
        Sleeps for the given milliseconds; tests replace it.

    Raises
    ------
    ConfigurationConflictError
        Someone else changed the same service; nothing was accepted.
    PlatformUnavailableError
        The platform was down before the head was written; nothing was accepted.
    PublishUnsettledError
        The platform went down during the publish; the change may have been accepted.
    """
    accepted = await read_accepted(platform, publish_id)
    if accepted:
        tree = await fetch_tree(platform.get_object, accepted.digest)
        return Published(accepted, (), tree.configuration)
    while True:
        base = await read_base(platform)
        merged = merge(base.tree.configuration, change)
        changed = find_changed(base.tree.configuration, merged)
        if not changed and base.head.version:
            return Published(base.head, (), merged)
        tree = build_tree(merged)
        head = Head(base.head.version + 1, tree.digest, publish_id)
        await store_objects(platform, tree, base.tree, sleep)
        if await commit_head(platform, base, head, sleep):
            return Published(head, changed, merged)


async def read_accepted(platform: Platform, publish_id: str) -> Head | None:
    """Return the head that the publish wrote, or None if it was not accepted."""
    row = await platform.read(HISTORY_TABLE, publish_id)
    return decode_head(row) if row else None


async def read_head(platform: Platform) -> Head | None:
    """Return the active head, or None before the first publish."""
    row = await platform.read(TABLE, HEAD_KEY)
    return decode_head(row) if row else None


def decode_head(row: Row) -> Head:
    """Return the head that a row contains."""
    return msgspec.json.decode(row.value, type=Head)


async def read_base(platform: Platform) -> Base:
    """Return the head and its configuration."""
    row = await platform.read(TABLE, HEAD_KEY)
    if row is None:
        return UNPUBLISHED
    head = decode_head(row)
    return Base(head, row.version, await fetch_tree(platform.get_object, head.digest))


def find_changed(before: Configuration, after: Configuration) -> tuple[str, ...]:
    """Return the names of services that differ, sorted."""
    old, new = digest_services(before), digest_services(after)
    return tuple(sorted(name for name in old | new if old.get(name) != new.get(name)))


async def store_objects(platform: Platform, tree: Tree, base: Tree, sleep: Sleep) -> None:
    """Store the parts of `tree` that `base` lacks, the root last."""
    known = base.digests() if base is not EMPTY else frozenset()
    for key in (*tree.services, *tree.shards, tree.digest):
        data = tree.find(key)
        if key not in known and data is not None:
            await put_object(platform, key, data, sleep)


async def put_object(platform: Platform, key: str, data: bytes, sleep: Sleep) -> None:
    """Store an object, with retries; storing the same content twice is safe."""
    for attempt in range(MAX_ATTEMPTS):
        try:
            return await platform.put_object(key, data)
        except PlatformUnavailableError:
            if attempt == MAX_ATTEMPTS - 1:
                raise
        await sleep(INITIAL_BACKOFF_MS * 2**attempt)
    return None


async def commit_head(platform: Platform, base: Base, head: Head, sleep: Sleep) -> bool:
    """Write the new head; return whether this publish was accepted.

    One transaction writes the head and a history row for the publish id. After a lost response the
    same transaction is sent again; it cannot take effect twice, since both rows would have changed.
    A conflict is resolved by the history row, which stays when others write later heads.

    Raises
    ------
    PublishUnsettledError
        The platform did not respond; the change may have been accepted.
    """
    value = msgspec.json.encode(head).decode()
    writes = (
        Write(TABLE, HEAD_KEY, value, base.row_version),
        Write(HISTORY_TABLE, head.publish_id, value, ABSENT),
    )
    for attempt in range(MAX_ATTEMPTS):
        try:
            await platform.commit(writes)
        except WriteConflictError:
            return await was_accepted(platform, head, sleep)
        except PlatformUnavailableError:
            await sleep(INITIAL_BACKOFF_MS * 2**attempt)
        else:
            return True
    raise PublishUnsettledError(head.publish_id)


async def was_accepted(platform: Platform, head: Head, sleep: Sleep) -> bool:
    """Return after a conflict whether an earlier attempt of this publish was accepted.

    Raises
    ------
    PublishUnsettledError
        The platform did not respond; the change may have been accepted.
    """
    for attempt in range(MAX_ATTEMPTS):
        try:
            return await read_accepted(platform, head.publish_id) is not None
        except PlatformUnavailableError:
            await sleep(INITIAL_BACKOFF_MS * 2**attempt)
    raise PublishUnsettledError(head.publish_id)
