"""Load of the soak test: callers that record every response."""

from __future__ import annotations

import itertools
import random
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

import gevent
from gevent import socket as gevent_socket

from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from coltsfootarch.http1 import readers

if TYPE_CHECKING:
    from soak import processes

EVENTS_PER_STREAM = 4  # Events in a complete stream of a stand-in runner.
KINDS = ("read", "book", "write", "once")
REQUEST_TIMEOUT_S = 6.0
# Part of a prompt on which decode engines crash. Ids of requests with it end
# with the suffix.
CRASHING_PART = "bad"
CRASHING_SUFFIX = "x"
# One of this many requests to decode engines has the part.
CRASHING_INTERVAL = 8


class Observation(NamedTuple):
    """Record of one request by its caller.

    Attributes:
        id: Request id.
        kind: "read", "book", "write" (resumable) or "once".
        key: API key that was sent.
        host: Name of the entry host.
        sent_at: Monotonic instant after the request was sent, in seconds.
        ended_at: Monotonic instant of the end of the response, in seconds.
        status: Status code, 0 without a response.
        seal: Value of the runner's `X-Server-Seal` field.
        body: Body as far as it was received.
        complete: Whether the response was received to its end.
        timed_out: Whether the caller stopped waiting.
    """

    id: str
    kind: str
    key: str
    host: str
    sent_at: float
    ended_at: float
    status: int
    seal: str
    body: bytes
    complete: bool
    timed_out: bool


class Callers:
    """Callers that send random requests over persistent connections.

    Each caller sends one request after the other.

    Args:
        hosts: Entry hosts.
        seed: Seed of the random choices.
        count: Number of callers.
        crashing: Whether some requests have a part that crashes engines.

    Attributes:
        observations: Records of all requests that have ended.
        keys: API keys that the callers use.
    """

    def __init__(
        self,
        hosts: list[processes.Host],
        seed: int,
        count: int,
        crashing: bool = False,
    ) -> None:
        self.hosts = hosts
        self.crashing = crashing
        self.generator = random.Random(seed)
        self.numbers = itertools.count()
        self.observations: list[Observation] = []
        self.keys = ["key-a", "key-b"]
        self.stopping = False
        self.greenlets = [gevent.spawn(self.run) for _ in range(count)]

    def stop(self) -> None:
        """Stops all callers after their current request and waits for it."""
        self.stopping = True
        gevent.joinall(self.greenlets, timeout=2 * REQUEST_TIMEOUT_S)

    def run(self) -> None:
        """Runs one caller until `stop`."""
        while not self.stopping:
            host = self.generator.choice(self.hosts)
            sock = gevent_socket.socket()
            sock.settimeout(1.0)
            try:
                sock.connect(client.split_address(host.listen))
            except OSError:
                gevent.sleep(0.05)
                continue
            # The connection is reused until its host closes it.
            while not self.stopping and self.send_request(sock, host.name):
                gevent.sleep(self.generator.uniform(0.0, 0.05))
            sock.close()

    def send_request(self, sock: gevent_socket.socket, host: str) -> bool:
        """Sends one request and records its response.

        Args:
            sock: Connection to the host.
            host: Name of the host.

        Returns:
            Whether the connection can be reused.
        """
        kind = self.generator.choice(KINDS)
        number = next(self.numbers)
        request_id = f"r{number}"
        parts = f"common:50,{request_id}:50"
        if (
            self.crashing
            and kind in ("write", "once")
            and number % CRASHING_INTERVAL == 0
        ):
            request_id += CRASHING_SUFFIX
            parts = f"common:50,{CRASHING_PART}:10,{request_id}:50"
        key = self.generator.choice(self.keys)
        body = b"" if kind == "read" else b"body"
        fields = [
            ("Host", "api.example"),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", str(int(REQUEST_TIMEOUT_S * 1000))),
            ("Authorization", f"Bearer {key}"),
        ]
        if kind in ("write", "once"):
            fields += [("X-Token-Count", "100,50"), ("X-Model", "m")]
            fields.append(("X-Prefix-Hash", parts))
        if body:
            fields.append(("Content-Length", str(len(body))))
        method = "POST" if body else "GET"
        # Each request has content of its own: hosts refuse content that has
        # crashed runners, and after a few crashes would refuse every request
        # if all had the same content.
        line = f"{method} /{kind}/{request_id} HTTP/1.1"
        sock.settimeout(REQUEST_TIMEOUT_S)
        try:
            sock.sendall(messages.render_head(line, fields) + body)
        except OSError:
            return False
        sent_at = time.monotonic()
        head, data, complete, timed_out = self.read(sock)
        self.observations.append(
            Observation(
                request_id,
                kind,
                key,
                host,
                sent_at,
                time.monotonic(),
                head.status if head else 0,
                messages.field_value(head.fields, "x-server-seal")
                if head
                else "",
                data,
                complete,
                timed_out,
            )
        )
        return complete and head is not None and head.keep_alive

    def read(
        self, sock: gevent_socket.socket
    ) -> tuple[messages.ResponseHead | None, bytes, bool, bool]:
        """Reads one response until its end, a timeout or a closed connection.

        Returns:
            The head if it was received, the body as far as it was received,
            whether the response is complete and whether the wait timed out.
        """
        reader = readers.ResponseReader()
        head: messages.ResponseHead | None = None
        data = b""
        deadline = time.monotonic() + REQUEST_TIMEOUT_S
        while True:
            while reader.parts:
                part = reader.parts.popleft()
                if part is None:
                    return head, data, True, False
                if isinstance(part, messages.ResponseHead):
                    head = part
                else:
                    data += part
            sock.settimeout(max(deadline - time.monotonic(), 0.01))
            try:
                received = sock.recv(65536)
            except TimeoutError:
                return head, data, False, True
            except OSError:
                received = b""
            if not received:
                return head, data, False, False
            reader.feed(received)
