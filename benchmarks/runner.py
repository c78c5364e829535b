"""Runs all benchmarks, prints their results and writes them as JSON."""

from __future__ import annotations

import argparse
import json
import pathlib
import subprocess
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import structlog

from benchmarks import control
from benchmarks import fit
from benchmarks import ledger_cost
from benchmarks import limits
from benchmarks import path
from benchmarks import policy
from benchmarks import register_cost
from benchmarks import scheduler_cost

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

OUTPUT = pathlib.Path("bench-results.json")
CRITICAL = 50


class Section(NamedTuple):
    """One benchmark.

    Attributes:
        name: Name in the output and in `--only`.
        run: Runs the benchmark and returns its rows.
        size: Field against which the other fields are fitted; "" for none.
    """

    name: str
    run: Callable[[], Sequence[Any]]
    size: str = ""


SECTIONS = (
    Section("path", path.run),
    Section("control", control.run, "hosts"),
    Section("register", register_cost.run, "accounts"),
    Section(
        "ledgers",
        lambda: [ledger_cost.measure(n) for n in ledger_cost.ACCOUNTS],
        "accounts",
    ),
    Section("pools", scheduler_cost.run, "engines"),
    Section("limits", limits.summary),
    Section("policy", policy.run),
)


def print_table(rows: Sequence[Any]) -> None:
    """Prints NamedTuple rows as an aligned table."""
    cells = [list(rows[0]._fields)]
    cells += [[format_cell(value) for value in row] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(cells[0]))]
    for line in cells:
        print("  ".join(c.rjust(w) for c, w in zip(line, widths, strict=True)))


def format_cell(value: object) -> str:
    """Returns a value as text, floats with four significant digits."""
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def fit_fields(rows: Sequence[Any], size: str) -> dict[str, fit.Fit]:
    """Returns a fit of every other field of the rows against `size`."""
    xs = [float(getattr(row, size)) for row in rows]
    fields = [name for name in rows[0]._fields if name != size]
    return {
        name: fit.fit(xs, [float(getattr(row, name)) for row in rows])
        for name in fields
    }


def current_commit() -> str:
    """Returns the commit of the working tree, "unknown" outside git."""
    command = ["git", "describe", "--always", "--dirty"]
    result = subprocess.run(
        command, capture_output=True, text=True, check=False
    )
    return result.stdout.strip() or "unknown"


def main() -> None:
    """Runs the benchmarks that the command line selects."""
    parser = argparse.ArgumentParser(description=__doc__)
    names = [section.name for section in SECTIONS]
    parser.add_argument("--only", choices=names, action="append")
    parser.add_argument("--output", type=pathlib.Path, default=OUTPUT)
    options = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(CRITICAL)
    )
    results: dict[str, Any] = {"commit": current_commit()}
    print(f"commit {results['commit']}")
    for section in SECTIONS:
        if options.only and section.name not in options.only:
            continue
        results[section.name] = run_section(section)
    options.output.write_text(json.dumps(results, indent=1))
    print(f"\nwritten to {options.output}")


def run_section(section: Section) -> dict[str, Any]:
    """Runs and prints one benchmark; returns its object for the JSON file."""
    started = time.monotonic()
    rows = section.run()
    print(f"\n{section.name} ({time.monotonic() - started:.0f} s)")
    print_table(rows)
    document: dict[str, Any] = {"rows": [row._asdict() for row in rows]}
    if section.size:
        lines = fit_fields(rows, section.size)
        document["fits"] = {
            name: line._asdict() for name, line in lines.items()
        }
        print(f"fit by {section.size}:")
        print_table([NamedFit(name, *line) for name, line in lines.items()])
    return document


class NamedFit(NamedTuple):
    """Fit of a field, with the field's name; see `fit.Fit`."""

    field: str
    slope: float
    intercept: float
    error: float
