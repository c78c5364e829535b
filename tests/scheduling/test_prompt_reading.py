"""Guards streams against pauses for prompts that their engine reads."""

from __future__ import annotations

import random

import pytest

from coltsfootarch.scheduling import engine_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import prompt_reading
from coltsfootarch.scheduling import sampling
from tests.fleet import builders

GAP_S = 0.3
TOKEN_S = 0.00002


@pytest.fixture
def times():
    return prompt_reading.ReadingTimes()


def build_placer(clock, times, *engines):
    loads = load_view.LoadView(clock)
    placer = engine_placement.EnginePlacer(
        builders.directory(clock, *engines),
        loads,
        outcomes.OutcomeTracker(clock),
        "north",
        sampling.Sampler(lambda: 1, random.Random(1)),
        times,
    )
    return placer, loads


def place(placer, prompt, prefill=True):
    demand = engine_placement.Demand(prompt, prompt, GAP_S, prefill)
    return placer.place(builders.LLM, demand)


def test_pause_grows_with_the_prompt_and_its_measured_time(times):
    assert times.is_accepted("llm", 4000, GAP_S)
    assert not times.is_accepted("llm", 8000, GAP_S)

    for _ in range(200):
        times.note("llm", 1000, 1000 * TOKEN_S * 4)

    assert not times.is_accepted("llm", 4000, GAP_S)
    assert times.is_accepted("other", 4000, GAP_S)


def test_prompt_without_a_size_measures_nothing(times):
    times.note("llm", 0, 5.0)

    assert times.is_accepted("llm", 4000, GAP_S)


def test_long_prompt_waits_rather_than_stop_other_streams(manual_clock, times):
    """All prefill engines have left; each decode engine has streams."""
    placer, loads = build_placer(
        manual_clock, times, builders.decode("d-1"), builders.decode("d-2")
    )
    loads.add("d-1", 100)
    loads.add("d-2", 100)

    assert place(placer, 8000) is None
    assert place(placer, 3000) is not None

    loads.remove("d-2", 100)
    assert place(placer, 8000).decode.id == "d-2"


def test_long_prompt_waits_for_a_crowded_prefill_engine(manual_clock, times):
    placer, loads = build_placer(
        manual_clock, times, builders.decode("d-1"), builders.prefill("p-1")
    )
    loads.add("d-1", 100)
    for _ in range(engine_placement.MAX_PROMPTS):
        loads.add("p-1", 1000)

    assert place(placer, 8000).prefill.id == "p-1"
    assert place(placer, 3000).prefill is None


def test_only_engine_reads_long_prompts_beside_its_streams(manual_clock, times):
    placer, loads = build_placer(manual_clock, times, builders.decode("d-1"))
    loads.add("d-1", 100)

    assert place(placer, 8000).decode.id == "d-1"


def test_request_whose_prefills_are_used_up_goes_where_it_may_be_read(
    manual_clock, times
):
    """A retry reads its prompt at the decode engine; d-1 reads one already."""
    placer, loads = build_placer(
        manual_clock,
        times,
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
