"""HTTP/1.1 client connections.

Errors tell a request that was not sent from one that may have been received.
"""

from __future__ import annotations

import contextlib
import errno
import select
import socket
from typing import TYPE_CHECKING

import gevent
import structlog
from gevent import socket as gevent_socket

from coltsfootarch.http1 import messages
from coltsfootarch.http1 import readers
from coltsfootarch.http1 import shortages
from coltsfootarch.http1 import turns

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

# A peer that lost power sends neither a response nor a reset. TCP keep-alive
# detects that while a response is awaited: one probe per second, and the
# connection fails after two unanswered probes.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A connection fails when sent data is unacknowledged for this long.
USER_TIMEOUT_MS = 3000
# Bodies up to this size fit into the socket buffers of both ends, so that
# sending them doesn't block while the upstream already responds.
INLINE_BODY_BYTES = 16384

# Bytes that are read although the time for them has passed. More than the
# buffers of a connection hold weren't there in time.
MAX_LATE_BYTES = 1024 * 1024
# Longest wait for memory to send a request of which nothing was sent, in
# seconds. Another host may take the request sooner.
MAX_UNSENT_S = 0.3
# Errors of opening a connection that don't come from the peer or the network.
LOCAL_ERRNOS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    }
)

logger = structlog.get_logger(__name__)


class ConnectError(Exception):
    """The connection could not be opened; nothing was sent."""


class LocalConnectError(ConnectError):
    """This host lacks a resource, which tells nothing about the peer."""


class BrokenConnectionError(Exception):
    """The connection failed, or the response is malformed or incomplete."""


class LocalBrokenConnectionError(BrokenConnectionError):
    """This host lacked memory, which tells nothing about the peer."""


class ResponseTimeoutError(Exception):
    """The peer sent nothing within the timeout."""


class LocalTimeoutError(ResponseTimeoutError):
    """This host lacked memory, which tells nothing about the peer."""


