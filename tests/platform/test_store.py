"""Guards against a store client that hangs or reports a wrong outcome."""

from __future__ import annotations

import time

import gevent
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch import errors
from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import store_epochs
from coltsfootarch.platform import feeds
from coltsfootarch.platform import host_rows
from coltsfootarch.platform import orders
from coltsfootarch.platform import store
from standins import metadata_store
from tests.platform import documents


def at(revision):
    """Returns a position in the epoch that the stand-in states at first."""
    return store_epochs.Position(1, revision)


@pytest.fixture
def server():
    server = metadata_store.MetadataStore()
    server.start()
    yield server
    server.close()


@pytest.fixture
def client(server):
    client = store.StoreClient(server.address, clocks.SystemClock())
    yield client
    client.close()


def test_long_tables_are_read_in_pages(server, client, monkeypatch):
    monkeypatch.setattr(store, "ROWS_PER_CALL", 2)
    for number in range(5):
        server.put("servers", f"i-{number}", b"{}")

    rows = client.read_table("servers")

    assert [row.key for row in rows.rows] == [f"i-{n}" for n in range(5)]
    assert rows.revision == 5


def test_waiting_call_returns_with_the_change(server, client):
    revision = server.put("op", "config", b"1")
    waiting = gevent.spawn(client.read_changes, "op", at(revision), 5.0)
    gevent.sleep(0.05)
    server.put("op", "config", b"2")

    rows = waiting.get(timeout=2)

    assert [row.value for row in rows.rows] == [b"2"]


def test_removed_rows_are_distinguished_from_empty_ones(server, client):
    server.put("servers", "i-1", b"")
    server.put("servers", "i-1", None)

    values = [
        row.value for row in client.read_changes("servers", at(0), 0).rows
    ]

    assert values == [b"", None]


def test_lost_history_raises_its_own_error(server, client):
    server.put("op", "config", b"1")
    server.put("op", "config", b"2")
    server.drop_history()

    with pytest.raises(errors.HistoryLostError):
        client.read_changes("op", at(1), 0)


@pytest.mark.parametrize("mode", ["silent", "busy", "reset"])
def test_failing_store_is_unavailable_until_it_recovers(server, client, mode):
    server.put("op", "config", b"1")
    client.read_table("op")
    server.mode = mode

    with pytest.raises(errors.TableUnavailableError):
        client.read_table("op")

    server.mode = "serve"
    assert client.read_table("op").revision == 1


def test_failed_read_reports_how_much_had_arrived(server, client, monkeypatch):
    """Guards against outages whose log line doesn't show their cause."""
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.1)
    server.put("op", "config", bytes(30000))
    server.bytes_per_s = 100.0

    with pytest.raises(
        errors.TableUnavailableError, match=r"\d bytes received"
    ):
        client.read_table("op")

    assert client.transfer.first_byte_s < 0.1


def test_large_answer_over_a_slow_link_is_read_in_spite_of_the_time_limit(
    server, client, monkeypatch
):
    """Guards against a policy that never takes effect on a slow link."""
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.1)
    value = bytes(30000)
    server.put("op", "config", value)
    server.bytes_per_s = 100_000.0

    rows = client.read_table("op")

    assert [row.value for row in rows.rows] == [value]


def test_change_late_in_the_wait_is_read_over_a_slow_link(
    server, client, monkeypatch
):
    """Guards against a limit that counts the transfer as part of the wait."""
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.1)
    monkeypatch.setattr(store, "FEED_TIMEOUT_MARGIN_S", 0.1)
    value = bytes(30000)
    revision = server.put("op", "config", b"1")
    server.bytes_per_s = 100_000.0
    waiting = gevent.spawn(client.read_changes, "op", at(revision), 0.3)
    gevent.sleep(0.25)
    server.put("op", "config", value)

    rows = waiting.get(timeout=5)

    assert [row.value for row in rows.rows] == [value]


def test_answer_that_stalls_is_given_up_soon(server, client, monkeypatch):
    """Guards against a host that waits for a connection gone silent."""
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.1)
    server.put("op", "config", bytes(30000))
    server.bytes_per_s = 100_000.0
    server.stall_after_bytes = 20_000
    started = time.monotonic()

    with pytest.raises(errors.TableUnavailableError, match="silent"):
        client.read_table("op")

    assert time.monotonic() - started < 1.0


