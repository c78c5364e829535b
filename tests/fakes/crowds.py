"""Callers that send as much as a host lets them, all at the same time."""

from __future__ import annotations

import contextlib
import itertools
from typing import NamedTuple

import gevent
import gevent.event
from gevent import socket as gevent_socket

from coltsfootarch.http1 import client
from soak import run

KEY = "key-1"
BLOCK_BYTES = 65536
RESPONSE_TIMEOUT_S = 5.0
# The `max_header_bytes` of the configuration. A line counts with a space after
# its colon, and the request line with its target only.
MAX_HEADER_BYTES = 16384
FIELDS = (
    f"Host: {run.ROUTE_HOST}\r\nX-Deadline-Ms: 4000\r\n"
    f"Authorization: Bearer {KEY}\r\n"
).encode()
POST = b"POST /book/x HTTP/1.1\r\nX-Request-Id: crowd\r\n" + FIELDS
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"


class Form(NamedTuple):
    """Bytes of a caller.

    Attributes:
        name: Name of the form.
        beginning: Bytes that are sent once on each connection.
        repeated: Bytes that are sent without end; none to send no more.
    """

    name: str
    beginning: bytes
    repeated: bytes

    def __str__(self):
        return self.name


def legal_head(line, request_id="crowd"):
    """Returns a head of as many equal lines as the limit allows."""
    beginning = (
        f"GET /read/x HTTP/1.1\r\nX-Request-Id: {request_id}\r\n".encode()
        + FIELDS
    )
    room = MAX_HEADER_BYTES - len(beginning)
    # A line without a space after its colon counts as if it had one.
    counted = len(line) + (b": " not in line)
    return beginning + line * (room // counted) + b"\r\n"


class Crowd:
    """Callers that connect again whenever their connection ends.

    Args:
        address: "ip:port" of the host.
        callers: Number of callers.

    Attributes:
        sent_bytes: Bytes that all callers have sent.
        connections: Number of connections that were opened.
    """

    def __init__(self, address, callers):
        self.address = address
        self.callers = callers
        self.sent_bytes = 0
        self.connections = 0
        self.stopping = gevent.event.Event()
        self.greenlets = []

    def start(self):
        self.greenlets = [
            gevent.spawn(self.run, number) for number in range(self.callers)
        ]

    def close(self):
        self.stopping.set()
        gevent.joinall(self.greenlets, timeout=2.0)
        gevent.killall(self.greenlets)

    def run(self, number):
        while not self.stopping.is_set():
            sock = gevent_socket.socket()
            sock.settimeout(RESPONSE_TIMEOUT_S)
            with contextlib.suppress(OSError):
                sock.connect(client.split_address(self.address))
                self.connections += 1
                self.use(sock, number)
            sock.close()
            gevent.sleep(0.01)

    def use(self, sock, number):
        """Sends on a connection until it ends.

        Raises:
            OSError: The connection failed.
        """
        raise NotImplementedError

    def send(self, sock, data):
        """Sends bytes.

        Raises:
            OSError: The connection failed.
        """
        sock.sendall(data)
        self.sent_bytes += len(data)


class Floods(Crowd):
    """Callers that send one form and don't read."""

    def __init__(self, address, callers, form):
        super().__init__(address, callers)
        self.form = form

    def use(self, sock, number):
        del number
        self.send(sock, self.form.beginning)
        repeated = self.form.repeated
        if not repeated:
            self.wait_closed(sock)
        block = repeated * (BLOCK_BYTES // max(len(repeated), 1))
        while not self.stopping.is_set():
            self.send(sock, block)

    def wait_closed(self, sock):
        """Waits until the host has closed the connection.

        Raises:
            OSError: It has, or has failed.
        """
        sock.settimeout(0.1)
        while not self.stopping.is_set():
            with contextlib.suppress(TimeoutError):
                if not sock.recv(BLOCK_BYTES):
                    raise OSError("closed by the host")


class Requests(Crowd):
    """Callers of requests of many lines within the limits.

    Args:
        line: Line that is repeated in each head.
        together: Number of requests that are sent before their responses are
            read.
    """

    def __init__(self, address, callers, line, together):
        super().__init__(address, callers)
        self.line = line
        self.together = together
        self.numbers = itertools.count()

    def use(self, sock, number):
        while not self.stopping.is_set():
            heads = [
                legal_head(self.line, f"c{number}-{next(self.numbers)}")
                for _ in range(self.together)
            ]
            self.send(sock, b"".join(heads))
            self.read_responses(sock)

    def read_responses(self, sock):
        """Reads the responses to the requests that were sent together.

        Raises:
            OSError: The connection ended before.
        """
        found = 0
        tail = b""
        while found < self.together and not self.stopping.is_set():
            data = sock.recv(BLOCK_BYTES)
            if not data:
                raise OSError("closed by the host")
            text = tail + data
            found += text.count(b"HTTP/1.1 ") - tail.count(b"HTTP/1.1 ")
            tail = text[-16:]
