"""Guards against requests that are held although they can't be in time."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import backlog


def report(host, waiting):
    return reports.Report(1, host, 1, 1, [], [], [], [], [], waiting)


def test_waiting_requests_of_all_hosts_count(manual_clock):
    one = backlog.Backlog(manual_clock)
    one.enter("llm")
    one.absorb(report("h2", [("llm", 3)]), True)
    one.absorb(report("h3", [("llm", 2), ("other", 9)]), True)

    assert one.total("llm") == 6


def test_old_reports_count_no_longer(manual_clock):
    one = backlog.Backlog(manual_clock)
    one.absorb(report("h2", [("llm", 3)]), True)
    manual_clock.advance(
        datetime.timedelta(seconds=backlog.PEER_VALIDITY_S + 0.1)
    )

    assert one.total("llm") == 0


def test_no_wait_is_expected_while_nobody_waits(manual_clock):
    assert backlog.Backlog(manual_clock).expected_wait("llm", 40) == 0.0


def test_wait_follows_from_the_duration_and_the_running(manual_clock):
    one = backlog.Backlog(manual_clock)
    for _ in range(200):
        one.note_duration("llm", 2.0)
    for _ in range(9):
        one.enter("llm")

    assert one.expected_wait("llm", 20) == pytest.approx(1.0, rel=0.01)
    for _ in range(9):
        one.leave("llm")
    assert one.expected_wait("llm", 20) == 0.0
