"""Guards against hosts that all see the same engine as empty."""

from __future__ import annotations

import datetime

from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import load_view


def report(host, loads):
    return reports.Report(1, host, 1, 1, loads, [], [], [], [], [])


def test_loads_of_all_hosts_are_added(manual_clock):
    loads = load_view.LoadView(manual_clock)
    loads.add("i-1", 100)
    loads.absorb(report("h2", [("i-1", 2, 300)]), True)
    loads.absorb(report("h3", [("i-1", 1, 50)]), True)

    assert loads.load("i-1") == load_view.Load(4, 450)


def test_newer_report_replaces_the_one_before(manual_clock):
    loads = load_view.LoadView(manual_clock)
    loads.absorb(report("h2", [("i-1", 2, 300)]), True)
    loads.absorb(report("h2", []), True)

    assert loads.load("i-1") == load_view.NO_LOAD


def test_silent_peer_s_requests_count_no_longer(manual_clock):
    loads = load_view.LoadView(manual_clock)
    loads.absorb(report("h2", [("i-1", 2, 300)]), True)
    manual_clock.advance(
        datetime.timedelta(seconds=load_view.PEER_VALIDITY_S + 0.1)
    )

    loads.sum_up()

    assert loads.load("i-1") == load_view.NO_LOAD


def test_listeners_hear_of_room(manual_clock):
    loads = load_view.LoadView(manual_clock)
    heard = []
    loads.on_change.append(lambda: heard.append(1))
    loads.add("i-1", 100)
    assert not heard

    loads.remove("i-1", 100)

    assert heard
    assert loads.load("i-1") == load_view.NO_LOAD


def test_own_work_is_reported(manual_clock):
    loads = load_view.LoadView(manual_clock)
    loads.add("i-1", 100)
    found = report("h1", [])

    loads.contribute(found)

    assert found.loads == [("i-1", 1, 100)]
