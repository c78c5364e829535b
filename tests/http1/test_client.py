"""Tests which client connections are reused and how failures are reported."""

from __future__ import annotations

import gevent
import gevent.socket
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from coltsfootarch.http1 import pool
from standins import http

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class ScriptedHandler:
    """Handles each request with the next function of a list."""

    def __init__(self, *answers):
        self.answers = list(answers)

    def handle(self, request, connection):
        self.answers.pop(0)(connection)


@pytest.fixture
def serve():
    servers = []

    def start(*answers):
        server = http.Server(ScriptedHandler(*answers))
        server.start()
        servers.append(server)
        return server

    yield start
    for server in servers:
        server.close()


def respond(connection):
    connection.respond(200, (("Keep-Alive", "timeout=5"),), b"body")


@pytest.fixture
def connections():
    connection_pool = pool.ConnectionPool(clocks.SystemClock())
    yield connection_pool
    connection_pool.close()


def exchange(connections, server, recently_used=False):
    connection = connections.acquire(server.address, 1.0, recently_used)
    connection.send(REQUEST, b"", 1.0)
    head = connection.read_part(1.0)
    while connection.read_part(1.0) is not None:
        pass
    if connection.finish(head):
        connections.release(connection)
    return connection


def test_connection_is_reused_after_a_complete_response(serve, connections):
    server = serve(respond, respond)

    first = exchange(connections, server)
    second = exchange(connections, server)

    assert first is second
    assert first.announced_idle_s == 5.0
    assert server.accepted == 1


def test_connection_with_unread_bytes_is_not_reused(serve, connections):
    def respond_twice(connection):
        respond(connection)
        gevent.sleep(0.02)
        connection.respond(200, (), b"stray")

    server = serve(respond_twice, respond)
    exchange(connections, server)
    gevent.sleep(0.1)

    exchange(connections, server)

    assert server.accepted == 2


def test_connection_closed_by_the_server_is_replaced(serve, connections):
    server = serve(respond, respond)
    exchange(connections, server)
    server.close_connections()
    gevent.sleep(0.05)

    exchange(connections, server)

    assert server.accepted == 2


def test_connection_with_a_close_header_is_not_reused(serve, connections):
    def respond_and_close(connection):
        connection.respond(200, (("Connection", "close"),), b"x")

    server = serve(respond_and_close, respond)
    exchange(connections, server)

    exchange(connections, server)

    assert server.accepted == 2


def test_refused_connection_raises_connect_error(serve, connections):
    server = serve()
    address = server.address
    server.close()

    with pytest.raises(client.ConnectError):
        connections.acquire(address, 0.5, recently_used=False)


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
def test_missing_responses_raise_distinct_errors(
    serve, connections, answer, error
):
    server = serve(answer)
    connection = connections.acquire(server.address, 1.0, recently_used=False)
    connection.send(REQUEST, b"", 1.0)

    with pytest.raises(error):
        connection.read_part(0.1)
    connection.close()


def test_closing_unblocks_a_reader(serve, connections):
    server = serve(lambda connection: None)
    connection = connections.acquire(server.address, 1.0, recently_used=False)
    connection.send(REQUEST, b"", 1.0)
    reading = gevent.spawn(connection.read_part, 10.0)
    gevent.sleep(0.02)

    connection.close()

    with pytest.raises(client.BrokenConnectionError):
        reading.get(timeout=1)


def test_response_before_a_large_body_is_sent_closes_the_connection(
    connections,
):
    """The rest of the body must not be read as the next request."""
    listener = gevent.socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()

    def respond_early():
        sock, _ = listener.accept()
        sock.recv(100)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        gevent.sleep(5)

    server = gevent.spawn(respond_early)
    address = "{}:{}".format(*listener.getsockname())
    connection = connections.acquire(address, 1.0, recently_used=False)
    body = b"x" * 8_000_000
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000000\r\n\r\n"
    connection.send(head, body, 1.0)
    head = connection.read_part(5.0)
    assert connection.read_part(1.0) is None
    assert not connection.body_sender.dead

    assert not connection.finish(head)

    assert connection.sock is None
    server.kill()
    listener.close()


def raw_response(status, request_id, body):
    """Returns a response whose fields include some values to be torn."""
    fields = [
        ("Content-Type", "text/plain"),
        ("X-Request-Id", request_id),
        ("Content-Length", str(len(body))),
    ]
    return messages.render_head(messages.status_line(status), fields) + body


def test_part_of_another_response_behind_a_response_ends_the_connection(
    serve, connections
):
    """Guards against a failure that is parsed as the rest of a success."""
    sound = raw_response(200, "a", b"first")
    reused = []
    for size in range(1, len(sound) + 1):
        server = serve(
            lambda connection, size=size: connection.send(sound + sound[:size]),
            lambda connection: connection.send(raw_response(500, "b", b"bad")),
        )
        exchange(connections, server)
        connection = connections.acquire(server.address, 1.0, False)
        connection.send(REQUEST, b"", 1.0)
        head = connection.read_part(1.0)
        connection.close()
        if (server.accepted, head.status) != (2, 500):
            reused.append(size)

    assert reused == []
