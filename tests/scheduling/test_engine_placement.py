"""Tests against requests to full engines, wasted prefills and herding."""

from __future__ import annotations

import random

import pytest

from coltsfootarch.scheduling import engine_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import local_prefill
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import sampling
from tests.fleet import builders

COMPARE_ALL = sampling.Sampler(lambda: 1, random.Random(1))


@pytest.fixture
def components(manual_clock):
    directory = builders.directory(
        manual_clock,
        builders.decode("d-1"),
        builders.decode("d-2"),
        builders.prefill("p-1"),
        builders.prefill("p-2"),
    )
    loads = load_view.LoadView(manual_clock)
    tracker = outcomes.OutcomeTracker(manual_clock)
    placer = engine_placement.EnginePlacer(
        directory,
        loads,
        tracker,
        "north",
        COMPARE_ALL,
        local_prefill.PrefillTimes(),
    )
    return placer, loads, tracker


def place(placer, tokens=2000, excluded=()):
    demand = engine_placement.Demand(1000, tokens)
    return placer.place(builders.LLM, demand, excluded)


def test_least_loaded_engines_of_each_stage_are_chosen(components):
    placer, loads, _ = components
    loads.add("d-1", 3000)
    loads.add("p-2", 1000)

    placement = place(placer)

    assert (placement.decode.id, placement.prefill.id) == ("d-2", "p-1")


def test_memory_outweighs_slots(components):
    placer, loads, _ = components
    loads.add("d-1", 9000)
    for _ in range(5):
        loads.add("d-2", 100)

    assert place(placer).decode.id == "d-2"


def test_engine_without_memory_or_slots_is_not_chosen(components):
    placer, loads, _ = components
    loads.add("d-1", 9000)
    for _ in range(8):
        loads.add("d-2", 1)

    assert place(placer) is None
    # A small request still fits where a slot is free.
    assert place(placer, tokens=100).decode.id == "d-1"


def test_request_above_the_memory_limit_runs_on_an_idle_engine(components):
    placer, _, _ = components

    assert place(placer, tokens=9900) is not None


def test_failed_engines_are_excluded(components):
    placer, _, _ = components

    assert place(placer, excluded={"d-1"}).decode.id == "d-2"
    assert place(placer, excluded={"d-1", "d-2"}) is None


def test_decode_engine_prefills_without_prefill_engines(components):
    placer, _, _ = components

    placement = place(placer, excluded={"p-1", "p-2"})

    assert placement.prefill is None
    assert placement.decode is not None


def test_refusing_engine_gets_no_requests_even_if_it_is_the_only_one(
    components,
):
    """Each refused attempt would waste the prefill of a prompt."""
    placer, loads, tracker = components
    loads.add("d-2", 9000)
    tracker.record("d-1", outcomes.Outcome.REFUSED)

    assert place(placer) is None


def test_ejected_engine_is_used_only_without_alternative(components):
    placer, _, tracker = components
    tracker.record("d-1", outcomes.Outcome.UNREACHABLE)

    assert place(placer).decode.id == "d-2"
    assert place(placer, excluded={"d-2"}).decode.id == "d-1"


@pytest.mark.parametrize(
    ("output", "likely", "expected"),
    [(1000, 0, 1600), (1000, 500, 1330), (1000, 5000, 1600)],
)
def test_estimate_uses_the_caller_s_estimate_up_to_the_maximum(
    output, likely, expected
):
    demand = engine_placement.estimate(1000, output, likely)

    assert demand == engine_placement.Demand(1000, expected)


def test_decode_engine_prefills_when_prefill_queues_are_full(components):
    placer, loads, _ = components
    for _ in range(engine_placement.MAX_QUEUED_PROMPTS):
        loads.add("p-1", 1000)
        loads.add("p-2", 1000)

    first = place(placer)
    assert first.prefill is None

    for name in ("d-1", "d-2"):
        loads.add(f"{name}/prompt", 1000)
    assert place(placer).prefill is not None
