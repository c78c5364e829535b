"""Tests a pool of connections at the limit of descriptors."""

from __future__ import annotations

import errno
import types

import gevent.socket
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import client
from coltsfootarch.http1 import pool


@pytest.fixture
def address():
    server = gevent.socket.socket()
    server.bind(("127.0.0.1", 0))
    server.listen(8)
    host, port = server.getsockname()
    yield f"{host}:{port}"
    server.close()


def test_idle_connections_make_room_for_a_new_one(address, monkeypatch):
    """Guards against refusals while idle connections hold descriptors."""
    connections = pool.ConnectionPool(clocks.SystemClock())
    idle = connections.open(address, 1.0)
    connections.release(idle)

    def open_socket(*arguments):
        if idle.sock is not None:
            raise OSError(errno.EMFILE, "Too many open files")
        return gevent.socket.socket(*arguments)

    module = types.SimpleNamespace(socket=open_socket)
    monkeypatch.setattr(client, "gevent_socket", module)

    connection = connections.open(address, 1.0)

    assert connection.sock is not None
    assert idle.sock is None
    connection.close()


@pytest.mark.parametrize("number", sorted(client.LOCAL_ERRNOS))
def test_local_error_is_told_from_one_of_the_peer(address, monkeypatch, number):
    def open_socket(*arguments):
        raise OSError(number, "local")

    module = types.SimpleNamespace(socket=open_socket)
    monkeypatch.setattr(client, "gevent_socket", module)
    connection = client.Connection(address, clocks.SystemClock())

    with pytest.raises(client.LocalConnectError):
        connection.start(1.0)
