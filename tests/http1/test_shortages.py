"""Tests connections to upstreams while this host lacks memory."""

from __future__ import annotations

import errno

import gevent
import gevent.socket
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import client
from tests.fakes import short_socket

CODES = [errno.ENOMEM, errno.ENOBUFS]
ALWAYS = 1_000_000
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


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


def receive_all(peer, size):
    data = b""
    while len(data) < size:
        data += peer.recv(65536)
    return data


@pytest.mark.parametrize("code", CODES)
def test_response_is_read_after_a_shortage(peers, code):
    """Guards against a sound upstream that looks broken."""
    connection, peer = peers
    short_socket.ShortSocket(connection.sock, {"recv": 3}, code)
    peer.sendall(RESPONSE)

    assert connection.read_part(1.0).status == 200


@pytest.mark.parametrize("code", CODES)
@pytest.mark.parametrize("size", [10, 1_000_000])
def test_request_is_sent_whole_after_a_shortage(peers, code, size):
    """Guards against bytes that are sent twice or not at all."""
    connection, peer = peers
    body = bytes(range(256)) * (size // 256 + 1)
    short_socket.ShortSocket(connection.sock, {"send": 3}, code, 1)
    received = gevent.spawn(receive_all, peer, 4 + len(body))

    connection.send(b"head", body, 20.0)

    assert received.get(timeout=20.0) == b"head" + body


def test_lasting_shortage_before_a_request_sends_nothing(peers):
    connection, peer = peers
    short_socket.ShortSocket(connection.sock, {"send": ALWAYS})

    with pytest.raises(client.LocalConnectError):
        connection.send(b"head", b"", 5.0)

    assert peer.recv(10) == b""


def test_lasting_shortage_within_a_request_is_no_fault_of_the_peer(peers):
    connection, _ = peers
    short_socket.ShortSocket(connection.sock, {"send": ALWAYS}, pass_first=1)

    with pytest.raises(client.LocalBrokenConnectionError):
        connection.send(b"h" * 16_000_000, b"", 1.5)


@pytest.mark.parametrize("timeout", [0.1, -1.0])
def test_lasting_shortage_is_no_silence_of_the_peer(peers, timeout):
    """Guards against a sound upstream that is taken for silent."""
    connection, peer = peers
    sock = short_socket.ShortSocket(connection.sock, {"recv": ALWAYS})
    peer.sendall(RESPONSE)

    with pytest.raises(client.LocalTimeoutError):
        connection.read_part(timeout)

    sock.failures.clear()
    assert connection.read_part(1.0).status == 200


def test_body_that_can_not_be_sent_is_no_silence_of_the_peer(peers):
    connection, _ = peers
    short_socket.ShortSocket(connection.sock, {"send": ALWAYS}, pass_first=1)
    connection.send(b"head", b"b" * 100_000, 0.2)

    with pytest.raises(client.LocalTimeoutError):
        connection.read_part(0.2)
