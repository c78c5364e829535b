"""HTTP server of an entry host, based on the WSGI server of gevent."""

from __future__ import annotations

import contextlib
import datetime
import http
import socket
from typing import TYPE_CHECKING
from typing import Any

import gevent
import gevent.event
import structlog
from gevent import pool
from gevent import pywsgi

from coltsfootarch import clock as clocks
from coltsfootarch.gateway import body_input
from coltsfootarch.gateway import request_checks
from coltsfootarch.http1 import fair_streams
from coltsfootarch.http1 import messages
from coltsfootarch.http1 import readers
from coltsfootarch.http1 import request_memory

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

# Time without progress of a read or write after which a connection is closed.
SOCKET_TIMEOUT = datetime.timedelta(seconds=60)
# Limit for all headers of a request. `SOCKET_TIMEOUT` alone would let a caller
# hold a connection by sending single bytes of a header.
HEADER_TIMEOUT = datetime.timedelta(seconds=30)
# Largest size of the header lines of a request in bytes.
MAX_HEAD_BYTES = 64 * 1024
BACKLOG = 1024

logger = structlog.get_logger(__name__)


class HeadRefusedError(Exception):
    """The head of a request is too long, or there is no memory for it.

    Args:
        status: HTTP status of the refusal.
        reason: What was exceeded.
    """

    def __init__(self, status: http.HTTPStatus, reason: str) -> None:
        super().__init__(reason)
        self.status = status

    def response(self) -> bytes:
        """Returns the refusal as sent to the caller."""
        fields = [("Connection", "close"), ("Content-Length", "0")]
        if self.status is http.HTTPStatus.SERVICE_UNAVAILABLE:
            fields.append(("Retry-After", "1"))
        return messages.render_head(messages.status_line(self.status), fields)


class LineRecorder:
    """Reads header lines from a stream and records them.

    Args:
        stream: Source of the lines.
        holding: Counts the memory of the request.

    Attributes:
        lines: Lines read so far.
        size: Their size in bytes.
    """

    def __init__(self, stream: Any, holding: request_memory.Holding) -> None:
        self.stream = stream
        self.holding = holding
        self.lines: list[bytes] = []
        self.size = 0

    def readline(self, size: int = -1) -> bytes:
        """Returns the next line, of `size` bytes at most.

        Raises:
            HeadRefusedError: The head is too long, or the memory for requests
                is full.
        """
        line: bytes = self.stream.readline(size)
        self.lines.append(line)
        self.size += len(line)
        if self.size > MAX_HEAD_BYTES:
            raise HeadRefusedError(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                f"the header lines exceed {MAX_HEAD_BYTES} bytes",
            )
        if not self.holding.take(self.size):
            raise HeadRefusedError(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                f"all requests exceed {self.holding.memory.capacity} bytes",
            )
        return line


def read_headers(recorder: LineRecorder, *arguments: Any) -> Any:
    """Returns the headers of a request, marked as ambiguous if they are.

    With ambiguous headers two servers could find different ends of the body and
    therefore different next requests (request smuggling). They are checked
    here, before pywsgi interprets them: it drops `Content-Length` beside chunks
    and all but one of several lengths, and its parser accepts folded lines, a
    space before a colon and control characters.
    """
    headers = pywsgi.headers_factory(recorder, *arguments)
    lengths = headers.get_all("content-length", [])
    codings = headers.get_all("transfer-encoding", [])
    unambiguous = len(lengths) + len(codings) <= 1
    unambiguous = unambiguous and all(
        text.strip().isdecimal() for text in lengths
    )
    unambiguous = unambiguous and all(
        text.lower() == "chunked" for text in codings
    )
    unambiguous = unambiguous and readers.is_well_formed(
        b"".join(recorder.lines)
    )
    headers.ambiguous = not unambiguous
    return headers


