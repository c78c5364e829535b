"""Guards against shares of limits that add up to more than the limit."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch.fleet import hosts


def seconds(number):
    return datetime.timedelta(seconds=number)


def record(name, renewals=0):
    return hosts.HostRecord(
        name, f"10.0.0.{name[1:]}:7500", "north", 1, renewals
    )


@pytest.fixture
def directory(manual_clock):
    found = hosts.HostDirectory(record("h1"), manual_clock)
    found.apply([record(f"h{number}") for number in range(1, 5)])
    return found


def hear(directory, *names):
    for name in names:
        directory.record_report(name, record(name).address, 1)


def test_host_alone_with_unheard_peers_has_its_part_only(directory):
    assert directory.share() == 0.25


def test_separated_groups_together_stay_within_the_limit(
    directory, manual_clock
):
    hear(directory, "h2")
    here = directory.share()

    other = hosts.HostDirectory(record("h3"), manual_clock)
    other.apply([record(f"h{number}") for number in range(1, 5)])
    other.record_report("h4", record("h4").address, 1)

    assert here + other.share() <= 1.0


def test_all_heard_is_the_whole_limit(directory):
    hear(directory, "h2", "h3", "h4")

    assert directory.share() == 1.0


def test_host_that_neither_reports_nor_renews_keeps_no_part(
    directory, manual_clock
):
    manual_clock.advance(seconds(hosts.RENEWAL_VALIDITY_S + 1))
    hear(directory, "h2", "h3")

    assert directory.share() == 1.0
    assert directory.count() == 3


def test_renewing_host_keeps_its_part_unheard(directory, manual_clock):
    manual_clock.advance(seconds(hosts.RENEWAL_VALIDITY_S + 1))
    hear(directory, "h2", "h3")
    directory.apply(
        [record("h1"), record("h2"), record("h3"), record("h4", renewals=2)]
    )

    assert directory.share() == 0.75


def test_unknown_host_that_reports_counts(directory):
    directory.record_report("h9", "10.0.0.9:7500", 1)

    assert "h9" in directory.peers
    assert directory.count() == 5


def test_rows_without_an_owner_are_found_for_removal(directory, manual_clock):
    manual_clock.advance(seconds(hosts.REMOVAL_S + 1))
    hear(directory, "h2")

    directory.apply([record(f"h{number}") for number in range(1, 5)])

    assert directory.stale == ["h3", "h4"]


class Registry:
    def __init__(self):
        self.rows = {}
        self.reads = 0

    def write(self, written):
        self.rows[written.name] = written

    def remove(self, name):
        del self.rows[name]

    def read(self):
        self.reads += 1
        return list(self.rows.values())


def test_rows_are_read_rarely_while_all_hosts_are_heard(manual_clock):
    registry = Registry()
    directory = hosts.HostDirectory(record("h1"), manual_clock)
    renewer = hosts.HostRenewer(registry, directory, manual_clock)

    for _ in range(8):
        renewer.renew()

    assert registry.rows["h1"].renewals == 8
    assert registry.reads == hosts.RENEWALS_AT_START + 2


def test_rows_are_read_at_each_renewal_while_a_host_is_unheard(manual_clock):
    registry = Registry()
    registry.write(record("h2"))
    directory = hosts.HostDirectory(record("h1"), manual_clock)
    renewer = hosts.HostRenewer(registry, directory, manual_clock)

    for _ in range(8):
        renewer.renew()

    assert registry.reads == 8


def test_rank_counts_reached_hosts_only(directory):
    directory.own = record("h3")
    directory.peers.pop("h3", None)
    hear(directory, "h2")

    assert directory.rank() == 1
