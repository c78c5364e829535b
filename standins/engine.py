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
from standins import engine_text
from standins import server

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable
    from collections.abc import Iterator

CRASH_MARK = "[[crash]]"
EVENT_STREAM = "text/event-stream"
expected_text = engine_text.expected_text


class EngineStandin(server.Standin):
    """A prefill or decode engine.

    Faults: `stall_after` makes the next `stall_streams` (default 1) token
    streams deliver so many tokens and then nothing, `silence` silences the
    open connections, `crash` loses all state, `slow_factor` multiplies
    durations, `stall_transfers` stops imports, `lose_cache_events` is the
    number of coming cache events that are lost, `foreign_answers` the number
    of coming streams that name another request, `foreign_attempts` the same
    for the attempt, `checks_fencing` whether old fencing numbers are refused.

    Args:
        role: "prefill" or "decode".
        address: "ip:port" to listen on.
        profile: Size and speed.
        time_scale: Factor on the durations of prefill, transfer and tokens.
        checks_fencing: Whether orders with old fencing numbers are refused.
        chunk_digests: Returns the chunk digests of a prompt.
        first_sequence: Number before that of the first cache event.
        on_crash: Called by a crash after the state is lost.

    Attributes:
        crashes: Number of crashes.
        orders: Orders that were carried out.
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
        self.stall_after: int | None = None
        self.stall_streams = 0
        self.foreign_answers = 0
        self.foreign_attempts = 0
        self.load = engine_load.LoadReporter(
            self.profile, self.memory, self.prefills, self.batch
        )
        self.greenlets: list[gevent.Greenlet] = []
        self._add_routes()

    def start(self) -> None:
        """Listens and starts the work of the engine."""
        super().start()
        self.greenlets = [
            gevent.spawn(self.prefills.run),
            gevent.spawn(self.batch.run),
            gevent.spawn(self.load.run),
        ]

    def close(self) -> None:
        """Stops the work, stops listening and drops all connections."""
        gevent.killall(self.greenlets)
        super().close()

    def scale(self) -> float:
        """Returns the factor on durations."""
        return self.time_scale * self.slow_factor

    def crash(self) -> None:
        """Drops all connections and loses all state."""
        self.crashes += 1
        self.drop_connections()
        self.prefills.clear()
        self.batch.clear()
        self.cache.clear()
        self.highest_fencing = 0
        if self.on_crash is not None:
            self.on_crash()

    def apply_faults(self, faults: dict[str, Any]) -> None:
        """Sets the faults named in the class description."""
        super().apply_faults(faults)
        if "stall_after" in faults:
            self.stall_after = faults["stall_after"]
            self.stall_streams = faults.get("stall_streams", 1)
        self.slow_factor = faults.get("slow_factor", self.slow_factor)
        self.batch.stall_transfers = faults.get(
            "stall_transfers", self.batch.stall_transfers
        )
        self.cache.lose_events = faults.get(
            "lose_cache_events", self.cache.lose_events
        )
        self.foreign_answers = faults.get(
            "foreign_answers", self.foreign_answers
        )
        self.foreign_attempts = faults.get(
            "foreign_attempts", self.foreign_attempts
        )
        self.checks_fencing = faults.get("checks_fencing", self.checks_fencing)
        if faults.get("crash"):
            self.crash()

    def _add_routes(self) -> None:
        route = self.app.route
        route("/v1/prefill", "POST", self._prefill)
        route("/v1/decode", "POST", self._decode)
        route("/v1/exports/<handle>", "GET", self._get_export)
        route("/v1/exports/<handle>", "DELETE", self._delete_export)
        route("/v1/cancel", "POST", self._cancel)
        route("/v1/requests", "GET", self._get_requests)
        route("/v1/load", "GET", self._get_load)
        route("/v1/cache-events", "GET", self._get_cache_events)
        route("/v1/orders", "POST", self._order)

    def _prefill(self) -> Iterator[bytes]:
        submission = self._submission("prefill")
        known = self.prefills.jobs.get(submission.request_id)
        self._supersede(known, submission)
        job = self.prefills.submit(submission)
        if job is None:
            raise engine_events.refusal(503, "out-of-memory")
        bottle.response.content_type = EVENT_STREAM
        identity = self._identity(submission)
        return self._prefill_events(job, identity, server.current_connection())

    def _prefill_events(
        self,
        job: engine_prefill.PrefillJob,
        identity: dict[str, Any],
        connection: socket.socket,
    ) -> Iterator[bytes]:
        yield engine_events.encode_event("accepted", identity)
        while job.state in ("queued", "prefilling"):
            event = job.signal.event
            event.wait(self.profile.progress_interval)
            self._hold_if_silent(connection)
            if job.state in ("queued", "prefilling"):
                yield engine_events.encode_event(
                    "progress", {**identity, "state": job.state}
                )
        if job.ending is not None:
            yield engine_events.encode_event(
                "error", {**identity, **job.ending._asdict()}
            )
            return
        exported = {
            **identity,
            "handle": job.handle,
            "address": self.address,
            "prompt_tokens": job.prompt_tokens,
            "cached_tokens": job.cached_tokens,
            "lifetime": self.profile.export_lifetime,
        }
        yield engine_events.encode_event("exported", exported)

    def _decode(self) -> Iterator[bytes]:
        self.batch.forget_read()
        body = server.json_body()
        if body["mode"] == "resume":
            generation = self._resumed(body)
            offset = body["offset"]
        else:
            generation = self._started(body)
            offset = generation.submission.first_offset
        bottle.response.content_type = EVENT_STREAM
        identity = self._identity(generation.submission)
        connection = server.current_connection()
        return self._token_events(generation, offset, identity, connection)

    def _started(self, body: dict[str, Any]) -> engine_decode.Generation:
        submission = self._submission("decode")
        known = self.batch.generations.get(submission.request_id)
        self._supersede(known, submission)
        generation = self.batch.submit(submission, body["source"])
        if generation is None:
            raise engine_events.refusal(503, "out-of-memory")
        return generation

    def _resumed(self, body: dict[str, Any]) -> engine_decode.Generation:
        generation = self.batch.generations.get(body["request_id"])
        if generation is None:
            raise engine_events.refusal(404, "unknown-request")
        first = generation.submission.first_offset
        if not first <= body["offset"] < generation.end_offset:
            raise engine_events.refusal(416, "offset-out-of-range")
        return generation

    def _token_events(
        self,
        generation: engine_decode.Generation,
        offset: int,
        identity: dict[str, Any],
        connection: socket.socket,
    ) -> Iterator[bytes]:
        limit = self._take_stall()
        yield engine_events.encode_event(
            "accepted", {**identity, "offset": offset}
        )
        while True:
            self._hold_if_silent(connection)
            changed = generation.signal.event
            if generation.ending is not None:
                ending = generation.ending._asdict()
                yield engine_events.encode_event(
                    "error", {**identity, **ending}
                )
                return
            start = offset - generation.submission.first_offset
            texts = generation.tokens[start:]
            if limit is not None:
                texts = texts[:limit]
                limit -= len(texts)
            if texts:
                end = offset + len(texts)
                finished = end >= generation.end_offset
                generation.last_read = time.monotonic()
                yield engine_events.encode_tokens(
                    identity, offset, texts, finished
                )
                offset = end
                if finished:
                    self.batch.finish_reading(generation)
                    return
                continue
            if limit == 0:
                self.closed.wait()
                return
            if not changed.wait(self.profile.progress_interval) and (
                self._is_progressing(generation)
            ):
                state = {"state": generation.state}
                yield engine_events.encode_event(
                    "progress", {**identity, **state}
                )

    def _is_progressing(self, generation: engine_decode.Generation) -> bool:
        if generation.state == "importing":
            return not self.batch.stall_transfers
        return generation.state == "waiting"

    def _take_stall(self) -> int | None:
        if self.stall_after is None or not self.stall_streams:
            return None
        self.stall_streams -= 1
        return self.stall_after

    def _hold_if_silent(self, connection: socket.socket) -> None:
        if connection in self.silent:
            self.closed.wait()

    def _identity(self, submission: engine_memory.Submission) -> dict[str, Any]:
        identity = submission.identity
        if self.foreign_answers:
            self.foreign_answers -= 1
            identity["request_id"] = "foreign"
        if self.foreign_attempts:
            self.foreign_attempts -= 1
            identity["attempt"] += 1
        return identity

    def _submission(self, role: str) -> engine_memory.Submission:
        submission = engine_events.read_submission(server.json_body())
        if CRASH_MARK in submission.prompt:
            self.crash()
            raise engine_events.refusal(500, "crashed")
        if self.role != role:
            raise engine_events.refusal(409, "wrong-role")
        return submission

    def _supersede(
        self,
        known: engine_memory.Job | None,
        submission: engine_memory.Submission,
    ) -> None:
        """Ends an older attempt and refuses one that is not newer."""
        if known is None:
            return
        if known.submission.attempt >= submission.attempt:
            raise engine_events.refusal(409, "duplicate-attempt")
        self._end(submission.request_id, engine_memory.SUPERSEDED)

    def _end(self, request_id: str, ending: engine_memory.Ending) -> None:
        self.prefills.cancel(request_id, ending)
        self.batch.cancel(request_id, ending)

    def _get_export(self, handle: str) -> dict[str, Any]:
        job = self.prefills.export(handle)
        if job is None:
            raise engine_events.refusal(410, "export-expired")
        return {"prompt_tokens": job.prompt_tokens}

    def _delete_export(self, handle: str) -> dict[str, Any]:
        if not self.prefills.finish(handle):
            raise engine_events.refusal(410, "export-expired")
        return {}

    def _cancel(self) -> dict[str, Any]:
        self.wait_if_silent()
        request_id = server.json_body()["request_id"]
        self._end(request_id, engine_memory.CANCELLED)
        return {}

    def _get_requests(self) -> dict[str, Any]:
        self.wait_if_silent()
        entries = self.prefills.entries() + self.batch.entries()
        return {"requests": entries}

    def _get_load(self) -> dict[str, Any]:
        self.wait_if_silent()
        return self.load.latest()

    def _get_cache_events(self) -> dict[str, Any]:
        self.wait_if_silent()
        after = int(bottle.request.query.get("after", "0"))
        return {"events": self.cache.visible_events(after)}

    def _order(self) -> dict[str, Any]:
        body = server.json_body()
        if self.checks_fencing and body["fencing"] < self.highest_fencing:
            raise engine_events.refusal(409, "stale-fencing")
        self.highest_fencing = max(self.highest_fencing, body["fencing"])
        self.orders.append(body)
        if body["kind"] == "set-role":
            self.role = body["argument"]
        return {}


def build(arguments: Any) -> EngineStandin:
    """Returns the engine for the command line's arguments."""
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
