"""Load of the soak: callers that note everything they see."""

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

EVENTS = 4  # Events of a whole stream of the stand-in runners.
KINDS = ("read", "book", "write", "once")
PATIENCE_S = 6.0


class Seen(NamedTuple):
    """What a caller saw of one request.

    Attributes:
        id: Request id.
        kind: "read", "book", "write" (resumable) or "once".
        key: API key that was sent.
        host: Name of the host.
        sent_at: Instant of its last byte, in seconds.
        ended_at: Instant of the end, in seconds.
        status: Status code, 0 without an answer.
        seal: Signature of the runner.
        body: Body as far as it came.
        complete: Whether the answer ended as complete.
        timed_out: Whether the caller gave up.
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
    """Callers with kept connections; each sends one request after the other."""

    def __init__(
        self, hosts: list[processes.Host], seed: int, count: int
    ) -> None:
        self.hosts = hosts
        self.generator = random.Random(seed)
        self.numbers = itertools.count()
        self.seen: list[Seen] = []
        self.keys = ["key-a", "key-b"]
        self.stopping = False
        self.greenlets = [gevent.spawn(self.run) for _ in range(count)]

    def stop(self) -> None:
        """Lets all callers finish their request."""
        self.stopping = True
        gevent.joinall(self.greenlets, timeout=2 * PATIENCE_S)

    def run(self) -> None:
        while not self.stopping:
            host = self.generator.choice(self.hosts)
            sock = gevent_socket.socket()
            sock.settimeout(1.0)
            try:
                sock.connect(client.split_address(host.listen))
            except OSError:
                gevent.sleep(0.05)
                continue
            # A kept connection is used until its host closes it.
            while not self.stopping and self.ask(sock, host.name):
                gevent.sleep(self.generator.uniform(0.0, 0.05))
            sock.close()

    def ask(self, sock: gevent_socket.socket, host: str) -> bool:
        """Sends one request; returns whether the connection goes on."""
        kind = self.generator.choice(KINDS)
        request_id = f"r{next(self.numbers)}"
        key = self.generator.choice(self.keys)
        body = b"" if kind == "read" else b"body"
        fields = [
            ("Host", "api.example"),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", str(int(PATIENCE_S * 1000))),
            ("Authorization", f"Bearer {key}"),
        ]
        if kind in ("write", "once"):
            fields += [("X-Token-Count", "100,50"), ("X-Model", "m")]
        if body:
            fields.append(("Content-Length", str(len(body))))
        method = "POST" if body else "GET"
        # Each content is its own, or a few crashes would refuse all.
        line = f"{method} /{kind}/{request_id} HTTP/1.1"
        sock.settimeout(PATIENCE_S)
        try:
            sock.sendall(messages.render_head(line, fields) + body)
        except OSError:
            return False
        sent_at = time.monotonic()
        head, data, complete, timed_out = self.read(sock)
        self.seen.append(
            Seen(
                request_id,
                kind,
                key,
                host,
                sent_at,
                time.monotonic(),
                head.status if head else 0,
                messages.find(head.fields, "x-server-seal") if head else "",
                data,
                complete,
                timed_out,
            )
        )
        return complete and head is not None and head.keep_alive

    def read(
        self, sock: gevent_socket.socket
    ) -> tuple[messages.ResponseHead | None, bytes, bool, bool]:
        """Reads one answer as far as it comes."""
        reader = readers.ResponseReader()
        head: messages.ResponseHead | None = None
        data = b""
        deadline = time.monotonic() + PATIENCE_S
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
