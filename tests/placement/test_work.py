"""Tests of the expected work of requests."""

from random import Random

from cactusvane.placement.features import RequestFeatures, pack
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.work import MAX_REFINEMENTS, WorkEstimates

OBJECTIVE_MS = 1_000.0


def packed(segment: str = "find", size_class: int = 0, customer: str = "c") -> int:
    return pack(RequestFeatures("GET", segment, size_class), customer)


def record(work: WorkEstimates, features: int, mean_ms: float, count: int, seed: int = 1) -> None:
    """Record lognormal work with a standard deviation of two thirds of its mean."""
    random = Random(seed)
    for _ in range(count):
        work_ms = mean_ms * random.lognormvariate(-0.18, 0.6)
        work.record("read", features, work_ms, OBJECTIVE_MS)


def expected_ms(work: WorkEstimates, features: int) -> float:
    return work.estimate("read", features, OBJECTIVE_MS).mean_ms


def learn_two(light: int, heavy: int) -> WorkEstimates:
    work = WorkEstimates(PlacementSettings())
    for seed in range(100):
        record(work, light, 50.0, 3, seed)
        record(work, heavy, 500.0, 1, seed)
    return work


def assert_distinguished(light: int, heavy: int) -> None:
    work = learn_two(light, heavy)
    assert 30.0 < expected_ms(work, light) < 100.0
    assert 300.0 < expected_ms(work, heavy) < 800.0


def test_requests_are_distinguished_by_path() -> None:
    assert_distinguished(packed("find"), packed("report"))


def test_requests_are_distinguished_by_customer() -> None:
    assert_distinguished(packed(customer="small"), packed(customer="large"))


def test_requests_are_distinguished_by_size() -> None:
    assert_distinguished(packed(size_class=2), packed(size_class=9))


def test_a_kind_without_samples_has_the_prior() -> None:
    estimate = WorkEstimates(PlacementSettings()).estimate("read", packed(), OBJECTIVE_MS)
    assert estimate.mean_ms == 400.0
    assert estimate.source == "prior"


def test_a_refinement_with_few_samples_counts_little() -> None:
    work = WorkEstimates(PlacementSettings())
    record(work, packed(), 50.0, 200)
    new = packed("new", customer="other")
    assert expected_ms(work, new) < 100.0
    work.record("read", new, 1_000.0, OBJECTIVE_MS)
    assert expected_ms(work, new) < 0.7 * 1_000.0
    assert work.estimate("read", new, OBJECTIVE_MS).source == "kind"


def test_a_client_that_invents_paths_buys_nothing() -> None:
    """It must neither take memory without bound nor displace or move what others need."""
    work = learn_two(packed("find"), packed("report"))
    before = expected_ms(work, packed("find")), expected_ms(work, packed("report"))
    kind_ms = expected_ms(work, 0)
    for number in range(20_000):
        work.record("read", packed(f"x{number}"), kind_ms, OBJECTIVE_MS)
        if number % 100 == 0:
            record(work, packed("find"), 50.0, 3, number)
            record(work, packed("report"), 500.0, 1, number)
    assert len(work.refinements) <= MAX_REFINEMENTS
    assert 0.7 * kind_ms < expected_ms(work, 0) < 1.4 * kind_ms
    after = expected_ms(work, packed("find")), expected_ms(work, packed("report"))
    assert 0.5 * before[0] < after[0] < 2.0 * before[0]
    assert 0.5 * before[1] < after[1] < 2.0 * before[1]


def test_a_wrong_estimate_is_corrected_within_some_twenty_samples() -> None:
    """A moving average of twenty samples took fifty for a path that became ten times cheaper."""
    for seed in range(20):
        work = learn_two(packed("find"), packed("report"))
        record(work, packed("find"), 500.0, 20, seed)
        assert 250.0 < expected_ms(work, packed("find")) < 1_000.0, seed
        record(work, packed("find"), 500.0, 100, seed)
        record(work, packed("find"), 50.0, 24, seed)
        assert 25.0 < expected_ms(work, packed("find")) < 100.0, seed


def test_one_rare_long_request_does_not_restart_a_mean() -> None:
    work = WorkEstimates(PlacementSettings())
    record(work, packed(), 50.0, 200)
    work.record("read", packed(), 500.0, OBJECTIVE_MS)
    assert expected_ms(work, packed()) < 110.0


def test_an_attempt_that_timed_out_raises_an_estimate_and_never_lowers_it() -> None:
    work = WorkEstimates(PlacementSettings())
    record(work, packed(), 200.0, 100)
    before_ms = expected_ms(work, packed())
    work.record_bound("read", packed(), 0.5 * before_ms, OBJECTIVE_MS)
    assert expected_ms(work, packed()) == before_ms
    work.record_bound("read", packed(), 3.0 * before_ms, OBJECTIVE_MS)
    assert expected_ms(work, packed()) > before_ms


def test_the_variability_of_the_work_is_estimated() -> None:
    work = WorkEstimates(PlacementSettings())
    record(work, packed(), 200.0, 300)
    assert 0.35 < work.estimate("read", packed(), OBJECTIVE_MS).spread < 1.0
