"""Tests which engines count as silent."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch.scheduling import engine_activity
from coltsfootarch.scheduling import outcomes
from tests.fleet import builders


@pytest.fixture
def activity(manual_clock):
    return engine_activity.EngineActivity(manual_clock)


@pytest.fixture
def wait(manual_clock):
    """Lets so many seconds pass."""
    return lambda seconds: manual_clock.advance(
        datetime.timedelta(seconds=seconds)
    )


def test_engine_is_silent_until_it_goes_on(activity, wait):
    """Guards against requests for an engine that doesn't answer."""
    activity.hear("d-1")
    wait(1.5)
    activity.start_silence("d-1")
    assert activity.is_silent("d-1")
    assert not activity.is_silent("d-2")

    wait(0.5)
    activity.hear("d-1")
    activity.end_silence("d-1")

    assert not activity.is_silent("d-1")


def test_one_stuck_stream_makes_no_engine_silent(activity, wait):
    """Guards against an engine that is unused because of one stream."""
    activity.start_silence("d-1")
    wait(0.1)
    activity.hear("d-1")
    assert not activity.is_silent("d-1")

    wait(1.5)
    activity.start_silence("d-1")
    assert activity.is_silent("d-1")

    activity.end_silence("d-1")
    assert activity.is_silent("d-1")
    activity.end_silence("d-1")
    assert not activity.is_silent("d-1")


def test_engine_is_silent_for_a_limited_time(activity, wait):
    """Guards against an engine that is unused for as long as its streams."""
    activity.start_silence("d-1")

    wait(engine_activity.MAX_SILENCE_S)

    assert not activity.is_silent("d-1")


def test_pause_of_all_streams_shows_a_silence_before_the_limit(activity, wait):
    """Guards against moves to an engine that fell silent at the same time."""
    activity.start("d-1")
    activity.hear("d-1")
    activity.hear("d-2")
    assert not activity.is_pausing("d-1", 0.5)

    wait(0.6)

    assert activity.is_pausing("d-1", 0.5)
    # It has no stream that could have sent something.
    assert not activity.is_pausing("d-2", 0.5)
    activity.end("d-1")
    assert not activity.is_pausing("d-1", 0.5)


def test_silent_engine_is_used_only_if_no_other_one_is_usable(manual_clock):
    """Guards against requests that wait for a silent engine beside others."""
    tracker = outcomes.OutcomeTracker(manual_clock)
    engines = [builders.decode("d-1"), builders.decode("d-2")]
    tracker.activity.start_silence("d-1")
    assert tracker.prefer_usable(engines) == engines[1:]

    tracker.activity.start_silence("d-2")

    assert tracker.prefer_usable(engines) == engines
