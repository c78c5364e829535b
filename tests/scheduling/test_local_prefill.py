"""Tests that prefills on decode engines don't pause streams for too long."""

from __future__ import annotations

import random

import pytest

from coltsfootarch.scheduling import engine_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import local_prefill
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import sampling
from tests.fleet import builders

MAX_GAP_S = 0.3
SECONDS_PER_TOKEN = 0.00002


@pytest.fixture
def prefill_times():
    return local_prefill.PrefillTimes()


def build_placer(clock, prefill_times, *engines):
    loads = load_view.LoadView(clock)
    placer = engine_placement.EnginePlacer(
        builders.directory(clock, *engines),
        loads,
        outcomes.OutcomeTracker(clock),
        "north",
        sampling.Sampler(lambda: 1, random.Random(1)),
        prefill_times,
    )
    return placer, loads


def place(placer, prompt, may_use_prefill_engine=True):
    demand = engine_placement.Demand(
        prompt, prompt, MAX_GAP_S, may_use_prefill_engine
    )
    return placer.place(builders.LLM, demand)


def test_pause_grows_with_prompt_size_and_measured_time(prefill_times):
    assert prefill_times.is_pause_accepted("llm", 4000, MAX_GAP_S)
    assert not prefill_times.is_pause_accepted("llm", 8000, MAX_GAP_S)

    for _ in range(200):
        prefill_times.record("llm", 1000, 1000 * SECONDS_PER_TOKEN * 4)

    assert not prefill_times.is_pause_accepted("llm", 4000, MAX_GAP_S)
    assert prefill_times.is_pause_accepted("other", 4000, MAX_GAP_S)


def test_prompt_without_tokens_is_not_measured(prefill_times):
    prefill_times.record("llm", 0, 5.0)

    assert prefill_times.is_pause_accepted("llm", 4000, MAX_GAP_S)


def test_long_prompt_waits_instead_of_pausing_other_streams(
    manual_clock, prefill_times
):
    """There are no prefill engines, and each decode engine has streams."""
    placer, loads = build_placer(
        manual_clock,
        prefill_times,
        builders.decode("d-1"),
        builders.decode("d-2"),
    )
    loads.add("d-1", 100)
    loads.add("d-2", 100)

    assert place(placer, 8000) is None
    assert place(placer, 3000) is not None

    loads.remove("d-2", 100)
    assert place(placer, 8000).decode.id == "d-2"


def test_long_prompt_queues_at_a_saturated_prefill_engine(
    manual_clock, prefill_times
):
    placer, loads = build_placer(
        manual_clock,
        prefill_times,
        builders.decode("d-1"),
        builders.prefill("p-1"),
    )
    loads.add("d-1", 100)
    for _ in range(engine_placement.MAX_QUEUED_PROMPTS):
        loads.add("p-1", 1000)

    assert place(placer, 8000).prefill.id == "p-1"
    assert place(placer, 3000).prefill is None


def test_only_engine_prefills_long_prompts_despite_its_streams(
    manual_clock, prefill_times
):
    placer, loads = build_placer(
        manual_clock, prefill_times, builders.decode("d-1")
    )
    loads.add("d-1", 100)

    assert place(placer, 8000).decode.id == "d-1"


def test_request_without_prefills_left_avoids_an_engine_that_prefills(
    manual_clock, prefill_times
):
    """A decode engine prefills the retry; d-1 is already prefilling one."""
    placer, loads = build_placer(
        manual_clock,
        prefill_times,
        builders.decode("d-1"),
        builders.decode("d-2"),
        builders.prefill("p-1"),
    )
    loads.add("d-1", 100)
    loads.add("d-1/prompt", 100)
    loads.add("d-2", 3000)

    placement = place(placer, 1000, may_use_prefill_engine=False)

    assert placement.decode.id == "d-2"
    assert placement.prefill is None
