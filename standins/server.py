"""Base class of the stand-ins: an HTTP server with faults."""

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
# Number of most recent requests whose headers a stand-in keeps.
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
    """Adds the connection of a request to its WSGI environment."""

    def get_environ(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environ()
        environ[CONNECTION_KEY] = self.socket
        return environ


class ConnectionServer(pywsgi.WSGIServer):  # type: ignore[misc]
    """WSGI server that records its open connections in a set."""

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
        # pywsgi writes headers and body separately; with Nagle's algorithm the
        # second write waits about 40 ms for a delayed acknowledgement.
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(client)
        try:
            super().handle(client, address)
        finally:
            self.connections.discard(client)


class Standin:
    """Bottle application on a loopback port.

    `POST /-/faults` sets faults, `GET /-/headers` returns the last requests.
    Fault: `silence` makes the connections that are open now deliver no more
    data.

    Args:
        address: "ip:port" to listen on; port 0 chooses a free one.

    Attributes:
        address: "ip:port" it listens on, known after `start`.
        recorded: The last `RECORDED_REQUESTS` requests with their headers.
        connections: Open connections.
        silent: Connections that deliver no more data.
        closed: Set while the stand-in is closed.
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
        """Starts listening; possible again on the same port after `close`."""
        self.closed.clear()
        self.listen()

    def close(self) -> None:
        """Stops listening and drops all connections."""
        self.closed.set()
        self.stop_listening()
        self.drop_connections()

    def listen(self) -> None:
        """Starts accepting connections on the address."""
        host, _, port = self.address.rpartition(":")
        self.server = ConnectionServer(
            (host, int(port)), self.app, self.connections
        )
        self.server.start()
        self.address = f"{host}:{self.server.server_port}"

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones stay open."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def drop_connections(self) -> None:
        """Shuts down all open connections."""
        for connection in list(self.connections):
            drop_connection(connection)

    def silence_connections(self) -> None:
        """Makes all connections that are open now silent for good."""
        self.silent.update(self.connections)

    def wait_if_silent(self, connection: socket.socket | None = None) -> None:
        """Blocks until `close` if a connection is silent.

        Args:
            connection: Connection; by default that of the current request.
        """
        if connection is None:
            connection = current_connection()
        if connection in self.silent:
            self.closed.wait()

    def apply_faults(self, faults: dict[str, Any]) -> None:
        """Sets faults.

        Args:
            faults: Body of `POST /-/faults`: values by the names that the
                class docstring of the stand-in lists.
        """
        if faults.get("silence"):
            self.silence_connections()

    def record_request(self) -> None:
        """Records the headers of the current request."""
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
    """Returns the connection of the current request."""
    connection: socket.socket = bottle.request.environ[CONNECTION_KEY]
    return connection


def drop_connection(connection: socket.socket) -> None:
    """Shuts a connection down in both directions."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def json_body() -> dict[str, Any]:
    """Returns the JSON body of the current request, {} for an empty one."""
    document: dict[str, Any] = json.loads(bottle.request.body.read() or b"{}")
    return document


def json_response(status: int, document: object) -> bottle.HTTPResponse:
    """Returns an HTTP response with a JSON body."""
    return bottle.HTTPResponse(
        json.dumps(document),
        status,
        headers={"Content-Type": "application/json"},
    )


def serve(build: Callable[[], Standin]) -> None:
    """Runs a stand-in as a process until it is killed.

    Args:
        build: Returns the stand-in; called after gevent has patched the
            standard library.
    """
    monkey.patch_all()
    standin = build()
    standin.start()
    print(f"listening on {standin.address}", flush=True)
    gevent.event.Event().wait()
