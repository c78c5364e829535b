"""Decode batch of the engine stand-in, and its import of KV caches."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

import gevent
import gevent.lock
import urllib3

from standins import engine_memory
from standins import engine_text

if TYPE_CHECKING:
    from collections.abc import Callable

FETCH_TIMEOUT_SECONDS = 5.0


class Generation(engine_memory.Job):
    """A request whose output is generated token by token.

    Attributes:
        digest: Digest of the original prompt; determines the tokens.
        tokens: Texts of the tokens generated so far, from `first_offset` on.
        read_at: Monotonic instant at which the whole output had been sent to
            a reader, None before.
    """

    def __init__(self, submission: engine_memory.Submission) -> None:
        super().__init__(submission, "importing")
        prompt = engine_text.original_prompt(
            submission.prompt, submission.first_offset
        )
        self.digest = engine_text.prompt_digest(prompt)
        self.tokens: list[str] = []
        self.read_at: float | None = None

    @property
    def next_offset(self) -> int:
        """Offset of the next token to generate."""
        return self.submission.first_offset + len(self.tokens)

    @property
    def end_offset(self) -> int:
        """Offset after the last token of the whole output."""
        return self.submission.first_offset + self.submission.max_tokens

    def generate(self) -> None:
        """Appends one token and updates the state."""
        text = engine_text.token_text(self.digest, self.next_offset)
        self.tokens.append(text)
        finished = self.next_offset >= self.end_offset
        self.set_state("finished" if finished else "running")


class DecodeBatch:
    """Imports KV caches and decodes with continuous batching.

    Args:
        profile: Size and speed.
        memory: Memory of the engine.
        scale: Returns the factor by which durations are multiplied.

    Attributes:
        generations: Generations by request id.
        link: Held during a transfer, so that transfers run one at a time.
        stall_transfers: Whether imports make no progress.
    """

    def __init__(
        self,
        profile: engine_memory.EngineProfile,
        memory: engine_memory.Memory,
        scale: Callable[[], float],
    ) -> None:
        self.profile = profile
        self.memory = memory
        self.scale = scale
        self.generations: dict[str, Generation] = {}
        self.link = gevent.lock.BoundedSemaphore(1)
        self.wake = engine_memory.Signal()
        self.stall_transfers = False

    def submit(
        self, submission: engine_memory.Submission, source: dict[str, str]
    ) -> Generation | None:
        """Reserves memory for a request and starts its import.

        Args:
            submission: The request.
            source: "address" and "handle" of the export to import.

        Returns:
            The generation, or None if there is not enough free memory.
        """
        generation = Generation(submission)
        tokens = engine_text.count_tokens(submission.prompt)
        pieces = self.memory.pieces_for(tokens + submission.max_tokens)
        if not self.memory.reserve(pieces):
            return None
        generation.pieces = pieces
        self.generations[submission.request_id] = generation
        gevent.spawn(self.import_cache, generation, source, tokens)
        return generation

    def run(self) -> None:
        """Generates tokens for the batch until the greenlet is killed."""
        while True:
            event = self.wake.event
            self.admit()
            running = self.in_state("running")
            if not running:
                event.wait()
                continue
            gevent.sleep(self.profile.token_interval * self.scale())
            for generation in running:
                if generation.state == "running":
                    generation.generate()

    def in_state(self, state: str) -> list[Generation]:
        """Returns the generations in `state`, oldest first."""
        return [
            generation
            for generation in self.generations.values()
            if generation.state == state
        ]

    def cancel(
        self, request_id: str, end_reason: engine_memory.EndReason
    ) -> None:
        """Ends the request and frees its memory if it is known."""
        generation = self.generations.pop(request_id, None)
        if generation is not None:
            generation.end(self.memory, end_reason)

    def finish_reading(self, generation: Generation) -> None:
        """Frees the memory of a generation whose output was sent whole."""
        generation.free_memory(self.memory)
        generation.read_at = time.monotonic()

    def discard_read(self) -> None:
        """Drops generations that were read longer ago than the retention."""
        oldest = time.monotonic() - self.profile.retention
        for request_id, generation in list(self.generations.items()):
            if generation.read_at is not None and generation.read_at < oldest:
                del self.generations[request_id]

    def entries(self) -> list[dict[str, Any]]:
        """Returns the entries for `GET /v1/requests`."""
        return [
            generation.entry("decode")
            for generation in self.generations.values()
            if generation.pieces
        ]

    def clear(self) -> None:
        """Ends all requests, as in a crash."""
        for request_id in list(self.generations):
            self.cancel(request_id, engine_memory.CRASHED)

    def admit(self) -> None:
        """Starts waiting generations, highest priority first, in free slots."""
        free = self.profile.slots - len(self.in_state("running"))
        waiting = sorted(
            self.in_state("waiting"),
            key=lambda generation: -generation.submission.priority,
        )
        for generation in waiting[:free]:
            generation.set_state("running")

    def import_cache(
        self, generation: Generation, source: dict[str, str], tokens: int
    ) -> None:
        """Imports a KV cache and puts the generation in the waiting state.

        Args:
            generation: Generation that needs the cache.
            source: "address" and "handle" of the export.
            tokens: Size of the cache in tokens.
        """
        fetched = call_export("GET", source)
        if fetched:
            with self.link:
                self.transfer(generation, tokens)
            fetched = generation.end_reason is None and call_export(
                "DELETE", source
            )
        if generation.end_reason is not None:
            return
        if not fetched:
            request_id = generation.submission.request_id
            self.cancel(request_id, engine_memory.EXPIRED)
            return
        generation.set_state("waiting")
        self.wake.notify()

    def transfer(self, generation: Generation, tokens: int) -> None:
        """Sleeps for the transfer time of a KV cache of so many tokens."""
        remaining = tokens
        while remaining > 0 and generation.end_reason is None:
            step = min(remaining, self.profile.piece_tokens)
            gevent.sleep(step / self.profile.link_rate * self.scale())
            remaining -= step
            while self.stall_transfers and generation.end_reason is None:
                gevent.sleep(self.profile.token_interval * self.scale())


def call_export(method: str, source: dict[str, str]) -> bool:
    """Calls the prefill engine about an export.

    Args:
        method: "GET" before the transfer, "DELETE" after it.
        source: "address" and "handle" of the export.

    Returns:
        Whether the engine still has the export.
    """
    url = f"http://{source['address']}/v1/exports/{source['handle']}"
    try:
        response = urllib3.request(
            method, url, retries=False, timeout=FETCH_TIMEOUT_SECONDS
        )
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200
