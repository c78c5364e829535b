"""Compares the current scheduling rules with simpler ones under load.

`make experiment` simulates the cases of `edge_experiment.toml`. For each case
it prints a table of goodput, refusals and tail latency by load and writes a
plot to `docs/experiments/`.
"""

from __future__ import annotations

import contextlib
import pathlib
import statistics
import tomllib
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from unittest import mock

import click
import structlog

from benchmarks import edge_simulation
from coltsfootarch.forwarding import decode_stage
from coltsfootarch.scheduling import local_prefill
from coltsfootarch.scheduling import refusals

if TYPE_CHECKING:
    from collections.abc import Callable

CASES = pathlib.Path(__file__).with_suffix(".toml")


@contextlib.contextmanager
def current_rules() -> Any:
    """Context with the current rules."""
    yield


@contextlib.contextmanager
def returned_as_new() -> Any:
    """Context in which returning requests are treated like new ones."""
    known = mock.patch.object(
        refusals.RecentRefusals, "was_refused", return_value=False
    )
    with known:
        yield


@contextlib.contextmanager
def read_every_prompt() -> Any:
    """Context in which decode engines read every prompt, one at a time."""
    with (
        mock.patch.object(local_prefill, "MAX_PAUSE_FRACTION", float("inf")),
        mock.patch.object(decode_stage, "EVENTS_BETWEEN_PROMPTS", 1),
    ):
        yield


VARIANTS: dict[str, Callable[[], Any]] = {
    "this version": current_rules,
    "returned like new": returned_as_new,
    "every prompt at decode": read_every_prompt,
}


class Point(NamedTuple):
    """Results at one load, as means over the seeds.

    Attributes:
        rate: Offered requests per second.
        goodput: Requests per second that were answered in time.
        late: Share of the requests that was answered late.
        refused: Share of the requests that was refused for good or abandoned
            by the caller.
        first_event_p95_s: Mean of the seeds' 95th percentiles of the time to
            the first event, in seconds.
    """

    rate: float
    goodput: float
    late: float
    refused: float
    first_event_p95_s: float


def measure(case: dict[str, Any], rate: float, seeds: list[int]) -> Point:
    """Simulates a case at one load with all seeds.

    Args:
        case: Entry of the TOML file.
        rate: Offered requests per second.
        seeds: Seeds of the load.
    """
    seconds = case["seconds"]
    results = [
        edge_simulation.simulate(
            edge_simulation.Case(
                [rate] * seconds,
                case["prefills"],
                case["decodes"],
                case["hosts"],
                seed,
            )
        )
        for seed in seeds
    ]
    requests = sum(each.requests for each in results)
    return Point(
        rate,
        sum(each.in_time for each in results) / (seconds * len(results)),
        sum(each.late for each in results) / requests,
        sum(each.refused for each in results) / requests,
        statistics.mean(each.first_event_p95_s for each in results),
    )


def plot(name: str, curves: dict[str, list[Point]], path: pathlib.Path) -> None:
    """Plots goodput, refusals and tail latency of a case against its load.

    Args:
        name: Name of the case.
        curves: Points of each set of rules, by its label.
        path: SVG file to write.
    """
    # Imported here because only this command needs it.
    import matplotlib  # type: ignore[import-not-found,unused-ignore]

    matplotlib.use("svg")
    from matplotlib import pyplot  # type: ignore[import-not-found,unused-ignore]

    matplotlib.rcParams["svg.hashsalt"] = name
    figure, axes = pyplot.subplots(1, 3, figsize=(12, 3.6))
    titles = ("in time, a second", "refused, share", "95% start within, s")
    for axis, title in zip(axes, titles, strict=True):
        axis.set_xlabel("requests a second")
        axis.set_title(title)
    for label, points in curves.items():
        rates = [point.rate for point in points]
        axes[0].plot(rates, [point.goodput for point in points], label=label)
        axes[1].plot(rates, [point.refused for point in points], label=label)
        axes[2].plot(rates, [point.first_event_p95_s for point in points])
    axes[0].legend()
    figure.suptitle(name)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def format_table(name: str, curves: dict[str, list[Point]]) -> str:
    """Returns the results of a case as a Markdown section with a table.

    Args:
        name: Name of the case.
        curves: Points of each set of rules, by its label.
    """
    lines = [
        f"## {name}",
        "",
        "| rule | requests a second | in time, a second | late | refused "
        "| 95% start within |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for label, points in curves.items():
        lines += [
            f"| {label} | {point.rate:g} | {point.goodput:.2f} "
            f"| {point.late:.1%} | {point.refused:.1%} "
            f"| {point.first_event_p95_s:.2f} s |"
            for point in points
        ]
    return "\n".join([*lines, "", f"![{name}](experiments/{name}.svg)", ""])


@click.command()
@click.option("--cases", default=str(CASES), help="TOML file with the cases.")
@click.option("--out", default="docs/experiments", help="Folder of the plots.")
def main(cases: str, out: str) -> None:
    """Play all cases and draw them."""
    logs = structlog.make_filtering_bound_logger(50)
    structlog.configure(wrapper_class=logs)
    document = tomllib.loads(pathlib.Path(cases).read_text())
    folder = pathlib.Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    for case in document["case"]:
        case = {"seconds": document["seconds"], **case}
        curves = {}
        for label, variant in VARIANTS.items():
            with variant():
                curves[label] = [
                    measure(case, rate, document["seeds"])
                    for rate in case["rates"]
                ]
        plot(case["name"], curves, folder / f"{case['name']}.svg")
        click.echo(format_table(case["name"], curves))


if __name__ == "__main__":
    main()
