"""Runs short soak tests, with seeds for planned and for all faults."""

from __future__ import annotations

import pytest

from soak import run

# Seeds that have failed before, each with its cause.
REGRESSIONS = (
    # Idle connections were closed while busy callers were about to use them.
    858400,
    299584,
    # A restarted engine no longer crashed on the part, and served requests.
    935050,
)
SECONDS = 4.0
SILENCE_SEED = 3
HOSTS = 2


@pytest.mark.parametrize("seed", [4, 7, *REGRESSIONS])
def test_guarantees_hold_under_faults(seed, tmp_path):
    result = run.run(seed, SECONDS, HOSTS, tmp_path)

    assert result.violations == []
    assert result.statuses.get(200, 0) > 0


def test_callers_do_not_notice_silent_runners(tmp_path):
    """Guards against requests given up while a sound runner is silent."""
    result = run.run(SILENCE_SEED, SECONDS, HOSTS, tmp_path, silent=True)

    assert result.violations == []
    assert result.statuses.get(200, 0) > 0
