"""Guards against clients that report a wrong outcome of a platform call."""

from __future__ import annotations

import datetime
import socket
import time

import pytest
import urllib3

from coltsfootarch import errors
from coltsfootarch.storage import host_list_client
from coltsfootarch.storage import http_channel
from coltsfootarch.storage import object_client
from coltsfootarch.storage import table_client
from coltsfootarch.storage import tables
from standins import host_list
from standins import objects
from standins import tables as tables_standin

TIMEOUT = datetime.timedelta(seconds=5)
SHORT_TIMEOUT = datetime.timedelta(seconds=0.2)
ABSENT = [tables.Check("t", "k", 0)]
WRITE = [tables.Write("t", "k", b"\x00\xff")]


@pytest.fixture
def service(running):
    return running(tables_standin.TablesStandin())


@pytest.fixture
def client(service):
    return table_client.HttpTableService(service.address, TIMEOUT)


def test_rows_round_trip_with_versions_and_prefix_scan(client):
    (row,) = client.transact(ABSENT, WRITE)
    client.transact([], [tables.Write("t", "other", b"x")])

    assert client.get("t", "k") == row == ("t", "k", b"\x00\xff", row.version)
    assert client.scan("t", "k") == [row]
    assert client.transact([], [tables.Write("t", "k", None)]) == []
    assert client.get("t", "k") is None


def test_conflict_writes_nothing(client):
    client.transact(ABSENT, WRITE)

    with pytest.raises(errors.TransactionConflictError):
        client.transact(ABSENT, [tables.Write("t", "k", b"second")])

    assert client.get("t", "k").value == b"\x00\xff"


@pytest.mark.parametrize(
    ("fault", "timeout", "expected", "applied"),
    [
        ({"down": True}, TIMEOUT, errors.TableUnavailableError, False),
        pytest.param(
            {"lose_answers": 1},
            TIMEOUT,
            errors.TableOutcomeUnknownError,
            True,
            marks=pytest.mark.matrix(
                invariant=7,
                fault="store answer lost after the write",
                step="transaction",
                fails_without="unknown outcome after sending",
            ),
        ),
        ({"delay": 1.0}, SHORT_TIMEOUT, errors.TableOutcomeUnknownError, False),
    ],
    ids=["down", "answer lost after the write", "slow"],
)
def test_failed_transaction_reports_whether_it_may_be_applied(
    service, fault, timeout, expected, applied
):
    client = table_client.HttpTableService(service.address, timeout)
    service.apply_faults(fault)

    with pytest.raises(errors.PlatformError) as caught:
        client.transact(ABSENT, WRITE)

    assert type(caught.value) is expected
    service.apply_faults({"down": False, "delay": 0.0})
    assert (client.get("t", "k") is not None) == applied


def test_refused_connect_is_not_applied(service, client):
    service.close()

    with pytest.raises(errors.TableUnavailableError):
        client.transact(ABSENT, WRITE)
    with pytest.raises(errors.TableUnavailableError):
        client.get("t", "k")


@pytest.mark.matrix(
    invariant=7,
    fault="silent connection",
    step="transaction",
    fails_without="unknown outcome after sending",
)
def test_connection_that_timed_out_is_not_reused(service):
    client = table_client.HttpTableService(service.address, SHORT_TIMEOUT)
    client.get("t", "k")
    service.silence_connections()

    with pytest.raises(errors.TableOutcomeUnknownError):
        client.transact(ABSENT, WRITE)

    assert client.get("t", "k") is None


@pytest.mark.parametrize(
    "body", [b'{"rows": [{"table": "t"}]}', b"<html>", b'{"error": "x"}']
)
@pytest.mark.parametrize("status", [200, 500, 502])
def test_invalid_answer_leaves_the_outcome_unknown(raw_server, status, body):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    address = raw_server(head.encode() + body)
    client = table_client.HttpTableService(address, TIMEOUT)

    with pytest.raises(errors.TableOutcomeUnknownError):
        client.transact(ABSENT, WRITE)


def test_objects_round_trip_and_faults(running):
    store = running(objects.ObjectsStandin())
    client = object_client.HttpObjectStore(store.address, TIMEOUT)
    client.put("claims/a b/1", b"\x00\xff")

    assert client.get("claims/a b/1") == b"\x00\xff"
    assert client.get("absent") is None
    for fault in ({"lose_answers": 1}, {"down": True}):
        store.apply_faults(fault)
        with pytest.raises(errors.ObjectStoreUnavailableError):
            client.put("k", b"x")
    store.close()
    with pytest.raises(errors.ObjectStoreUnavailableError):
        client.get("k")


def test_host_list_shows_a_list_only_after_its_lag(running):
    standin = running(host_list.HostListStandin(lag=0.0))
    client = host_list_client.HttpHostList(standin.address, TIMEOUT)
    standin.set_list(["10.0.0.1:80"], [])
    standin.lag = 3600.0
    standin.set_list([], ["10.0.0.1:80"])

    assert client.fetch() == (frozenset({"10.0.0.1:80"}), frozenset())


def test_host_list_failures_are_unavailable(running):
    standin = running(host_list.HostListStandin())
    client = host_list_client.HttpHostList(standin.address, TIMEOUT)
    standin.apply_faults({"down": True})
    with pytest.raises(errors.HostListUnavailableError):
        client.fetch()
    standin.close()
    with pytest.raises(errors.HostListUnavailableError):
        client.fetch()


def test_connect_to_a_closed_port_fails_at_once():
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        port = unused.getsockname()[1]
    client = table_client.HttpTableService(f"127.0.0.1:{port}", TIMEOUT)

    with pytest.raises(errors.TableUnavailableError):
        client.scan("t", "")


def test_slowly_sent_answer_ends_at_the_deadline(raw_server):
    """Guards against a session renewal that hangs on a slow table service."""
    address = raw_server(b"HTTP/1.1 200 OK\r\nX: ", repeated=b"x")
    client = table_client.HttpTableService(address, SHORT_TIMEOUT)

    with pytest.raises(errors.TableOutcomeUnknownError) as caught:
        client.transact(ABSENT, WRITE)

    cause = caught.value.__cause__
    assert isinstance(cause, urllib3.exceptions.ReadTimeoutError)


def test_large_answer_over_a_slow_link_is_read_in_spite_of_the_time_limit(
    raw_server,
):
    """Guards against a register that never takes effect on a slow link."""
    document = b'{"row": null}'
    length = len(document) + 60_000
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length
    # 100 kB/s: the answer takes three times as long as the time limit.
    address = raw_server(head + document, repeated=b" " * 2000)
    client = table_client.HttpTableService(address, SHORT_TIMEOUT)

    assert client.get("t", "k") is None


def test_answer_that_trickles_is_given_up(raw_server):
    """Guards against an answer whose few bytes extend the limit forever."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n"
    address = raw_server(head, repeated=b" ")
    client = table_client.HttpTableService(address, SHORT_TIMEOUT)
    started = time.monotonic()

    with pytest.raises(errors.TableUnavailableError):
        client.get("t", "k")

    assert time.monotonic() - started < 1.0


def test_answer_without_end_is_given_up(raw_server, monkeypatch):
    """Guards against an answer that fills the memory of the host."""
    monkeypatch.setattr(http_channel, "MAX_ANSWER_BYTES", 200_000)
    address = raw_server(b"HTTP/1.1 200 OK\r\n\r\n", repeated=b"a" * 65536)
    client = table_client.HttpTableService(address, TIMEOUT)

    with pytest.raises(errors.TableUnavailableError):
        client.get("t", "k")
