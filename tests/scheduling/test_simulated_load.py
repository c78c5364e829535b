"""Guards against scheduling rules that serve fewer requests in time.

Each load is simulated with the current rules of the hosts and, for comparison,
with the simpler rule that they replace.
"""

from __future__ import annotations

import pytest

from benchmarks import edge_simulation
from coltsfootarch.forwarding import decode_stage
from coltsfootarch.scheduling import local_prefill
from coltsfootarch.scheduling import refusals

SEEDS = (1, 2, 3)


def simulate(rates, prefills, decodes):
    results = [
        edge_simulation.simulate(
            edge_simulation.Case(rates, prefills, decodes, seed=seed)
        )
        for seed in SEEDS
    ]
    return edge_simulation.Result(*map(sum, zip(*results, strict=True)))


@pytest.fixture
def every_prompt_is_read(monkeypatch):
    def apply():
        monkeypatch.setattr(local_prefill, "MAX_PAUSE_FRACTION", float("inf"))
        monkeypatch.setattr(decode_stage, "EVENTS_BETWEEN_PROMPTS", 1)

    return apply


@pytest.fixture
def treat_returned_as_new(monkeypatch):
    def apply():
        monkeypatch.setattr(
            refusals.RecentRefusals, "was_refused", lambda self, digest: False
        )

    return apply


def test_fleet_without_prefill_engines_serves_more_in_time(
    every_prompt_is_read,
):
    """A decode engine that reads a prompt pauses its other streams."""
    rates = [6] * 15
    ours = simulate(rates, 0, 4)
    every_prompt_is_read()
    simpler = simulate(rates, 0, 4)

    assert ours.in_time > 1.2 * simpler.in_time


def test_overloaded_fleet_serves_those_that_can_be_in_time(
    treat_returned_as_new,
):
    """Returning requests are late; they must not delay other requests."""
    rates = [20] * 15
    ours = simulate(rates, 2, 4)
    treat_returned_as_new()
    simpler = simulate(rates, 2, 4)

    assert ours.in_time > 1.1 * simpler.in_time
    assert ours.in_time + ours.late > 0.95 * (simpler.in_time + simpler.late)


def test_burst_does_not_reduce_requests_served_in_time(treat_returned_as_new):
    rates = [8] * 5 + [18] * 5 + [8] * 10
    ours = simulate(rates, 2, 4)
    treat_returned_as_new()
    simpler = simulate(rates, 2, 4)

    assert ours.in_time >= 0.97 * simpler.in_time


def test_quiet_fleet_serves_nearly_all_in_time():
    result = simulate([6] * 15, 2, 4)

    assert result.in_time >= 0.97 * result.requests
    assert result.refused == 0
