"""Settings of one daemon, with all their defaults."""

from dataclasses import dataclass, field, replace
from typing import Annotated, ClassVar

from annotated_types import Ge, Gt, Le, MinLen

from cactusvane.configuration.model import STRICT
from cactusvane.errors import SettingsError
from cactusvane.fleet.vm import Address
from cactusvane.request.budget import RetrySettings

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on HTTP connections, requests and responses.

    Parameters
    ----------
    connections
        Maximum number of concurrent connections of callers.
    head_bytes
        Maximum size of the head of a request or a response.
    body_bytes
        Maximum size of the body of a request.
    buffer_bytes
        Maximum size of a response body that is buffered completely; larger ones are streamed.
    head_ms
        Time within which a caller must send a complete head, in milliseconds.
    body_ms
        Time within which a caller must send a complete body, and read a part of what waits to be
        sent to it, in milliseconds.
    idle_ms
        Time after which a caller's idle connection is closed, in milliseconds.
    stall_ms
        Time without a byte after which a caller's unfinished body is rejected, in milliseconds.
    side_connections
        Maximum number of concurrent connections at each address that is not for callers.
    pipelined
        Maximum number of requests that run concurrently behind an earlier one of the same
        connection, over all connections; further ones wait for the earlier one's response.
    address_share
        Maximum share of the connections, and of the memory for bodies, that one client address may
        have; 1 for no limit.
    connect_ms
        Timeout for opening a connection to a target, in milliseconds.
    unframed
        Whether a response without a length may be ended by closing the connection.
    """

    __pydantic_config__: ClassVar = STRICT

    connections: Annotated[int, Ge(1)] = 2_000
    head_bytes: Annotated[int, Ge(256)] = 16_384
    body_bytes: Annotated[int, Ge(0)] = 1_048_576
    buffer_bytes: Annotated[int, Ge(0)] = 262_144
    head_ms: Annotated[int, Ge(1)] = 10_000
    body_ms: Annotated[int, Ge(1)] = 30_000
    idle_ms: Annotated[int, Ge(1)] = 60_000
    stall_ms: Annotated[int, Ge(1)] = 10_000
    side_connections: Annotated[int, Ge(1)] = 256
    pipelined: Annotated[int, Ge(0)] = 256
    address_share: Annotated[float, Gt(0), Le(1)] = 1.0
    connect_ms: Annotated[int, Ge(1)] = 1_000
    unframed: bool = False

    def adopt(self, configured: "HttpLimits") -> "HttpLimits":
        """Return the limits of a configuration with this VM's own limits on its resources."""
        return replace(
            configured,
            connections=self.connections,
            stall_ms=self.stall_ms,
            side_connections=self.side_connections,
            pipelined=self.pipelined,
            address_share=self.address_share,
        )

    def for_side(self) -> "HttpLimits":
        """Return the limits at an address that is not for callers."""
        return replace(self, connections=min(self.connections, self.side_connections))


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings that a daemon reads when it starts.

    Parameters
    ----------
    vm
        Name of this VM, which is never reused for another VM.
    failure_domain
        Failure domain of this VM.
    listen
        Address on which callers connect.
    peer
        Address on which other VMs connect.
    admin
        Address on which operators read status and metrics.
    platform
        Address of the platform.
    peers
        Addresses of some VMs to ask while the platform does not respond.
    region
        Region of the failure domain.
    seed
        Seed of all random choices.
    vm_list_ms, head_ms
        Interval between reads of the VM list and of the configuration's head, in milliseconds.
    http
        Limits on HTTP connections, requests and responses.
    retries
        Limits on retries.
    leaving_ms
        Time for which a stopping daemon still accepts requests, so that the load balancer and
        callers move to other VMs, in milliseconds.
    drain_ms
        Time for which it then waits for requests in flight, in milliseconds.
    memory_mb
        Memory of the process in megabytes; bodies of requests and responses take a part of it.
    strength
        Suitability of the VM for work on behalf of other VMs; VMs with higher values are preferred.
    """

    __pydantic_config__: ClassVar = STRICT

    vm: Annotated[str, MinLen(1)]
    failure_domain: Annotated[str, MinLen(1)]
    listen: Address
    peer: Address
    admin: Address
    platform: Address
    peers: tuple[Address, ...] = ()
    region: str = ""
    seed: int = 0
    vm_list_ms: Annotated[int, Ge(1)] = 1_000
    head_ms: Annotated[int, Ge(1)] = 500
    http: HttpLimits = field(default_factory=HttpLimits)
    retries: RetrySettings = field(default_factory=RetrySettings)
    leaving_ms: Annotated[int, Ge(0)] = 2_000
    drain_ms: Annotated[int, Ge(0)] = 30_000
    memory_mb: Annotated[int, Ge(64)] = 300
    strength: Annotated[int, Ge(0)] = 0

    @property
    def addresses(self) -> tuple[Address, ...]:
        """All addresses in the settings."""
        return (self.listen, self.peer, self.admin, self.platform, *self.peers)


def check_addresses(file: str, settings: Settings) -> None:
    """Check that every address consists of an IP address and a valid port.

    Raises
    ------
    SettingsError
        An address is invalid; the message names the file and the first such address.
    """
    for address in settings.addresses:
        if not address.is_numeric:
            text = f"{file}: {address}: write an IP address, since host names are not resolved"
            raise SettingsError(text)
        if not 0 <= address.port <= MAX_PORT:
            raise SettingsError(f"{file}: {address}: write a port from 0 to {MAX_PORT}")
