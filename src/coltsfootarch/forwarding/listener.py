"""HTTP server for callers: reads requests and notices when callers leave."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING
from typing import Protocol

import gevent
import msgspec
import structlog
from gevent import socket as gevent_socket

from coltsfootarch import results
from coltsfootarch.forwarding import cancellation as cancellations
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from coltsfootarch.http1 import readers

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy

BACKLOG = 1024
# A caller that reads nothing for this long loses its connection, in seconds.
SEND_TIMEOUT_S = 10.0
# Bytes of following requests that are kept while one is answered.
MAX_PIPELINED_BYTES = 262144
# Callers use idle connections for up to four fifths of the limit; the host
# keeps them longer, so that a request doesn't cross the close.
IDLE_SLACK = 1.25

logger = structlog.get_logger(__name__)


class Handler(Protocol):
    """Answers requests."""

    def handle(
        self,
        raw: messages.Request,
        responder: ConnectionResponder,
        cancellation: cancellations.Cancellation,
    ) -> None:
        """Answers a request, whatever happens to it."""


class ConnectionResponder:
    """Writes the answer to one request; see `calls.Responder`.

    Args:
        connection: The caller's connection.
        keep_alive: Whether the caller keeps the connection.
    """

    def __init__(self, connection: CallerConnection, keep_alive: bool) -> None:
        self.connection = connection
        self.keep_alive = keep_alive
        self.started = False
        self.finished = False

    def connection_fields(self) -> list[tuple[str, str]]:
        """Returns the fields that say whether the connection stays."""
        if self.connection.listener.draining:
            self.keep_alive = False
        return [] if self.keep_alive else [("Connection", "close")]

    def answer(self, status: int, fields: messages.Fields, body: bytes) -> None:
        """Sends a whole answer."""
        self.started = True
        head = messages.render_head(
            messages.status_line(status),
            [
                *fields,
                ("Content-Length", str(len(body))),
                *self.connection_fields(),
            ],
        )
        self.connection.send(head + body)
        self.finished = True

    def start(self, status: int, fields: messages.Fields) -> None:
        """Starts an answer in chunks."""
        self.started = True
        head = messages.render_head(
            messages.status_line(status),
            [
                *fields,
                ("Transfer-Encoding", "chunked"),
                *self.connection_fields(),
            ],
        )
        self.connection.send(head)

    def send(self, data: bytes) -> None:
        """Sends a chunk."""
        if data:
            self.connection.send(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self) -> None:
        """Sends the end of an answer in chunks."""
        self.connection.send(b"0\r\n\r\n")
        self.finished = True

    def abort(self) -> None:
        """Closes the connection without the answer's end."""
        self.keep_alive = False
        self.finished = True
        self.connection.close()


