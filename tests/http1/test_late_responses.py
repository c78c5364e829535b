"""Tests responses that have arrived when their timeout is noticed."""

from __future__ import annotations

import gevent.socket
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import client

BODY_BYTES = 200_000


@pytest.fixture
def peers():
    """A connection and the peer's end of it."""
    server = gevent.socket.socket()
    server.bind(("127.0.0.1", 0))
    server.listen(1)
    host, port = server.getsockname()
    connection = client.Connection(f"{host}:{port}", clocks.SystemClock())
    connection.start(1.0)
    peer, _ = server.accept()
    yield connection, peer
    connection.close()
    peer.close()
    server.close()


def read_late_forever(connection):
    while True:
        connection.read_part(-1.0)
        gevent.sleep(0)


def test_response_that_has_arrived_is_delivered(peers):
    """Guards against answers that are given up after a pause of the host."""
    connection, peer = peers
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
    peer.sendall(head + b"b" * BODY_BYTES)

    assert connection.read_part(0.0).status == 200
    size = 0
    while (part := connection.read_part(-1.0)) is not None:
        size += len(part)

    assert size == BODY_BYTES


def test_response_that_has_not_arrived_is_late(peers):
    connection, _ = peers

    with pytest.raises(client.ResponseTimeoutError):
        connection.read_part(0.0)


def test_endless_response_ends_after_its_timeout(peers):
    """Guards against a peer that sends faster than the host reads."""
    connection, peer = peers

    def send_forever():
        peer.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            peer.sendall(b"1000\r\n" + b"b" * 0x1000 + b"\r\n")
            gevent.sleep(0)

    sender = gevent.spawn(send_forever)
    gevent.sleep(0.05)
    try:
        with pytest.raises(client.ResponseTimeoutError):
            read_late_forever(connection)
    finally:
        sender.kill()


def test_end_that_has_arrived_is_a_broken_connection(peers):
    """Guards against a crash that counts as silence."""
    connection, peer = peers
    peer.close()
    gevent.sleep(0.02)

    with pytest.raises(client.BrokenConnectionError):
        connection.read_part(0.0)
