"""Estimate of the queue of one prefill engine."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.scheduling import cache_view
from coltsfootarch.scheduling import upstream_health

if TYPE_CHECKING:
    from coltsfootarch.config import register
    from coltsfootarch.scheduling import items
    from coltsfootarch.upstreams import engine

# A prefill that takes this many times its estimate plus `OVERDUE_SECONDS` has
# hung, or its entry host has failed.
OVERDUE_FACTOR = 3.0
OVERDUE_SECONDS = 0.5
# Ended work is kept for this time, to be compared with delayed load reports.
RETENTION_SECONDS = 5.0

# Maximum delay of an entry host's events in normal operation. Load reports are
# compared with the work that was in progress within this time of the report.
EVENT_LAG_SECONDS = 0.1

# Weight of the newest prefill in the mean slowdown.
SPEED_SAMPLE_WEIGHT = 0.4
# Prefills with a shorter estimate are not measured.
MIN_SAMPLE_SECONDS = 0.01


class PrefillWork(NamedTuple):
    """A dispatched prefill.

    Attributes:
        tokens: Tokens to prefill, without cached ones.
        seconds: Estimated time at the `prefill_rate` of the register.
        dispatched_at: Monotonic instant of the assignment.
    """

    tokens: int
    seconds: float
    dispatched_at: float


class PrefillQueue:
    """Prefills dispatched to one engine, which runs them sequentially.

    Args:
        upstream: The engine.

    Attributes:
        cache: Prefix cache of the engine.
        in_progress: Dispatched prefills that have not ended, oldest first.
        in_progress_seconds: Sum of their estimated times.
        recently_ended: Ended prefills with the monotonic instant of their end,
            oldest first; load reports may still include them.
        head_started_at: Monotonic instant at which the oldest prefill started.
        foreign_work_until: Monotonic instant at which the work of other
            schedulers is estimated to end.
        slowdown: Measured time of prefills as a multiple of the time at the
            `prefill_rate` of the register.
    """

    def __init__(self, upstream: register.Upstream) -> None:
        self.upstream = upstream
        self.health = upstream_health.Health()
        self.cache = cache_view.CacheView()
        self.in_progress: dict[items.AttemptKey, PrefillWork] = {}
        self.in_progress_seconds = 0.0
        self.recently_ended: collections.deque[tuple[float, PrefillWork]]
        self.recently_ended = collections.deque()
        self.head_started_at = 0.0
        self.foreign_work_until = 0.0
        self.slowdown = 1.0

    def reset_cache(self) -> None:
        """Clears the cache view.

        A restarted engine numbers its events from 1 again; the old view would
        ignore them.
        """
        self.cache = cache_view.CacheView()

    def uncached_tokens(self, item: items.WorkItem) -> int:
        """Returns how many tokens of the item's prompt are not cached."""
        cached = self.cache.cached_tokens(
            item.prefix_digests, item.prompt_tokens
        )
        return item.prompt_tokens - cached

    def estimated_seconds(self, tokens: int) -> float:
        """Returns the estimated seconds of a prefill at the measured speed."""
        return tokens / self.upstream.prefill_rate * max(1.0, self.slowdown)

    def free_at(self, now: float) -> float:
        """Returns the estimated instant at which the engine becomes idle."""
        if not self.in_progress:
            return max(now, self.foreign_work_until)
        total = self.in_progress_seconds * max(1.0, self.slowdown)
        return max(now, self.foreign_work_until, self.head_started_at + total)

    def is_overdue(self, now: float) -> bool:
        """Returns whether the oldest prefill far exceeds its estimate."""
        if not self.in_progress:
            return False
        head = next(iter(self.in_progress.values()))
        estimate = head.seconds * max(1.0, self.slowdown)
        limit = estimate * OVERDUE_FACTOR + OVERDUE_SECONDS
        return now - max(self.head_started_at, head.dispatched_at) > limit

    def dispatch(
        self, key: items.AttemptKey, tokens: int, now: float
    ) -> PrefillWork:
        """Records a prefill assigned to the engine."""
        if not self.in_progress:
            self.head_started_at = max(now, self.foreign_work_until)
        seconds = tokens / self.upstream.prefill_rate
        work = PrefillWork(tokens, seconds, now)
        self.in_progress[key] = work
        self.in_progress_seconds += seconds
        self.health.record_dispatch(now)
        return work

    def record_prefilled(self, key: items.AttemptKey, now: float) -> None:
        """Records a completed prefill and updates the measured slowdown."""
        work = self.in_progress.get(key)
        if work is None:
            return
        if next(iter(self.in_progress)) == key:
            elapsed = now - max(self.head_started_at, work.dispatched_at)
            if work.seconds >= MIN_SAMPLE_SECONDS:
                ratio = elapsed / work.seconds
                probing = self.health.probe_started is not None
                weight = 1.0 if probing else SPEED_SAMPLE_WEIGHT
                self.slowdown += weight * (ratio - self.slowdown)
        self.remove(key, now)

    def remove(self, key: items.AttemptKey, now: float) -> None:
        """Removes a prefill that ended or was abandoned."""
        work = self.in_progress.pop(key, None)
        if work is None:
            return
        self.in_progress_seconds = max(
            0.0, self.in_progress_seconds - work.seconds
        )
        self.head_started_at = now
        self.recently_ended.append((now, work))
        limit = now - RETENTION_SECONDS
        while self.recently_ended[0][0] <= limit:
            self.recently_ended.popleft()

    def apply_load_report(self, load: engine.LoadReport, now: float) -> None:
        """Reconciles the estimate with a load report.

        Queued tokens above this scheduler's own dispatches belong to other
        schedulers. A report of an empty queue shows that all prefills due
        before it have ended, even if their entry hosts sent no event.

        Args:
            load: The report; it describes the engine `load.age` seconds ago.
            now: Monotonic instant.
        """
        observed_at = now - load.age
        own_tokens = sum(
            work.tokens
            for work in self.in_progress.values()
            if work.dispatched_at <= observed_at
        )
        own_tokens += sum(
            work.tokens
            for ended, work in self.recently_ended
            if work.dispatched_at <= observed_at
            and ended >= observed_at - EVENT_LAG_SECONDS
        )
        foreign_tokens = max(0, load.queued_prefill_tokens - own_tokens)
        self.foreign_work_until = (
            observed_at + self.estimated_seconds(foreign_tokens)
            if foreign_tokens
            else 0.0
        )
        if load.queued_prefill_tokens == 0:
            self.remove_completed(observed_at, now)

    def expire(self, now: float) -> None:
        """Removes overdue prefills whose end no event or report has shown."""
        for key, work in list(self.in_progress.items()):
            limit = work.seconds * OVERDUE_FACTOR * max(1.0, self.slowdown)
            if now - work.dispatched_at > limit + RETENTION_SECONDS:
                self.remove(key, now)

    def remove_completed(self, observed_at: float, now: float) -> None:
        """Removes the prefills due before a report of an empty queue."""
        for key, work in list(self.in_progress.items()):
            due_at = work.dispatched_at + self.estimated_seconds(work.tokens)
            if due_at + EVENT_LAG_SECONDS < observed_at:
                self.remove(key, now)
