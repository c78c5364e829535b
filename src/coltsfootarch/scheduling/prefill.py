"""Estimated queue of one prefill engine."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.scheduling import cache_view
from coltsfootarch.scheduling import health

if TYPE_CHECKING:
    from coltsfootarch.config import register
    from coltsfootarch.scheduling import items
    from coltsfootarch.upstreams import engine

# A prefill that takes this many times its estimate, and this much longer, has
# hung or its host is gone.
OVERDUE_FACTOR = 3.0
OVERDUE_SECONDS = 0.5
FORGET_SECONDS = 5.0

# Events of the entry host reach the scheduler this much later at most in
# ordinary running; reports are compared with what was open around their time.
EVENT_LAG_SECONDS = 0.1

SPEED_SAMPLE_WEIGHT = 0.4
SHORTEST_SAMPLE_SECONDS = 0.01


class PrefillWork(NamedTuple):
    """A dispatched prefill.

    Attributes:
        tokens: Tokens to prefill, without those taken from the cache.
        seconds: Time it should take at the engine's register rate.
        dispatched_at: Monotonic instant of the assignment.
    """

    tokens: int
    seconds: float
    dispatched_at: float


class PrefillQueue:
    """Prefills dispatched to one engine, which runs them one by one.

    Args:
        upstream: The engine.
    """

    def __init__(self, upstream: register.Upstream) -> None:
        self.upstream = upstream
        self.health = health.Health()
        self.cache = cache_view.CacheView()
        self.open: dict[items.AttemptKey, PrefillWork] = {}
        self.open_seconds = 0.0
        self.recent: collections.deque[tuple[float, PrefillWork]]
        self.recent = collections.deque()
        self.head_started = 0.0
        self.foreign_until = 0.0
        self.slowdown = 1.0

    def reset_cache(self) -> None:
        """Clears the cache view; a restarted engine numbers its events anew."""
        self.cache = cache_view.CacheView()

    def uncached(self, item: items.WorkItem) -> int:
        """Returns the tokens of the item's prompt that are not cached."""
        cached = self.cache.cached_tokens(
            item.prefix_digests, item.prompt_tokens
        )
        return item.prompt_tokens - cached

    def seconds(self, tokens: int) -> float:
        """Returns the estimated time of a prefill at the measured speed."""
        return tokens / self.upstream.prefill_rate * max(1.0, self.slowdown)

    def free_at(self, now: float) -> float:
        """Returns when the engine will have done its open work."""
        if not self.open:
            return max(now, self.foreign_until)
        total = self.open_seconds * max(1.0, self.slowdown)
        return max(now, self.foreign_until, self.head_started + total)

    def overdue(self, now: float) -> bool:
        """Returns whether the oldest prefill should have ended long ago."""
        if not self.open:
            return False
        head = next(iter(self.open.values()))
        estimate = head.seconds * max(1.0, self.slowdown)
        limit = estimate * OVERDUE_FACTOR + OVERDUE_SECONDS
        return now - max(self.head_started, head.dispatched_at) > limit

    def dispatch(
        self, key: items.AttemptKey, tokens: int, now: float
    ) -> PrefillWork:
        """Records an assignment."""
        if not self.open:
            self.head_started = max(now, self.foreign_until)
        seconds = tokens / self.upstream.prefill_rate
        work = PrefillWork(tokens, seconds, now)
        self.open[key] = work
        self.open_seconds += seconds
        self.health.dispatched(now)
        return work

    def prefilled(self, key: items.AttemptKey, now: float) -> None:
        """Records the end of a prefill and measures the engine's speed."""
        work = self.open.get(key)
        if work is None:
            return
        if next(iter(self.open)) == key:
            taken = now - max(self.head_started, work.dispatched_at)
            if work.seconds >= SHORTEST_SAMPLE_SECONDS:
                ratio = taken / work.seconds
                probing = self.health.probe_started is not None
                weight = 1.0 if probing else SPEED_SAMPLE_WEIGHT
                self.slowdown += weight * (ratio - self.slowdown)
        self.drop(key, now)

    def drop(self, key: items.AttemptKey, now: float) -> None:
        """Removes a prefill that ended or was given up."""
        work = self.open.pop(key, None)
        if work is None:
            return
        self.open_seconds = max(0.0, self.open_seconds - work.seconds)
        self.head_started = now
        self.recent.append((now, work))
        limit = now - FORGET_SECONDS
        while self.recent[0][0] <= limit:
            self.recent.popleft()

    def report(self, load: engine.LoadReport, now: float) -> None:
        """Corrects the estimate by a report of `load.age` seconds ago.

        Queued tokens above this scheduler's own dispatches are work of other
        schedulers. A report without any queue shows that prefills which should
        have ended before it did end, though their hosts never said so.
        """
        true_at = now - load.age
        own = sum(
            work.tokens
            for work in self.open.values()
            if work.dispatched_at <= true_at
        )
        own += sum(
            work.tokens
            for ended, work in self.recent
            if work.dispatched_at <= true_at
            and ended >= true_at - EVENT_LAG_SECONDS
        )
        foreign = max(0, load.queued_prefill_tokens - own)
        self.foreign_until = true_at + self.seconds(foreign) if foreign else 0.0
        if load.queued_prefill_tokens == 0:
            self.forget_ended(true_at, now)

    def expire(self, now: float) -> None:
        """Removes prefills that no event or report has ended."""
        for key, work in list(self.open.items()):
            limit = work.seconds * OVERDUE_FACTOR * max(1.0, self.slowdown)
            if now - work.dispatched_at > limit + FORGET_SECONDS:
                self.drop(key, now)

    def forget_ended(self, true_at: float, now: float) -> None:
        """Removes prefills that were due before a report without a queue."""
        for key, work in list(self.open.items()):
            due = work.dispatched_at + self.seconds(work.tokens)
            if due + EVENT_LAG_SECONDS < true_at:
                self.drop(key, now)
