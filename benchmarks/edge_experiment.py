"""Goodput, refusals and tails against load, beside the rules replaced.

`make experiment` plays the cases of `edge_experiment.toml` and writes a table
and one plot a case to `docs/experiments/`.
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

from benchmarks import edge_model
from coltsfootarch.forwarding import decode_stage
from coltsfootarch.scheduling import local_prefill
from coltsfootarch.scheduling import refusals

if TYPE_CHECKING:
    from collections.abc import Callable

CASES = pathlib.Path(__file__).with_suffix(".toml")


@contextlib.contextmanager
def this_version() -> Any:
    """Changes nothing."""
    yield


@contextlib.contextmanager
def retries_like_new() -> Any:
    """Retries after a refusal are treated like new requests."""
    known = mock.patch.object(
        refusals.RecentRefusals, "was_refused", return_value=False
    )
    with known:
        yield


@contextlib.contextmanager
def every_prompt() -> Any:
    """Decode engines prefill every prompt, one after the other."""
    with (
        mock.patch.object(local_prefill, "MAX_PAUSE_FRACTION", float("inf")),
        mock.patch.object(decode_stage, "EVENTS_BETWEEN_PROMPTS", 1),
    ):
        yield


VARIANTS: dict[str, Callable[[], Any]] = {
    "this version": this_version,
    "returned like new": retries_like_new,
    "every prompt at decode": every_prompt,
}


class Point(NamedTuple):
    """Means over the seeds.

    Attributes:
        rate: Offered requests a second.
        goodput: Requests a second that are answered in time.
        late: Share that is answered late.
        refused: Share that is refused for good or left by its caller.
        slow_start_s: Mean of the seeds' 95th percentiles of the time to the
            first event, in seconds.
    """

    rate: float
    goodput: float
    late: float
    refused: float
    slow_start_s: float


def measure(case: dict[str, Any], rate: float, seeds: list[int]) -> Point:
    """Plays one load with all seeds."""
    seconds = case["seconds"]
    results = [
        edge_model.play(
            edge_model.Case(
                [rate] * seconds,
                case["prefills"],
                case["decodes"],
                case["hosts"],
                seed,
            )
        )
        for seed in seeds
    ]
    asked = sum(each.asked for each in results)
    return Point(
        rate,
        sum(each.in_time for each in results) / (seconds * len(results)),
        sum(each.late for each in results) / asked,
        sum(each.refused for each in results) / asked,
        statistics.mean(each.slow_start_s for each in results),
    )


def draw(name: str, curves: dict[str, list[Point]], path: pathlib.Path) -> None:
    """Draws goodput, refusals and tails of a case against its load."""
    # Needed for this command only.
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
        axes[2].plot(rates, [point.slow_start_s for point in points])
    axes[0].legend()
    figure.suptitle(name)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


def table(name: str, curves: dict[str, list[Point]]) -> str:
    """Returns a case as a table."""
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
            f"| {point.slow_start_s:.2f} s |"
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
        draw(case["name"], curves, folder / f"{case['name']}.svg")
        click.echo(table(case["name"], curves))


if __name__ == "__main__":
    main()
