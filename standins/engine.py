"""Stand-in for a model engine; see `docs/upstream-protocol.md`."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING
from typing import Any

import bottle
import gevent

from standins import command
from standins import engine_decode
from standins import engine_events
from standins import engine_load
from standins import engine_memory
from standins import engine_prefill
from standins import engine_streams
from standins import engine_text
from standins import server

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

CRASH_MARKER = "[[crash]]"
EVENT_STREAM = "text/event-stream"
expected_text = engine_text.expected_text


class EngineStandin(server.Standin):
    """Simulates a prefill or decode engine.

    Faults of `POST /-/faults`:

    - `stall_after`: the next `stall_streams` (default 1) token streams deliver
      this many tokens and then nothing;
    - `silence`: connections that are open now deliver no more data;
    - `crash`: drops all connections and loses all state;
    - `slow_factor`: multiplies all durations;
    - `stall_transfers`: imports of KV caches make no progress;
    - `lose_cache_events`: number of upcoming cache events that are lost;
    - `foreign_answers`: number of upcoming streams that name another request;
    - `foreign_attempts`: number of upcoming streams that name another attempt;
    - `checks_fencing`: whether outdated fencing numbers are refused.

    Args:
        role: "prefill" or "decode".
        address: "ip:port" to listen on.
        profile: Size and speed.
        time_scale: Factor on the durations of prefill, transfer and tokens.
        checks_fencing: Whether orders with outdated fencing numbers are
            refused.
        chunk_digests: Returns the chunk digests of a prompt.
        first_sequence: Sequence number before that of the first cache event.
        on_crash: Called after a crash has cleared the state.

    Attributes:
        crashes: Number of crashes.
        orders: Orders that were executed, as received.
    """

    def __init__(
        self,
        role: str,
        address: str = server.LISTEN_ADDRESS,
        profile: engine_memory.EngineProfile | None = None,
        time_scale: float = 1.0,
        checks_fencing: bool = True,
        chunk_digests: Callable[[str], list[int]] = engine_text.chunk_digests,
        first_sequence: int = 0,
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        super().__init__(address)
        self.role = role
        self.profile = profile or engine_memory.EngineProfile()
        self.time_scale = time_scale
        self.checks_fencing = checks_fencing
        self.on_crash = on_crash
        self.memory = engine_memory.Memory(self.profile)
        self.cache = engine_memory.PrefixCache(
            self.profile, chunk_digests, first_sequence
        )
        self.prefills = engine_prefill.PrefillQueue(
            self.profile, self.memory, self.cache, self.scale
        )
        self.batch = engine_decode.DecodeBatch(
            self.profile, self.memory, self.scale
        )
        self.crashes = 0
        self.orders: list[dict[str, Any]] = []
        self.highest_fencing = 0
        self.slow_factor = 1.0
        self.streams = engine_streams.EngineStreams(
            self, self.profile, self.batch
        )
        self.load = engine_load.LoadReporter(
            self.profile, self.memory, self.prefills, self.batch
        )
        self.greenlets: list[gevent.Greenlet] = []
        self.add_routes()

    def start(self) -> None:
        """Starts listening and starts the engine's background greenlets."""
        super().start()
        self.greenlets = [
            gevent.spawn(self.prefills.run),
            gevent.spawn(self.batch.run),
            gevent.spawn(self.load.run),
        ]

    def close(self) -> None:
        """Stops the greenlets, stops listening and drops all connections."""
        gevent.killall(self.greenlets)
        super().close()

    def scale(self) -> float:
        """Returns the factor by which durations are multiplied."""
        return self.time_scale * self.slow_factor

    def crash(self) -> None:
        """Drops all connections and clears all state."""
        self.crashes += 1
        self.drop_connections()
        self.prefills.clear()
        self.batch.clear()
        self.cache.clear()
        self.highest_fencing = 0
        if self.on_crash is not None:
            self.on_crash()

    def apply_faults(self, faults: dict[str, Any]) -> None:
        """Sets the faults that the class docstring lists."""
        super().apply_faults(faults)
        self.streams.apply_faults(faults)
        self.slow_factor = faults.get("slow_factor", self.slow_factor)
        self.batch.stall_transfers = faults.get(
            "stall_transfers", self.batch.stall_transfers
        )
        self.cache.lose_events = faults.get(
            "lose_cache_events", self.cache.lose_events
        )
        self.checks_fencing = faults.get("checks_fencing", self.checks_fencing)
        if faults.get("crash"):
            self.crash()

    def add_routes(self) -> None:
        """Registers the routes of `docs/upstream-protocol.md`."""
        route = self.app.route
        route("/v1/prefill", "POST", self.post_prefill)
        route("/v1/decode", "POST", self.post_decode)
        route("/v1/exports/<handle>", "GET", self.get_export)
        route("/v1/exports/<handle>", "DELETE", self.delete_export)
        route("/v1/cancel", "POST", self.post_cancel)
        route("/v1/requests", "GET", self.get_requests)
        route("/v1/load", "GET", self.get_load)
        route("/v1/cache-events", "GET", self.get_cache_events)
        route("/v1/orders", "POST", self.post_order)

    def post_prefill(self) -> Iterator[bytes]:
        """Handles `POST /v1/prefill`."""
        submission = self.read_submission("prefill")
        existing = self.prefills.jobs.get(submission.request_id)
        self.supersede(existing, submission)
        job = self.prefills.submit(submission)
        if job is None:
            raise engine_events.error_response(503, "out-of-memory")
        bottle.response.content_type = EVENT_STREAM
        identity = self.streams.identity_of(submission)
        return self.streams.prefill_events(
            job, identity, server.current_connection()
        )

    def post_decode(self) -> Iterator[bytes]:
        """Handles `POST /v1/decode`."""
        self.batch.discard_read()
        body = server.json_body()
        if body["mode"] == "resume":
            generation = self.resume_generation(body)
            offset = body["offset"]
        else:
            generation = self.start_generation(body)
            offset = generation.submission.first_offset
        bottle.response.content_type = EVENT_STREAM
        identity = self.streams.identity_of(generation.submission)
        connection = server.current_connection()
        return self.streams.token_events(
            generation, offset, identity, connection
        )

    def start_generation(
        self, body: dict[str, Any]
    ) -> engine_decode.Generation:
        """Starts a new generation and returns it.

        Raises:
            bottle.HTTPResponse: The request is invalid or does not fit in
                memory.
        """
        submission = self.read_submission("decode")
        existing = self.batch.generations.get(submission.request_id)
        self.supersede(existing, submission)
        generation = self.batch.submit(submission, body["source"])
        if generation is None:
            raise engine_events.error_response(503, "out-of-memory")
        return generation

    def resume_generation(
        self, body: dict[str, Any]
    ) -> engine_decode.Generation:
        """Returns the stored generation whose output has the offset.

        Raises:
            bottle.HTTPResponse: The request is unknown or the offset is
                outside its output.
        """
        generation = self.batch.generations.get(body["request_id"])
        if generation is None:
            raise engine_events.error_response(404, "unknown-request")
        first = generation.submission.first_offset
        if not first <= body["offset"] < generation.end_offset:
            raise engine_events.error_response(416, "offset-out-of-range")
        return generation

    def read_submission(self, role: str) -> engine_memory.Submission:
        """Returns the submitted request if this engine can run it.

        Raises:
            bottle.HTTPResponse: The request is invalid, is for the other role
                or contains the mark that crashes the engine.
        """
        submission = engine_events.read_submission(server.json_body())
        if CRASH_MARKER in submission.prompt:
            self.crash()
            raise engine_events.error_response(500, "crashed")
        if self.role != role:
            raise engine_events.error_response(409, "wrong-role")
        return submission

    def supersede(
        self,
        existing: engine_memory.Job | None,
        submission: engine_memory.Submission,
    ) -> None:
        """Ends an older attempt of a request.

        Raises:
            bottle.HTTPResponse: The submitted attempt is not newer.
        """
        if existing is None:
            return
        if existing.submission.attempt >= submission.attempt:
            raise engine_events.error_response(409, "duplicate-attempt")
        self.end_request(submission.request_id, engine_memory.SUPERSEDED)

    def end_request(
        self, request_id: str, end_reason: engine_memory.EndReason
    ) -> None:
        """Ends a request, whether it is in prefill or in decode."""
        self.prefills.cancel(request_id, end_reason)
        self.batch.cancel(request_id, end_reason)

    def get_export(self, handle: str) -> dict[str, Any]:
        """Handles `GET /v1/exports/HANDLE`."""
        job = self.prefills.export(handle)
        if job is None:
            raise engine_events.error_response(410, "export-expired")
        return {"prompt_tokens": job.prompt_tokens}

    def delete_export(self, handle: str) -> dict[str, Any]:
        """Handles `DELETE /v1/exports/HANDLE`."""
        if not self.prefills.finish(handle):
            raise engine_events.error_response(410, "export-expired")
        return {}

    def post_cancel(self) -> dict[str, Any]:
        """Handles `POST /v1/cancel`."""
        self.wait_if_silent()
        request_id = server.json_body()["request_id"]
        self.end_request(request_id, engine_memory.CANCELLED)
        return {}

    def get_requests(self) -> dict[str, Any]:
        """Handles `GET /v1/requests`."""
        self.wait_if_silent()
        entries = self.prefills.entries() + self.batch.entries()
        return {"requests": entries}

    def get_load(self) -> dict[str, Any]:
        """Handles `GET /v1/load`."""
        self.wait_if_silent()
        return self.load.latest()

    def get_cache_events(self) -> dict[str, Any]:
        """Handles `GET /v1/cache-events`."""
        self.wait_if_silent()
        after = int(bottle.request.query.get("after", "0"))
        return {"events": self.cache.visible_events(after)}

    def post_order(self) -> dict[str, Any]:
        """Handles `POST /v1/orders`."""
        body = server.json_body()
        if self.checks_fencing and body["fencing"] < self.highest_fencing:
            raise engine_events.error_response(409, "stale-fencing")
        self.highest_fencing = max(self.highest_fencing, body["fencing"])
        self.orders.append(body)
        if body["kind"] == "set-role":
            self.role = body["argument"]
        return {}


def build(arguments: Any) -> EngineStandin:
    """Returns an engine configured by the command line arguments."""
    return EngineStandin(
        arguments.role,
        arguments.address,
        time_scale=arguments.time_scale,
        checks_fencing=not arguments.ignore_fencing,
        first_sequence=int(time.time() * 1000),
        on_crash=lambda: os._exit(1),
    )


if __name__ == "__main__":
    parser = command.parser(__doc__)
    parser.add_argument("--role", choices=("prefill", "decode"), required=True)
    parser.add_argument("--time-scale", type=float, default=1.0)
    parser.add_argument("--ignore-fencing", action="store_true")
    arguments = parser.parse_args()
    server.serve(lambda: build(arguments))
