"""Stand-in for a runner on the users' platform: plain service or model engine.

    python -m standins.runner --listen 127.0.0.1:7100 --store 127.0.0.1:7000 \
        --id i-1 --service app

It records the requests that it executes and can simulate faults. A test sets
the attributes for this; another process sends them as a JSON object to
`POST /standin/set` and reads the records from `GET /standin/runs`.
"""

from __future__ import annotations

import time
from typing import Any

import click
import gevent
import msgspec

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from standins import http

HEARTBEAT_INTERVAL_S = 1.2
ENDLESS_PIECE_BYTES = 16384


class Runner:
    """Executes requests and records them.

    Args:
        runner_id: Id of the runner.
        service: Service that it belongs to.
        stage: "prefill" or "decode"; None for a plain service.
        address: "ip:port" to listen on.
        zone: Availability zone that it registers.

    Attributes:
        state: State that it registers.
        slots: Requests that it executes at the same time.
        running: Requests in execution.
        runs: A record of each executed request.
        refused: Number of refused requests.
        ended_executions: Request id and "answered", "closed" or "crashed" for
            each execution that has ended.
        handles: Request id by handle of a prefill result.
        freed: Handles that a client has freed.
        reservations: Bodies of the calls that reserved memory.
        dropped: Names of reservations that a client has dropped.
        orders: Orders received.
        fault: "" for none; "mute" sends no response, "full" refuses requests
            and reservations, "reset" resets the connection, "cut" ends a body
            early, "cut head" sends `partial_head` and ends, "extra" sends a
            response of another request first,
            "garbage" sends no valid HTTP, "endless head", "endless body" and
            "endless extra" send bytes until the client closes, the last one in
            a response to another request, "hang" sends no stream, "crash"
            and "stall" reset or stop a stream at its third event.
        crashing_part: Id of a prompt part on which the runner crashes as soon
            as it begins to stream; empty for none.
        crashing_target: Target of calls on which the runner crashes; empty for
            none.
        repeated_bytes: Number of bytes of the last response on a connection
            that it sends once more before the next one.
        stray_refusals: Whether a refusal that belongs to no request precedes
            each further response on a connection.
        partial_head: Start of a response's head, for the fault "cut head".
        retry_after: Value of `Retry-After` in refusals; empty for none.
        limit: Value of `Server-Limit` in its answers; empty for none.
        arrivals: Requests, prefills and reservations that it got.
        leaving: Whether it states in its answers that it leaves.
        down_s: Seconds for which a crashed runner is down.
        crashes: Number of its crashes.
        work_s: Seconds for a call or a prefill.
        events: Events of a stream.
        event_gap_s: Seconds before each event of a stream.
        status: Status of a plain service's responses.
        advertised: Address to register if a proxy forwards to the runner;
            empty to register its own.
        silent_until: Monotonic instant until which it sends nothing, in
            seconds; then it goes on.
        silent_within_event: Whether it falls silent within an event.
        journal: Path of a file to which each execution adds a line, which
            outlives the process; empty for none.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        stage: str | None = None,
        address: str = "127.0.0.1:0",
        zone: str = "north",
    ) -> None:
        self.server = http.Server(self, address)
        self.id = runner_id
        self.service = service
        self.stage = stage
        self.zone = zone
        self.state = "ready"
        self.version = "v1"
        self.names_version = False
        self.slots = 8
        self.running = 0
        self.runs: list[dict[str, Any]] = []
        self.refused = 0
        self.ended_executions: list[tuple[str, str]] = []
        self.handles: dict[str, str] = {}
        self.freed: list[str] = []
        self.held: set[str] = set()
        self.reservations: list[dict[str, Any]] = []
        self.dropped: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self.fault = ""
        self.crashing_part = ""
        self.crashing_target = ""
        self.partial_head = b""
        self.repeated_bytes = 0
        self.stray_refusals = False
        self.retry_after = ""
        self.leaving = False
        self.limit = ""
        self.arrivals = 0
        self.down_s = 0.2
        self.crashes = 0
        self.work_s = 0.0
        self.events = 4
        self.event_gap_s = 0.0
        self.status = 200
        self.advertised = ""
        self.silent_until = 0.0
        self.silent_within_event = False
        self.journal = ""

    @property
    def address(self) -> str:
        return self.server.address

    def start(self) -> None:
        self.server.start()

    def close(self) -> None:
        self.server.close()

    def registration(self) -> dict[str, Any]:
        """Returns the document that the runner registers in the store."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.advertised or self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": len(self.orders),
        }
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    def handle(
        self, request: messages.Request, connection: http.Connection
    ) -> None:
        """Handles a request of the router or of the test's control path."""
        fields = {name.lower(): value for name, value in request.fields}
        if request.target == "/standin/set":
            for name, value in msgspec.json.decode(request.body).items():
                setattr(self, name, value)
            connection.respond(200)
        elif request.target == "/standin/runs":
            connection.respond(200, (), msgspec.json.encode(self.runs))
        else:
            self.wait_while_silent(connection)
            self.handle_router(request, fields, connection)

    def handle_router(
        self,
        request: messages.Request,
        fields: dict[str, str],
        connection: http.Connection,
    ) -> None:
        """Handles a request of the router."""
        if request.target.startswith("/api/kv-handle/"):
            self.freed.append(request.target.rpartition("/")[2])
            connection.respond(200)
        elif request.target == "/api/hold-take":
            self.reserve(request, connection)
        elif request.target.startswith("/api/hold-drop/"):
            self.dropped.append(request.target.rpartition("/")[2])
            connection.respond(200)
        elif request.target == "/api/kv-list":
            entries = [["", part, 100, "m"] for part in sorted(self.held)]
            body = {"epoch": 1, "next": 1, "held": entries}
            connection.respond(200, (), msgspec.json.encode(body))
        elif request.target == "/api/order":
            self.orders.append(msgspec.json.decode(request.body))
            self.stage = self.orders[-1]["stage"]
            connection.respond(202)
        else:
            self.repeat_response(connection)
            if self.stray_refusals and connection.last_response:
                connection.respond(503, self.refusal_fields())
            self.serve(request, fields, connection)

    def fall_silent(self, seconds: float) -> None:
        """Sends nothing for so many seconds, and then goes on."""
        self.silent_until = time.monotonic() + seconds

    def wait_while_silent(self, connection: http.Connection) -> None:
        """Waits for the end of a silence or of the connection."""
        while connection.open and time.monotonic() < self.silent_until:
            gevent.sleep(0.01)

    def reserve(
        self, request: messages.Request, connection: http.Connection
    ) -> None:
        """Reserves memory, unless it is full."""
        self.arrivals += 1
        self.repeat_response(connection)
        if self.fault == "full":
            connection.respond(503, self.refusal_fields())
            return
        self.reservations.append(msgspec.json.decode(request.body))
        hold = msgspec.json.encode({"hold": f"k{len(self.reservations)}"})
        connection.respond(200, (), hold)

    def repeat_response(self, connection: http.Connection) -> None:
        """Sends `repeated_bytes` of the connection's last response again."""
        if self.repeated_bytes and connection.last_response:
            connection.send(connection.last_response[: self.repeated_bytes])

    def serve(
        self,
        request: messages.Request,
        fields: dict[str, str],
        connection: http.Connection,
    ) -> None:
        """Executes a request, or refuses one that it cannot take.

        Args:
            request: The request.
            fields: Its header fields, with names in lower case.
            connection: Connection for the response.
        """
        self.arrivals += 1
        request_id = fields.get("x-request-id", "")
        expected = fields.get("x-expect-instance")
        if expected is not None and expected != self.id:
            connection.respond(421, (("X-Instance-Id", self.id),))
            return
        if self.fault == "mute":
            return
        if self.fault == "full" or self.running >= self.slots:
            self.refused += 1
            connection.respond(503, self.refusal_fields())
            return
        prefill = fields.get("x-stage") == "prefill"
        if prefill != (self.stage == "prefill"):
            connection.respond(421, (("X-Instance-Id", self.id),))
            return
        if prefill:
            self.prefill(request_id, connection)
            return
        self.record_run(request, fields)
        self.running += 1
        connection.on_close = lambda: self.record_end(request_id, "closed")
        try:
            if request.target == self.crashing_target:
                self.crash(request_id)
            elif self.stage == "decode":
                self.generate(request_id, fields, connection)
            else:
                self.call(request_id, connection)
        finally:
            self.running -= 1
            connection.on_close = None

    def refusal_fields(self) -> tuple[tuple[str, str], ...]:
        """Returns the header fields of a refusal."""
        fields: tuple[tuple[str, str], ...] = (("X-Not-Executed", "1"),)
        if self.retry_after:
            fields += (("Retry-After", self.retry_after),)
        return fields + self.state_fields()

    def record_run(
        self, request: messages.Request, fields: dict[str, str]
    ) -> None:
        """Adds an execution to `runs` and to the journal file."""
        self.runs.append(
            {
                "id": fields.get("x-request-id", ""),
                "target": request.target,
                "method": request.method,
                "body": request.body.decode("latin-1"),
                "fields": fields,
                "at": time.monotonic(),
            }
        )

        if self.journal:
            line = msgspec.json.encode(
                [fields.get("x-request-id", ""), self.id, time.monotonic()]
            )
            with open(self.journal, "ab") as file:
                file.write(line + b"\n")

    def record_end(self, request_id: str, outcome: str) -> None:
        self.ended_executions.append((request_id, outcome))

    def prefill(self, request_id: str, connection: http.Connection) -> None:
        """Executes a prefill and responds with a new handle."""
        gevent.sleep(self.work_s)
        handle = f"h{len(self.handles)}{self.id}"
        self.handles[handle] = request_id
        body = {"handle": handle, "tokens": 10, "version": 1}
        connection.respond(
            200,
            (
                ("X-Request-Id", request_id),
                ("Content-Type", "application/json"),
                *self.state_fields(),
            ),
            msgspec.json.encode(body),
        )

    def response_fields(self, request_id: str) -> tuple[tuple[str, str], ...]:
        """Returns the header fields common to all responses."""
        return (
            ("X-Request-Id", request_id),
            ("X-Server-Seal", f"seal-{self.id}-{request_id}"),
            ("X-Server-Load", f"{self.running},0,{self.slots}"),
            *self.state_fields(),
        )

    def state_fields(self) -> tuple[tuple[str, str], ...]:
        """Returns the header fields about the runner itself."""
        fields: tuple[tuple[str, str], ...] = ()
        if self.leaving:
            fields += (("Server-Leaving", "1"),)
        if self.limit:
            fields += (("Server-Limit", self.limit),)
        return fields

    def call(self, request_id: str, connection: http.Connection) -> None:
        """Executes a call of a plain service, with the fault set."""
        gevent.sleep(self.work_s)
        body = f"answer of {self.id} to {request_id}".encode()
        fields = self.response_fields(request_id)
        if self.fault == "reset":
            connection.reset()
        elif self.fault == "cut":
            length = ("Content-Length", str(len(body) + 10))
            head = messages.status_line(200)
            connection.send(messages.render_head(head, [*fields, length]))
            connection.send(body)
            connection.close()
        elif self.fault == "cut head":
            connection.send(self.partial_head)
            connection.close()
        elif self.fault == "extra":
            connection.respond(200, self.response_fields("stray"), b"stray")
            connection.respond(self.status, fields, body)
        elif self.fault.startswith("endless"):
            self.send_endlessly(request_id, connection)
        elif self.fault == "garbage":
            connection.send(b"\x00\x01 this is no HTTP\r\n\r\n")
        else:
            connection.respond(self.status, fields, body)
        self.record_end(request_id, "answered")

    def send_endlessly(
        self, request_id: str, connection: http.Connection
    ) -> None:
        """Sends bytes that are no answer until the client closes."""
        if self.fault == "endless extra":
            request_id = "stray"
        head = messages.render_head(
            messages.status_line(200), self.response_fields(request_id)
        )
        if self.fault == "endless head":
            head = head.removesuffix(b"\r\n") + b"X: "
        connection.send(head)
        while connection.open:
            connection.send(b"a" * ENDLESS_PIECE_BYTES)
            gevent.sleep(0.001)

    def generate(
        self,
        request_id: str,
        fields: dict[str, str],
        connection: http.Connection,
    ) -> None:
        """Streams the events after the `Last-Event-Id`, with the fault set."""
        start = int(fields.get("last-event-id") or 0) + 1
        self.held.update(
            entry.partition(":")[0]
            for entry in fields.get("x-prefix-hash", "").split(",")
            if entry
        )
        if self.fault == "hang":
            while connection.open:
                gevent.sleep(0.01)
            return
        if self.fault.startswith("endless"):
            self.send_endlessly(request_id, connection)
            return
        if self.fault == "cut head":
            connection.send(self.partial_head)
            connection.close()
            return
        if self.crashing_part and self.crashing_part in {
            entry.partition(":")[0]
            for entry in fields.get("x-prefix-hash", "").split(",")
        }:
            self.crash(request_id)
            return
        head = [
            *self.response_fields(request_id),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        connection.send(messages.render_head(messages.status_line(200), head))
        for number in range(start, self.events + 1):
            gevent.sleep(self.event_gap_s)
            data = f"id: {number}\ndata: token {number}\n\n".encode()
            if self.names_version:
                data = f": version {self.version}\n".encode() + data
            if self.silent_within_event and time.monotonic() < (
                self.silent_until
            ):
                connection.chunk(data[:8])
                data = data[8:]
            self.wait_while_silent(connection)
            if not connection.open:
                return
            if self.fault == "crash" and number == 3:
                connection.chunk(data[:8])
                connection.reset()
                self.record_end(request_id, "crashed")
                return
            if self.fault == "stall" and number == 3:
                while connection.open:
                    gevent.sleep(0.01)
                return
            connection.chunk(data)
        connection.send(b"0\r\n\r\n")
        self.record_end(request_id, "answered")

    def crash(self, request_id: str) -> None:
        """Resets all connections and is down for `down_s`."""
        self.crashes += 1
        self.record_end(request_id, "crashed")
        gevent.spawn(self.server.restart, self.down_s)


def register_forever(runner: Runner, store: str) -> None:
    """Writes the runner's registration every `HEARTBEAT_INTERVAL_S` seconds."""
    clock = clocks.SystemClock()
    while True:
        body = msgspec.json.encode(
            {
                "table": "servers",
                "key": runner.id,
                "value": msgspec.json.encode(runner.registration()).decode(),
            }
        )
        head = messages.render_head(
            "POST /standin/put HTTP/1.1",
            [("Host", store), ("Content-Length", str(len(body)))],
        )
        connection = client.Connection(store, clock)
        try:
            connection.start(1.0)
            connection.send(head, body, 1.0)
            connection.read_part(1.0)
        except (
            client.ConnectError,
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
        ):
            pass
        finally:
            connection.close()
        gevent.sleep(HEARTBEAT_INTERVAL_S)


@click.command()
@click.option("--listen", required=True)
@click.option("--store", required=True)
@click.option("--id", "runner_id", required=True)
@click.option("--service", required=True)
@click.option("--stage", type=click.Choice(["prefill", "decode"]))
@click.option("--zone", default="north")
@click.option("--advertise", default="", help="Address to register.")
@click.option("--journal", default="", help="File that lists all runs.")
@click.option("--version", default="v1", help="Version of its software.")
@click.option("--work", default=0.01, help="Seconds for a call or a prompt.")
def main(
    listen: str,
    store: str,
    runner_id: str,
    service: str,
    stage: str | None,
    zone: str,
    advertise: str,
    journal: str,
    version: str,
    work: float,
) -> None:
    """Run a runner until it is killed."""
    runner = Runner(runner_id, service, stage, listen, zone)
    runner.advertised = advertise
    runner.journal = journal
    runner.version = version
    # The first version's events name none.
    runner.names_version = version != "v1"
    runner.work_s = work
    runner.event_gap_s = work
    runner.start()
    gevent.spawn(register_forever, runner, store)
    gevent.wait()


if __name__ == "__main__":
    main()
