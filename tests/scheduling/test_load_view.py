"""Tests of the load view.

If it missed the load of peers, all hosts would regard the same engine as idle.
"""

from __future__ import annotations

import datetime

from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import load_view


def report(host, loads):
    return reports.Report(1, host, 1, 1, loads, [], [], [], [], [])


def test_loads_of_all_hosts_are_summed(manual_clock):
    loads = load_view.LoadView(manual_clock)
    loads.add("i-1", 100)
    loads.apply_report(report("h2", [("i-1", 2, 300)]), True)
    loads.apply_report(report("h3", [("i-1", 1, 50)]), True)

    assert loads.load("i-1") == load_view.Load(4, 450)


def test_newer_report_replaces_the_previous_one(manual_clock):
    loads = load_view.LoadView(manual_clock)
    loads.apply_report(report("h2", [("i-1", 2, 300)]), True)
    loads.apply_report(report("h2", []), True)

    assert loads.load("i-1") == load_view.NO_LOAD


def test_requests_of_a_silent_peer_expire(manual_clock):
    loads = load_view.LoadView(manual_clock)
    loads.apply_report(report("h2", [("i-1", 2, 300)]), True)
    manual_clock.advance(
        datetime.timedelta(seconds=load_view.PEER_REPORT_VALIDITY_S + 0.1)
    )

    loads.recompute_total()

    assert loads.load("i-1") == load_view.NO_LOAD


def test_listeners_are_notified_when_capacity_is_freed(manual_clock):
    loads = load_view.LoadView(manual_clock)
    notifications = []
    loads.on_change.append(lambda: notifications.append(1))
    loads.add("i-1", 100)
    assert not notifications

    loads.remove("i-1", 100)

    assert notifications
    assert loads.load("i-1") == load_view.NO_LOAD


def test_own_load_is_reported(manual_clock):
    loads = load_view.LoadView(manual_clock)
    loads.add("i-1", 100)
    host_report = report("h1", [])

    loads.add_to_report(host_report)

    assert host_report.loads == [("i-1", 1, 100)]
