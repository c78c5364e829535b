"""HTTP server of an entry host."""

from __future__ import annotations

import contextlib
import datetime
import socket
from typing import TYPE_CHECKING
from typing import Any

import gevent
import gevent.event
import structlog
from gevent import pool
from gevent import pywsgi

from coltsfootarch.gateway import intake
from coltsfootarch.http1 import readers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

# A caller that neither sends nor reads for this long loses its connection.
SOCKET_TIMEOUT = datetime.timedelta(seconds=60)
# Without it a caller could hold a connection by single bytes of a header.
HEADER_TIMEOUT = datetime.timedelta(seconds=30)
# Limits of what is read of a body after its request was answered.
DISCARD_TIMEOUT = datetime.timedelta(seconds=1)
DISCARD_BYTES = 1024 * 1024
BACKLOG = 1024

logger = structlog.get_logger(__name__)


class BodyInput(pywsgi.Input):  # type: ignore[misc]
    """Body of a request, of which a refused caller can leave much unread."""

    send_100_continue_enabled: bool
    synchronized = True

    def _discard(self) -> None:
        """Reads a short rest, so that the connection can be used again.

        pywsgi would read without limit. A connection whose rest is long, slow
        or malformed is closed instead, since its next request can't be found.
        """
        self.synchronized = False
        self.send_100_continue_enabled = False
        timeout = DISCARD_TIMEOUT.total_seconds()
        with contextlib.suppress(OSError), gevent.Timeout(timeout, False):
            # After an error in the chunks nothing more can be read.
            if not self._chunked_input_error:
                self.synchronized = (
                    len(self.read(DISCARD_BYTES)) < DISCARD_BYTES
                )


class LineRecorder:
    """Passes lines of a stream on and keeps them.

    Args:
        stream: Where the lines come from.
    """

    def __init__(self, stream: Any) -> None:
        self.stream = stream
        self.lines: list[bytes] = []

    def readline(self, size: int = -1) -> bytes:
        """Returns the next line, of `size` bytes at most."""
        line: bytes = self.stream.readline(size)
        self.lines.append(line)
        return line


def read_headers(stream: Any, *unused: Any) -> Any:
    """Reads the headers of a request and notes if they can be read in two ways.

    Two servers could find different ends of the body, and so different next
    requests. The check comes first because pywsgi drops `Content-Length` beside
    chunks and all but one of several lengths, and its parser accepts folded
    lines, a space before a colon and control characters.
    """
    recorder = LineRecorder(stream)
    headers = pywsgi.headers_factory(recorder, *unused)
    lengths = headers.get_all("content-length", [])
    codings = headers.get_all("transfer-encoding", [])
    clear = len(lengths) + len(codings) <= 1
    clear = clear and all(text.strip().isdecimal() for text in lengths)
    clear = clear and all(text.lower() == "chunked" for text in codings)
    clear = clear and readers.is_well_formed(b"".join(recorder.lines))
    headers.ambiguous = not clear
    return headers


class ConnectionHandler(pywsgi.WSGIHandler):  # type: ignore[misc]
    """Handles one connection with a limit on every read and write."""

    MessageClass = staticmethod(read_headers)
    wsgi_input: Any

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        sock.settimeout(SOCKET_TIMEOUT.total_seconds())
        # Headers and body are written separately; without this the body
        # waits for the caller's delayed acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server)

    def handle(self) -> None:
        """Serves the connection's requests until it closes or times out."""
        with contextlib.suppress(TimeoutError):
            super().handle()

    def get_environ(self) -> dict[str, Any]:
        """Returns the WSGI environment with the path as it was sent."""
        environ: dict[str, Any] = super().get_environ()
        environ["RAW_PATH"] = self.path.partition("?")[0]
        body = self.wsgi_input
        if self.headers.ambiguous:
            environ[intake.AMBIGUOUS_HEADERS] = True
            self.close_connection = True
        self.wsgi_input = BodyInput(
            body.rfile, body.content_length, body.socket, body.chunked_input
        )
        environ["wsgi.input"] = self.wsgi_input
        return environ

    def read_requestline(self) -> str:
        """Reads a request's first line, for which an idle caller has time."""
        expired = TimeoutError("no request in time")
        with gevent.Timeout(SOCKET_TIMEOUT.total_seconds(), expired):
            line: str = super().read_requestline()
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Reads a request's headers."""
        expired = TimeoutError("the headers did not arrive in time")
        with gevent.Timeout(HEADER_TIMEOUT.total_seconds(), expired):
            return bool(super().read_request(raw_requestline))

    def handle_one_response(self) -> None:
        """Answers a request and closes a connection that is out of step."""
        with self.server.gateway.answering():
            super().handle_one_response()
        if not self.wsgi_input.synchronized:
            self.close_connection = True

    def log_request(self) -> None:
        """Leaves request logs to the application."""


class ErrorLog:
    """File-like target for the server's own messages."""

    def write(self, text: str) -> None:
        """Logs a line."""
        if text.strip():
            logger.warning("http server", detail=text.strip()[:500])

    def writelines(self, lines: list[str]) -> None:
        """Logs several lines."""
        for line in lines:
            self.write(line)

    def flush(self) -> None:
        """Does nothing; every line is logged at once."""


class GatewayServer:
    """Accepts callers' connections.

    Args:
        address: "ip:port" to listen on; port 0 takes a free one.
        application: WSGI application.
        max_connections: Connections of callers at once; further ones wait in
            the backlog.
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
        self.answers = 0
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
        """Runs the application and closes connections while draining."""

        def start(
            status: str, headers: list[tuple[str, str]], exc_info: Any = None
        ) -> Any:
            if self.draining:
                headers = [*headers, ("Connection", "close")]
            return start_response(status, headers, exc_info)

        return self.application(environ, start)

    def start(self) -> None:
        """Binds and starts to accept."""
        self.server.start()

    @contextlib.contextmanager
    def answering(self) -> Iterator[None]:
        """Counts an answer until the last of it is handed to the caller."""
        self.answers += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.answers -= 1
            if not self.answers:
                self.idle.set()

    def wait_answered(self) -> None:
        """Waits until no answer is being written."""
        self.idle.wait()

    def drain(self) -> None:
        """Makes each connection close after its next answer."""
        self.draining = True

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections go on."""
        self.server.close()

    def close(self) -> None:
        """Closes the listening socket and all connections."""
        self.server.stop(timeout=0)
