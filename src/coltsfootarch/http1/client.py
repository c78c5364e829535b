"""Client connections that report how far a request got."""

from __future__ import annotations

import contextlib
import errno
import select
import socket
from typing import TYPE_CHECKING

import gevent
from gevent import socket as gevent_socket

from coltsfootarch.http1 import messages
from coltsfootarch.http1 import readers

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

# A peer without power doesn't answer. Keep-alive probes find that while an
# answer is awaited: one probe a second, given up after two.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Unacknowledged data for this long ends a connection.
USER_TIMEOUT_MS = 3000
# Bodies up to this size fit into the socket buffers of both ends, so that
# writing them can't block while the upstream already answers.
INLINE_BODY_BYTES = 16384


class ConnectError(Exception):
    """No connection; nothing was sent."""


class BrokenConnectionError(Exception):
    """The connection ended or sent garbage before the response was whole."""


class ResponseTimeoutError(Exception):
    """The peer sent nothing within the time given."""


def set_options(sock: gevent_socket.socket) -> None:
    """Turns off Nagle's algorithm and turns on detection of dead peers."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of "ip:port"."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Connection:
    """One connection, for one request at a time.

    Args:
        address: "ip:port" of the peer.
        clock: Source of time.
    """

    def __init__(self, address: str, clock: clocks.Clock) -> None:
        self.address = address
        self.clock = clock
        self.sock: gevent_socket.socket | None = None
        self.reader = readers.ResponseReader()
        self.reusable = True
        self.garbled = False
        self.used = 0
        self.idle_since = 0.0
        self.idle_limit_s = 0.0
        self.sender: gevent.Greenlet | None = None

    def start(self, timeout: float) -> None:
        """Connects.

        Args:
            timeout: Longest wait in seconds.

        Raises:
            ConnectError: Refused, unreachable or not in time.
        """
        sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock = sock
        sock.settimeout(max(timeout, 0.001))
        try:
            set_options(sock)
            sock.connect(split_address(self.address))
        except OSError as error:
            self.close()
            raise ConnectError(f"{self.address}: {error}") from error

    def close(self) -> None:
        """Closes the connection; a blocked reader or writer is woken."""
        sock, self.sock = self.sock, None
        self.reusable = False
        if self.sender is not None:
            self.sender.kill(block=False)
            self.sender = None
        if sock is not None:
            # A greenlet that waits on the socket is only woken by a shutdown.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def is_reusable(self) -> bool:
        """Returns whether an idle connection is open and has no stray bytes."""
        if self.sock is None or self.reader.parts:
            return False
        poller = select.poll()
        poller.register(self.sock.fileno(), select.POLLIN)
        return not poller.poll(0)

    def send(self, head: bytes, body: bytes, timeout: float) -> None:
        """Sends a request; a long body goes on in the background.

        Raises:
            BrokenConnectionError: The request may have been received.
        """
        if self.sock is None:
            raise BrokenConnectionError(f"{self.address}: closed")
        self.used += 1
        self.sock.settimeout(max(timeout, 0.001))
        try:
            if len(body) <= INLINE_BODY_BYTES:
                self.sock.sendall(head + body)
                return
            self.sock.sendall(head)
        except OSError as error:
            self.close()
            raise BrokenConnectionError(f"{self.address}: {error}") from error
        self.sender = gevent.spawn(self.send_body, self.sock, body)

    def send_body(self, sock: gevent_socket.socket, body: bytes) -> None:
        """Sends a long body; a failure shows in the missing response."""
        try:
            sock.sendall(body)
        except OSError:
            self.reusable = False

    def read_part(self, timeout: float) -> messages.ResponseHead | bytes | None:
        """Returns the next part of a response; None at its end.

        Args:
            timeout: Longest wait in seconds.

        Raises:
            ResponseTimeoutError: Nothing came in time.
            BrokenConnectionError: The response can't be completed.
        """
        deadline = self.clock.monotonic() + timeout
        while not self.reader.parts:
            self.read_more(deadline - self.clock.monotonic())
        return self.reader.parts.popleft()

    def read_more(self, timeout: float) -> None:
        """Reads once from the socket."""
        if self.sock is None:
            raise BrokenConnectionError(f"{self.address}: closed")
        if self.garbled:
            self.close()
            raise BrokenConnectionError(f"{self.address}: garbled response")
        if timeout <= 0:
            raise ResponseTimeoutError(self.address)
        self.sock.settimeout(timeout)
        try:
            data = self.sock.recv(readers.READ_SIZE)
        except TimeoutError as error:
            if error.errno == errno.ETIMEDOUT:
                # Keep-alive probes failed; this isn't the read timeout.
                self.close()
                raise BrokenConnectionError(
                    f"{self.address}: {error}"
                ) from error
            raise ResponseTimeoutError(self.address) from error
        except OSError as error:
            self.close()
            raise BrokenConnectionError(f"{self.address}: {error}") from error
        try:
            if data:
                self.reader.feed(data)
            elif self.sock is None:
                raise BrokenConnectionError(f"{self.address}: closed here")
            elif not self.reader.in_progress or not self.reader.feed_end():
                self.close()
                raise BrokenConnectionError(f"{self.address}: closed early")
        except readers.MalformedMessageError as error:
            if self.reader.parts:
                # What came before the garbage belongs to this response.
                self.reusable = False
                self.garbled = True
                return
            self.close()
            raise BrokenConnectionError(f"{self.address}: {error}") from error

    def finish(self, head: messages.ResponseHead) -> bool:
        """Returns whether the connection can be used again after a response."""
        sent = self.sender is None or self.sender.dead
        if (
            self.sock is None
            or not sent
            or not self.reusable
            or not head.keep_alive
            or self.reader.parts
        ):
            self.close()
            return False
        self.sender = None
        self.idle_since = self.clock.monotonic()
        self.idle_limit_s = keep_alive_seconds(head.fields)
        return True


def keep_alive_seconds(fields: messages.Fields) -> float:
    """Returns the idle timeout that a peer announces, 0 if it names none."""
    for token in messages.find(fields, "keep-alive").split(","):
        name, _, value = token.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return float(value)
    return 0.0
