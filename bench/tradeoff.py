"""Measure detection time against false ejections by weight: ``python -m bench.tradeoff``.

Prints the result of each ratio, writes the curves as SVG, and prints one line of JSON last.
"""

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import msgspec

from bench.decisions import SEEDS, WORKERS, calm, measure, summarize
from bench.faults import SCENARIOS, Scenario
from bench.model import Policy
from bench.plot import Axis, Curve, Mark, render
from cactusvane.configuration.model import Health

RATIOS = (0.0001, 0.01, 1.0, 100.0, 10_000.0)
"""Ratios of the weight of a false ejection to the weight of detection."""

FAULTS = ("fails 100%", "fails 30%", "fails 5%")
HOURS = 100.0
PLOT_PATH = Path("docs/dev/tradeoff.svg")


@dataclass(frozen=True, slots=True)
class Choice:
    """Results of one ratio of the weights.

    The field names are keys of the JSON output.

    Parameters
    ----------
    ratio
        Weight of a false ejection divided by the weight of detection.
    per_hour
        Ejections of healthy targets by the keeper, per hour without faults.
    last_new_ms
        Median and worst `Result.last_new_ms` of `bench.model`, for each of `FAULTS`.
    """

    ratio: float
    per_hour: float
    last_new_ms: tuple[tuple[float, float], ...]


def measure_ratio(workers: ProcessPoolExecutor, ratio: float, seeds: int, hours: float) -> Choice:
    """Measure one ratio."""
    health = Health(detection_weight=1.0, false_ejection_weight=ratio)
    calm_result = calm(workers, health, seeds, hours)
    policy = Policy("pooled", health)
    times = tuple(measure_detection(workers, find_scenario(name), policy, seeds) for name in FAULTS)
    return Choice(ratio, calm_result.by_keeper / calm_result.hours, times)


def find_scenario(name: str) -> Scenario:
    """Return the scenario with the given name."""
    return next(scenario for scenario in SCENARIOS if scenario.name == name)


def measure_detection(
    workers: ProcessPoolExecutor, scenario: Scenario, policy: Policy, seeds: int
) -> tuple[float, float]:
    """Return the median and the worst time to the last new request, in milliseconds."""
    jobs = [(scenario, policy, seed) for seed in range(1, seeds + 1)]
    return summarize(list(workers.map(measure, jobs)))["last_new_ms"]


def render_plot(choices: list[Choice], hours: float) -> str:
    """Return the plot with a curve for each fault.

    No ejection in all hours is plotted as half an ejection: the axis is logarithmic.
    """
    min_per_hour = 0.5 / hours
    curves = tuple(
        Curve(
            name,
            tuple(
                Mark(
                    max(min_per_hour, choice.per_hour),
                    choice.last_new_ms[index][0],
                    f"{choice.ratio:g}",
                )
                for choice in choices
            ),
        )
        for index, name in enumerate(FAULTS)
    )
    return render(
        "Weight of a false ejection, against detection: 0.0001 to 10,000",
        Axis(
            f"healthy targets ejected in an hour ({min_per_hour:g}: none in {hours:g} h)",
            0.001,
            10.0,
        ),
        Axis("ms to the last new request, median", 10.0, 10_000.0),
        curves,
    )


def main() -> None:
    """Measure all ratios, write the plot and print the line of JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--hours", type=float, default=HOURS)
    options = parser.parse_args()
    choices = []
    with ProcessPoolExecutor(WORKERS) as workers:
        for ratio in RATIOS:
            choice = measure_ratio(workers, ratio, options.seeds, options.hours)
            print(choice, flush=True)
            choices.append(choice)
    PLOT_PATH.write_text(render_plot(choices, options.hours))
    print(msgspec.json.encode(choices).decode())


if __name__ == "__main__":
    main()
