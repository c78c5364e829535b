"""Scheduler of one pool: prefill, link and decode are chosen together."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from coltsfootarch import results
from coltsfootarch.scheduling import assigned
from coltsfootarch.scheduling import engines
from coltsfootarch.scheduling import fair_queue
from coltsfootarch.scheduling import items
from coltsfootarch.scheduling import links
from coltsfootarch.scheduling import placement
from coltsfootarch.scheduling import quarantine
from coltsfootarch.scheduling import speed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootarch import clock as clocks
    from coltsfootarch.config import register
    from coltsfootarch.protocol import messages
    from coltsfootarch.upstreams import engine

RESULT_LIFETIME_SECONDS = 0.8

# A blocked queue is looked at again after this time even without an event,
# since estimates improve as time passes.
RECHECK_SECONDS = 0.02
HOUSEKEEPING_SECONDS = 1.0

# An attempt that is not transferred this long after its prefill was due has
# lost its entry host.
TRANSFER_GRACE_SECONDS = 5.0

# An answer that takes this many times its longest expected time is not
# running any more.
LONGEST_RUN_FACTOR = 4.0
LONGEST_RUN_GRACE_SECONDS = 30.0

RESIDENCE_SAMPLE_WEIGHT = 0.05
# Part of `max_output_tokens` that answers use until answers are measured.
INITIAL_OUTPUT_SHARE = 0.5
LOWEST_RETRY_AFTER_SECONDS = 0.1


class PoolScheduler:
    """Decides where and when the requests of one model service run.

    Pure decision code: it sends nothing and waits for nothing. After each
    `submit`, `apply`, `report` and at `next_wakeup()` the caller calls
    `poll()` and delivers what it returns.

    Args:
        clock: Clock of all instants.
        service: The model service, with its latency targets.
        upstreams: Engines of the pool.
        result_lifetime: Seconds that a prefill result survives.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        service: register.Service,
        upstreams: Iterable[register.Upstream],
        result_lifetime: float = RESULT_LIFETIME_SECONDS,
    ) -> None:
        self.clock = clock
        self.service = service
        self.result_lifetime = result_lifetime
        self.token_seconds = service.inter_token_target.total_seconds()
        self.residence = 0.0
        self.queue = fair_queue.FairQueue()
        self.quarantine = quarantine.Quarantine(clock)
        self.links = links.LinkBook()
        self.engines = engines.PoolEngines()
        self.prefills = self.engines.prefills
        self.decodes = self.engines.decodes
        self.assigned: dict[items.AttemptKey, assigned.AssignedAttempt] = {}
        self.latest_starts: list[tuple[float, items.AttemptKey]] = []
        self.waiting: dict[items.AttemptKey, items.WorkItem] = {}
        self.refusals: list[items.Refusal] = []
        self.blocker: placement.Blocker | None = None
        self.next_housekeeping = 0.0
        self.prefill_free_at = 0.0
        self.set_upstreams(upstreams)

    def set_upstreams(self, upstreams: Iterable[register.Upstream]) -> None:
        """Sets the pool's engines; known ones keep their state."""
        self.prefill_free_at = 0.0
        self.engines.replace(upstreams)

    def upstreams(self) -> list[register.Upstream]:
        """Returns the pool's engines."""
        return self.engines.upstreams()

    def submit(self, item: items.WorkItem) -> None:
        """Adds an attempt; its decision comes from a later `poll()`."""
        if item.key in self.waiting or item.key in self.assigned:
            return
        left = self.quarantine.remaining(item.digest)
        if left > 0:
            self.refuse(item, results.QUARANTINED, left)
            return
        shortest = placement.shortest_seconds(
            item, self.prefills.values(), self.decodes.values()
        )
        if shortest is None:
            self.refuse(item, results.NO_UPSTREAM, self.retry_after())
            return
        self.waiting[item.key] = item
        self.queue.push(item)
        latest = item.deadline - shortest - self.token_seconds
        heapq.heappush(self.latest_starts, (latest, item.key))

    def withdraw(self, key: items.AttemptKey) -> None:
        """Removes an attempt that still waits; its caller has gone."""
        item = self.waiting.pop(key, None)
        if item is not None:
            self.queue.remove(item)

    def poll(self) -> list[items.Decision]:
        """Returns all decisions that are due now."""
        now = self.clock.monotonic()
        if now >= self.next_housekeeping:
            self.run_housekeeping(now)
        self.refuse_late(now)
        decisions: list[items.Decision] = list(self.refusals)
        self.refusals.clear()
        self.blocker = None
        while self.queue and now >= self.prefill_free_at:
            assignment = self.place_next(now)
            if assignment is None:
                break
            decisions.append(assignment)
        return decisions

    def next_wakeup(self) -> float:
        """Returns the instant at which `poll()` is due without an event."""
        now = self.clock.monotonic()
        wakeup = self.next_housekeeping
        if self.latest_starts:
            wakeup = min(wakeup, self.latest_starts[0][0])
        if self.refusals:
            return now
        if self.queue:
            recheck = max(now + RECHECK_SECONDS, self.prefill_free_at)
            wakeup = min(wakeup, recheck)
        return max(wakeup, now)

    def apply(self, event: messages.ScheduleEvent) -> None:
        """Applies a step that an entry host reports."""
        key = items.AttemptKey(event.request_id, event.attempt)
        now = self.clock.monotonic()
        entry = self.assigned.get(key)
        if entry is None:
            if event.step == "cancelled":
                self.withdraw(key)
            return
        if event.step == "prefilled":
            self.note_prefilled(key, entry, now)
        elif event.step == "transferred":
            self.note_transferred(key, entry, now)
        elif event.step in items.ENDING_STEPS:
            self.end(key, entry, event, now)

    def report(self, upstream: str, load: engine.LoadReport) -> None:
        """Applies an engine's load report."""
        now = self.clock.monotonic()
        queue = self.prefills.get(upstream)
        if queue is not None:
            self.prefill_free_at = 0.0
            queue.report(load, now)
        capacity = self.decodes.get(upstream)
        if capacity is not None:
            for entry in capacity.report(load, now):
                self.forget(entry.key, now)

    def cache_event(self, upstream: str, event: engine.CacheEvent) -> None:
        """Applies a change of an engine's prefix cache."""
        queue = self.prefills.get(upstream)
        if queue is not None:
            queue.cache.apply(event)

    def place_next(self, now: float) -> items.Assignment | None:
        """Assigns the first item that has a place; None if none has one."""
        for item in self.queue.heads():
            place = self.find_place(item, now)
            if isinstance(place, placement.Place):
                return self.assign(item, place, now)
            self.blocker = place
            if place is placement.Blocker.PREFILL and not item.excluded:
                self.prefill_free_at = placement.earliest_start(
                    self.prefills.values(), now
                )
            # Serving other accounts past an item that waits for capacity would
            # starve requests that need much memory. An item whose exclusions
            # or deadline rule out the free engines holds nobody back.
            waits = place in (
                placement.Blocker.PREFILL,
                placement.Blocker.DECODE,
            )
            isolated = self.quarantine.isolated(item.digest)
            if waits and not item.excluded and not isolated:
                return None
        return None

    def find_place(
        self, item: items.WorkItem, now: float
    ) -> placement.Place | placement.Blocker:
        """Returns a place for an item, or why there is none."""
        source = placement.choose_prefill(item, self.prefills.values(), now)
        if isinstance(source, placement.Blocker):
            return source
        timing = placement.Timing(
            now,
            self.result_lifetime,
            self.mean_residence(item),
            self.token_seconds,
        )
        return placement.choose_decode(
            item,
            source,
            assigned.engines_for(
                item, self.decodes, self.assigned.values(), self.quarantine
            ),
            self.links,
            timing,
            self.quarantine.suspected(item.digest),
        )

    def assign(
        self, item: items.WorkItem, place: placement.Place, now: float
    ) -> items.Assignment:
        """Books a place and takes the item from the queue."""
        self.queue.take(item)
        del self.waiting[item.key]
        source = place.prefill.upstream.name
        target = place.decode.upstream.name
        place.prefill.dispatch(item.key, place.uncached, now)
        expiry = (
            place.transfer.end + self.result_lifetime + TRANSFER_GRACE_SECONDS
        )
        place.decode.reserve(item.key, place.pieces, now, expiry)
        self.links.book(source, target, item.key, place.transfer)
        self.assigned[item.key] = assigned.AssignedAttempt(item, source, target)
        return items.Assignment(item.request_id, item.attempt, source, target)

    def note_prefilled(
        self, key: items.AttemptKey, entry: assigned.AssignedAttempt, now: float
    ) -> None:
        """Records the end of a prefill and checks the speed of its engine."""
        self.prefill_free_at = 0.0
        queue = self.prefills.get(entry.prefill)
        if queue is None:
            return
        queue.prefilled(key, now)
        if speed.prefill_is_slow(queue, self.prefills.values(), now):
            queue.health.eject(now)
        else:
            queue.health.succeeded(now)

    def note_transferred(
        self, key: items.AttemptKey, entry: assigned.AssignedAttempt, now: float
    ) -> None:
        """Frees the link and notes that the attempt decodes."""
        self.links.release(entry.prefill, entry.decode, key)
        capacity = self.decodes.get(entry.decode)
        if capacity is None:
            return
        longest = entry.item.max_output_tokens * self.token_seconds
        longest = longest * LONGEST_RUN_FACTOR + LONGEST_RUN_GRACE_SECONDS
        capacity.transferred(key, now, now + longest)

    def end(
        self,
        key: items.AttemptKey,
        entry: assigned.AssignedAttempt,
        event: messages.ScheduleEvent,
        now: float,
    ) -> None:
        """Counts the result of an attempt and frees what it holds."""
        if event.step == "finished":
            self.note_finished(key, entry, event, now)
            self.quarantine.clear(entry.item.digest)
        if event.step == "crashed":
            digests = assigned.digests_on(
                event.upstream, self.assigned.values()
            )
            self.quarantine.record_crash(
                event.upstream, entry.item.digest, digests
            )
        if event.step in ("failed", "crashed"):
            self.engines.note_failed(event.upstream, now)
        unused = max(0, entry.item.max_output_tokens - event.tokens)
        self.queue.charge(entry.item.account, -unused / entry.item.weight)
        self.forget(key, now)

    def note_finished(
        self,
        key: items.AttemptKey,
        entry: assigned.AssignedAttempt,
        event: messages.ScheduleEvent,
        now: float,
    ) -> None:
        """Measures a finished answer and checks the speed of its engine."""
        capacity = self.decodes.get(entry.decode)
        if capacity is None:
            return
        reservation = capacity.reservations.get(key)
        if reservation is None or reservation.transferred_at is None:
            capacity.health.succeeded(now)
            return
        seconds = now - reservation.transferred_at
        capacity.measure(seconds, event.tokens)
        if not self.residence:
            self.residence = self.mean_residence(entry.item)
        change = seconds - self.residence
        self.residence += RESIDENCE_SAMPLE_WEIGHT * change
        if speed.decode_is_slow(
            capacity, self.decodes.values(), self.token_seconds
        ):
            capacity.health.eject(now)
        else:
            capacity.health.succeeded(now)

    def forget(self, key: items.AttemptKey, now: float) -> None:
        """Frees everything that an attempt holds."""
        entry = self.assigned.pop(key, None)
        if entry is None:
            return
        self.links.release(entry.prefill, entry.decode, key)
        queue = self.prefills.get(entry.prefill)
        if queue is not None and key in queue.open:
            self.prefill_free_at = 0.0
            queue.drop(key, now)
        capacity = self.decodes.get(entry.decode)
        if capacity is not None:
            capacity.release(key, now)

    def run_housekeeping(self, now: float) -> None:
        """Releases what no event or report has ended."""
        self.next_housekeeping = now + HOUSEKEEPING_SECONDS
        self.prefill_free_at = 0.0
        self.queue.prune()
        for queue in self.prefills.values():
            queue.expire(now)
        for capacity in self.decodes.values():
            for entry in capacity.expire(now):
                self.forget(entry.key, now)

    def refuse_late(self, now: float) -> None:
        """Refuses items whose first token can no longer be in time."""
        while self.latest_starts and self.latest_starts[0][0] < now:
            _, key = heapq.heappop(self.latest_starts)
            item = self.waiting.get(key)
            if item is None:
                continue
            self.withdraw(key)
            self.refuse(item, results.OVERLOADED, self.retry_after())

    def refuse(
        self, item: items.WorkItem, code: results.ResultCode, after: float
    ) -> None:
        """Queues a refusal for the next `poll()`."""
        self.refusals.append(
            items.Refusal(item.request_id, item.attempt, code, after)
        )

    def mean_residence(self, item: items.WorkItem) -> float:
        """Returns the mean seconds of a request on a decode engine."""
        if self.residence:
            return self.residence
        tokens = item.max_output_tokens * INITIAL_OUTPUT_SHARE
        return max(tokens, 1.0) * self.token_seconds

    def retry_after(self) -> float:
        """Returns the seconds until the queue has probably been served."""
        slots = sum(entry.upstream.slots for entry in self.decodes.values())
        seconds = (len(self.queue) + 1) * (self.residence or 1.0)
        return max(LOWEST_RETRY_AFTER_SECONDS, seconds / max(1, slots))
