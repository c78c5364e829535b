"""Tests how many requests are answered in time in simulated load scenarios.

Each scenario is simulated with the current scheduling rules and with the
simpler rule that they replace.
"""

from __future__ import annotations

import pytest

from benchmarks import edge_model
from coltsfootarch.forwarding import decode_stage
from coltsfootarch.scheduling import local_prefill
from coltsfootarch.scheduling import refusals

SEEDS = (1, 2, 3)


def simulate(rates, prefills, decodes):
    results = [
        edge_model.play(edge_model.Case(rates, prefills, decodes, seed=seed))
        for seed in SEEDS
    ]
    return edge_model.Result(*map(sum, zip(*results, strict=True)))


@pytest.fixture
def prefill_every_prompt_locally(monkeypatch):
    def patch():
        monkeypatch.setattr(local_prefill, "MAX_PAUSE_FRACTION", float("inf"))
        monkeypatch.setattr(decode_stage, "EVENTS_BETWEEN_PROMPTS", 1)

    return patch


@pytest.fixture
def treat_retries_as_new(monkeypatch):
    def patch():
        monkeypatch.setattr(
            refusals.RecentRefusals, "was_refused", lambda self, digest: False
        )

    return patch


def test_fleet_without_prefill_engines_serves_more_requests_in_time(
    prefill_every_prompt_locally,
):
    """Prefills on decode engines pause the other streams of the engine."""
    rates = [6] * 15
    current = simulate(rates, 0, 4)
    prefill_every_prompt_locally()
    simpler = simulate(rates, 0, 4)

    assert current.in_time > 1.2 * simpler.in_time


def test_overloaded_fleet_prefers_requests_that_can_be_in_time(
    treat_retries_as_new,
):
    """Retries are already late; they must not make other requests late."""
    rates = [20] * 15
    current = simulate(rates, 2, 4)
    treat_retries_as_new()
    simpler = simulate(rates, 2, 4)

    assert current.in_time > 1.1 * simpler.in_time
    assert current.in_time + current.late > 0.95 * (
        simpler.in_time + simpler.late
    )


def test_burst_has_little_effect_before_and_after_it(treat_retries_as_new):
    rates = [8] * 5 + [18] * 5 + [8] * 10
    current = simulate(rates, 2, 4)
    treat_retries_as_new()
    simpler = simulate(rates, 2, 4)

    assert current.in_time >= 0.97 * simpler.in_time


def test_lightly_loaded_fleet_serves_nearly_all_requests_in_time():
    outcome = simulate([6] * 15, 2, 4)

    assert outcome.in_time >= 0.97 * outcome.asked
    assert outcome.refused == 0
