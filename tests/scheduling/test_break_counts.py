"""Tests that a request that crashes several upstreams is refused."""

from __future__ import annotations

import datetime

from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import break_counts


def send_report(source, target, host):
    report = reports.empty_report(host, 1, 1)
    target.apply_report(source.add_to_report(report), True)


def test_breaks_on_several_hosts_are_summed(manual_clock):
    first_host = break_counts.BreakCounts(manual_clock, "first_host")
    second_host = break_counts.BreakCounts(manual_clock, "second_host")
    first_host.record("digest")
    first_host.record("digest")
    second_host.record("digest")
    assert not first_host.is_refused("digest")

    send_report(first_host, second_host, "h1")

    assert second_host.is_refused("digest")
    assert not second_host.is_refused("other")


def test_breaks_are_cleared_by_a_success_and_expire(manual_clock):
    first_host = break_counts.BreakCounts(manual_clock, "first_host")
    for _ in range(3):
        first_host.record("digest")
    assert first_host.is_refused("digest")
    first_host.clear("digest")
    assert not first_host.is_refused("digest")

    for _ in range(3):
        first_host.record("digest")
    manual_clock.advance(
        datetime.timedelta(seconds=break_counts.RETENTION_S + 1)
    )
    assert not first_host.is_refused("digest")


def test_repeated_reports_of_a_break_count_once(manual_clock):
    first_host = break_counts.BreakCounts(manual_clock, "first_host")
    second_host = break_counts.BreakCounts(manual_clock, "second_host")
    first_host.record("digest")

    for _ in range(5):
        send_report(first_host, second_host, "h1")

    assert not second_host.is_refused("digest")


def test_breaks_outlast_a_restart_of_the_host_that_saw_them(manual_clock):
    """Guards against counts that end with the process that observed them."""
    first_host = break_counts.BreakCounts(manual_clock, "first_host")
    second_host = break_counts.BreakCounts(manual_clock, "second_host")
    for _ in range(3):
        first_host.record("digest")
    send_report(first_host, second_host, "h1")

    restarted = break_counts.BreakCounts(manual_clock, "restarted")
    send_report(restarted, second_host, "h1")
    for _ in range(20):
        manual_clock.advance(datetime.timedelta(seconds=1))
        send_report(second_host, restarted, "h2")

    assert second_host.is_refused("digest")
    assert restarted.is_refused("digest")


def test_breaks_of_other_requests_do_not_hide_those_of_one(manual_clock):
    """Guards against a crash whose many victims fill the reports."""
    first_host = break_counts.BreakCounts(manual_clock, "first_host")
    second_host = break_counts.BreakCounts(manual_clock, "second_host")
    for _ in range(3):
        first_host.record("digest")
    manual_clock.advance(datetime.timedelta(seconds=5))
    for number in range(60):
        first_host.record(f"other-{number}")

    for _ in range(20):
        manual_clock.advance(datetime.timedelta(milliseconds=100))
        send_report(first_host, second_host, "h1")

    assert second_host.is_refused("digest")


def test_success_clears_what_other_hosts_know(manual_clock):
    """Guards against refusals of a request that has completed since."""
    first_host = break_counts.BreakCounts(manual_clock, "first_host")
    second_host = break_counts.BreakCounts(manual_clock, "second_host")
    for _ in range(3):
        first_host.record("digest")
    send_report(first_host, second_host, "h1")
    manual_clock.advance(datetime.timedelta(seconds=1))

    second_host.clear("digest")
    send_report(second_host, first_host, "h2")

    assert not second_host.is_refused("digest")
    assert not first_host.is_refused("digest")


def test_crash_seen_by_several_hosts_counts_once(manual_clock):
    """Guards against refusals of a popular call after one crash."""
    first_host = break_counts.BreakCounts(manual_clock, "first")
    second_host = break_counts.BreakCounts(manual_clock, "second")
    for _ in range(2):
        first_host.record("digest", "i-1@17")
        second_host.record("digest", "i-1@17")
    send_report(first_host, second_host, "h1")
    assert second_host.count("digest") == 1

    second_host.record("digest", "i-1@18")
    second_host.record("digest", "i-2@17")

    assert second_host.is_refused("digest")


def test_refusal_gets_longer_with_each_further_break(manual_clock):
    """Guards against a crash of an upstream at each end of a refusal."""
    first_host = break_counts.BreakCounts(manual_clock, "first")
    for _ in range(3):
        first_host.record("digest")
    once = datetime.timedelta(seconds=break_counts.RETENTION_S + 1)
    manual_clock.advance(once)
    first_host.expire()
    assert not first_host.is_refused("digest")

    first_host.record("digest")
    manual_clock.advance(once)
    first_host.expire()

    assert first_host.is_refused("digest")


def test_memory_and_reports_of_breaks_are_bounded(manual_clock):
    first_host = break_counts.BreakCounts(manual_clock, "first")
    for number in range(3 * break_counts.MAX_REQUESTS):
        first_host.record(f"digest-{number}")
        first_host.clear(f"digest-{number}")
        first_host.record(f"other-{number}")

    report = first_host.add_to_report(reports.empty_report("h1", 1, 1))

    assert len(first_host.breaks) == break_counts.MAX_REQUESTS
    assert len(first_host.cleared_at) == break_counts.MAX_REQUESTS
    assert len(report.broken_requests) == break_counts.MAX_REPORTED
    assert len(report.completed_requests) == break_counts.MAX_REPORTED
