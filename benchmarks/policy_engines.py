"""Event loop and simulated engines of the policy benchmark."""

from __future__ import annotations

import collections
import heapq
import itertools
from typing import TYPE_CHECKING
from typing import Protocol

from benchmarks import policy_workload
from coltsfootarch import clock as clocks
from coltsfootarch.scheduling import cache_view
from coltsfootarch.upstreams import engine

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.config import register

# Chunks in the prefix cache of a prefill engine.
CACHE_CHUNKS = 64


class Loop:
    """Runs functions in the order of their instants on a `ManualClock`."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.start = self.clock.monotonic()
        self.heap: list[tuple[float, int, Callable[..., None], tuple]] = []  # type: ignore[type-arg]
        self.sequence = itertools.count()

    @property
    def now(self) -> float:
        """Current instant in seconds."""
        return self.clock.monotonic()

    def after(
        self, seconds: float, function: Callable[..., None], *args: object
    ) -> None:
        """Schedules a call of `function` in so many seconds."""
        entry = (self.now + seconds, next(self.sequence), function, args)
        heapq.heappush(self.heap, entry)

    def run(self, until: float) -> None:
        """Runs all calls that are due before an instant."""
        while self.heap and self.heap[0][0] < until:
            instant, _, function, args = heapq.heappop(self.heap)
            self.clock.elapsed = max(self.clock.elapsed, instant - self.start)
            function(*args)


class Job:
    """One attempt of a request at the engines.

    Args:
        request: The request.
        attempt: Number of the attempt, from 1.
        emitted: Output tokens that earlier attempts have emitted.
        on_event: Called with the job and "first" at its first token, "done" at
            its last, "expired" when its prefill result has expired or "lost"
            when its decode engine is down.

    Attributes:
        prefill: Prefill engine that holds the result.
        prefill_seconds: Duration of the prefill.
        expires_at: Instant at which the prefill result expires.
        imported: Whether a decode engine imported the prefill result.
        emitted: Output tokens emitted by earlier attempts and, once its decode
            engine has stopped, by this one.
        started_at: Progress of the decode engine when the job started to
            decode, 0 before.
    """

    def __init__(
        self,
        request: policy_workload.Request,
        attempt: int,
        emitted: int,
        on_event: Callable[[Job, str], None],
    ) -> None:
        self.request = request
        self.attempt = attempt
        self.emitted = emitted
        self.on_event = on_event
        self.prompt_tokens = request.prompt_tokens + emitted
        self.prefill: PrefillEngine | None = None
        self.prefill_seconds = 0.0
        self.expires_at = 0.0
        self.imported = False
        self.started_at = 0.0

    @property
    def pieces(self) -> int:
        """Number of memory pieces that it needs on a decode engine."""
        rest = policy_workload.LONGEST_OUTPUT - self.emitted
        return -(-(self.prompt_tokens + rest) // 2000)


class Engine(Protocol):
    """Interface that both kinds of engine have in common."""

    up: bool

    def load(self) -> engine.LoadReport:
        """Returns the current load."""


class PrefillEngine:
    """Runs prefills one at a time and keeps their results until they expire.

    Attributes:
        events: Cache events so far.
        link_free_at: Instant at which its link is free for the next transfer.
        spent_seconds: Seconds spent on prefills.
        imported_seconds: Seconds spent on prefills whose result was imported.
    """

    def __init__(self, loop: Loop, upstream: register.Upstream) -> None:
        self.loop = loop
        self.upstream = upstream
        self.up = True
        self.slowdown = 1.0
        self.queue: collections.deque[tuple[Job, Callable[[Job, bool], None]]]
        self.queue = collections.deque()
        self.running: Job | None = None
        self.cache: collections.OrderedDict[int, None]
        self.cache = collections.OrderedDict()
        self.events: list[engine.CacheEvent] = []
        self.link_free_at = 0.0
        self.spent_seconds = 0.0
        self.imported_seconds = 0.0

    def submit(self, job: Job, on_done: Callable[[Job, bool], None]) -> None:
        """Queues a prefill.

        Args:
            job: Attempt to prefill.
            on_done: Called with the job and whether the prefill succeeded.
        """
        if not self.up:
            on_done(job, False)
            return
        job.prefill = self
        self.queue.append((job, on_done))
        if self.running is None:
            self._next()

    def set_up(self, up: bool) -> None:
        """Starts the engine, or stops it with the loss of its work."""
        self.up = up
        if up:
            return
        lost = list(self.queue)
        self.queue.clear()
        self.cache.clear()
        self.events.append(engine.CacheEvent(len(self.events) + 2, (), ()))
        for job, on_done in lost:
            on_done(job, False)

    def load(self) -> engine.LoadReport:
        """Returns the current load."""
        tokens = sum(job.prompt_tokens for job, _ in self.queue)
        if self.running is not None:
            tokens += self.running.prompt_tokens
        waiting = len(self.queue)
        running = int(self.running is not None)
        return engine.LoadReport(running, waiting, 0, tokens, 0.0)

    def _next(self) -> None:
        if not self.queue or not self.up:
            return
        job, on_done = self.queue.popleft()
        self.running = job
        tokens = job.prompt_tokens - self._cached(job)
        seconds = tokens / self.upstream.prefill_rate * self.slowdown
        job.prefill_seconds = seconds
        self.loop.after(seconds, self._finish, job, on_done)

    def _finish(self, job: Job, on_done: Callable[[Job, bool], None]) -> None:
        self.running = None
        self.spent_seconds += job.prefill_seconds
        lifetime = policy_workload.RESULT_LIFETIME_SECONDS
        job.expires_at = self.loop.now + lifetime
        self._store(job)
        on_done(job, self.up)
        self._next()

    def _cached(self, job: Job) -> int:
        chunks = 0
        for digest in job.request.prefix_digests:
            if digest not in self.cache:
                break
            self.cache.move_to_end(digest)
            chunks += 1
        return chunks * cache_view.CHUNK_TOKENS

    def _store(self, job: Job) -> None:
        new = [
            key for key in job.request.prefix_digests if key not in self.cache
        ]
        for digest in new:
            self.cache[digest] = None
        evicted = []
        while len(self.cache) > CACHE_CHUNKS:
            evicted.append(self.cache.popitem(last=False)[0])
        if new:
            sequence = self.events[-1].sequence + 1 if self.events else 1
            self.events.append(
                engine.CacheEvent(sequence, tuple(new), tuple(evicted))
            )


class DecodeEngine:
    """Decodes with continuous batching; excess attempts wait in a queue.

    Attributes:
        link_free_at: Instant at which its link is free for the next transfer.
        held: Imported or importing jobs, by their id().
        batch: Number of jobs that decode.
        progress: Tokens that a stream decoding since the start would have.
        progress_at: Instant for which `progress` was computed.
        targets: Heap of the jobs' next events, by the progress they need.
        schedule_id: Changes with each schedule; outdated calls are ignored.
    """

    def __init__(self, loop: Loop, upstream: register.Upstream) -> None:
        self.loop = loop
        self.upstream = upstream
        self.up = True
        self.slowdown = 1.0
        self.link_free_at = 0.0
        self.held: dict[int, Job] = {}
        self.used_pieces = 0
        self.waiting: collections.deque[Job] = collections.deque()
        self.batch = 0
        self.progress = 0.0
        self.progress_at = loop.now
        self.targets: list[tuple[float, int, Job, str]] = []
        self.schedule_id = 0
        self.sequence = itertools.count()

    def submit(self, job: Job) -> None:
        """Queues an attempt whose prefill result can be imported."""
        if not self.up:
            job.on_event(job, "lost")
            return
        self.waiting.append(job)
        lifetime = max(0.0, job.expires_at - self.loop.now)
        self.loop.after(lifetime, self._expire, job)
        self._admit()

    def set_up(self, up: bool) -> None:
        """Starts the engine, or stops it with the loss of its work."""
        self._advance()
        self.up = up
        if up:
            return
        lost = [*self.held.values(), *self.waiting]
        for job in self.held.values():
            if job.started_at:
                job.emitted += int(self.progress - job.started_at)
        self.held.clear()
        self.waiting.clear()
        self.targets.clear()
        self.used_pieces = 0
        self.batch = 0
        self.schedule_id += 1
        for job in lost:
            job.on_event(job, "lost")

    def set_slowdown(self, slowdown: float) -> None:
        """Multiplies the time of every token by a factor from now on."""
        self._advance()
        self.slowdown = slowdown
        self._schedule_next()

    def load(self) -> engine.LoadReport:
        """Returns the current load."""
        free = self.upstream.memory_pieces - self.used_pieces
        return engine.LoadReport(
            len(self.held), len(self.waiting), free, 0, 0.0
        )

    def _admit(self) -> None:
        while self.waiting:
            job = self.waiting[0]
            full = len(self.held) >= self.upstream.slots
            free_pieces = self.upstream.memory_pieces - self.used_pieces
            if full or job.pieces > free_pieces:
                return
            self.waiting.popleft()
            source = job.prefill
            assert source is not None
            start = max(self.loop.now, self.link_free_at, source.link_free_at)
            if start > job.expires_at:
                job.on_event(job, "expired")
                continue
            size = job.prompt_tokens * self.upstream.kv_bytes_per_token
            end = start + size / self.upstream.link_rate
            self.link_free_at = source.link_free_at = end
            job.imported = True
            source.imported_seconds += job.prefill_seconds
            self.held[id(job)] = job
            self.used_pieces += job.pieces
            self.loop.after(end - self.loop.now, self._start, job)

    def _expire(self, job: Job) -> None:
        if job in self.waiting:
            self.waiting.remove(job)
            job.on_event(job, "expired")
            self._admit()

    def _start(self, job: Job) -> None:
        if id(job) not in self.held:
            return
        self._advance()
        self.batch += 1
        job.started_at = self.progress
        tokens = job.request.output_tokens - job.emitted
        self._add_target(self.progress + 1, job, "first")
        self._add_target(self.progress + max(2, tokens), job, "done")
        self._schedule_next()

    def _add_target(self, progress: float, job: Job, kind: str) -> None:
        heapq.heappush(self.targets, (progress, next(self.sequence), job, kind))

    def _token_seconds(self) -> float:
        return policy_workload.token_seconds(self.batch) * self.slowdown

    def _advance(self) -> None:
        passed = self.loop.now - self.progress_at
        self.progress += passed / self._token_seconds()
        self.progress_at = self.loop.now

    def _schedule_next(self) -> None:
        self.schedule_id += 1
        if self.targets:
            missing = max(0.0, self.targets[0][0] - self.progress)
            self.loop.after(
                missing * self._token_seconds(),
                self._handle_targets,
                self.schedule_id,
            )

    def _handle_targets(self, schedule_id: int) -> None:
        if schedule_id != self.schedule_id:
            return
        self._advance()
        reached = self.progress + 1e-6
        while self.targets and self.targets[0][0] <= reached:
            _, _, job, kind = heapq.heappop(self.targets)
            if kind == "done":
                self.batch -= 1
                del self.held[id(job)]
                self.used_pieces -= job.pieces
            job.on_event(job, kind)
        self._schedule_next()
        self._admit()
