"""Bytes that quotas add to the messages between entries, by number of customers.

Counts the encoded sizes over some seconds of requests of 37 entries, one of three failure domains,
and what the relay of the domain sends of them: to other relays, and in its batches to the
forwarders.
"""

from math import ceil
from random import Random

from cactusvane.placement.endpoint import ENCODER
from cactusvane.placement.messages import CustomerUsage, DomainReport
from cactusvane.placement.relaying import FAN_OUT
from cactusvane.quota.counters import UsageCounters
from cactusvane.quota.quotas import (
    REPEAT_INTERVAL_MS,
    REPEATED_MS,
    REPORT_REPEATS,
    REPORTS_PER_FULL,
)

ENTRIES = 37
OTHER_GROUPS = 2
ROUNDS = 2
"""Batches that contain each update."""

REQUESTS_PER_S = 97.0
WINDOW_MS = 5_000.0
WARM_UP_S = 10
SECONDS = 10
REPORT_MS = 100.0
LINK_BITS_PER_S = 5e6


def size(usage: dict[str, CustomerUsage]) -> int:
    """Return the encoded size of usage in bytes."""
    return len(ENCODER.encode(usage))


def measure(customers: int, requests_per_s: float) -> dict[str, float]:
    """Return figures for a number of customers whose shares of the load fall as rank^-1.2.

    Parameters
    ----------
    customers
        Number of customers.
    requests_per_s
        Requests per second of the failure domain.
    """
    random = Random(1)
    names = [f"customer-{number}" for number in range(customers)]
    weights = [(rank + 1) ** -1.2 for rank in range(customers)]
    entries = [UsageCounters(REPEATED_MS) for _ in range(ENTRIES)]
    group = UsageCounters(WINDOW_MS, REPORT_REPEATS)
    update_bytes = report_bytes = largest_report = 0.0
    steps = round((WARM_UP_S + SECONDS) * 1_000 / REPORT_MS)
    for step in range(steps):
        now = step * REPORT_MS
        count = round(requests_per_s * REPORT_MS / 1_000)
        counted = step * REPORT_MS >= 1_000 * WARM_UP_S
        for name in random.choices(names, weights, k=count):
            counters = random.choice(entries)
            counters.add(name, 1, 1, now)
            group.add(name, 1, 1, now)
            update_bytes += size(counters.take(False, now)) * counted
        if now % REPEAT_INTERVAL_MS == 0:
            full = sum(size(each.take(True, now)) for each in entries)
            update_bytes += full * counted
        report = group.take(step % REPORTS_PER_FULL == 0, now)
        length = len(ENCODER.encode(DomainReport("entry-00", "z0", 0, 10**6, 10**12, report)))
        report_bytes += length * counted
        largest_report = max(largest_report, length)
    forwarders = ceil(ENTRIES / FAN_OUT)
    relayed = update_bytes * ROUNDS * forwarders + report_bytes * OTHER_GROUPS * (forwarders + 1)
    levels = size_of_levels(names[:400])
    relayed += levels * SECONDS * 1_000 / REPEAT_INTERVAL_MS * ROUNDS * forwarders
    return {
        "update_bytes_per_s": update_bytes / SECONDS / ENTRIES,
        "report_bytes": report_bytes / SECONDS * REPORT_MS / 1_000,
        "largest_report": largest_report,
        "relay_bits_per_s": 8.0 * relayed / SECONDS,
    }


def size_of_levels(names: list[str]) -> int:
    """Return the encoded size of levels if no bucket is full, in bytes."""
    return len(ENCODER.encode(dict.fromkeys(names, 12.3)))


def main() -> None:
    """Print the figures."""
    print("customers requests/s  update B/s  report B  largest B  relay kbit/s  of 5 Mbit/s")
    for requests_per_s in (REQUESTS_PER_S, 10.0 * REQUESTS_PER_S):
        for customers in (79, 1_000, 10_000):
            figures = measure(customers, requests_per_s)
            bits = figures["relay_bits_per_s"]
            print(
                f"{customers:9} {requests_per_s:10.0f} {figures['update_bytes_per_s']:11.0f}"
                f" {figures['report_bytes']:9.0f} {figures['largest_report']:10.0f}"
                f" {bits / 1_000:13.0f} {bits / LINK_BITS_PER_S:12.1%}"
            )


if __name__ == "__main__":
    main()
