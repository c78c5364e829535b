"""Tests that a request that crashes several upstreams is refused."""

from __future__ import annotations

import datetime

from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import break_counts


def send_report(source, target, host):
    report = reports.Report(1, host, 1, 1, [], [], [], [], [], [])
    source.add_to_report(report)
    target.apply_report(report, True)


def test_breaks_on_several_hosts_are_summed(manual_clock):
    first_host = break_counts.BreakCounts(manual_clock)
    second_host = break_counts.BreakCounts(manual_clock)
    first_host.record("digest")
    first_host.record("digest")
    second_host.record("digest")
    assert not first_host.is_refused("digest")

    send_report(first_host, second_host, "h1")

    assert second_host.is_refused("digest")
    assert not second_host.is_refused("other")


def test_breaks_are_cleared_by_a_success_and_expire(manual_clock):
    first_host = break_counts.BreakCounts(manual_clock)
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
    first_host = break_counts.BreakCounts(manual_clock)
    second_host = break_counts.BreakCounts(manual_clock)
    first_host.record("digest")

    for _ in range(5):
        send_report(first_host, second_host, "h1")

    assert not second_host.is_refused("digest")
