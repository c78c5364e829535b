"""Tests that the documented metrics match the code."""

from __future__ import annotations

import pathlib

from coltsfootarch.observability import metrics

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "metrics.md"


def test_documented_metrics_match_the_code():
    lines = [
        line
        for line in PAGE.read_text().splitlines()
        if line.startswith("| coltsfootarch.")
    ]

    assert lines == [
        f"| coltsfootarch.{metric.name} | {metric.kind} | {metric.meaning} |"
        for metric in metrics.all_metrics()
    ]
