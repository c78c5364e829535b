"""Guards against calls to slow, failing or crowded upstreams."""

from __future__ import annotations

import random

import pytest

from coltsfootarch.scheduling import call_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import sampling
from tests.fleet import builders

ALL = sampling.Sampler(lambda: 1, random.Random(1))


@pytest.fixture
def parts(manual_clock):
    directory = builders.directory(
        manual_clock,
        builders.plain("i-1"),
        builders.plain("i-2"),
        builders.plain("i-3", zone="south"),
    )
    loads = load_view.LoadView(manual_clock)
    tracker = outcomes.OutcomeTracker(manual_clock)
    placer = call_placement.CallPlacer(directory, loads, tracker, "north", ALL)
    return placer, loads, tracker


def test_own_zone_goes_first_when_all_else_is_equal(parts):
    placer, _, _ = parts

    assert placer.choose("app").id in ("i-1", "i-2")


def test_crowded_upstream_is_avoided_before_the_zone_counts(parts):
    placer, loads, _ = parts
    for _ in range(4):
        loads.add("i-1", 1)
        loads.add("i-2", 1)

    assert placer.choose("app").id == "i-3"


def test_failing_upstream_is_avoided_though_it_is_idle(parts):
    placer, loads, tracker = parts
    for _ in range(4):
        tracker.record("i-1", outcomes.Outcome.ERROR)
    loads.add("i-2", 1)
    loads.add("i-3", 1)

    assert placer.choose("app").id == "i-2"


def test_slow_upstream_is_avoided(parts):
    placer, _, tracker = parts
    for name, took in (("i-1", 0.5), ("i-2", 0.05), ("i-3", 0.05)):
        tracker.record(name, outcomes.Outcome.SUCCESS, took)

    assert placer.choose("app").id == "i-2"


def test_ejected_upstreams_are_used_only_when_there_is_no_other(parts):
    placer, _, tracker = parts
    for name in ("i-1", "i-2"):
        tracker.record(name, outcomes.Outcome.ABSENT)
    assert placer.choose("app").id == "i-3"

    assert placer.choose("app", ["i-3"]).id in ("i-1", "i-2")


def test_nothing_is_chosen_when_all_were_tried(parts):
    placer, _, _ = parts

    assert placer.choose("app", ["i-1", "i-2", "i-3"]) is None
    assert placer.choose("unknown") is None
