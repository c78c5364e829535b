"""Plays random silences and faults of engines on streams, from a seed."""

from __future__ import annotations

import dataclasses
import math
import random
import time
from typing import NamedTuple

import gevent

from coltsfootarch.http1 import messages
from standins import runner
from tests.platform import documents

# Time in which streams and faults begin, in seconds.
PLAY_S = 2.0
MIN_SILENCE_S = 0.5
MAX_SILENCE_S = 2.5
FAULT_S = (0.3, 1.0)
EVENTS = (4, 8, 12)
EVENT_GAP_S = 0.05
ROUTE_TIMEOUT_S = 8.0
RETRY_MINIMUM = 200.0
# Time after the last stream in which engines notice that callers have left.
SETTLE_S = 0.6
LAG_INTERVAL_S = 0.01


@dataclasses.dataclass
class Execution:
    """One execution of a request; instants are monotonic seconds."""

    request: str
    engine: str
    started_at: float
    ended_at: float = math.inf
    outcome: str = ""


class Limits(NamedTuple):
    """What a configuration, sent at an instant, allows a stream."""

    sent_at: float
    attempts: int
    timeout_s: float


class Engine(runner.Runner):
    """Engine that records when it executes requests, and its faults."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.executions = []
        self.granted = {}
        self.used = set()
        self.sent_here = []
        self.faults = []

    def handle(self, request, connection):
        if not request.target.startswith("/api/"):
            fields = {name.lower(): value for name, value in request.fields}
            self.sent_here.append(fields.get("x-request-id"))
        self.wait_while_silent(connection)
        if connection.open:
            super().handle(request, connection)

    def reserve(self, request, connection):
        super().reserve(request, connection)
        if self.reservations:
            name = f"k{len(self.reservations)}"
            self.granted.setdefault(name, time.monotonic())

    def record_run(self, request, fields):
        super().record_run(request, fields)
        self.used.add(fields.get("x-kv-hold"))
        self.executions.append(
            Execution(fields["x-request-id"], self.id, time.monotonic())
        )

    def record_end(self, request_id, outcome):
        super().record_end(request_id, outcome)
        for execution in self.executions:
            if execution.request == request_id and not execution.outcome:
                execution.ended_at = time.monotonic()
                execution.outcome = outcome

    def generate(self, request_id, fields, connection):
        try:
            super().generate(request_id, fields, connection)
        finally:
            self.record_end(request_id, "ended")

    def note_fault(self, seconds):
        """Records that it has a fault for so many seconds."""
        now = time.monotonic()
        self.faults.append((now, now + seconds))

    def break_connections(self):
        """Closes all connections, which ends what it executes."""
        for execution in self.executions:
            if not execution.outcome:
                execution.outcome = "broken"
                execution.ended_at = time.monotonic()
        self.note_fault(0.0)
        self.server.close_connections()


class Stream:
    """A streamed request, and what its caller has received."""

    def __init__(self, edge_host, request_id, events):
        self.id = request_id
        self.events = events
        self.caller = edge_host.caller()
        self.caller.sock.settimeout(2 * ROUTE_TIMEOUT_S)
        self.status = None
        self.body = b""
        self.complete = False
        self.left_at = None
        self.started_at = self.heard_at = time.monotonic()
        self.ended_at = math.inf
        self.longest_pause = 0.0
        self.caller.send(
            "/write/a",
            "POST",
            f"prompt of {request_id}".encode(),
            request_id=request_id,
            X_Deadline_Ms=str(round(ROUTE_TIMEOUT_S * 1000)),
            X_Token_Count="600,200",
            X_Model="m",
        )
        self.reader = gevent.spawn(self.read)

    def read(self):
        try:
            for part in self.caller.read_parts():
                now = time.monotonic()
                self.longest_pause = max(
                    self.longest_pause, now - self.heard_at
                )
                self.heard_at = now
                if part is None:
                    self.complete = True
                elif isinstance(part, messages.ResponseHead):
                    self.status = part.status
                else:
                    self.body += part
        except OSError:
            pass
        self.ended_at = time.monotonic()
        pause = self.ended_at - self.heard_at
        self.longest_pause = max(self.longest_pause, pause)

    def leave(self):
        """Closes the connection, unless the stream has ended."""
        if self.left_at is None and not self.reader.ready():
            self.left_at = time.monotonic()
            self.reader.kill()
            self.caller.close()

    @property
    def numbers(self):
        """Numbers of the events received."""
        data = [
            line for line in self.body.splitlines() if line.startswith(b"data:")
        ]
        return [int(line.rpartition(b" ")[2]) for line in data]

    def __str__(self):
        return (
            f"{self.id}: status {self.status}, complete {self.complete}, "
            f"events {self.numbers} of {self.events}, "
            f"{self.ended_at - self.started_at:.2f} s, "
            f"longest pause {self.longest_pause:.2f} s"
        )


class Hunt:
    """One play of a seed at an entry host that isn't started yet.

    Attributes:
        breaks: Whether connections of engines break in this play.
        actions: What was done, for the report of a failure.
        lag_s: Longest time for which this process didn't run.
    """

    def __init__(self, edge_host, seed):
        self.generator = random.Random(f"streams {seed}")
        self.edge_host = edge_host
        self.breaks = self.generator.random() < 0.5
        self.reserves = self.generator.random() < 0.7
        self.max_attempts = self.generator.choice((1, 2, 2, 2, 3, 4))
        self.engines = [
            Engine(f"d-{number}", "llm", "decode")
            for number in range(self.generator.choice((1, 2, 2, 3)))
        ]
        self.prefill_engine = Engine("p-1", "llm", "prefill")
        events = self.generator.choice(EVENTS)
        for engine in self.engines:
            engine.events = events
            engine.event_gap_s = EVENT_GAP_S
            engine.slots = self.generator.choice((2, 4, 8))
        self.events = events
        self.streams = []
        self.actions = []
        self.lag_s = 0.0
        self.version = 1
        self.limits = []
        # Times in which connections broke.
        self.break_times = []
        self.started_at = 0.0
        self.greenlets = []

    def document(self, version):
        """Returns a configuration, with changes after the first one."""
        document = documents.configuration(version)
        changes = {
            "max_attempts": self.max_attempts,
            "timeout_ms": round(ROUTE_TIMEOUT_S * 1000),
        }
        if version > 1:
            changes |= self.generator.choice(
                (
                    {},
                    {"timeout_ms": 4000},
                    {"gap_target_ms": 50},
                    {"max_attempts": 1, "resumable": False},
                )
            )
            document["limits"]["idle_timeout_ms"] = self.generator.choice(
                (500, 5000)
            )
        for route in document["routes"]:
            if route["name"] == "write":
                route.update(changes)
        self.limits.append(
            Limits(
                time.monotonic(),
                changes["max_attempts"],
                changes["timeout_ms"] / 1000,
            )
        )
        if not self.reserves:
            del document["services"][0]["engine"]["hold_ms"]
        return document

    def run(self):
        """Plays the seed."""
        self.start()
        generator = self.generator
        for number in range(generator.choice((4, 8, 12))):
            delay_s = generator.uniform(0.0, PLAY_S / 2)
            self.greenlets.append(
                gevent.spawn_later(delay_s, self.send, f"r{number}")
            )
        for _ in range(generator.choice((2, 4, 7))):
            delay_s = generator.uniform(0.1, PLAY_S)
            action = generator.choice(
                (
                    self.silence_one,
                    self.silence_one,
                    self.silence_all,
                    self.silence_and_fill,
                    self.refuse,
                    self.fill,
                    self.leave,
                    self.configure,
                    self.break_connections,
                    self.cut_heads,
                )
            )
            if self.breaks or action not in (
                self.break_connections,
                self.cut_heads,
            ):
                self.greenlets.append(gevent.spawn_later(delay_s, action))
        gevent.joinall(self.greenlets, timeout=PLAY_S + 1.0)
        readers = [stream.reader for stream in self.streams]
        gevent.joinall(readers, timeout=2 * ROUTE_TIMEOUT_S)
        gevent.sleep(SETTLE_S)

    def start(self):
        """Starts the engines and the host."""
        for engine in (self.prefill_engine, *self.engines):
            engine.start()
            self.edge_host.runners[engine.id] = engine
            self.edge_host.register(engine)
        self.edge_host.configure(self.document(1))
        # No stream may end for lack of retries.
        self.edge_host.start(retry_minimum=RETRY_MINIMUM)
        self.started_at = time.monotonic()
        gevent.spawn(self.watch_lag)

    def watch_lag(self):
        """Measures how late this process runs."""
        while True:
            before = time.monotonic()
            gevent.sleep(LAG_INTERVAL_S)
            late_s = time.monotonic() - before - LAG_INTERVAL_S
            self.lag_s = max(self.lag_s, late_s)

    def note(self, action):
        at = time.monotonic() - self.started_at
        self.actions.append(f"{at:.2f} {action}")

    def send(self, request_id):
        self.streams.append(Stream(self.edge_host, request_id, self.events))

    def silence(self, engines):
        seconds = self.generator.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
        within_event = self.generator.random() < 0.5
        for engine in engines:
            engine.silent_within_event = within_event
            engine.note_fault(seconds)
            engine.fall_silent(seconds)
        names = [engine.id for engine in engines]
        self.note(f"silence of {names} for {seconds:.2f} s")

    def silence_one(self):
        self.silence(
            [self.generator.choice((self.prefill_engine, *self.engines))]
        )

    def silence_all(self):
        self.silence(self.engines)

    def silence_and_fill(self):
        """Silences an engine while another one refuses requests."""
        silent, *others = self.generator.sample(self.engines, len(self.engines))
        self.silence([silent])
        for engine in others:
            self.simulate("slots", 0, 8, engine)

    def simulate(self, attribute, value, usual, engine=None):
        """Changes an attribute of an engine for a while."""
        engine = engine or self.generator.choice(self.engines)
        seconds = self.generator.uniform(*FAULT_S)
        engine.note_fault(seconds)
        setattr(engine, attribute, value)
        gevent.spawn_later(seconds, setattr, engine, attribute, usual)
        self.note(f"{engine.id} {attribute} {value} for {seconds:.2f} s")

    def refuse(self):
        self.simulate("fault", "full", "")

    def fill(self):
        """Lets an engine refuse requests, but no reservations."""
        self.simulate("slots", 0, 8)

    def cut_heads(self):
        now = time.monotonic()
        self.break_times.append((now, now + max(FAULT_S)))
        self.simulate("fault", "cut head", "")

    def break_connections(self):
        engine = self.generator.choice(self.engines)
        self.note(f"{engine.id} closes all connections")
        now = time.monotonic()
        self.break_times.append((now, now))
        engine.break_connections()

    def leave(self):
        if self.streams:
            stream = self.generator.choice(self.streams)
            self.note(f"{stream.id} left by its caller")
            stream.leave()

    def configure(self):
        self.version += 1
        self.note(f"configuration {self.version}")
        self.edge_host.configure(self.document(self.version))

    def settings(self):
        """Returns the seed's choices and the lag, for the report."""
        return (
            f"reserves {self.reserves}, attempts {self.max_attempts}, "
            f"lag {self.lag_s:.2f} s"
        )