class ConnectionHandler(pywsgi.WSGIHandler):  # type: ignore[misc]
    """Handles one connection with a timeout on every read and write."""

    rfile: Any
    wsgi_input: Any

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        sock.settimeout(SOCKET_TIMEOUT.total_seconds())
        # Headers and body are written separately. With Nagle's algorithm the
        # body would wait for the caller's delayed acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server)
        self.rfile = fair_streams.FairStream(self.rfile, clocks.SystemClock())
        self.holding = server.gateway.memory.open(request_memory.drop_nothing)

    def MessageClass(self, stream: Any, *arguments: Any) -> Any:  # noqa: N802
        """Reads the headers of a request; pywsgi gives the name."""
        recorder = LineRecorder(stream, self.holding)
        return read_headers(recorder, *arguments)

    def handle(self) -> None:
        """Serves the connection's requests until it closes or times out."""
        try:
            with contextlib.suppress(TimeoutError):
                super().handle()
        finally:
            self.holding.close()

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment, with the path as sent in `RAW_PATH`."""
        environ: dict[str, Any] = super().get_environ()
        environ["RAW_PATH"] = self.path.partition("?")[0]
        body = self.wsgi_input
        if self.headers.ambiguous:
            environ[request_checks.AMBIGUOUS_HEADERS] = True
            self.close_connection = True
        self.wsgi_input = body_input.BodyInput(
            body.rfile, body.content_length, body.socket, body.chunked_input
        )
        environ["wsgi.input"] = self.wsgi_input
        environ[request_checks.REQUEST_MEMORY] = self.holding
        return environ

    def read_requestline(self) -> str:
        """Reads a request line within `SOCKET_TIMEOUT`, the idle timeout."""
        expired = TimeoutError("no request line was received in time")
        with gevent.Timeout(SOCKET_TIMEOUT.total_seconds(), expired):
            line: str = super().read_requestline()
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Reads a request's headers within `HEADER_TIMEOUT`."""
        expired = TimeoutError("the headers were not received in time")
        with gevent.Timeout(HEADER_TIMEOUT.total_seconds(), expired):
            return bool(super().read_request(raw_requestline))

    def handle_one_response(self) -> None:
        """Answers a request; closes the connection if it can't be reused."""
        try:
            with self.server.gateway.track_response():
                super().handle_one_response()
        finally:
            self.holding.resize(0)
        if not self.wsgi_input.synchronized:
            self.close_connection = True

    def _handle_client_error(self, ex: Exception) -> Any:
        """Answers a request that can't be read."""
        if not isinstance(ex, HeadRefusedError):
            return super()._handle_client_error(ex)
        logger.info("request head refused", reason=str(ex))
        return str(ex.status.value), ex.response()

    def log_request(self) -> None:
        """Logs nothing, because the application logs requests."""


class ErrorLog:
    """File-like object that logs the messages of pywsgi."""

    def write(self, text: str) -> None:
        """Logs a line."""
        if text.strip():
            logger.warning("http server message", detail=text.strip()[:500])

    def writelines(self, lines: list[str]) -> None:
        """Logs several lines."""
        for line in lines:
            self.write(line)

    def flush(self) -> None:
        """Does nothing, because every line is logged at once."""


class GatewayServer:
    """Accepts callers' connections.

    Args:
        address: "ip:port" to listen on; port 0 selects a free port.
        application: WSGI application.
        max_connections: Maximum number of open connections; further ones wait
            in the listen backlog.

    Attributes:
        memory: Bounds the memory of requests.
        draining: Whether connections close after their next response.
        active_responses: Number of responses being written.
        idle: Set while no response is being written.
    """

    def __init__(
        self,
        address: str,
        application: Callable[..., Any],
        max_connections: int,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.application = application
        self.draining = False
        self.connections = pool.Pool(max_connections)
        self.memory = request_memory.RequestMemory()
        self.active_responses = 0
        self.idle = gevent.event.Event()
        self.idle.set()
        self.server = pywsgi.WSGIServer(
            (host, int(port)),
            self.handle_request,
            backlog=BACKLOG,
            spawn=self.connections,
            log=None,
            error_log=ErrorLog(),
            handler_class=ConnectionHandler,
            environ={"SERVER_NAME": host},
        )
        self.server.gateway = self

    @property
    def address(self) -> str:
        """Address ("ip:port") that the server listens on."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def handle_request(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Any:
        """Runs the application; while draining, adds `Connection: close`."""

        def start(
            status: str, headers: list[tuple[str, str]], exc_info: Any = None
        ) -> Any:
            if self.draining:
                headers = [*headers, ("Connection", "close")]
            return start_response(status, headers, exc_info)

        return self.application(environ, start)

    def start(self) -> None:
        """Binds the socket and starts to accept connections."""
        self.server.init_socket()
        self.server.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            request_memory.RECEIVE_BUFFER_BYTES,
        )
        self.server.start()

    @contextlib.contextmanager
    def track_response(self) -> Iterator[None]:
        """Counts a response until its last byte is passed to the socket."""
        self.active_responses += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.active_responses -= 1
            if not self.active_responses:
                self.idle.set()

    def wait_answered(self) -> None:
        """Waits until no response is being written."""
        self.idle.wait()

    def drain(self) -> None:
        """Makes each connection close after its next response."""
        self.draining = True

    def stop_accepting(self) -> None:
        """Closes the listening socket and keeps open connections."""
        self.server.close()

    def close(self) -> None:
        """Closes the listening socket and all connections."""
        self.server.stop(timeout=0)
