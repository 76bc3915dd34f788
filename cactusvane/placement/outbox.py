"""What one entry has yet to send to the other entries of its failure domain.

Performs no I/O; the current time is passed in, in milliseconds (monotonic clock of the process).
"""

from math import inf

from msgspec.structs import replace

from cactusvane.placement.messages import Observation, StoreStatus
from cactusvane.placement.retries import RetryUsage, SharedRetries

USAGE_INTERVAL_MS = 1_000.0
"""Interval at which an entry sends its retry usage without a retry of its own.

Requests that were not sent yet only lower the budget; a retry is sent with the next update.
"""

STATUS_INTERVAL_MS = 500.0
"""Interval at which an entry sends its store status and address without a change or response."""


class Outbox:
    """Collects the state of one entry for its next update.

    Attributes
    ----------
    number
        Sequence number of the latest update.
    observations_sent
        Number of observations in all updates so far.
    """

    def __init__(self) -> None:
        self.number = 0
        self.unsent_observations: list[Observation] = []
        self.observations_sent = 0
        self.retry_unsent = False
        self.usage_sent_at = -inf
        self.sent_status: StoreStatus | None = None
        self.status_sent_at = -inf

    def observe(self, observation: Observation) -> None:
        """Add an observation to the next update."""
        self.unsent_observations.append(observation)

    def record_retry(self) -> None:
        """Record a retry, so that the next update contains the usage."""
        self.retry_unsent = True

    def usage_to_send(
        self, retries_by_service: dict[str, SharedRetries], now: float
    ) -> dict[str, RetryUsage] | None:
        """Return this entry's usage of the latest window, for services with any request.

        None if the usage that was last sent is recent enough.
        """
        if not self.retry_unsent and now - self.usage_sent_at < USAGE_INTERVAL_MS:
            return None
        self.retry_unsent = False
        self.usage_sent_at = now
        totals = {name: retries.own.total(now) for name, retries in retries_by_service.items()}
        return {name: total for name, total in totals.items() if total.requests or total.retries}

    def status_to_send(self, store_status: StoreStatus, now: float) -> StoreStatus | None:
        """Return the store status if it is to be sent now; None otherwise."""
        sent = self.sent_status
        sent_ago_ms = now - self.status_sent_at
        same = (
            sent is not None
            and replace(
                sent,
                response_age_ms=store_status.response_age_ms,
                failure_age_ms=store_status.failure_age_ms,
                proof_age_ms=store_status.proof_age_ms,
            )
            == store_status
        )
        has_new_response = (
            store_status.response_age_ms is not None and store_status.response_age_ms < sent_ago_ms
        )
        if same and not has_new_response and sent_ago_ms < STATUS_INTERVAL_MS:
            return None
        self.sent_status = store_status
        self.status_sent_at = now
        return store_status

    def take_observations(self) -> tuple[tuple[Observation, ...], int]:
        """Return the observations to send now, and how many were sent before them."""
        observations, self.unsent_observations = tuple(self.unsent_observations), []
        before = self.observations_sent
        self.observations_sent += len(observations)
        return observations, before

    def next_number(self) -> int:
        """Return the sequence number of the next update."""
        self.number += 1
        return self.number
