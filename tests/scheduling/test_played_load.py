"""Guards what callers get under loads that placing and queueing answer.

Each load is played against the hosts' own decisions, and beside them against
the simpler rule that they replace.
"""

from __future__ import annotations

import pytest

from benchmarks import edge_model
from coltsfootarch.forwarding import decode_stage
from coltsfootarch.scheduling import prompt_reading
from coltsfootarch.scheduling import refusals

SEEDS = (1, 2, 3)


def play(rates, prefills, decodes):
    results = [
        edge_model.play(edge_model.Case(rates, prefills, decodes, seed=seed))
        for seed in SEEDS
    ]
    return edge_model.Result(*map(sum, zip(*results, strict=True)))


@pytest.fixture
def every_prompt_is_read(monkeypatch):
    def switch():
        monkeypatch.setattr(prompt_reading, "PAUSE_PART", float("inf"))
        monkeypatch.setattr(decode_stage, "EVENTS_BETWEEN_PROMPTS", 1)

    return switch


@pytest.fixture
def returned_are_new(monkeypatch):
    def switch():
        monkeypatch.setattr(
            refusals.RecentRefusals, "is_known", lambda self, digest: False
        )

    return switch


def test_fleet_without_prefill_engines_serves_more_in_time(
    every_prompt_is_read,
):
    """Prompts that decode engines read make their other streams pause."""
    rates = [6] * 15
    ours = play(rates, 0, 4)
    every_prompt_is_read()
    simpler = play(rates, 0, 4)

    assert ours.in_time > 1.2 * simpler.in_time


def test_overloaded_fleet_serves_those_that_can_be_in_time(returned_are_new):
    """Requests that come back are late; they must not make others late."""
    rates = [20] * 15
    ours = play(rates, 2, 4)
    returned_are_new()
    simpler = play(rates, 2, 4)

    assert ours.in_time > 1.1 * simpler.in_time
    assert ours.in_time + ours.late > 0.95 * (simpler.in_time + simpler.late)


def test_burst_costs_little_before_and_after_it(returned_are_new):
    rates = [8] * 5 + [18] * 5 + [8] * 10
    ours = play(rates, 2, 4)
    returned_are_new()
    simpler = play(rates, 2, 4)

    assert ours.in_time >= 0.97 * simpler.in_time


def test_quiet_fleet_serves_nearly_all_in_time():
    result = play([6] * 15, 2, 4)

    assert result.in_time >= 0.97 * result.asked
    assert result.refused == 0
