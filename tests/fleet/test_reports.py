"""Guards against reports that are lost, old, crossed or unreadable."""

from __future__ import annotations

import datetime
import itertools

import pytest

from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import reports
from tests.fleet import builders


class Recorder:
    def __init__(self):
        self.seen = []

    def contribute(self, report):
        report.usage.append(("acme", 0, 5))
        return report

    def absorb(self, report, continuous):
        self.seen.append((report.host, report.sequence, continuous))


def exchange(name, clock, incarnation=1):
    own = hosts.HostRecord(
        name, f"127.0.0.1:{7000 + len(name)}", "z", incarnation, 0
    )
    return reports.ReportExchange(
        hosts.HostDirectory(own, clock), [Recorder()], clock
    )


@pytest.fixture
def here(manual_clock):
    return exchange("here", manual_clock)


def test_first_report_and_one_after_a_gap_are_not_continuous(
    here, manual_clock
):
    peer = exchange("peer", manual_clock)

    here.receive(peer.encode(), "127.0.0.1:1")
    here.receive(peer.encode(), "127.0.0.1:1")
    manual_clock.advance(datetime.timedelta(seconds=hosts.REPORT_TIMEOUT_S + 1))
    here.receive(peer.encode(), "127.0.0.1:1")

    assert [entry[2] for entry in here.participants[0].seen] == [
        False,
        True,
        False,
    ]


def test_host_whose_clock_was_set_back_is_heard_after_a_restart(
    here, manual_clock
):
    """Otherwise its load and use stay unknown until the clock catches up."""
    before = exchange("peer", manual_clock, incarnation=2000)
    after = exchange("peer", manual_clock, incarnation=1000)
    here.receive(before.encode(), "127.0.0.1:1")
    # A late report of an earlier process must not replace a living one.
    here.receive(after.encode(), "127.0.0.1:1")
    seen = here.participants[0].seen
    assert len(seen) == 1

    manual_clock.advance(
        datetime.timedelta(seconds=hosts.REPORT_TIMEOUT_S + 0.1)
    )
    here.receive(after.encode(), "127.0.0.1:1")
    here.receive(after.encode(), "127.0.0.1:1")

    assert [entry[2] for entry in seen] == [False, False, True]


def test_repeated_and_overtaken_reports_are_dropped(here, manual_clock):
    peer = exchange("peer", manual_clock)
    first, second = peer.encode(), peer.encode()

    for data in (second, first, second):
        here.receive(data, "127.0.0.1:1")

    assert [entry[1] for entry in here.participants[0].seen] == [2]


def test_restarted_peer_starts_over(here, manual_clock):
    old = exchange("peer", manual_clock, incarnation=1)
    new = exchange("peer", manual_clock, incarnation=2)
    for _ in range(5):
        last = old.encode()
    here.receive(last, "127.0.0.1:1")

    here.receive(new.encode(), "127.0.0.1:1")
    here.receive(last, "127.0.0.1:1")

    assert here.participants[0].seen == [("peer", 5, False), ("peer", 1, False)]


@pytest.mark.parametrize("data", [b"", b"\x00", b"\x93\x01\xa1x", b"\xff" * 50])
def test_unreadable_datagrams_are_counted_and_dropped(here, data):
    here.receive(data, "127.0.0.1:1")

    assert here.undecodable == 1
    assert not here.participants[0].seen


def test_own_reports_are_ignored(here):
    here.receive(here.encode(), "127.0.0.1:1")

    assert not here.participants[0].seen


def test_interval_grows_with_the_number_of_hosts(here):
    assert here.interval() == reports.INTERVAL_S

    for number in itertools.islice(itertools.count(), 30):
        here.directory.record_report(f"h{number}", "10.0.0.1:1", 1)

    assert reports.INTERVAL_S < here.interval() <= reports.MAX_INTERVAL_S


def test_entries_of_upstreams_survive_the_wire(here, manual_clock):
    peer = exchange("peer", manual_clock)
    directory = builders.directory(
        manual_clock, builders.decode("d-1"), builders.plain("i-1")
    )
    peer.participants = [directory]
    seen = []
    here.participants[0].absorb = lambda report, continuous: seen.append(report)

    here.receive(peer.encode(), "127.0.0.1:1")

    assert set(seen[0].directory_changed) == set(directory.upstreams.values())
    assert seen[0].directory == directory.digest
