"""Metrics by customer."""

from cactusvane.configuration.model import Customer
from cactusvane.customers.records import MAX_NAMED, OTHER, CustomerRecords
from cactusvane.metrics import Recorder


def counts(records: CustomerRecords) -> dict[str, int]:
    return {name: sum(record.statuses.values()) for name, record in records.items()}


def test_the_largest_customers_are_named_and_all_others_counted_together() -> None:
    """Guards against a number of time series that grows with the number of customers."""
    records = CustomerRecords()
    for number in range(100):
        records.record(f"small-{number}", 200)
    for _ in range(5):
        records.record("large", 200)
    records.rank()
    records.record("large", 429)
    assert len(counts(records)) == MAX_NAMED + 1
    assert counts(records)["large"] == 1, "a new time series starts at 0"
    assert records.named["large"].statuses == {4: 1}
    assert counts(records)[OTHER] == 100 - MAX_NAMED + 5, "no counter ever decreases"


def test_a_customer_with_the_name_of_the_others_is_one_of_them() -> None:
    """Guards against two time series with the same labels, which fail the whole page."""
    recorder = Recorder()
    recorder.customers.record(OTHER, 200)
    recorder.customers.record("a", 503)
    text = recorder.text().decode()
    assert 'cactusvane_customer_answers_total{class="2xx",customer="other"} 1.0' in text
    assert 'cactusvane_customer_answers_total{class="5xx",customer="a"} 1.0' in text


def test_customers_that_the_configuration_no_longer_has_are_dropped() -> None:
    """Guards against memory that grows with each customer that ever existed."""
    records = CustomerRecords()
    records.record("a", 200)
    records.record("b", 200)
    records.retain([Customer("b", ())])
    assert list(records.totals) == list(records.named) == ["b"]
