"""HTTP server for callers: reads requests and detects disconnected callers."""

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
# Timeout of writing to a caller that doesn't read, in seconds. Its connection
# is then closed.
SEND_TIMEOUT_S = 10.0
# Bytes of pipelined requests that are buffered while one is handled.
MAX_PIPELINED_BYTES = 262144
# Larger bodies are sent apart from their head, since joining copies them.
MAX_JOINED_BYTES = 65536
# Callers reuse idle connections for up to four fifths of the idle timeout. The
# host keeps them longer than the timeout, so that it doesn't close one to which
# a caller is sending a request.
IDLE_TIMEOUT_FACTOR = 1.25

logger = structlog.get_logger(__name__)


class Handler(Protocol):
    """Handles requests of one listener."""

    def handle(
        self,
        raw: messages.Request,
        responder: ConnectionResponder,
        cancellation: cancellations.Cancellation,
    ) -> None:
        """Responds to a request; a failure ends in a refusal or an abort."""


class ConnectionResponder:
    """Writes the response to one request; see `calls.Responder`.

    Args:
        connection: The caller's connection.
        keep_alive: Whether the caller wants to keep the connection open.
    """

    def __init__(self, connection: CallerConnection, keep_alive: bool) -> None:
        self.connection = connection
        self.keep_alive = keep_alive
        self.started = False
        self.finished = False

    def connection_fields(self) -> list[tuple[str, str]]:
        """Returns the header fields that announce a close of the connection."""
        if self.connection.listener.draining:
            self.keep_alive = False
        return [] if self.keep_alive else [("Connection", "close")]

    def respond(
        self, status: int, fields: messages.Fields, body: bytes
    ) -> None:
        """Sends a complete response."""
        self.started = True
        head = messages.render_head(
            messages.status_line(status),
            [
                *fields,
                ("Content-Length", str(len(body))),
                *self.connection_fields(),
            ],
        )
        if len(body) <= MAX_JOINED_BYTES:
            self.connection.send(head + body)
        else:
            self.connection.send(head)
            self.connection.send(body)
        self.finished = True

    def start(self, status: int, fields: messages.Fields) -> None:
        """Sends the head of a chunked response."""
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
        """Sends a chunk.

        Raises:
            RuntimeError: The response has no head, or is complete.
        """
        self.check_open()
        if data:
            self.connection.send(b"%x\r\n%b\r\n" % (len(data), data))

    def finish(self) -> None:
        """Sends the last chunk.

        Raises:
            RuntimeError: The response has no head, or is complete.
        """
        self.check_open()
        self.connection.send(b"0\r\n\r\n")
        self.finished = True

    def check_open(self) -> None:
        """Checks that a chunk would be part of this response.

        Raises:
            RuntimeError: The response has no head, or is complete.
        """
        if not self.started or self.finished:
            raise RuntimeError(
                f"a chunk outside of a response: started {self.started}, "
                f"finished {self.finished}"
            )

    def abort(self) -> None:
        """Closes the connection without completing the response."""
        self.keep_alive = False
        self.finished = True
        self.connection.close()


class CallerConnection:
    """One connection of a caller.

    Args:
        sock: The connected socket.
        listener: Listener that accepted it.
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
            OSError: The caller disconnected or doesn't read.
        """
        if self.closed:
            raise ConnectionResetError("the caller's connection is closed")
        self.sock.settimeout(SEND_TIMEOUT_S)
        self.sock.sendall(data)

    def run(self) -> None:
        """Handles requests until the connection ends."""
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
        """Returns the next request; None if the connection ends before it."""
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
        """Returns bytes from the caller; none at its close or on a timeout.

        Args:
            since: Instant from which the timeout counts, in seconds.
        """
        while True:
            limits = self.listener.limits()
            limit = limits.idle_timeout_s * IDLE_TIMEOUT_FACTOR
            if self.reader.in_progress:
                limit = limits.header_timeout_s
                if self.reader.in_body:
                    limit = limits.idle_timeout_s
            remaining = since + limit - self.listener.clock.monotonic()
            if remaining <= 0:
                if self.reader.in_progress:
                    self.reject(results.HEADER_TIMEOUT)
                return b""
            self.sock.settimeout(remaining)
            try:
                data: bytes = self.sock.recv(readers.READ_SIZE)
            except TimeoutError:
                # A newer policy may have raised the timeout meanwhile.
                continue
            return data

    def reject(self, code: results.ResultCode) -> None:
        """Refuses a request that can't be read; ends the connection."""
        document = {
            "code": code.number,
            "name": code.name,
            "message": code.summary,
            "execution": code.execution.value,
        }
        responder = ConnectionResponder(self, keep_alive=False)
        with contextlib.suppress(OSError):
            responder.respond(
                code.http_status,
                (("Content-Type", "application/json"),),
                msgspec.json.encode(document),
            )

    def serve(self, request: messages.Request) -> bool:
        """Handles a request; returns whether the connection stays open."""
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
        """Detects a disconnected caller; buffers pipelined requests."""
        if self.closed:
            return
        try:
            # The standard socket inside gevent's is non-blocking.
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
        handler: Handles the requests.
        clock: Source of time.
        limits: Returns the limits of the active policy.
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
        """Binds the socket and starts to accept connections."""
        sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(client.split_address(self.address))
        sock.listen(BACKLOG)
        host, port = sock.getsockname()
        self.address = f"{host}:{port}"
        self.sock = sock
        self.acceptor = gevent.spawn(self.accept_all, sock)

    def accept_all(self, sock: gevent_socket.socket) -> None:
        """Accepts connections until the greenlet is killed."""
        while True:
            try:
                accepted, _ = sock.accept()
            except OSError as error:
                logger.warning("connection not accepted", reason=str(error))
                gevent.sleep(0.05)
                continue
            gevent.spawn(self.serve, accepted)

    def serve(self, sock: gevent_socket.socket) -> None:
        """Serves one connection until it ends."""
        connection = CallerConnection(sock, self)
        self.connections.add(connection)
        try:
            client.set_socket_options(sock)
            connection.run()
        except OSError as error:
            logger.debug("caller connection failed", reason=str(error))
        finally:
            connection.close()
            self.connections.discard(connection)

    def drain(self) -> None:
        """Makes each connection close after its next response."""
        self.draining = True

    def close_idle(self, idle_s: float) -> None:
        """Closes connections that have been idle for some time.

        Args:
            idle_s: Idle time in seconds from which a connection is closed. The
                caller may already be sending the next request on a connection
                that was used more recently; that one closes after its next
                response instead.
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
