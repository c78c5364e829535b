"""Tests that the hosts' shares of a limit add up to at most the limit."""

from __future__ import annotations

import datetime
import random

import pytest

from coltsfootarch import errors
from coltsfootarch.fleet import host_renewal
from coltsfootarch.fleet import hosts


def seconds(number):
    return datetime.timedelta(seconds=number)


def record(name, renewals=0):
    return hosts.HostRecord(
        name, f"10.0.0.{name[1:]}:7500", "north", 1, renewals
    )


@pytest.fixture
def directory(manual_clock):
    built = hosts.HostDirectory(record("h1"), manual_clock)
    built.apply([record(f"h{number}") for number in range(1, 5)])
    return built


def report_from(directory, *names):
    for name in names:
        directory.record_report(name, record(name).address, 1)


def test_share_without_reachable_peers_is_that_of_one_host(directory):
    assert directory.share() == 0.25


def test_shares_of_partitioned_groups_stay_within_the_limit(
    directory, manual_clock
):
    report_from(directory, "h2")
    share = directory.share()

    other = hosts.HostDirectory(record("h3"), manual_clock)
    other.apply([record(f"h{number}") for number in range(1, 5)])
    other.record_report("h4", record("h4").address, 1)

    assert share + other.share() <= 1.0


def test_share_with_all_peers_reachable_is_the_whole_limit(directory):
    report_from(directory, "h2", "h3", "h4")

    assert directory.share() == 1.0


def test_host_that_neither_reports_nor_renews_has_no_share(
    directory, manual_clock
):
    manual_clock.advance(seconds(hosts.RENEWAL_VALIDITY_S + 1))
    report_from(directory, "h2", "h3")

    assert directory.share() == 1.0
    assert directory.count() == 3


def test_unreachable_host_that_renews_keeps_its_share(directory, manual_clock):
    manual_clock.advance(seconds(hosts.RENEWAL_VALIDITY_S + 1))
    report_from(directory, "h2", "h3")
    directory.apply(
        [record("h1"), record("h2"), record("h3"), record("h4", renewals=2)]
    )

    assert directory.share() == 0.75


def test_reporting_host_without_a_record_is_counted(directory):
    directory.record_report("h9", "10.0.0.9:7500", 1)

    assert "h9" in directory.peers
    assert directory.count() == 5


def test_rows_that_are_not_renewed_become_stale(directory, manual_clock):
    manual_clock.advance(seconds(hosts.REMOVAL_S + 1))
    report_from(directory, "h2")

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


def test_rows_are_read_rarely_while_all_hosts_are_reachable(manual_clock):
    registry = Registry()
    directory = hosts.HostDirectory(record("h1"), manual_clock)
    renewer = host_renewal.HostRenewer(
        registry, directory, manual_clock, random.Random(1)
    )

    for _ in range(8):
        renewer.renew()

    assert registry.rows["h1"].renewals == 8
    assert registry.reads == host_renewal.RENEWALS_AT_START + 2


def test_rows_are_read_at_each_renewal_with_an_unreachable_host(manual_clock):
    registry = Registry()
    registry.write(record("h2"))
    directory = hosts.HostDirectory(record("h1"), manual_clock)
    renewer = host_renewal.HostRenewer(
        registry, directory, manual_clock, random.Random(1)
    )

    for _ in range(8):
        renewer.renew()

    assert registry.reads == 8


def test_rank_counts_only_reachable_hosts(directory):
    directory.own = record("h3")
    directory.peers.pop("h3", None)
    report_from(directory, "h2")

    assert directory.rank() == 1


class FailingRegistry:
    """Fails so many writes, then keeps the rows."""

    def __init__(self, failures):
        self.failures = failures
        self.rows = {}

    def write(self, record):
        if self.failures:
            self.failures -= 1
            raise errors.TableUnavailableError()
        self.rows[record.name] = record


@pytest.mark.parametrize("failures", [0, 2])
def test_row_that_a_restored_store_has_lost_is_written_again(
    directory, manual_clock, failures
):
    """Guards against hosts that new ones can't find for up to 30 s."""
    registry = FailingRegistry(failures)
    renewer = host_renewal.HostRenewer(
        registry, directory, manual_clock, random.Random(1)
    )

    renewer.write_again()
    renewer.rewriter.join(timeout=1.0)

    assert registry.rows["h1"] == directory.own
    assert directory.own.renewals == 1 + failures


def test_rows_of_a_large_fleet_are_not_written_at_once(manual_clock):
    directory = hosts.HostDirectory(record("h1"), manual_clock)
    directory.apply([record(f"h{number}") for number in range(1, 381)])
    instants = []
    for seed in range(50):
        renewer = host_renewal.HostRenewer(
            FailingRegistry(0), directory, manual_clock, random.Random(seed)
        )
        started = manual_clock.monotonic()
        renewer.rewrite()
        instants.append(manual_clock.monotonic() - started)

    assert max(instants) - min(instants) > 3.0
    assert max(instants) < 3.81


def test_host_without_a_list_does_not_take_itself_for_the_only_one(
    manual_clock,
):
    """Guards against hosts that each use a whole limit or act as the first."""
    directory = hosts.HostDirectory(record("h1"), manual_clock)

    assert directory.share() <= 1 / hosts.MAX_DIRECT_HOSTS
    assert directory.count() >= hosts.MAX_DIRECT_HOSTS
    assert directory.rank() > 0
    assert not directory.all_reachable()
    assert not directory.all_heard(1.0)

    directory.apply([record("h1")])

    assert directory.share() == 1.0
    assert directory.rank() == 0
    assert directory.all_reachable()
    assert directory.all_heard(1.0)
