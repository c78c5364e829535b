"""Tests that hosts with the same view choose the same relays."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import topology

ZONES = ("regina", "saskatoon", "winnipeg")


def records(count):
    return [
        hosts.HostRecord(
            f"{ZONES[n % 3]}-{n}", f"10.0.0.{n}:1", ZONES[n % 3], 1, 1
        )
        for n in range(count)
    ]


def topologies(clock, count, excluded=()):
    result = {}
    for record in records(count):
        directory = hosts.HostDirectory(record, clock)
        directory.apply(records(count))
        result[record.name] = topology.Topology(
            directory, clock, lambda name: name in excluded
        )
    return result


@pytest.mark.parametrize("count", [13, 62, 195, 380, 1000])
def test_groups_are_about_the_root_of_the_fleet(count):
    size = topology.group_size(count)

    assert (size - 1) ** 2 < count <= size**2
    per_zone = topology.relay_count(count // 6, count)
    assert per_zone >= 1
    assert count / (6 * per_zone) <= 2 * size


def test_all_hosts_choose_the_same_relays(manual_clock):
    views = topologies(manual_clock, 60)
    chosen = {tuple(sorted(view.all_relays())) for view in views.values()}

    assert len(chosen) == 1
    relays = chosen.pop()
    for name, view in views.items():
        relay = view.own_relay()
        assert relay in relays
        assert relay.partition("-")[0] == name.partition("-")[0]
        if name in relays:
            assert relay == name


def test_failed_relay_is_replaced_and_tried_again_later(manual_clock):
    view = topologies(manual_clock, 60)["regina-0"]
    first = view.relays("winnipeg")

    view.record_failure(first[0])
    assert first[0] not in view.relays("winnipeg")
    assert len(view.relays("winnipeg")) == len(first)

    manual_clock.advance(datetime.timedelta(seconds=topology.FAILED_S + 0.1))
    assert view.relays("winnipeg") == first


def test_first_relays_are_tried_if_all_hosts_of_a_zone_failed(manual_clock):
    """During a partition every host of the other zone fails.

    Both sides must try the same hosts when it heals.
    """
    view = topologies(manual_clock, 60)["regina-0"]
    first = view.relays("winnipeg")
    for name in view.ordered["winnipeg"]:
        view.record_failure(name)

    assert view.relays("winnipeg") == first


def test_host_of_an_earlier_build_does_not_relay(manual_clock):
    excluded = {f"saskatoon-{n}" for n in range(1, 60, 3)} - {"saskatoon-58"}
    view = topologies(manual_clock, 60, excluded)["regina-0"]

    assert view.relays("saskatoon") == ["saskatoon-58"]


def test_host_of_unknown_zone_is_not_chosen(manual_clock):
    view = topologies(manual_clock, 6)["regina-0"]
    view.directory.record_report("unknown-1", "10.9.9.9:1", 1)

    assert "unknown-1" not in view.all_relays()
    view.directory.record_report("unknown-1", "10.9.9.9:1", 1, "north")
    assert "unknown-1" in view.all_relays()
