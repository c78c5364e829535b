"""Tests that failing upstreams get no requests and recovered ones do."""

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


def test_unreachable_upstream_is_ejected_immediately(tracker, manual_clock):
    tracker.record("i-1", Outcome.UNREACHABLE)

    assert not tracker.is_usable("i-1")
    manual_clock.advance(seconds(1.1))
    assert tracker.is_usable("i-1")


def test_single_incomplete_answer_doesn_t_eject(tracker):
    tracker.record("i-1", Outcome.BROKEN)
    assert tracker.is_usable("i-1")

    tracker.record("i-1", Outcome.BROKEN)
    assert not tracker.is_usable("i-1")


def test_application_errors_lower_the_success_rate_but_don_t_eject(tracker):
    for _ in range(10):
        tracker.record("i-1", Outcome.ERROR)

    assert tracker.is_usable("i-1")
    assert tracker.success_rate("i-1") < 0.3


def test_ejection_time_is_limited(tracker, manual_clock):
    for _ in range(12):
        tracker.record("i-1", Outcome.UNREACHABLE)
        manual_clock.advance(seconds(outcomes.MAX_EJECTION_S + 0.1))

    assert tracker.is_usable("i-1")


def test_started_stream_completes_the_probe(tracker, manual_clock):
    tracker.record("i-1", Outcome.UNREACHABLE)
    manual_clock.advance(seconds(1.1))
    tracker.record_dispatch("i-1")
    # Otherwise the engine would get no further request until the stream ends.
    assert not tracker.is_usable("i-1")

    tracker.record_progress("i-1")

    assert tracker.is_usable("i-1")


def test_backoff_grows_with_each_refusal(tracker, manual_clock):
    tracker.record("i-1", Outcome.REFUSED)
    assert tracker.is_backing_off("i-1")
    manual_clock.advance(seconds(0.3))
    assert not tracker.is_backing_off("i-1")

    tracker.record("i-1", Outcome.REFUSED)
    manual_clock.advance(seconds(0.3))
    assert tracker.is_backing_off("i-1")
    assert tracker.is_usable("i-1")


def test_refusal_causes_a_backoff_on_all_hosts(tracker, manual_clock):
    other = outcomes.OutcomeTracker(manual_clock)
    tracker.record("i-1", Outcome.REFUSED)
    own_report = report("h1")
    tracker.add_to_report(own_report)

    other.apply_report(own_report, True)

    assert other.is_backing_off("i-1")
    # A peer's refusal isn't reported again; two hosts would otherwise renew the
    # backoff indefinitely.
    relayed = report("h2")
    other.add_to_report(relayed)
    assert relayed.refusing == []


def test_failures_reported_by_peers_cause_an_ejection(tracker):
    tracker.apply_report(report("h2"), True)
    tracker.apply_report(report("h2", failures=[("i-1", 1)]), True)
    tracker.apply_report(report("h3", failures=[("i-1", 1)]), True)

    assert not tracker.is_usable("i-1")


def test_repeated_report_of_a_failure_counts_once(tracker):
    for _ in range(5):
        tracker.apply_report(report("h2", failures=[("i-1", 1)]), True)

    assert tracker.is_usable("i-1")


def test_failure_reported_during_an_ejection_doesn_t_extend_it(
    tracker, manual_clock
):
    tracker.record("i-1", Outcome.UNREACHABLE)
    for number in range(1, 6):
        tracker.apply_report(report("h2", failures=[("i-1", number)]), True)
    manual_clock.advance(seconds(1.1))

    assert tracker.is_usable("i-1")


def test_records_of_removed_upstreams_are_deleted(tracker):
    tracker.record("i-1", Outcome.UNREACHABLE)

    tracker.retain_only({"i-2"})

    assert tracker.is_usable("i-1")
    assert not tracker.records
