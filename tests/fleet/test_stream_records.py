"""Tests that the version of a stream is found, at bounded cost and memory."""

from __future__ import annotations

import datetime

import gevent
import pytest

from coltsfootarch import errors
from coltsfootarch.fleet import stream_records
from tests.fakes import record_rows

LIFETIME_S = 30.0


class Table:
    """Records in memory; it can fail and counts its calls."""

    def __init__(self):
        self.records = record_rows.RecordRows()
        self.is_failing = False
        self.batches = []
        self.placeholders = []
        self.finds = 0

    def write(self, records, placeholders, removed):
        gevent.sleep(0.01)
        if self.is_failing:
            raise errors.TableUnavailableError()
        removed = list(removed)
        self.batches.append((dict(records), removed))
        self.placeholders.append(list(placeholders))
        return self.records.write(records, placeholders, removed)

    def find(self, key):
        if self.is_failing:
            raise errors.TableUnavailableError()
        self.finds += 1
        return stream_records.StoredRecord(self.records.get(key), 1)

    def keys(self):
        return list(self.records)


@pytest.fixture
def table():
    return Table()


def make_records(table, clock, is_sweeper=True):
    return stream_records.StreamRecords(
        table, clock, lambda: LIFETIME_S, lambda: is_sweeper
    )


@pytest.fixture
def records(table, manual_clock, monkeypatch):
    monkeypatch.setattr(stream_records, "REMOVAL_INTERVAL_S", 0.02)
    monkeypatch.setattr(stream_records, "RETRY_S", 0.02)
    records = make_records(table, manual_clock)
    records.start()
    yield records
    records.close()


def advance(clock, seconds):
    clock.advance(datetime.timedelta(seconds=seconds))


def test_record_is_found_by_a_host_without_memory(records, table, manual_clock):
    ticket = records.write("k", "v2")
    assert ticket.done.wait(1.0)

    assert ticket.succeeded
    assert make_records(table, manual_clock).find("k").version == "v2"


def test_stream_that_this_host_began_is_found_without_a_call(records, table):
    records.remember("k", "llm", "v1")

    assert records.find("k").version == "v1"
    assert table.finds == 0


def test_writes_share_transactions(records, table):
    tickets = [records.write(f"k{number}", "v2") for number in range(100)]
    for ticket in tickets:
        assert ticket.done.wait(1.0)

    assert [len(written) for written, _ in table.batches] == [60, 40]


def test_transaction_has_at_most_100_entries(records, table, manual_clock):
    """Guards against transactions that the store refuses for their size."""
    for number in range(50):
        assert records.write(f"old{number}", "v2").done.wait(1.0)
    advance(manual_clock, LIFETIME_S + 1.0)
    table.batches.clear()
    table.placeholders.clear()
    tickets = [records.reserve(f"p{number}") for number in range(100)]
    tickets += [records.write(f"k{number}", "v2") for number in range(100)]
    for ticket in tickets:
        assert ticket.done.wait(1.0)

    sizes = [
        len(written) + 2 * len(created) + len(removed)
        for (written, removed), created in zip(
            table.batches, table.placeholders, strict=True
        )
    ]
    assert max(sizes) <= 100
    assert len(sizes) <= 6


def test_placeholder_that_exists_does_not_hold_up_other_writes(records, table):
    """Guards against a transaction that is refused for one of its records."""
    table.records["p1"] = ""
    tickets = [
        records.reserve("p1"),
        records.reserve("p2"),
        records.write("k", "v2"),
    ]
    for ticket in tickets:
        assert ticket.done.wait(1.0)

    assert all(ticket.succeeded for ticket in tickets)
    assert table.records == {"p1": "", "p2": "", "k": "v2"}


def test_placeholders_that_are_given_up_are_told(records, table):
    """Guards against streams that never try again to be recorded."""
    table.is_failing = True

    tickets = [records.reserve(f"k{number}") for number in range(100)]

    assert all(ticket.done.wait(1.0) for ticket in tickets)
    assert all(ticket.has_failed for ticket in tickets)


def test_placeholder_does_not_replace_a_record(records, table):
    """Guards against a version that is lost after a stream has begun."""
    table.records["k"] = "v2"

    ticket = records.reserve("k")

    assert ticket.done.wait(1.0)
    assert ticket.succeeded
    assert table.records == {"k": "v2"}


def test_failed_write_is_told_and_made_up_for(records, table):
    table.is_failing = True
    records.remember("k", "llm", "v2")
    ticket = records.write("k", "v2")
    assert ticket.done.wait(1.0)
    assert not ticket.succeeded
    assert records.is_failing

    table.is_failing = False
    with gevent.Timeout(1.0):
        while not ticket.succeeded:
            gevent.sleep(0.005)

    assert table.records == {"k": "v2"}
    assert not records.is_failing


def test_later_version_replaces_a_record(records, table):
    first = records.write("k", "v2")
    second = records.write("k", "v1")
    assert second.done.wait(1.0)

    assert not first.succeeded
    assert table.records == {"k": "v1"}


def test_records_are_removed_after_the_lifetime_of_a_stream(
    records, table, manual_clock
):
    assert records.write("k", "v2").done.wait(1.0)
    advance(manual_clock, LIFETIME_S + 1.0)
    with gevent.Timeout(1.0):
        while table.records:
            gevent.sleep(0.005)

    assert not records.written


def test_records_of_hosts_that_are_gone_are_removed(
    records, table, manual_clock
):
    with gevent.Timeout(1.0):
        while not records.swept_at > 0:
            gevent.sleep(0.005)
    table.records["old"] = "v1"
    records.has_records = True
    for _ in range(3):
        advance(manual_clock, LIFETIME_S + 1.0)
        gevent.sleep(0.1)

    assert not table.records


def test_only_one_host_looks_for_old_records(table, manual_clock):
    table.records["old"] = "v1"
    records = make_records(table, manual_clock, is_sweeper=False)

    records.sweep()

    assert not records.swept


def test_memory_is_bounded(table, manual_clock, monkeypatch):
    monkeypatch.setattr(stream_records, "MAX_REMEMBERED", 10)
    records = make_records(table, manual_clock)
    for number in range(50):
        records.remember(f"k{number}", "llm", "v1")
    assert len(records.remembered) == 10

    advance(manual_clock, LIFETIME_S + 1.0)
    records.remember("new", "llm", "v1")

    assert list(records.remembered) == ["new"]


def test_remembered_streams_are_written_after_a_restoration(records, table):
    records.remember("k1", "llm", "v1")
    records.remember("k2", "llm", "v2")
    records.remember("k3", "other", "v1")

    records.write_again("llm")
    with gevent.Timeout(1.0):
        while len(table.records) < 2:
            gevent.sleep(0.005)

    assert table.records == {"k1": "v1", "k2": "v2"}


def test_another_account_names_another_stream():
    """Guards against a caller that learns of streams of other accounts."""
    keys = {
        stream_records.stream_key(*names)
        for names in (
            ("a", "llm", "r1"),
            ("b", "llm", "r1"),
            ("a", "llm", "r2"),
            ("a", "other", "r1"),
        )
    }

    assert len(keys) == 4
    assert all(len(key) == 32 for key in keys)
