"""Load of the soak test: callers that record every response."""

from __future__ import annotations

import itertools
import random
import sys
import time
from typing import TYPE_CHECKING
from typing import NamedTuple

import gevent
from gevent import socket as gevent_socket

from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from coltsfootarch.http1 import readers
from soak import take_ups

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
# Tries to take up a stream, and the pause between them, in seconds.
TAKE_UP_TRIES = 3
TAKE_UP_PAUSE_S = 0.5


class Habits(NamedTuple):
    """How callers behave.

    Attributes:
        timeout_s: Longest time until a response is complete.
        min_timeout_s: Shortest such time of a caller.
        patience_s: Longest silence in a stream.
        events: Events of a complete stream.
        pause_s: Longest time for which some connections are idle.
    """

    timeout_s: float = REQUEST_TIMEOUT_S
    min_timeout_s: float = REQUEST_TIMEOUT_S
    patience_s: float = REQUEST_TIMEOUT_S
    events: int = EVENTS_PER_STREAM
    pause_s: float = 0.0


DEFAULT_HABITS = Habits()
# One of this many requests is followed by a pause, if there are any.
PAUSE_INTERVAL = 8


class Response(NamedTuple):
    """Response as far as it was received.

    Attributes:
        head: Its head, if that was received.
        body: Its body.
        complete: Whether it was received to its end.
        timed_out: Whether the caller stopped waiting.
        silent_s: Seconds since its last bytes, when it ended.
    """

    head: messages.ResponseHead | None
    body: bytes
    complete: bool
    timed_out: bool
    silent_s: float


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
        events: Events of a complete stream.
        silent_s: Seconds since the last bytes of the response, when it ended.
        timeout_s: Longest time that the caller waits, in seconds.
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
    events: int = EVENTS_PER_STREAM
    silent_s: float = 0.0
    timeout_s: float = REQUEST_TIMEOUT_S


