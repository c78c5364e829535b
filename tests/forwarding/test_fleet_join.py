"""Tests that a host serves only once it knows what the others have used."""

from __future__ import annotations

import datetime
import types

import pytest

from coltsfootarch.fleet import hosts
from coltsfootarch.forwarding import fleet_join
from tests.fleet import test_hosts

record = test_hosts.record


def seconds(number):
    return datetime.timedelta(seconds=number)


@pytest.fixture
def directory(manual_clock):
    return hosts.HostDirectory(record("h1"), manual_clock)


@pytest.fixture
def join(directory, manual_clock):
    """The join of a host that has a policy."""
    tracker = types.SimpleNamespace(on_change=[])
    join = fleet_join.FleetJoin(directory, tracker, manual_clock)
    for notify in tracker.on_change:
        notify(None)
    return join


def test_host_without_a_list_serves_nothing(join):
    """Guards against hosts that each use the whole limit of an account."""
    assert not join.is_complete()
    assert not join.wait()


def test_host_serves_once_it_has_heard_all_others(join, directory):
    """Guards against a start that takes longer than the first reports."""
    directory.apply([record("h2"), record("h3")])
    test_hosts.report_from(directory, "h2")
    assert not join.is_complete()

    test_hosts.report_from(directory, "h3")

    assert join.is_complete()


def test_host_does_not_wait_for_hosts_that_are_gone(
    join, directory, manual_clock
):
    """Guards against rows of hosts that keep a new one from serving."""
    directory.apply([record("h2")])
    manual_clock.advance(seconds(fleet_join.MAX_REPORT_WAIT_S + 0.01))

    assert join.is_complete()


def test_host_serves_its_part_if_the_list_stays_unknown(
    join, directory, manual_clock
):
    """Guards against a host that refuses all callers for a whole outage."""
    manual_clock.advance(seconds(fleet_join.MAX_LIST_WAIT_S))

    assert join.is_complete()
    assert directory.share() == 1 / hosts.UNKNOWN_COUNT


def test_request_that_waits_is_served_when_the_list_is_read(
    join, directory, manual_clock
):
    """Guards against requests refused for a read under way."""
    read_at = manual_clock.monotonic() + 0.1
    sleep = manual_clock.sleep

    def read(duration):
        sleep(duration)
        if manual_clock.monotonic() >= read_at:
            directory.apply([])

    manual_clock.sleep = read

    assert join.wait()


def test_host_that_has_served_goes_on_when_it_hears_nobody(
    join, directory, manual_clock
):
    """Guards against a host that stops serving while it is cut off."""
    directory.apply([record("h2")])
    test_hosts.report_from(directory, "h2")
    assert join.is_complete()

    manual_clock.advance(seconds(60))

    assert join.is_complete()


def test_request_to_a_host_without_a_list_is_refused_as_not_run(edge_host):
    """Guards against a host that admits requests before it has joined."""
    edge_host.add_runner("a-1", "app")
    edge_host.start()
    assert edge_host.ask("/read/a").status == 200
    daemon = edge_host.daemon
    daemon.join.completed = False
    daemon.hosts.known = False
    daemon.join.policy_at = daemon.clock.monotonic()

    response = edge_host.ask("/read/a")

    assert response.status == 503
    assert response.code == "host-list-unavailable"
    assert "retry-after" in response.fields
    assert not daemon.is_ready()
