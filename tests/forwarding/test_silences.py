"""Tests how long a silent upstream may still be sound."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.forwarding import silences


@pytest.fixture
def clock():
    return clocks.ManualClock()


def advance(clock, seconds):
    clock.advance(datetime.timedelta(seconds=seconds))


def test_silence_of_a_few_seconds_is_short(clock):
    """Guards against a sound upstream that counts as down."""
    known = silences.Silences(clock)
    known.record("d-1")
    advance(clock, 2.9)
    known.record("d-1")

    assert known.is_silent("d-1")
    assert known.is_short("d-1")
    advance(clock, 0.2)
    assert not known.is_short("d-1")


def test_upstream_that_answered_begins_a_new_silence(clock):
    """Guards against two short silences that count as one long one."""
    known = silences.Silences(clock)
    known.record("d-1")
    advance(clock, 2.0)
    known.end("d-1")
    assert not known.is_silent("d-1")
    known.record("d-1")
    advance(clock, 2.0)

    assert known.is_short("d-1")


def test_upstream_that_was_not_tried_for_long_begins_a_new_silence(clock):
    """Guards against a silence that lasts as no request needs the upstream."""
    known = silences.Silences(clock)
    known.record("d-1")
    advance(clock, silences.MEMORY_S + 1.0)
    assert known.is_short("d-1")
    known.record("d-1")

    assert known.is_short("d-1")


def test_silence_ends_a_moment_after_its_last_timeout(clock):
    """Guards against requests that wait for an upstream nobody asks."""
    known = silences.Silences(clock)
    known.record("d-1")
    advance(clock, silences.SILENT_S)

    assert not known.is_silent("d-1")
