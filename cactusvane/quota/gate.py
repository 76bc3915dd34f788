"""Admission of customers' requests by the quotas of the whole fleet."""

from collections.abc import Callable
from math import inf
from random import Random

from msgspec.structs import replace

from cactusvane.clock import Clock
from cactusvane.configuration.model import Configuration, Customer
from cactusvane.errors import RequestError
from cactusvane.fleet_settings import FleetLimits
from cactusvane.metrics import QuotaCounts
from cactusvane.placement.domain import Domain
from cactusvane.placement.group_reports import GroupReports
from cactusvane.placement.messages import DomainReport
from cactusvane.quota.decisions import Admitted, Rejected
from cactusvane.quota.log import RejectionLog
from cactusvane.quota.quotas import FleetQuotas
from cactusvane.quota.settings import QuotaSettings
from cactusvane.verdict import Verdict

MIN_CAPACITY_SHARE = 0.4
"""Share of a quota's slack that the buckets of small customers are enlarged by."""

EXPIRING_KEYS_MS = 5_000.0
LASTING_KEYS_MS = 6_000.0
"""How long a silent entry is assumed to go on: with keys that expire, it stops by itself."""

REJECTION_UPDATE_MS = 50.0
"""Minimum time between two updates that only report rejected requests."""


def quota_settings(fleet: FleetLimits) -> QuotaSettings:
    """Return the settings of the quotas that keep the limits of the fleet."""
    defaults = QuotaSettings()
    max_assumed_ms = LASTING_KEYS_MS if fleet.revoke_ms is None else EXPIRING_KEYS_MS
    if fleet.quota is None:
        return defaults
    return QuotaSettings(
        window_ms=fleet.quota.window_ms,
        min_capacity=max(1.0, MIN_CAPACITY_SHARE * fleet.quota.slack),
        max_assumed_ms=max_assumed_ms,
    )


class QuotaGate:
    """Rejects requests over the quota of their customer.

    It takes part in the exchange between entries only while the configuration has customers with a
    limit.

    Parameters
    ----------
    fleet
        Limits for all VMs together.
    domain
        The state that the entries share.
    reports
        Exchange of reports with other groups.
    schedule_update
        Called when there is something to send to the other entries, with whether it is urgent.
    relay
        Returns the VM that is the relay of the group.
    clock
        Monotonic clock of the process.
    random
        Source of all random choices.

    Attributes
    ----------
    quotas
        The quotas; None while the configuration has no customer with a limit.
    """

    def __init__(
        self,
        fleet: FleetLimits,
        domain: Domain,
        reports: GroupReports,
        schedule_update: Callable[[bool], None],
        relay: Callable[[], str],
        clock: Clock,
        random: Random,
    ) -> None:
        self.fleet = fleet
        self.domain = domain
        self.reports = reports
        self.schedule_update = schedule_update
        self.relay = relay
        self.clock = clock
        self.random = random
        self.log = RejectionLog()
        self.quotas: FleetQuotas | None = None
        self.configured = False
        self.rejection_sent_at = -inf

    def configure(self, configuration: Configuration) -> None:
        """Apply the customers of a configuration."""
        now = self.clock.now()
        limited = [customer for customer in configuration.customers if customer.is_limited]
        if limited and self.fleet.quota is not None:
            if self.quotas is None:
                self.quotas = self.start(now)
            self.quotas.configure(limited, now)
        elif self.quotas is not None:
            self.stop()
        self.log.keep({customer.name for customer in limited})
        self.configured = True

    def start(self, now: float) -> FleetQuotas:
        """Take part in the exchange of usage.

        Customers that get limits for the first time, after a configuration without any, have full
        buckets.
        """
        domain = self.domain
        quotas = FleetQuotas(
            domain.failure_domain,
            self.fleet.failure_domains,
            quota_settings(self.fleet),
            self.random,
            now,
            starts_full=self.fleet.bootstrap or self.configured,
        )
        quotas.is_relay = lambda: self.relay() == domain.vm
        domain.quotas = quotas
        self.reports.fills.append(self.fill_report)
        self.reports.listeners.append(self.receive_report)
        return quotas

    def stop(self) -> None:
        """Leave the exchange of usage."""
        self.quotas = self.domain.quotas = None
        self.reports.fills.remove(self.fill_report)
        self.reports.listeners.remove(self.receive_report)

    def fill_report(self, report: DomainReport, now: float) -> DomainReport:
        """Add the usage of the group to a report for the other groups."""
        if self.quotas is None:
            return report
        return replace(report, usage=self.quotas.take_group_usage(now))

    def receive_report(self, report: DomainReport, now: float) -> None:
        """Apply the usage of another group."""
        if self.quotas is not None:
            self.quotas.receive_report(report, now)

    def admit(self, customer: Customer) -> None:
        """Count a request.

        Raises
        ------
        RequestError
            The request is over the quota of its customer.
        """
        if self.quotas is None or not customer.is_limited:
            return
        now = self.clock.now()
        match self.quotas.admit(customer.name, now):
            case Admitted():
                self.log.admitted += 1
                self.schedule_update(False)
            case Rejected() as rejected:
                self.log.record(customer, rejected, now)
                self.report_rejection(now)
                raise RequestError(
                    429,
                    "over-quota",
                    f"{customer.name} sends more than {customer.rate_per_s:g} requests per second",
                    Verdict.NOT_RUN,
                    rejected.retry_after_ms,
                )

    def report_rejection(self, now: float) -> None:
        """Send the number of rejected requests soon, as they are part of the demand."""
        if now - self.rejection_sent_at >= REJECTION_UPDATE_MS:
            self.rejection_sent_at = now
            self.schedule_update(False)

    def give_back(self, customer: Customer) -> None:
        """Return the token of an admitted request that did not run."""
        if self.quotas is not None:
            self.quotas.give_back(customer.name, self.clock.now())
            self.schedule_update(False)

    def counts(self) -> QuotaCounts:
        """Return the counts for the metrics."""
        reach = 1.0 if self.quotas is None else self.quotas.reach.share
        return QuotaCounts(self.log.admitted, self.log.largest(), reach)
