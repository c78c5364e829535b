"""Decode role of the engine stand-in."""

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
    """An answer that is generated token by token.

    Attributes:
        tokens: Texts of the tokens so far, from `first_offset` on.
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
        """Offset of the next token."""
        return self.submission.first_offset + len(self.tokens)

    @property
    def end_offset(self) -> int:
        """Offset after the last token."""
        return self.submission.first_offset + self.submission.max_tokens

    def generate(self) -> None:
        """Appends one token."""
        text = engine_text.token_text(self.digest, self.next_offset)
        self.tokens.append(text)
        finished = self.next_offset >= self.end_offset
        self.change("finished" if finished else "running")


class DecodeBatch:
    """Imports KV caches and decodes with continuous batching.

    Args:
        profile: Size and speed.
        memory: Memory of the engine.
        scale: Returns the factor on the durations.

    Attributes:
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
        """Starts the import; None without memory for the request."""
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
        """Steps the batch until the greenlet is killed."""
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

    def cancel(self, request_id: str, ending: engine_memory.Ending) -> None:
        """Frees the request if it is known."""
        generation = self.generations.pop(request_id, None)
        if generation is not None:
            generation.end(self.memory, ending)

    def finish_reading(self, generation: Generation) -> None:
        """Frees the memory of an answer whose end was sent to a reader."""
        generation.free(self.memory)
        generation.read_at = time.monotonic()

    def forget_read(self) -> None:
        """Drops the answers that were read longer ago than the retention."""
        oldest = time.monotonic() - self.profile.retention
        for request_id, generation in list(self.generations.items()):
            if generation.read_at is not None and generation.read_at < oldest:
                del self.generations[request_id]

    def entries(self) -> list[dict[str, Any]]:
        """Returns the entries of `GET /v1/requests`."""
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
        """Starts waiting answers while slots are free."""
        free = self.profile.slots - len(self.in_state("running"))
        waiting = sorted(
            self.in_state("waiting"),
            key=lambda generation: -generation.submission.priority,
        )
        for generation in waiting[:free]:
            generation.change("running")

    def import_cache(
        self, generation: Generation, source: dict[str, str], tokens: int
    ) -> None:
        """Imports a KV cache; the answer then waits for a slot."""
        arrived = fetch("GET", source)
        if arrived:
            with self.link:
                self.transfer(generation, tokens)
            arrived = generation.ending is None and fetch("DELETE", source)
        if generation.ending is not None:
            return
        if not arrived:
            request_id = generation.submission.request_id
            self.cancel(request_id, engine_memory.EXPIRED)
            return
        generation.change("waiting")
        self.wake.notify()

    def transfer(self, generation: Generation, tokens: int) -> None:
        """Occupies the link for as long as the KV cache takes."""
        left = tokens
        while left > 0 and generation.ending is None:
            step = min(left, self.profile.piece_tokens)
            gevent.sleep(step / self.profile.link_rate * self.scale())
            left -= step
            while self.stall_transfers and generation.ending is None:
                gevent.sleep(self.profile.token_interval * self.scale())


def fetch(method: str, source: dict[str, str]) -> bool:
    """Returns whether the prefill engine still has the export.

    Args:
        method: "GET" before the transfer, "DELETE" after it.
        source: Handle and address of the export.
    """
    url = f"http://{source['address']}/v1/exports/{source['handle']}"
    try:
        answer = urllib3.request(
            method, url, retries=False, timeout=FETCH_TIMEOUT_SECONDS
        )
    except urllib3.exceptions.HTTPError:
        return False
    return answer.status == 200
