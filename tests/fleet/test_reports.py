"""Tests handling of lost, outdated, reordered and undecodable reports."""

from __future__ import annotations

import datetime
import itertools

import msgspec
import pytest

from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import relayed
from coltsfootarch.fleet import report_exchange
from coltsfootarch.fleet import reports
from tests.fleet import builders


class Recorder:
    def __init__(self):
        self.received = []

    def add_to_report(self, report):
        report.usage.append(("acme", 0, 5))
        return report

    def apply_report(self, report, continuous):
        self.received.append((report.host, report.sequence, continuous))


def exchange(name, clock, incarnation=1):
    own = hosts.HostRecord(
        name, f"127.0.0.1:{7000 + len(name)}", "z", incarnation, 0
    )
    return report_exchange.ReportExchange(
        hosts.HostDirectory(own, clock), [Recorder()], clock
    )


@pytest.fixture
def receiver(manual_clock):
    return exchange("here", manual_clock)


def test_first_report_and_one_after_a_gap_are_not_continuous(
    receiver, manual_clock
):
    peer = exchange("peer", manual_clock)

    receiver.receive(peer.encode(), "127.0.0.1:1")
    receiver.receive(peer.encode(), "127.0.0.1:1")
    manual_clock.advance(datetime.timedelta(seconds=hosts.REPORT_TIMEOUT_S + 1))
    receiver.receive(peer.encode(), "127.0.0.1:1")

    assert [entry[2] for entry in receiver.participants[0].received] == [
        False,
        True,
        False,
    ]


def test_host_restarted_with_an_earlier_clock_is_accepted(
    receiver, manual_clock
):
    """Its new incarnation is smaller, so that its reports look outdated.

    If they were dropped, its load and usage would be unknown until its clock
    catches up.
    """
    before = exchange("peer", manual_clock, incarnation=2000)
    after = exchange("peer", manual_clock, incarnation=1000)
    receiver.receive(before.encode(), "127.0.0.1:1")
    # A late report of an earlier process must not replace those of a running
    # one.
    receiver.receive(after.encode(), "127.0.0.1:1")
    received = receiver.participants[0].received
    assert len(received) == 1

    manual_clock.advance(
        datetime.timedelta(seconds=hosts.REPORT_TIMEOUT_S + 0.1)
    )
    receiver.receive(after.encode(), "127.0.0.1:1")
    receiver.receive(after.encode(), "127.0.0.1:1")

    assert [entry[2] for entry in received] == [False, False, True]


def test_duplicate_and_reordered_reports_are_dropped(receiver, manual_clock):
    peer = exchange("peer", manual_clock)
    first, second = peer.encode(), peer.encode()

    for data in (second, first, second):
        receiver.receive(data, "127.0.0.1:1")

    assert [entry[1] for entry in receiver.participants[0].received] == [2]


def test_report_of_a_restarted_peer_is_not_continuous(receiver, manual_clock):
    old = exchange("peer", manual_clock, incarnation=1)
    new = exchange("peer", manual_clock, incarnation=2)
    for _ in range(5):
        last = old.encode()
    receiver.receive(last, "127.0.0.1:1")

    receiver.receive(new.encode(), "127.0.0.1:1")
    receiver.receive(last, "127.0.0.1:1")

    assert receiver.participants[0].received == [
        ("peer", 5, False),
        ("peer", 1, False),
    ]


@pytest.mark.parametrize("data", [b"", b"\x00", b"\x93\x01\xa1x", b"\xff" * 50])
def test_undecodable_datagrams_are_counted_and_dropped(receiver, data):
    receiver.receive(data, "127.0.0.1:1")

    assert receiver.undecodable == 1
    assert not receiver.participants[0].received


def test_own_reports_are_ignored(receiver):
    receiver.receive(receiver.encode(), "127.0.0.1:1")

    assert not receiver.participants[0].received


def test_interval_grows_with_the_number_of_hosts(receiver):
    assert receiver.interval() == report_exchange.INTERVAL_S

    for number in itertools.islice(itertools.count(), 30):
        receiver.directory.record_report(f"h{number}", "10.0.0.1:1", 1)

    assert (
        report_exchange.INTERVAL_S < receiver.interval() <= relayed.MAX_TICK_S
    )


def test_interval_is_bounded_in_any_fleet():
    """Views older than the longest interval send requests to full engines."""
    assert relayed.tick_s(13) == relayed.MIN_TICK_S
    assert relayed.tick_s(1000) == relayed.MAX_TICK_S
    assert relayed.tick_s(150) == pytest.approx(0.195)


def test_upstream_entries_are_unchanged_by_encoding(receiver, manual_clock):
    peer = exchange("peer", manual_clock)
    directory = builders.directory(
        manual_clock, builders.decode("d-1"), builders.plain("i-1")
    )
    peer.participants = [directory]
    received = []
    receiver.participants[0].apply_report = lambda report, continuous: (
        received.append(report)
    )

    receiver.receive(peer.encode(), "127.0.0.1:1")

    assert set(received[0].directory_changed) == set(
        directory.upstreams.values()
    )
    assert received[0].directory == directory.digest


def test_report_without_crashes_has_the_earlier_format():
    """Guards against hosts that can't read each other during an update."""
    empty = reports.empty_report("h1", 1, 1)
    crashed = empty._replace(crashed_parts=(("llm", ("bad",), ("d-1",), 5),))

    fields = msgspec.msgpack.decode(reports.encode(empty))

    assert len(fields) == len(reports.Report._fields) - len(
        reports.OPTIONAL_FIELDS
    )
    assert reports.decode(reports.encode(empty)) == empty
    assert reports.decode(reports.encode(crashed)) == crashed
