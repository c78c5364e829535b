"""Guards against a request that crashes one upstream after the other."""

from __future__ import annotations

import datetime

from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import break_counts


def exchange(source, target, host):
    report = reports.Report(1, host, 1, 1, [], [], [], [], [], [])
    source.contribute(report)
    target.absorb(report, True)


def test_breaks_on_several_hosts_add_up(manual_clock):
    one = break_counts.BreakCounts(manual_clock)
    two = break_counts.BreakCounts(manual_clock)
    one.record("digest")
    one.record("digest")
    two.record("digest")
    assert not one.is_refused("digest")

    exchange(one, two, "h1")

    assert two.is_refused("digest")
    assert not two.is_refused("other")


def test_success_clears_and_time_forgets(manual_clock):
    one = break_counts.BreakCounts(manual_clock)
    for _ in range(3):
        one.record("digest")
    assert one.is_refused("digest")
    one.clear("digest")
    assert not one.is_refused("digest")

    for _ in range(3):
        one.record("digest")
    manual_clock.advance(datetime.timedelta(seconds=break_counts.MEMORY_S + 1))
    assert not one.is_refused("digest")


def test_repeated_reports_don_t_count_again(manual_clock):
    one = break_counts.BreakCounts(manual_clock)
    two = break_counts.BreakCounts(manual_clock)
    one.record("digest")

    for _ in range(5):
        exchange(one, two, "h1")

    assert not two.is_refused("digest")
