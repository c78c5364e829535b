"""Event streams of the engine stand-in and their faults."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from standins import engine_events

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

    from standins import engine_decode
    from standins import engine_memory
    from standins import engine_prefill
    from standins import server


class EngineStreams:
    """Writes the event streams of an engine.

    Faults: `stall_after`, `stall_streams`, `foreign_answers` and
    `foreign_attempts` of `engine.EngineStandin`.

    Args:
        standin: Server of the engine; it knows which connections are silent.
        profile: Size and speed of the engine.
        batch: Decode batch of the engine.
    """

    def __init__(
        self,
        standin: server.Standin,
        profile: engine_memory.EngineProfile,
        batch: engine_decode.DecodeBatch,
    ) -> None:
        self.standin = standin
        self.profile = profile
        self.batch = batch
        self.stall_after: int | None = None
        self.stall_streams = 0
        self.foreign_answers = 0
        self.foreign_attempts = 0

    def apply_faults(self, faults: dict[str, Any]) -> None:
        """Sets the faults that the class docstring lists."""
        if "stall_after" in faults:
            self.stall_after = faults["stall_after"]
            self.stall_streams = faults.get("stall_streams", 1)
        self.foreign_answers = faults.get(
            "foreign_answers", self.foreign_answers
        )
        self.foreign_attempts = faults.get(
            "foreign_attempts", self.foreign_attempts
        )

    def prefill_events(
        self,
        job: engine_prefill.PrefillJob,
        identity: dict[str, Any],
        connection: socket.socket,
    ) -> Iterator[bytes]:
        """Yields the encoded events of a prefill until it ends."""
        yield engine_events.encode_event("accepted", identity)
        while job.state in ("queued", "prefilling"):
            event = job.signal.event
            event.wait(self.profile.progress_interval)
            self.standin.wait_if_silent(connection)
            if job.state in ("queued", "prefilling"):
                yield engine_events.encode_event(
                    "progress", {**identity, "state": job.state}
                )
        if job.end_reason is not None:
            yield engine_events.encode_event(
                "error", {**identity, **job.end_reason._asdict()}
            )
            return
        exported = {
            **identity,
            "handle": job.handle,
            "address": self.standin.address,
            "prompt_tokens": job.prompt_tokens,
            "cached_tokens": job.cached_tokens,
            "lifetime": self.profile.export_lifetime,
        }
        yield engine_events.encode_event("exported", exported)

    def token_events(
        self,
        generation: engine_decode.Generation,
        offset: int,
        identity: dict[str, Any],
        connection: socket.socket,
    ) -> Iterator[bytes]:
        """Yields the encoded events of a generation from an offset on."""
        limit = self.next_stall_limit()
        yield engine_events.encode_event(
            "accepted", {**identity, "offset": offset}
        )
        while True:
            self.standin.wait_if_silent(connection)
            changed = generation.signal.event
            if generation.end_reason is not None:
                end_reason = generation.end_reason._asdict()
                yield engine_events.encode_event(
                    "error", {**identity, **end_reason}
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
                self.standin.closed.wait()
                return
            if not changed.wait(self.profile.progress_interval) and (
                self.is_progressing(generation)
            ):
                state = {"state": generation.state}
                yield engine_events.encode_event(
                    "progress", {**identity, **state}
                )

    def is_progressing(self, generation: engine_decode.Generation) -> bool:
        """Returns whether a generation without new tokens makes progress."""
        if generation.state == "importing":
            return not self.batch.stall_transfers
        return generation.state == "waiting"

    def next_stall_limit(self) -> int | None:
        """Returns the number of tokens before a stall, None for no stall."""
        if self.stall_after is None or not self.stall_streams:
            return None
        self.stall_streams -= 1
        return self.stall_after

    def identity_of(
        self, submission: engine_memory.Submission
    ) -> dict[str, Any]:
        """Returns the identity for the events, falsified by active faults."""
        identity = submission.identity
        if self.foreign_answers:
            self.foreign_answers -= 1
            identity["request_id"] = "foreign"
        if self.foreign_attempts:
            self.foreign_attempts -= 1
            identity["attempt"] += 1
        return identity
