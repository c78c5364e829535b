"""HTTP server for stand-ins that send invalid or incomplete responses."""

from __future__ import annotations

import contextlib
import socket
import struct
from typing import TYPE_CHECKING
from typing import Protocol

import gevent
from gevent import socket as gevent_socket

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from coltsfootarch.http1 import readers
from coltsfootarch.http1 import request_reader

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_BYTES = 64 * 1024 * 1024


class Connection:
    """Connection of a client, to which handlers write raw bytes.

    Attributes:
        open: Whether the connection is open.
        on_close: Called when the connection ends, on either side.
        last_response: Bytes of the last complete response.
    """

    def __init__(self, sock: gevent_socket.socket) -> None:
        self.sock = sock
        self.open = True
        self.on_close: Callable[[], object] | None = None
        self.last_response = b""

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def respond(
        self,
        status: int,
        fields: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
    ) -> None:
        """Sends a complete response with a Content-Length."""
        length = ("Content-Length", str(len(body)))
        head = messages.render_head(
            messages.status_line(status), [*fields, length]
        )
        self.last_response = head + body
        self.send(self.last_response)

    def chunk(self, data: bytes) -> None:
        """Sends one chunk of a chunked body."""
        self.send(b"%x\r\n%b\r\n" % (len(data), data))

    def close(self) -> None:
        self.open = False
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        self.open = False
        with contextlib.suppress(OSError):
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        self.sock.close()


class Handler(Protocol):
    """Handles the requests of a server."""

    def handle(
        self, request: messages.Request, connection: Connection
    ) -> None: ...


class Server:
    """Accepts connections and passes complete requests to a handler.

    Attributes:
        connections: Open connections.
        accepted: Number of connections accepted so far.
    """

    def __init__(self, handler: Handler, address: str = "127.0.0.1:0") -> None:
        self.handler = handler
        self.clock = clocks.SystemClock()
        self.connections: set[Connection] = set()
        self.accepted = 0
        self.sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(client.split_address(address))
        self.acceptor: gevent.Greenlet | None = None

    @property
    def address(self) -> str:
        """Address ("ip:port") of the listening socket."""
        host, port = self.sock.getsockname()
        return f"{host}:{port}"

    def start(self) -> None:
        self.sock.listen(256)
        self.acceptor = gevent.spawn(self.accept_all)

    def accept_all(self) -> None:
        while True:
            sock, _ = self.sock.accept()
            self.accepted += 1
            gevent.spawn(self.serve, sock)

    def serve(self, sock: gevent_socket.socket) -> None:
        """Reads requests from a connection and handles them in order.

        Reading goes on while a handler runs, so that the end of the
        connection is noticed during a request.
        """
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(sock)
        self.connections.add(connection)
        reader = request_reader.RequestReader(MAX_BYTES, MAX_BYTES)
        worker: gevent.Greenlet | None = None
        try:
            while connection.open:
                data = sock.recv(readers.READ_SIZE)
                if not data:
                    break
                reader.feed(data, self.clock.monotonic())
                while reader.complete:
                    if worker is not None:
                        worker.join()
                    worker = gevent.spawn(
                        self.handle, reader.complete.popleft(), connection
                    )
        except (OSError, readers.MalformedMessageError):
            pass
        finally:
            connection.open = False
            if connection.on_close is not None:
                connection.on_close()
            self.connections.discard(connection)
            connection.close()

    def handle(self, request: messages.Request, connection: Connection) -> None:
        with contextlib.suppress(OSError):
            self.handler.handle(request, connection)

    def close_connections(self) -> None:
        for connection in tuple(self.connections):
            connection.close()

    def restart(self, down_s: float) -> None:
        """Resets all connections and refuses new ones for so many seconds."""
        address = self.address
        if self.acceptor is not None:
            self.acceptor.kill()
        self.sock.close()
        for connection in tuple(self.connections):
            connection.reset()
        gevent.sleep(down_s)
        self.sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(client.split_address(address))
        self.start()

    def close(self) -> None:
        if self.acceptor is not None:
            self.acceptor.kill()
        self.sock.close()
        self.close_connections()