class CallerConnection:
    """One connection of a caller.

    Args:
        sock: The socket.
        listener: The server.
    """

    def __init__(
        self, sock: gevent_socket.socket, listener: CallerListener
    ) -> None:
        self.sock = sock
        self.listener = listener
        limits = listener.limits()
        self.reader = readers.RequestReader(
            limits.header_bytes, limits.body_bytes
        )
        self.pipelined = bytearray()
        self.closed = False
        self.idle = True
        self.idle_since = listener.clock.monotonic()
        self.cancellation: cancellations.Cancellation | None = None

    def close(self) -> None:
        """Closes the connection."""
        if self.closed:
            return
        self.closed = True
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()

    def send(self, data: bytes) -> None:
        """Sends bytes to the caller.

        Raises:
            OSError: The caller left or doesn't read.
        """
        if self.closed:
            raise ConnectionResetError("the caller's connection is closed")
        self.sock.settimeout(SEND_TIMEOUT_S)
        self.sock.sendall(data)

    def run(self) -> None:
        """Serves requests until the connection ends."""
        try:
            while not self.closed:
                request = self.read_request()
                if request is None or not self.serve(request):
                    return
        except OSError as error:
            logger.debug("caller connection failed", reason=str(error))
        finally:
            self.close()

    def read_request(self) -> messages.Request | None:
        """Returns the next request; None if there is none."""
        reader = self.reader
        clock = self.listener.clock
        try:
            if self.pipelined:
                data = bytes(self.pipelined)
                self.pipelined.clear()
                reader.feed(data, clock.monotonic())
            self.idle = not reader.in_progress
            since = self.idle_since = clock.monotonic()
            while not reader.complete:
                data = self.receive(since)
                if not data:
                    return None
                if not reader.in_progress:
                    since = clock.monotonic()
                self.idle = False
                reader.feed(data, clock.monotonic())
                if reader.expects_continue:
                    reader.expects_continue = False
                    self.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        except readers.BodyTooLargeError:
            self.reject(results.BODY_TOO_LARGE)
            return None
        except readers.HeaderTooLargeError:
            self.reject(results.HEADER_TOO_LARGE)
            return None
        except readers.MalformedMessageError as error:
            logger.info("malformed request refused", reason=str(error))
            self.reject(results.MALFORMED_REQUEST)
            return None
        self.idle = False
        return reader.complete.popleft()

    def receive(self, since: float) -> bytes:
        """Returns bytes of the caller; nothing at the end or on a timeout."""
        while True:
            limits = self.listener.limits()
            limit = limits.idle_timeout_s * IDLE_SLACK
            if self.reader.in_progress:
                limit = limits.header_timeout_s
                if self.reader.in_body:
                    limit = limits.idle_timeout_s
            left = since + limit - self.listener.clock.monotonic()
            if left <= 0:
                if self.reader.in_progress:
                    self.reject(results.HEADER_TIMEOUT)
                return b""
            self.sock.settimeout(left)
            try:
                data: bytes = self.sock.recv(readers.READ_SIZE)
            except TimeoutError:
                # The limit can have grown with a newer policy.
                continue
            return data

    def reject(self, code: results.ResultCode) -> None:
        """Answers a request that can't be read and ends the connection."""
        document = {
            "code": code.number,
            "name": code.name,
            "message": code.summary,
            "execution": code.execution.value,
        }
        responder = ConnectionResponder(self, keep_alive=False)
        with contextlib.suppress(OSError):
            responder.answer(
                code.http_status,
                (("Content-Type", "application/json"),),
                msgspec.json.encode(document),
            )

    def serve(self, request: messages.Request) -> bool:
        """Answers a request; returns whether the connection goes on."""
        cancellation = cancellations.Cancellation()
        self.cancellation = cancellation
        responder = ConnectionResponder(self, request.keep_alive)
        watcher = gevent.get_hub().loop.io(self.sock.fileno(), 1)
        watcher.start(self.on_readable, watcher)
        try:
            self.listener.handler.handle(request, responder, cancellation)
        finally:
            watcher.stop()
            watcher.close()
            self.cancellation = None
        if not responder.finished:
            self.close()
        return (
            responder.keep_alive
            and not self.closed
            and not cancellation.cancelled
        )

    def on_readable(self, watcher: object) -> None:
        """Notices that the caller left, or keeps its next request."""
        if self.closed:
            return
        try:
            # The plain socket below gevent's doesn't wait.
            data = self.sock._sock.recv(readers.READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self.pipelined += data
            if len(self.pipelined) <= MAX_PIPELINED_BYTES:
                return
        watcher.stop()  # type: ignore[attr-defined]
        if not data and self.cancellation is not None:
            self.cancellation.cancel()


class CallerListener:
    """Accepts callers' connections.

    Args:
        address: "ip:port" to listen on.
        handler: Answers requests.
        clock: Source of time.
        limits: Returns the limits in force.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        clock: clocks.Clock,
        limits: Callable[[], policy.CallerLimits],
    ) -> None:
        self.address = address
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.draining = False
        self.connections: set[CallerConnection] = set()
        self.sock: gevent_socket.socket | None = None
        self.acceptor: gevent.Greenlet | None = None

    def start(self) -> None:
        """Binds and starts to accept."""
        sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(client.split_address(self.address))
        sock.listen(BACKLOG)
        host, port = sock.getsockname()
        self.address = f"{host}:{port}"
        self.sock = sock
        self.acceptor = gevent.spawn(self.accept_all, sock)

    def accept_all(self, sock: gevent_socket.socket) -> None:
        """Accepts until the greenlet is killed."""
        while True:
            try:
                accepted, _ = sock.accept()
            except OSError as error:
                logger.warning("connection not accepted", reason=str(error))
                gevent.sleep(0.05)
                continue
            gevent.spawn(self.serve, accepted)

    def serve(self, sock: gevent_socket.socket) -> None:
        """Serves one connection."""
        connection = CallerConnection(sock, self)
        self.connections.add(connection)
        try:
            client.set_options(sock)
            connection.run()
        except OSError as error:
            logger.debug("caller connection failed", reason=str(error))
        finally:
            connection.close()
            self.connections.discard(connection)

    def drain(self) -> None:
        """Makes connections close after their next answer."""
        self.draining = True

    def close_idle(self, idle_s: float) -> None:
        """Closes connections without a request.

        Args:
            idle_s: Shortest time without one, in seconds. A connection that
                was in use a moment ago may have the next request under way;
                it ends with its next answer.
        """
        oldest = self.clock.monotonic() - idle_s
        for connection in tuple(self.connections):
            if connection.idle and connection.idle_since <= oldest:
                connection.close()

    def close(self) -> None:
        """Stops accepting and closes all connections."""
        if self.acceptor is not None:
            self.acceptor.kill()
        if self.sock is not None:
            self.sock.close()
        for connection in tuple(self.connections):
            connection.close()
