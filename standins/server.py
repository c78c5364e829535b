"""HTTP server that the stand-ins share."""

from __future__ import annotations

import contextlib
import json
import socket
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import bottle
import gevent
import gevent.event
from gevent import monkey
from gevent import pywsgi

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECTION_KEY = "standin.connection"
LISTEN_ADDRESS = "127.0.0.1:0"
# Requests of which a stand-in keeps the headers.
RECORDED_REQUESTS = 10_000


class RecordedRequest(NamedTuple):
    """A request as a stand-in received it.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        headers: Names in lower case.
    """

    method: str
    path: str
    headers: dict[str, str]


class ConnectionHandler(pywsgi.WSGIHandler):  # type: ignore[misc]
    """Passes the connection of a request to its handler."""

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[CONNECTION_KEY] = self.socket
        return environ


class ConnectionServer(pywsgi.WSGIServer):  # type: ignore[misc]
    """WSGI server that keeps a set of its open connections."""

    def __init__(
        self,
        listener: tuple[str, int],
        application: Any,
        connections: set[socket.socket],
    ) -> None:
        super().__init__(
            listener,
            application,
            log=None,
            error_log=None,
            handler_class=ConnectionHandler,
        )
        self.connections = connections

    def handle(self, client: socket.socket, address: object) -> None:
        # pywsgi writes headers and body apart; with Nagle's algorithm the
        # second write waits about 40 ms for a delayed acknowledgement.
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(client)
        try:
            super().handle(client, address)
        finally:
            self.connections.discard(client)


class Standin:
    """A bottle application on a loopback port.

    Args:
        address: "ip:port" to listen on; port 0 takes a free one.

    Attributes:
        address: "ip:port" it listens on, known after `start`.
        recorded: The last requests with their headers.
        connections: Open connections.
        silent: Connections that deliver no data any more.
    """

    def __init__(self, address: str = LISTEN_ADDRESS) -> None:
        self.address = address
        self.app = bottle.Bottle()
        self.app.add_hook("before_request", self.record_request)
        self.app.route("/-/faults", "POST", self.post_faults)
        self.app.route("/-/headers", "GET", self.get_headers)
        self.recorded: list[RecordedRequest] = []
        self.connections: set[socket.socket] = set()
        self.silent: set[socket.socket] = set()
        self.closed = gevent.event.Event()
        self.server: ConnectionServer | None = None

    def start(self) -> None:
        """Listens; the address is free for the next `start` after `close`."""
        self.closed.clear()
        self.listen()

    def close(self) -> None:
        """Stops listening and drops all connections."""
        self.closed.set()
        self.stop_listening()
        self.drop_connections()

    def listen(self) -> None:
        """Accepts connections on the address."""
        host, _, port = self.address.rpartition(":")
        self.server = ConnectionServer(
            (host, int(port)), self.app, self.connections
        )
        self.server.start()
        self.address = f"{host}:{self.server.server_port}"

    def stop_listening(self) -> None:
        """Refuses new connections; open ones stay."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def drop_connections(self) -> None:
        """Ends all open connections."""
        for connection in list(self.connections):
            drop(connection)

    def silence_connections(self) -> None:
        """Makes the connections open now deliver nothing for ever."""
        self.silent.update(self.connections)

    def wait_if_silent(self, connection: socket.socket | None = None) -> None:
        """Blocks the handler until `close` if its connection is silent.

        Args:
            connection: Connection of the handler; by default that of the
                request in progress.
        """
        if connection is None:
            connection = current_connection()
        if connection in self.silent:
            self.closed.wait()

    def apply_faults(self, faults: dict[str, Any]) -> None:
        """Switches faults; the keys are those of the stand-in.

        Args:
            faults: Body of `POST /-/faults`.
        """
        if faults.get("silence"):
            self.silence_connections()

    def record_request(self) -> None:
        """Keeps the headers of the request in progress."""
        request = bottle.request
        headers = {
            name.lower(): value for name, value in request.headers.items()
        }
        self.recorded.append(
            RecordedRequest(request.method, request.path, headers)
        )
        del self.recorded[:-RECORDED_REQUESTS]

    def post_faults(self) -> dict[str, Any]:
        """Handles `POST /-/faults`."""
        self.apply_faults(json_body())
        return {}

    def get_headers(self) -> dict[str, Any]:
        """Handles `GET /-/headers`."""
        return {"requests": [entry._asdict() for entry in self.recorded]}


def current_connection() -> socket.socket:
    """Returns the connection of the request in progress."""
    connection: socket.socket = bottle.request.environ[CONNECTION_KEY]
    return connection


def drop(connection: socket.socket) -> None:
    """Ends a connection at once."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def json_body() -> dict[str, Any]:
    """Returns the JSON body of the request in progress."""
    document: dict[str, Any] = json.loads(bottle.request.body.read() or b"{}")
    return document


def json_answer(status: int, document: object) -> bottle.HTTPResponse:
    """Returns an answer with a JSON body."""
    return bottle.HTTPResponse(
        json.dumps(document),
        status,
        headers={"Content-Type": "application/json"},
    )


def serve(build: Callable[[], Standin]) -> None:
    """Runs a stand-in as a process until it is killed.

    Args:
        build: Returns the stand-in; called after the patches of gevent.
    """
    monkey.patch_all()
    standin = build()
    standin.start()
    print(f"listening on {standin.address}", flush=True)
    gevent.event.Event().wait()