def test_answer_that_trickles_is_given_up(server, client, monkeypatch):
    """Guards against an answer whose few bytes extend the limit forever."""
    monkeypatch.setattr(store, "CALL_TIMEOUT_S", 0.1)
    server.put("op", "config", bytes(30000))
    server.bytes_per_s = 100.0
    started = time.monotonic()

    with pytest.raises(errors.TableUnavailableError):
        client.read_table("op")

    assert time.monotonic() - started < 1.0


def test_answer_without_end_is_given_up(raw_server, monkeypatch):
    """Guards against an answer that fills the memory of the host."""
    monkeypatch.setattr(store, "MAX_ANSWER_BYTES", 200_000)
    address = raw_server(b"HTTP/1.1 200 OK\r\n\r\n", repeated=b"a" * 65536)
    client = store.StoreClient(address, clocks.SystemClock())

    with pytest.raises(errors.TableUnavailableError, match="longer than"):
        client.read_table("op")


def test_read_reports_its_size_and_duration(server, client):
    server.put("op", "config", documents.encoded(documents.configuration(3)))

    result = feeds.PolicyFeed(client).read()

    assert result.rows == 1
    assert result.transfer.size_bytes > len(documents.encoded({}))
    assert result.decode_s >= 0


def test_conditional_write_fails_if_the_row_changed(server, client):
    revision = server.put("t", "row", b"1")

    assert client.replace_row("t", "row", b"2", at(revision))
    assert not client.replace_row("t", "row", b"3", at(revision))
    assert client.read_row("t", "row").row.value == b"2"


def test_write_whose_answer_is_lost_raises(server, client):
    server.lose_answers = True

    with pytest.raises(errors.TableUnavailableError):
        client.replace_row("t", "row", b"1", at(0))


def put_large_configuration(server, version):
    many = [
        documents.route(f"r-{n}", f"/r-{n}/", "idempotent", "app")
        for n in range(1000)
    ]
    document = documents.configuration(version, routes=many)
    return server.put("op", "config", documents.encoded(document))


def test_host_that_is_behind_transfers_only_the_newest_configuration(
    server, client
):
    """Guards against a host that falls further behind with each version."""
    feed = feeds.PolicyFeed(client)
    put_large_configuration(server, 3)
    first = feed.read()
    for version in (4, 5, 6):
        put_large_configuration(server, version)

    result = feed.read_changes(first.position, 0)

    assert result.policy.version == 6
    assert result.transfer.size_bytes < 1.5 * first.transfer.size_bytes
    assert server.calls == ["rows-get", "rows-feed", "rows-get"]
    assert feed.read_changes(result.position, 0).policy is None


def test_configuration_that_grew_is_read(server, client):
    feed = feeds.PolicyFeed(client)
    server.put("op", "config", documents.encoded(documents.configuration(3)))
    first = feed.read()
    put_large_configuration(server, 4)

    result = feed.read_changes(first.position, 0)

    assert result.policy.version == 4


def test_invalid_configuration_is_ignored(server, client):
    feed = feeds.PolicyFeed(client)
    server.put("op", "config", documents.encoded(documents.configuration(3)))
    first = feed.read()
    server.put("op", "config", b"\xff")

    second = feed.read_changes(first.position, 0)

    assert first.policy.version == 3
    assert second.policy is None
    assert not second.readable


def test_invalid_registrations_do_not_hide_the_others(server, client):
    good = documents.encoded(documents.registration())
    server.put("servers", "i-1", good)
    server.put("servers", "i-2", b"\x00\x01")
    server.put("servers", "i-3", good)

    result = feeds.UpstreamFeed(client).read()

    assert set(result.found) == {"i-1", "i-3"}


def test_host_records_are_written_read_and_removed(client):
    table = host_rows.HostTable(client)
    record = hosts.HostRecord("h1", "10.0.0.1:7500", "north", 5, 1)

    table.write(record)

    assert table.read() == [record]
    table.remove("h1")
    assert table.read() == []


def test_claims_are_exclusive_and_have_increasing_fences(server, client):
    claims = orders.ClaimTable(client, clocks.SystemClock())

    first = claims.claim("llm", "h1", gap_s=60)
    second = claims.claim("llm", "h2", gap_s=60)
    third = claims.claim("llm", "h2", gap_s=0)

    assert (first.fence, first.holder) == (1, "h1")
    assert second is None
    assert (third.fence, third.holder) == (2, "h2")


def test_claim_whose_answer_is_lost_is_not_used(server, client):
    claims = orders.ClaimTable(client, clocks.SystemClock())
    server.lose_answers = True

    with pytest.raises(errors.TableUnavailableError):
        claims.claim("llm", "h1", gap_s=0)
