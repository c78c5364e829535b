"""Tests that calls avoid slow, failing and overloaded upstreams."""

from __future__ import annotations

import random

import pytest

from coltsfootarch.scheduling import call_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import sampling
from tests.fleet import builders

COMPARE_ALL = sampling.Sampler(lambda: 1, random.Random(1))


@pytest.fixture
def components(manual_clock):
    directory = builders.directory(
        manual_clock,
        builders.plain("i-1"),
        builders.plain("i-2"),
        builders.plain("i-3", zone="south"),
    )
    loads = load_view.LoadView(manual_clock)
    tracker = outcomes.OutcomeTracker(manual_clock)
    placer = call_placement.CallPlacer(
        directory, loads, tracker, "north", COMPARE_ALL
    )
    return placer, loads, tracker


def test_own_zone_is_preferred_when_loads_are_equal(components):
    placer, _, _ = components

    assert placer.choose("app").id in ("i-1", "i-2")


def test_load_outweighs_the_zone(components):
    placer, loads, _ = components
    for _ in range(4):
        loads.add("i-1", 1)
        loads.add("i-2", 1)

    assert placer.choose("app").id == "i-3"


def test_failing_upstream_is_avoided_although_it_is_idle(components):
    placer, loads, tracker = components
    for _ in range(4):
        tracker.record("i-1", outcomes.Outcome.ERROR)
    loads.add("i-2", 1)
    loads.add("i-3", 1)

    assert placer.choose("app").id == "i-2"


def test_slow_upstream_is_avoided(components):
    placer, _, tracker = components
    for name, latency_s in (("i-1", 0.5), ("i-2", 0.05), ("i-3", 0.05)):
        tracker.record(name, outcomes.Outcome.SUCCESS, latency_s)

    assert placer.choose("app").id == "i-2"


def test_ejected_upstreams_are_used_only_without_alternative(components):
    placer, _, tracker = components
    for name in ("i-1", "i-2"):
        tracker.record(name, outcomes.Outcome.UNREACHABLE)
    assert placer.choose("app").id == "i-3"

    assert placer.choose("app", ["i-3"]).id in ("i-1", "i-2")


def test_no_upstream_is_chosen_when_all_are_excluded(components):
    placer, _, _ = components

    assert placer.choose("app", ["i-1", "i-2", "i-3"]) is None
    assert placer.choose("unknown") is None
