"""Log lines and metrics of rejections."""

import logging

import pytest

from cactusvane.configuration.model import Customer
from cactusvane.quota.decisions import QuotaInputs, Rejected, RejectionReason
from cactusvane.quota.log import MAX_LINES, MAX_METRIC_CUSTOMERS, RejectionLog

REJECTED = Rejected(100.0, RejectionReason.EMPTY, QuotaInputs(0.1, 20.0, 30.0, 10.0, 1.0))


def test_lines_are_bounded_by_customer_and_in_all(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a hot customer, or very many of them, that fill the log."""
    caplog.set_level(logging.INFO, logger="cactusvane")
    log = RejectionLog()
    for _ in range(500):
        log.record(Customer("a", (), 10.0, 10.0), REJECTED, 10.0)
    assert len(caplog.records) == 1
    for number in range(500):
        log.record(Customer(f"c{number}", (), 10.0, 10.0), REJECTED, 20.0)
    assert len(caplog.records) == MAX_LINES
    log.record(Customer("a", (), 10.0, 10.0), REJECTED, 2_000.0)
    assert caplog.records[-1].fields["rejected"] == 500  # type: ignore[attr-defined]


def test_metrics_name_a_bounded_number_of_customers() -> None:
    """Guards against one time series for each of very many customers."""
    log = RejectionLog()
    for number in range(100):
        for _ in range(number + 1):
            log.record(Customer(f"c{number}", (), 10.0, 10.0), REJECTED, 0.0)
    largest = log.largest()
    assert len(largest) == MAX_METRIC_CUSTOMERS + 1
    assert sum(largest.values()) == 5_050
    assert largest["c99"] == 100
