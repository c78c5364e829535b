"""Tests that a late write leaves what was written to the list since."""

from __future__ import annotations

import pytest

from coltsfootarch import clock as clocks
from coltsfootarch import errors
from coltsfootarch.fleet import hosts
from coltsfootarch.platform import host_rows
from coltsfootarch.platform import store
from tests.fakes import late_store


@pytest.fixture
def server():
    server = late_store.LateStore()
    server.start()
    yield server
    server.close()


@pytest.fixture
def connect(server):
    """Returns a function that returns the table of a process."""
    clients = []

    def build():
        client = store.StoreClient(server.address, clocks.SystemClock())
        clients.append(client)
        return host_rows.HostTable(client)

    yield build
    for client in clients:
        client.close()


def record(incarnation, renewals=1):
    return hosts.HostRecord(
        "h1", f"10.0.0.{incarnation}:1", "north", incarnation, renewals
    )


def test_late_write_of_an_earlier_start_does_not_replace_the_row(
    server, connect
):
    """Guards against hosts that send their reports to an old address."""
    earlier = connect()
    earlier.write(record(1))
    server.keeps_back = True
    with pytest.raises(errors.TableUnavailableError):
        earlier.write(record(1, 2))
    server.keeps_back = False
    later = connect()
    later.write(record(2))

    server.carry_out()

    assert later.read() == [record(2)]


def test_late_removal_does_not_take_away_a_row_that_is_back(server, connect):
    """Guards against a host that others which start don't find."""
    connect().write(record(1))
    other = connect()
    other.read()
    server.keeps_back = True
    with pytest.raises(errors.TableUnavailableError):
        other.remove("h1")
    server.keeps_back = False
    connect().write(record(2))

    server.carry_out()

    assert other.read() == [record(2)]


def test_row_that_is_known_is_written_in_one_call(server, connect):
    """Guards against a renewal that asks for the revision each time."""
    table = connect()
    table.write(record(1))
    server.calls.clear()

    for renewals in range(2, 6):
        table.write(record(1, renewals))

    assert server.calls == ["rows-tx"] * 4


def test_row_is_written_after_its_removal_or_a_restoration(server, connect):
    """Guards against a host whose revision is that of a row that is gone."""
    table = connect()
    table.write(record(1))
    server.restore(0)
    table.write(record(1, 2))
    server.put(host_rows.HOST_TABLE, "h1", None)

    table.write(record(1, 3))

    assert table.read() == [record(1, 3)]
