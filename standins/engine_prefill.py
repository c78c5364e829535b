"""Prefill queue of the engine stand-in, and its exports of KV caches."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING
from typing import Any

import gevent

from standins import engine_memory
from standins import engine_text

if TYPE_CHECKING:
    from collections.abc import Callable


class PrefillJob(engine_memory.Job):
    """A prefill, from its submission until its export is imported."""

    def __init__(self, submission: engine_memory.Submission) -> None:
        super().__init__(submission, "queued")
        self.handle = uuid.uuid4().hex
        self.prompt_tokens = engine_text.count_tokens(submission.prompt)
        self.cached_tokens = 0


class PrefillQueue:
    """Runs prefills one after the other, highest priority first.

    Args:
        profile: Size and speed.
        memory: Memory of the engine.
        cache: Prefix cache of the engine.
        scale: Returns the factor by which durations are multiplied.

    Attributes:
        jobs: Jobs by request id.
    """

    def __init__(
        self,
        profile: engine_memory.EngineProfile,
        memory: engine_memory.Memory,
        cache: engine_memory.PrefixCache,
        scale: Callable[[], float],
    ) -> None:
        self.profile = profile
        self.memory = memory
        self.cache = cache
        self.scale = scale
        self.jobs: dict[str, PrefillJob] = {}
        self.wake = engine_memory.Signal()

    def submit(self, submission: engine_memory.Submission) -> PrefillJob | None:
        """Queues a prefill; returns None if there is not enough memory."""
        job = PrefillJob(submission)
        pieces = self.memory.pieces_for(job.prompt_tokens)
        if not self.memory.reserve(pieces):
            return None
        job.pieces = pieces
        self.jobs[submission.request_id] = job
        self.wake.notify()
        return job

    def run(self) -> None:
        """Runs queued prefills until the greenlet is killed."""
        while True:
            event = self.wake.event
            queued = self.queued()
            if not queued:
                event.wait()
                continue
            first = max(queued, key=lambda job: job.submission.priority)
            self.run_job(first)

    def queued(self) -> list[PrefillJob]:
        """Returns the queued jobs, oldest first."""
        return [job for job in self.jobs.values() if job.state == "queued"]

    def queued_tokens(self) -> int:
        """Returns the prompt tokens of all queued jobs."""
        return sum(job.prompt_tokens for job in self.queued())

    def export(self, handle: str) -> PrefillJob | None:
        """Returns the job with this export, None if it does not exist."""
        for job in self.jobs.values():
            if job.handle == handle and job.state == "exported":
                return job
        return None

    def finish(self, handle: str) -> bool:
        """Frees an export after its import; False if it does not exist."""
        job = self.export(handle)
        if job is None:
            return False
        self.remove(job, engine_memory.EXPIRED)
        return True

    def cancel(
        self, request_id: str, end_reason: engine_memory.EndReason
    ) -> None:
        """Ends the request and frees its memory if it is known."""
        job = self.jobs.get(request_id)
        if job is not None:
            self.remove(job, end_reason)

    def entries(self) -> list[dict[str, Any]]:
        """Returns the entries for `GET /v1/requests`."""
        return [
            job.entry("export" if job.state == "exported" else "prefill")
            for job in self.jobs.values()
        ]

    def clear(self) -> None:
        """Ends all requests, as in a crash."""
        for job in list(self.jobs.values()):
            self.remove(job, engine_memory.CRASHED)

    def run_job(self, job: PrefillJob) -> None:
        """Prefills one job and exports its KV cache."""
        job.set_state("prefilling")
        cached = self.cache.cached_tokens(job.submission.prompt)
        job.cached_tokens = min(cached, job.prompt_tokens)
        remaining = job.prompt_tokens - job.cached_tokens
        while remaining > 0 and job.end_reason is None:
            step = min(remaining, self.profile.piece_tokens)
            gevent.sleep(step / self.profile.prefill_rate * self.scale())
            job.last_read = time.monotonic()
            remaining -= step
        if job.end_reason is not None:
            return
        self.cache.store(job.submission.prompt)
        job.set_state("exported")
        gevent.spawn_later(self.profile.export_lifetime, self.expire, job)

    def expire(self, job: PrefillJob) -> None:
        """Frees an export at the end of its lifetime."""
        if job.state == "exported":
            self.remove(job, engine_memory.EXPIRED)

    def remove(
        self, job: PrefillJob, end_reason: engine_memory.EndReason
    ) -> None:
        """Removes a job and frees its memory."""
        if self.jobs.get(job.submission.request_id) is job:
            del self.jobs[job.submission.request_id]
        job.end(self.memory, end_reason)
