"""Choice of targets by the state that the entries of a failure domain share."""

from collections.abc import Callable

from cactusvane.clock import Clock
from cactusvane.configuration.model import Configuration
from cactusvane.fleet.vm import Vm
from cactusvane.placement.admission import SharedAdmission
from cactusvane.placement.domain import Domain
from cactusvane.request.admission import Admission
from cactusvane.request.budget import RetryLimiter


class SharedPlacer:
    """Admissions of all services of one entry; suited to few requests per second.

    Parameters
    ----------
    domain
        The state that the entries share.
    clock
        Monotonic clock of the process.
    schedule_update
        Called when there is something to send to the other entries, with whether it is urgent.
    """

    def __init__(
        self, domain: Domain, clock: Clock, schedule_update: Callable[[bool], None]
    ) -> None:
        self.domain = domain
        self.clock = clock
        self.schedule_update = schedule_update
        self.shared_admissions: dict[str, SharedAdmission] = {}
        self.admissions: dict[str, Admission] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; the state of services that stay is kept."""
        self.domain.configure(configuration, self.clock.now())
        before = self.shared_admissions
        self.shared_admissions = {
            name: before.get(name)
            or SharedAdmission(placement, self.domain, self.clock, self.schedule_update)
            for name, placement in self.domain.placements.items()
        }
        self.admissions = dict(self.shared_admissions)

    def retry_limiter(self, service: str) -> RetryLimiter:
        """Return the retry budget of a service, shared by the failure domain."""
        return self.domain.retries[service]

    def update_vms(self, listed: dict[str, tuple[Vm, ...]]) -> None:
        """Apply a new list of targets by service."""
        self.domain.set_targets(listed, self.clock.now())

    def tick(self) -> None:
        """Drop the loads of entries that stopped sending updates."""
        self.domain.expire(self.clock.now())

    def wake(self) -> None:
        """Wake waiting requests so that they are placed again."""
        for admission in self.shared_admissions.values():
            admission.wake()