class Callers:
    """Callers that send random requests over persistent connections.

    Each caller sends one request after the other.

    Args:
        hosts: Entry hosts.
        seed: Seed of the random choices.
        count: Number of callers.
        crashing: Whether some requests have a part that crashes engines.
        habits: How the callers behave.

    Attributes:
        observations: Records of all requests that have ended.
        take_ups: Streams that were taken up after their connection broke.
        keys: API keys that the callers use.
    """

    def __init__(
        self,
        hosts: list[processes.Host],
        seed: int,
        count: int,
        crashing: bool = False,
        habits: Habits = DEFAULT_HABITS,
    ) -> None:
        self.hosts = hosts
        self.crashing = crashing
        self.habits = habits
        self.generator = random.Random(seed)
        self.numbers = itertools.count()
        self.observations: list[Observation] = []
        self.take_ups: list[take_ups.TakeUp] = []
        self.keys = ["key-a", "key-b"]
        self.stopping = False
        self.greenlets = [gevent.spawn(self.run) for _ in range(count)]

    def stop(self) -> None:
        """Stops all callers after their current request and waits for it."""
        self.stopping = True
        gevent.joinall(self.greenlets, timeout=2 * self.habits.timeout_s)

    def burst(self, count: int) -> None:
        """Starts callers that use one connection for two requests at most."""
        self.greenlets += [gevent.spawn(self.connect, 2) for _ in range(count)]

    def run(self) -> None:
        """Runs one caller until `stop`."""
        while not self.stopping:
            self.connect()

    def connect(self, requests: int = sys.maxsize) -> None:
        """Sends requests over a connection until its host closes it.

        Args:
            requests: Number of requests after which the caller closes it.
        """
        host = self.generator.choice(self.hosts)
        sock = gevent_socket.socket()
        sock.settimeout(1.0)
        try:
            sock.connect(client.split_address(host.listen))
        except OSError:
            gevent.sleep(0.05)
            return
        for _ in range(requests):
            if self.stopping or not self.send_request(sock, host.name):
                break
            gevent.sleep(self.generator.uniform(0.0, 0.05))
            if self.habits.pause_s and not self.generator.randrange(
                PAUSE_INTERVAL
            ):
                gevent.sleep(self.generator.uniform(0.0, self.habits.pause_s))
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
        timeout_s = self.choose_timeout()
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
            ("X-Deadline-Ms", str(int(timeout_s * 1000))),
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
        sock.settimeout(timeout_s)
        try:
            sock.sendall(messages.render_head(line, fields) + body)
        except OSError:
            return False
        sent_at = time.monotonic()
        streaming = kind in ("write", "once")
        patience_s = self.habits.patience_s if streaming else timeout_s
        response = self.read(sock, timeout_s, patience_s)
        head = response.head
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
                response.body,
                response.complete,
                response.timed_out,
                self.habits.events,
                response.silent_s,
                timeout_s,
            )
        )
        if (
            kind == "write"
            and not response.complete
            and not response.timed_out
            and take_ups.numbers(response.body)
        ):
            self.take_up(line, fields, body, response.body)
        return response.complete and head is not None and head.keep_alive

    def take_up(
        self,
        line: str,
        fields: list[tuple[str, str]],
        body: bytes,
        received: bytes,
    ) -> None:
        """Goes on with a broken stream at any host, with a few tries.

        Args:
            line: Request line of the attempt that began it.
            fields: Its header fields.
            body: Its body.
            received: What that attempt brought.
        """
        request_id = dict(fields)["X-Request-Id"]
        last = take_ups.numbers(received)[-1]
        for number in range(TAKE_UP_TRIES):
            own = {
                "X-Request-Id": f"{request_id}-{number}",
                "Resumes": request_id,
                "Last-Event-Id": str(last),
            }
            sock = gevent_socket.socket()
            sock.settimeout(1.0)
            host = self.generator.choice(self.hosts)
            head = messages.render_head(
                line, [*{**dict(fields), **own}.items()]
            )
            try:
                sock.connect(client.split_address(host.listen))
                sock.sendall(head + body)
            except OSError:
                gevent.sleep(TAKE_UP_PAUSE_S)
                continue
            timeout_s = self.habits.timeout_s
            response = self.read(sock, timeout_s, timeout_s)
            sock.close()
            status = response.head.status if response.head else 0
            if status == 200:
                self.take_ups.append(
                    take_ups.TakeUp(request_id, received, status, response.body)
                )
                return
            gevent.sleep(TAKE_UP_PAUSE_S)

    def choose_timeout(self) -> float:
        """Returns how long the caller of the next request waits, in seconds."""
        habits = self.habits
        if habits.min_timeout_s == habits.timeout_s:
            return habits.timeout_s
        return self.generator.uniform(habits.min_timeout_s, habits.timeout_s)

    def read(
        self, sock: gevent_socket.socket, timeout_s: float, patience_s: float
    ) -> Response:
        """Reads one response until its end, a timeout or a closed connection.

        Args:
            sock: Connection to read from.
            timeout_s: Longest time until the end, in seconds.
            patience_s: Longest silence, in seconds.
        """
        reader = readers.ResponseReader()
        head: messages.ResponseHead | None = None
        data = b""
        complete = timed_out = False
        received_at = time.monotonic()
        deadline = received_at + timeout_s
        while True:
            while reader.parts:
                part = reader.parts.popleft()
                if part is None:
                    complete = True
                elif isinstance(part, messages.ResponseHead):
                    head = part
                else:
                    data += part
            if complete:
                break
            left_s = min(deadline - time.monotonic(), patience_s)
            sock.settimeout(max(left_s, 0.01))
            try:
                received = sock.recv(65536)
            except TimeoutError:
                timed_out = True
                break
            except OSError:
                received = b""
            if not received:
                break
            received_at = time.monotonic()
            reader.feed(received)
        silent_s = time.monotonic() - received_at
        return Response(head, data, complete, timed_out, silent_s)
