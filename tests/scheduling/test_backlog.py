"""Tests the expected wait.

If it is too short, requests are queued although they can't meet their
objective.
"""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import backlog


def report(host, waiting):
    return reports.Report(1, host, 1, 1, [], [], [], [], [], waiting)


def test_waiting_requests_of_all_hosts_are_summed(manual_clock):
    host_backlog = backlog.Backlog(manual_clock)
    host_backlog.add_waiting("llm")
    host_backlog.apply_report(report("h2", [("llm", 3)]), True)
    host_backlog.apply_report(report("h3", [("llm", 2), ("other", 9)]), True)

    assert host_backlog.total("llm") == 6


def test_stale_reports_are_ignored(manual_clock):
    host_backlog = backlog.Backlog(manual_clock)
    host_backlog.apply_report(report("h2", [("llm", 3)]), True)
    manual_clock.advance(
        datetime.timedelta(seconds=backlog.PEER_REPORT_VALIDITY_S + 0.1)
    )

    assert host_backlog.total("llm") == 0


def test_expected_wait_is_zero_without_waiting_requests(manual_clock):
    assert backlog.Backlog(manual_clock).expected_wait("llm", 40) == 0.0


def test_expected_wait_depends_on_duration_and_running_requests(manual_clock):
    host_backlog = backlog.Backlog(manual_clock)
    for _ in range(200):
        host_backlog.record_duration("llm", 2.0)
    for _ in range(9):
        host_backlog.add_waiting("llm")

    assert host_backlog.expected_wait("llm", 20) == pytest.approx(1.0, rel=0.01)
    for _ in range(9):
        host_backlog.remove_waiting("llm")
    assert host_backlog.expected_wait("llm", 20) == 0.0
