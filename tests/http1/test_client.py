"""Guards against requests on connections that can't be trusted."""

from __future__ import annotations

import gevent
import gevent.socket
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import client
from coltsfootarch.http1 import pool
from standins import http

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class Script:
    """Answers each request with the next function."""

    def __init__(self, *answers):
        self.answers = list(answers)

    def handle(self, request, connection):
        self.answers.pop(0)(connection)


@pytest.fixture
def serve():
    servers = []

    def start(*answers):
        server = http.Server(Script(*answers))
        server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.close()


def good(connection):
    connection.answer(200, (("Keep-Alive", "timeout=5"),), b"body")


@pytest.fixture
def connections():
    found = pool.ConnectionPool(clocks.SystemClock())
    yield found
    found.close()


def exchange(connections, server, fresh=False):
    connection = connections.take(server.address, 1.0, fresh)
    connection.send(REQUEST, b"", 1.0)
    head = connection.read_part(1.0)
    while connection.read_part(1.0) is not None:
        pass
    if connection.finish(head):
        connections.release(connection)
    return connection


def test_connection_is_used_again_after_a_whole_answer(serve, connections):
    server = serve(good, good)

    first = exchange(connections, server)
    second = exchange(connections, server)

    assert first is second
    assert first.idle_limit_s == 5.0
    assert server.accepted == 1


def test_connection_with_stray_bytes_is_not_used_again(serve, connections):
    def extra(connection):
        good(connection)
        gevent.sleep(0.02)
        connection.answer(200, (), b"stray")

    server = serve(extra, good)
    exchange(connections, server)
    gevent.sleep(0.1)

    exchange(connections, server)

    assert server.accepted == 2


def test_connection_that_was_closed_meanwhile_is_replaced(serve, connections):
    server = serve(good, good)
    exchange(connections, server)
    server.close_connections()
    gevent.sleep(0.05)

    exchange(connections, server)

    assert server.accepted == 2


def test_connection_that_announces_its_end_is_not_kept(serve, connections):
    def last(connection):
        connection.answer(200, (("Connection", "close"),), b"x")

    server = serve(last, good)
    exchange(connections, server)

    exchange(connections, server)

    assert server.accepted == 2


def test_refused_connection_sent_nothing(serve, connections):
    server = serve()
    address = server.address
    server.close()

    with pytest.raises(client.ConnectError):
        connections.take(address, 0.5, fresh=False)


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (lambda connection: connection.reset(), client.BrokenConnectionError),
        (lambda connection: connection.close(), client.BrokenConnectionError),
        (
            lambda connection: connection.send(b"\0nothing\r\n\r\n"),
            client.BrokenConnectionError,
        ),
        (lambda connection: None, client.ResponseTimeoutError),
    ],
)
def test_missing_answers_are_told_apart(serve, connections, answer, error):
    server = serve(answer)
    connection = connections.take(server.address, 1.0, fresh=False)
    connection.send(REQUEST, b"", 1.0)

    with pytest.raises(error):
        connection.read_part(0.1)
    connection.close()


def test_closing_wakes_a_reader(serve, connections):
    server = serve(lambda connection: None)
    connection = connections.take(server.address, 1.0, fresh=False)
    connection.send(REQUEST, b"", 1.0)
    reading = gevent.spawn(connection.read_part, 10.0)
    gevent.sleep(0.02)

    connection.close()

    with pytest.raises(client.BrokenConnectionError):
        reading.get(timeout=1)


def test_answer_before_a_long_body_is_read_ends_the_connection(connections):
    """The rest of the body must not be taken for the next request."""
    listening = gevent.socket.socket()
    listening.bind(("127.0.0.1", 0))
    listening.listen()

    def answer_early():
        sock, _ = listening.accept()
        sock.recv(100)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        gevent.sleep(5)

    server = gevent.spawn(answer_early)
    address = "{}:{}".format(*listening.getsockname())
    connection = connections.take(address, 1.0, fresh=False)
    body = b"x" * 8_000_000
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n"
    connection.send(head, body, 1.0)
    head = connection.read_part(5.0)
    assert connection.read_part(1.0) is None
    assert not connection.sender.dead

    assert not connection.finish(head)

    assert connection.sock is None
    server.kill()
    listening.close()
