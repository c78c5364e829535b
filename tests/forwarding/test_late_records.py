"""Tests that no host takes a stream for one of a version of another attempt."""

from __future__ import annotations

import pytest

from coltsfootarch import clock as clocks
from coltsfootarch import errors
from coltsfootarch.platform import store
from coltsfootarch.platform import stream_records
from tests.fakes import late_store
from tests.fleet import builders
from tests.forwarding import version_fleet

BASE = builders.decode("d-1", version="v1")
OTHER = builders.decode("d-2", version="v2")


@pytest.fixture
def server():
    server = late_store.LateStore()
    server.start()
    yield server
    server.close()


@pytest.fixture
def fleet(server, manual_clock):
    """Two hosts before engines of v1, the base, and v2."""
    fleet = version_fleet.Fleet(manual_clock)
    fleet.register(d_1="v1", d_2="v2")
    fleet.step(10.0)
    clients = []
    for host in (fleet.first, fleet.second):
        client = store.StoreClient(server.address, clocks.SystemClock())
        host.records.table = stream_records.StreamTable(client, client)
        clients.append(client)
    yield fleet
    for client in clients:
        client.close()


@pytest.fixture
def host(fleet):
    """The host that begins streams."""
    return fleet.first


@pytest.fixture
def call():
    return version_fleet.make_call("r1")


def flush(host):
    """Writes pending records; returns whether that succeeded."""
    try:
        host.records.flush()
    except errors.PlatformError:
        return False
    return True


def test_late_write_does_not_replace_the_version_that_began(
    fleet, host, server, call
):
    """Guards against a take-up at the version of an earlier, late record."""
    server.keeps_back = True
    host.streams.announce(call, OTHER)
    assert not flush(host)
    server.keeps_back = False
    host.streams.announce(call, BASE)
    flush(host)
    assert host.streams.confirm(call, BASE)
    assert flush(host)

    server.carry_out()

    assert fleet.second.take_up("r1") == "v1"


def test_record_of_an_earlier_attempt_does_not_name_the_version(
    fleet, host, server, call
):
    """Guards against a stream that began at the base beside a record of v2."""
    host.streams.announce(call, OTHER)
    assert flush(host)
    server.mode = "reset"
    host.streams.announce(call, BASE)
    assert host.streams.confirm(call, BASE)
    flush(host)
    server.mode = "serve"

    assert fleet.second.take_up("r1") == "stream-version-unknown"

    assert flush(host)
    assert fleet.second.take_up("r1") == "v1"


def test_late_write_does_not_name_the_version_of_an_unrecorded_stream(
    fleet, host, server, call
):
    """Guards against a host that dies before it has recorded a stream."""
    server.keeps_back = True
    host.streams.announce(call, OTHER)
    flush(host)
    host.streams.announce(call, BASE)
    assert host.streams.confirm(call, BASE)

    server.carry_out()

    assert fleet.second.take_up("r1") == "stream-version-unknown"


def test_stream_is_found_by_the_engines_that_hold_its_prompt(
    fleet, host, server, call
):
    """Guards against take-ups refused only since a record has no version."""
    host.streams.announce(call, OTHER)
    assert flush(host)
    assert host.streams.confirm(call, OTHER)
    fleet.holders.held["part"] = {"v2"}

    assert fleet.second.take_up("r1", "part") == "v2"


def test_stream_begins_at_another_version_only_with_a_record(
    host, server, call
):
    """Guards against a stream that other hosts take for one of the base."""
    server.mode = "reset"
    host.streams.announce(call, OTHER)
    flush(host)

    assert not host.streams.confirm(call, OTHER)
    assert not host.records.remembered


def test_stream_begins_though_one_answer_of_the_store_is_lost(
    host, server, call
):
    """Guards against an attempt given up for a single lost answer."""
    server.answers_to_lose = 1
    host.streams.announce(call, OTHER)
    flush(host)

    assert host.streams.confirm(call, OTHER)


def test_refused_write_is_not_repeated_at_once(host, server, call):
    """Guards against further calls to a store that refuses for its load."""
    server.mode = "busy"
    server.calls.clear()
    host.streams.announce(call, OTHER)

    assert not flush(host)
    assert server.calls == ["rows-tx"]
