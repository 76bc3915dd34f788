"""Which published version a VM takes; no sockets and no wall clock."""

from dataclasses import dataclass

from cactusvane.configuration.digest import digest
from cactusvane.configuration.model import Head

BOOTSTRAP_DOMAINS = 2
"""Failure domains that must be heard before peers alone decide the first version."""


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The platform's table shows this head."""

    head: Head


@dataclass(frozen=True, slots=True)
class HeadOffered:
    """Another VM has this head in force."""

    head: Head
    failure_domain: str


@dataclass(frozen=True, slots=True)
class ObjectRead:
    """A fetch ended; `data` is None where nobody had the object."""

    head: Head
    data: bytes | None


VersionEvent = HeadRead | HeadOffered | ObjectRead


@dataclass(frozen=True, slots=True)
class Fetch:
    """Fetch the object of `head`, then report `ObjectRead`."""

    head: Head


@dataclass(frozen=True, slots=True)
class Adopt:
    """Put `data` in force."""

    head: Head
    data: bytes


@dataclass(frozen=True, slots=True)
class Reject:
    """Something was not taken, which operators should know."""

    head: Head
    reason: str


VersionCommand = Fetch | Adopt | Reject


class VersionSelector:
    """The version in force at one VM; it only grows.

    Parameters
    ----------
    bootstrap_domains
        Failure domains that must be heard before peers alone decide the first version.
    """

    def __init__(self, bootstrap_domains: int = BOOTSTRAP_DOMAINS) -> None:
        self.bootstrap_domains = bootstrap_domains
        self.head: Head | None = None
        self.fetching: Head | None = None
        self.offers: dict[str, Head] = {}

    @property
    def version(self) -> int:
        """The version in force, 0 for none."""
        return self.head.version if self.head else 0

    def handle(self, event: VersionEvent) -> tuple[VersionCommand, ...]:
        """Take in one event and return what the caller has to do."""
        match event:
            case HeadRead(head):
                return self.consider(head)
            case HeadOffered(head, failure_domain):
                return self.handle_offer(head, failure_domain)
            case ObjectRead(head, data):
                return self.handle_object(head, data)

    def handle_offer(self, head: Head, failure_domain: str) -> tuple[VersionCommand, ...]:
        """Consider a peer's head; a VM that has none waits for several failure domains."""
        if self.head:
            return self.consider(head)
        best = self.offers.get(failure_domain)
        if best is None or head.version > best.version:
            self.offers[failure_domain] = head
        if len(self.offers) < self.bootstrap_domains:
            return ()
        return self.consider(max(self.offers.values(), key=lambda offer: offer.version))

    def consider(self, head: Head) -> tuple[VersionCommand, ...]:
        """Fetch a higher version unless it is being fetched already."""
        if self.head and head.version == self.head.version and head.digest != self.head.digest:
            return (Reject(head, "another digest for the version in force"),)
        if head.version <= self.version:
            return ()
        if self.fetching and self.fetching.version >= head.version:
            return ()
        self.fetching = head
        return (Fetch(head),)

    def handle_object(self, head: Head, data: bytes | None) -> tuple[VersionCommand, ...]:
        """Put an object in force if its version is higher and its digest fits."""
        if self.fetching == head:
            self.fetching = None
        if data is None:
            return (Reject(head, "nobody has the object"),)
        if digest(data) != head.digest:
            return (Reject(head, "the digest does not fit"),)
        if head.version <= self.version:
            return ()
        self.head = head
        self.offers.clear()
        return (Adopt(head, data),)
