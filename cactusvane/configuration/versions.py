"""Selection of the published version that a VM activates, as a state machine.

Performs no I/O: the caller executes the returned commands and reports their results.
"""

from dataclasses import dataclass

from cactusvane.configuration.digest import digest
from cactusvane.configuration.model import Head

BOOTSTRAP_DOMAINS = 2
"""Number of failure domains that must offer a head before a VM activates its first version
without the platform."""


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The platform's table contains this head."""

    head: Head


@dataclass(frozen=True, slots=True)
class HeadOffered:
    """Another VM, in the given failure domain, has this head active."""

    head: Head
    failure_domain: str


@dataclass(frozen=True, slots=True)
class ObjectRead:
    """A fetch ended; `data` is None if the object was not found."""

    head: Head
    data: bytes | None


VersionEvent = HeadRead | HeadOffered | ObjectRead


@dataclass(frozen=True, slots=True)
class Fetch:
    """Fetch the object of `head`, then report `ObjectRead`."""

    head: Head


@dataclass(frozen=True, slots=True)
class Activate:
    """Activate the configuration with the root object `data`."""

    head: Head
    data: bytes


@dataclass(frozen=True, slots=True)
class Reject:
    """A head or an object was rejected; to be logged for the operators."""

    head: Head
    reason: str


VersionCommand = Fetch | Activate | Reject


class VersionSelector:
    """Selects the active version of one VM, which never decreases.

    Parameters
    ----------
    bootstrap_domains
        Number of failure domains that must offer a head before peers alone decide the first
        version.
    """

    def __init__(self, bootstrap_domains: int = BOOTSTRAP_DOMAINS) -> None:
        self.bootstrap_domains = bootstrap_domains
        self.head: Head | None = None
        self.fetching: Head | None = None
        self.offers: dict[str, Head] = {}

    @property
    def version(self) -> int:
        """The active version, or 0 if there is none."""
        return self.head.version if self.head else 0

    def handle(self, event: VersionEvent) -> tuple[VersionCommand, ...]:
        """Handle one event and return the commands for the caller."""
        match event:
            case HeadRead(head):
                return self.consider(head)
            case HeadOffered(head, failure_domain):
                return self.handle_offer(head, failure_domain)
            case ObjectRead(head, data):
                return self.handle_object(head, data)

    def handle_offer(self, head: Head, failure_domain: str) -> tuple[VersionCommand, ...]:
        """Handle a peer's head; a VM without one waits for offers of several failure domains."""
        if self.head:
            return self.consider(head)
        best = self.offers.get(failure_domain)
        if best is None or head.version > best.version:
            self.offers[failure_domain] = head
        if len(self.offers) < self.bootstrap_domains:
            return ()
        return self.consider(max(self.offers.values(), key=lambda offer: offer.version))

    def consider(self, head: Head) -> tuple[VersionCommand, ...]:
        """Return the command to fetch a higher version, unless it is already being fetched."""
        if self.head and head.version == self.head.version and head.digest != self.head.digest:
            return (Reject(head, "another digest for the active version"),)
        if head.version <= self.version:
            return ()
        if self.fetching and self.fetching.version >= head.version:
            return ()
        self.fetching = head
        return (Fetch(head),)

    def handle_object(self, head: Head, data: bytes | None) -> tuple[VersionCommand, ...]:
        """Activate an object if its version is higher and its digest matches."""
        if self.fetching == head:
            self.fetching = None
        if data is None:
            return (Reject(head, "the object was not found"),)
        if digest(data) != head.digest:
            return (Reject(head, "the digest does not match"),)
        if head.version <= self.version:
            return ()
        self.head = head
        self.offers.clear()
        return (Activate(head, data),)