def set_socket_options(
    sock: gevent_socket.socket, user_timeout_ms: int = USER_TIMEOUT_MS
) -> None:
    """Disables Nagle's algorithm and enables the detection of dead peers.

    Args:
        sock: The socket.
        user_timeout_ms: Time in milliseconds after which a connection fails
            while sent data is unacknowledged or the peer reads nothing.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms)


def read_arrived(
    sock: gevent_socket.socket, max_bytes: int = readers.READ_SIZE
) -> bytes | None:
    """Returns bytes that have arrived without waiting for any.

    After a pause of the process its timers run before its sockets are read, so
    that a timeout doesn't show that nothing arrived.

    Args:
        sock: The socket.
        max_bytes: Largest number of bytes to read; at least 1, since none mean
            the end of the connection.

    Returns:
        The bytes, none of them at the end of the connection, or None if nothing
        has arrived.

    Raises:
        OSError: The connection failed.
    """
    try:
        # The standard socket inside gevent's is non-blocking.
        data: bytes = sock._sock.recv(max_bytes)
    except BlockingIOError:
        return None
    return data


def split_address(address: str) -> tuple[str, int]:
    """Returns the host and port of an address "ip:port"."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Connection:
    """A connection to a server, for one request at a time.

    Args:
        address: Address "ip:port" of the server.
        clock: Clock for deadlines and idle time.

    Attributes:
        request_count: Number of requests sent on the connection.
        idle_since: Time on the clock at which the last response was complete.
        announced_idle_s: Idle timeout in seconds that the server announced; 0
            if it announced none.
        lacked_memory: Whether this host has lacked memory for the last request
            or its response.
        turn: What the connection may take before others run.
    """

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        self.address = address
        self.clock = clock
        self.sock: gevent_socket.socket | None = None
        self.reader = readers.ResponseReader()
        self.reusable = True
        self.malformed = False
        self.request_count = 0
        self.idle_since = 0.0
        self.announced_idle_s = 0.0
        self.late_bytes = 0
        self.lacked_memory = False
        self.body_sender: gevent.Greenlet | None = None
        self.turn = turns.ReadTurn(clock)

    def start(self, timeout: float) -> None:
        """Opens the connection.

        Args:
            timeout: Timeout in seconds.

        Raises:
            LocalConnectError: This host can't open a connection at present.
            ConnectError: The server refused, is unreachable or timed out.
        """
        try:
            sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self.sock = sock
            sock.settimeout(max(timeout, 0.001))
            set_socket_options(sock)
            sock.connect(split_address(self.address))
        except OSError as error:
            self.close()
            if error.errno in LOCAL_ERRNOS:
                raise LocalConnectError(f"{self.address}: {error}") from error
            raise ConnectError(f"{self.address}: {error}") from error

    def close(self) -> None:
        """Closes the connection and unblocks greenlets that read or write.

        What was read and not taken is dropped: the parser and its reader refer
        to each other, so that only the garbage collector would free it.
        """
        sock, self.sock = self.sock, None
        self.reusable = False
        self.reader.parts.clear()
        if self.body_sender is not None:
            self.body_sender.kill(block=False)
            self.body_sender = None
        if sock is not None:
            # `close` alone doesn't wake a greenlet that waits on the socket.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def is_reusable(self) -> bool:
        """Returns whether an idle connection is open with no unread bytes."""
        if self.sock is None or not self.reader.idle:
            return False
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLIN)
        return not poller.poll(0)

    def send(self, head: bytes, body: bytes, timeout: float) -> None:
        """Sends a request; a large body is sent in the background.

        Args:
            head: Request line and header fields.
            body: Body; may be empty.
            timeout: Timeout for sending, in seconds.

        Raises:
            LocalConnectError: This host lacks memory; nothing was sent.
            BrokenConnectionError: Sending failed; the peer may have received
                the request.
        """
        if self.sock is None:
            raise BrokenConnectionError(f"{self.address}: closed")
        self.request_count += 1
        self.late_bytes = 0
        self.lacked_memory = False
        timeout = max(timeout, 0.001)
        inline = len(body) <= INLINE_BODY_BYTES
        try:
            shortages.send(
                self.sock,
                head + body if inline else head,
                timeout,
                self.clock,
                MAX_UNSENT_S,
            )
        except shortages.ShortageError as error:
            self.close()
            if error.sent:
                raise LocalBrokenConnectionError(
                    f"{self.address}: {error}"
                ) from error
            raise LocalConnectError(f"{self.address}: {error}") from error
        except OSError as error:
            self.close()
            raise BrokenConnectionError(f"{self.address}: {error}") from error
        if not inline:
            self.body_sender = gevent.spawn(
                self.send_body, self.sock, body, timeout
            )

    def send_body(
        self, sock: gevent_socket.socket, body: bytes, timeout: float
    ) -> None:
        """Sends a large body; a failure appears as a missing response."""
        try:
            shortages.send(
                sock, body, timeout, self.clock, record=self.record_shortage
            )
        except (OSError, shortages.ShortageError):
            self.reusable = False

    def record_shortage(self) -> None:
        """Records that this host lacks memory for the exchange."""
        self.lacked_memory = True

    def read_part(self, timeout: float) -> messages.ResponseHead | bytes | None:
        """Returns the head or a body part of a response, or None at its end.

        Args:
            timeout: Timeout in seconds.

        Raises:
            ResponseTimeoutError: No part arrived within the timeout.
            BrokenConnectionError: The response can't be completed.
        """
        deadline = self.clock.monotonic() + timeout
        self.turn.share()
        while not self.reader.parts:
            self.receive(deadline - self.clock.monotonic())
            if not self.reader.parts:
                self.turn.share()
        return self.reader.parts.popleft()

    def receive(self, timeout: float) -> None:
        """Reads from the socket once and parses the bytes.

        Bytes that have arrived are read after the timeout, too, up to
        `MAX_LATE_BYTES` in a row: the process may have paused.

        Raises:
            LocalTimeoutError: This host lacked memory until the timeout.
            ResponseTimeoutError: Nothing arrived within the timeout.
            BrokenConnectionError: The response can't be completed.
        """
        if self.sock is None:
            raise BrokenConnectionError(f"{self.address}: closed")
        if self.malformed:
            self.close()
            raise BrokenConnectionError(f"{self.address}: malformed response")
        try:
            if timeout > 0:
                self.late_bytes = 0
                data = shortages.receive(
                    self.sock,
                    readers.READ_SIZE,
                    timeout,
                    self.clock,
                    self.record_shortage,
                )
            else:
                data = self.read_late(self.sock)
        except shortages.ShortageError as error:
            raise LocalTimeoutError(f"{self.address}: {error}") from error
        except OSError as error:
            if isinstance(error, TimeoutError) and error.errno is None:
                raise self.timeout_error() from error
            self.close()
            raise BrokenConnectionError(f"{self.address}: {error}") from error
        self.turn.record(len(data))
        try:
            if data:
                self.reader.feed(data)
            elif self.sock is None:
                raise BrokenConnectionError(
                    f"{self.address}: closed by this process"
                )
            elif not self.reader.in_progress or not self.reader.feed_end():
                self.close()
                raise BrokenConnectionError(
                    f"{self.address}: closed before the end of the response"
                )
        except readers.MalformedMessageError as error:
            if self.reader.parts:
                # The parts before the malformed bytes belong to this response;
                # the error is raised after they were returned.
                self.reusable = False
                self.malformed = True
                return
            self.close()
            raise BrokenConnectionError(f"{self.address}: {error}") from error

    def timeout_error(self) -> ResponseTimeoutError:
        """Returns the error of a response that isn't in time."""
        if self.lacked_memory:
            return LocalTimeoutError(f"{self.address}: no memory")
        return ResponseTimeoutError(self.address)

    def read_late(self, sock: gevent_socket.socket) -> bytes:
        """Returns bytes that have arrived before a timeout was noticed.

        Raises:
            ShortageError: This host lacks memory.
            ResponseTimeoutError: Nothing has arrived, or more than
                `MAX_LATE_BYTES` in a row.
            OSError: The connection failed.
        """
        data = None
        if self.late_bytes <= MAX_LATE_BYTES:
            try:
                data = read_arrived(sock)
            except OSError as error:
                if shortages.is_shortage(error):
                    raise shortages.ShortageError(error) from error
                raise
        if data is None:
            raise self.timeout_error()
        self.late_bytes += len(data)
        return data

    def finish(self, head: messages.ResponseHead) -> bool:
        """Completes an exchange; closes a connection that can't be reused.

        Returns:
            Whether the connection can be used for another request.
        """
        body_sent = self.body_sender is None or self.body_sender.dead
        if self.malformed or not self.reader.idle:
            logger.warning(
                "connection closed: bytes beyond the response",
                upstream=self.address,
                status=head.status,
            )
        if (
            self.sock is None
            or not body_sent
            or not self.reusable
            or not head.keep_alive
            or not self.reader.idle
        ):
            self.close()
            return False
        self.body_sender = None
        self.idle_since = self.clock.monotonic()
        self.announced_idle_s = keep_alive_seconds(head.fields)
        return True


def keep_alive_seconds(fields: messages.Fields) -> float:
    """Returns the idle timeout in seconds that a peer announced, else 0."""
    for token in messages.field_value(fields, "keep-alive").split(","):
        name, _, value = token.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return float(value)
    return 0.0
