"""Guards against work for upstreams that fail it, and against idle ones."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import outcomes

Outcome = outcomes.Outcome


def seconds(number):
    return datetime.timedelta(seconds=number)


def report(host, **changes):
    base = reports.Report(1, host, 1, 1, [], [], [], [], [], [])
    return base._replace(**changes)


@pytest.fixture
def tracker(manual_clock):
    return outcomes.OutcomeTracker(manual_clock)


def test_absent_upstream_rests_at_once(tracker, manual_clock):
    tracker.record("i-1", Outcome.ABSENT)

    assert not tracker.is_usable("i-1")
    manual_clock.advance(seconds(1.1))
    assert tracker.is_usable("i-1")


def test_single_broken_answer_doesn_t_eject(tracker):
    tracker.record("i-1", Outcome.BROKEN)
    assert tracker.is_usable("i-1")

    tracker.record("i-1", Outcome.BROKEN)
    assert not tracker.is_usable("i-1")


def test_application_errors_lower_the_rate_but_don_t_eject(tracker):
    for _ in range(10):
        tracker.record("i-1", Outcome.ERROR)

    assert tracker.is_usable("i-1")
    assert tracker.success_rate("i-1") < 0.3


def test_ejections_stay_short(tracker, manual_clock):
    for _ in range(12):
        tracker.record("i-1", Outcome.ABSENT)
        manual_clock.advance(seconds(outcomes.LONGEST_EJECTION_S + 0.1))

    assert tracker.is_usable("i-1")


def test_long_stream_that_began_ends_the_probe(tracker, manual_clock):
    tracker.record("i-1", Outcome.ABSENT)
    manual_clock.advance(seconds(1.1))
    tracker.note_dispatch("i-1")
    # Without it the engine would get one request until the stream's end.
    assert not tracker.is_usable("i-1")

    tracker.note_progress("i-1")

    assert tracker.is_usable("i-1")


def test_refusing_upstream_rests_longer_each_time(tracker, manual_clock):
    tracker.record("i-1", Outcome.REFUSED)
    assert tracker.is_refusing("i-1")
    manual_clock.advance(seconds(0.3))
    assert not tracker.is_refusing("i-1")

    tracker.record("i-1", Outcome.REFUSED)
    manual_clock.advance(seconds(0.3))
    assert tracker.is_refusing("i-1")
    assert tracker.is_usable("i-1")


def test_refusal_holds_on_all_hosts(tracker, manual_clock):
    other = outcomes.OutcomeTracker(manual_clock)
    tracker.record("i-1", Outcome.REFUSED)
    shared = report("h1")
    tracker.contribute(shared)

    other.absorb(shared, True)

    assert other.is_refusing("i-1")
    # It isn't passed on, or two hosts would keep it up for ever.
    second = report("h2")
    other.contribute(second)
    assert second.refusing == []


def test_failures_that_peers_meet_eject_too(tracker):
    tracker.absorb(report("h2"), True)
    tracker.absorb(report("h2", failures=[("i-1", 1)]), True)
    tracker.absorb(report("h3", failures=[("i-1", 1)]), True)

    assert not tracker.is_usable("i-1")


def test_repeated_report_of_a_failure_counts_once(tracker):
    for _ in range(5):
        tracker.absorb(report("h2", failures=[("i-1", 1)]), True)

    assert tracker.is_usable("i-1")


def test_late_report_doesn_t_extend_an_ejection(tracker, manual_clock):
    tracker.record("i-1", Outcome.ABSENT)
    for number in range(1, 6):
        tracker.absorb(report("h2", failures=[("i-1", number)]), True)
    manual_clock.advance(seconds(1.1))

    assert tracker.is_usable("i-1")


def test_upstreams_that_left_are_forgotten(tracker):
    tracker.record("i-1", Outcome.ABSENT)

    tracker.forget_except({"i-2"})

    assert tracker.is_usable("i-1")
    assert not tracker.records
