"""Tests that prefills on decode engines don't pause streams for too long."""

from __future__ import annotations

import random

import pytest

from coltsfootarch.scheduling import engine_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import prompt_reading
from coltsfootarch.scheduling import sampling
from tests.fleet import builders

MAX_GAP_S = 0.3
SECONDS_PER_TOKEN = 0.00002


@pytest.fixture
def reading_times():
    return prompt_reading.ReadingTimes()


def build_placer(clock, reading_times, *engines):
    loads = load_view.LoadView(clock)
    placer = engine_placement.EnginePlacer(
        builders.directory(clock, *engines),
        loads,
        outcomes.OutcomeTracker(clock),
        "north",
        sampling.Sampler(lambda: 1, random.Random(1)),
        reading_times,
    )
    return placer, loads


def place(placer, prompt, prefill=True):
    demand = engine_placement.Demand(prompt, prompt, MAX_GAP_S, prefill)
    return placer.place(builders.LLM, demand)


def test_pause_grows_with_prompt_size_and_measured_time(reading_times):
    assert reading_times.is_pause_accepted("llm", 4000, MAX_GAP_S)
    assert not reading_times.is_pause_accepted("llm", 8000, MAX_GAP_S)

    for _ in range(200):
        reading_times.note("llm", 1000, 1000 * SECONDS_PER_TOKEN * 4)

    assert not reading_times.is_pause_accepted("llm", 4000, MAX_GAP_S)
    assert reading_times.is_pause_accepted("other", 4000, MAX_GAP_S)


def test_prompt_without_tokens_is_not_measured(reading_times):
    reading_times.note("llm", 0, 5.0)

    assert reading_times.is_pause_accepted("llm", 4000, MAX_GAP_S)


def test_long_prompt_waits_instead_of_pausing_other_streams(
    manual_clock, reading_times
):
    """There are no prefill engines, and each decode engine has streams."""
    placer, loads = build_placer(
        manual_clock,
        reading_times,
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
    manual_clock, reading_times
):
    placer, loads = build_placer(
        manual_clock,
        reading_times,
        builders.decode("d-1"),
        builders.prefill("p-1"),
    )
    loads.add("d-1", 100)
    for _ in range(engine_placement.MAX_QUEUED_PROMPTS):
        loads.add("p-1", 1000)

    assert place(placer, 8000).prefill.id == "p-1"
    assert place(placer, 3000).prefill is None


def test_only_engine_prefills_long_prompts_despite_its_streams(
    manual_clock, reading_times
):
    placer, loads = build_placer(
        manual_clock, reading_times, builders.decode("d-1")
    )
    loads.add("d-1", 100)

    assert place(placer, 8000).decode.id == "d-1"


def test_request_without_prefills_left_avoids_an_engine_that_prefills(
    manual_clock, reading_times
):
    """A decode engine prefills the retry; d-1 is already prefilling one."""
    placer, loads = build_placer(
        manual_clock,
        reading_times,
        builders.decode("d-1"),
        builders.decode("d-2"),
        builders.prefill("p-1"),
    )
    loads.add("d-1", 100)
    loads.add("d-1/prompt", 100)
    loads.add("d-2", 3000)

    placement = place(placer, 1000, prefill=False)

    assert placement.decode.id == "d-2"
    assert placement.prefill is None
