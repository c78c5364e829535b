"""Scheduler of one pool of prefill and decode engines.

It chooses the prefill engine, the transfer slot and the decode engine of a
request together, so that no prefill starts without a decode slot for it.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from coltsfootarch import results
from coltsfootarch.scheduling import assigned_attempts
from coltsfootarch.scheduling import crashing_parts
from coltsfootarch.scheduling import fair_queue
from coltsfootarch.scheduling import items
from coltsfootarch.scheduling import links
from coltsfootarch.scheduling import placement
from coltsfootarch.scheduling import pool_engines
from coltsfootarch.scheduling import quarantine
from coltsfootarch.scheduling import slow_engines

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootarch import clock as clocks
    from coltsfootarch.config import register
    from coltsfootarch.protocol import messages
    from coltsfootarch.upstreams import engine

# Time after which a prefill engine discards a result that was not transferred.
RESULT_LIFETIME_SECONDS = 0.8

# A blocked queue is checked again after this time even without an event, since
# the estimates change as time passes.
RECHECK_SECONDS = 0.02
# Interval at which expired capacity is released.
HOUSEKEEPING_SECONDS = 1.0

# A reservation without a transfer expires this long after the latest instant at
# which the transfer could have happened. The entry host is then assumed to have
# failed.
TRANSFER_GRACE_SECONDS = 5.0

# A reservation expires after this many times the time that the maximum number
# of output tokens takes at the target rate, plus the grace below. The attempt
# is then assumed to have ended without an event.
MAX_DECODE_TIME_FACTOR = 4.0
MAX_DECODE_TIME_GRACE_SECONDS = 30.0

# Weight of the newest request in the mean residence time.
RESIDENCE_SAMPLE_WEIGHT = 0.05
# Fraction of `max_output_tokens` that a request is assumed to generate until
# finished requests have been measured.
INITIAL_OUTPUT_FRACTION = 0.5
MIN_RETRY_AFTER_SECONDS = 0.1


class PoolScheduler:
    """Decides where and when the requests of one model service run.

    The scheduler does no I/O and never blocks. After each `submit`, `apply` and
    `report`, and at `next_wakeup()`, the caller must call `poll()` and deliver
    the decisions that it returns.

    Args:
        clock: Clock of all instants.
        service: The model service, with its latency targets.
        upstreams: Engines of the pool.
        result_lifetime: Seconds after which a prefill engine discards a result
            that was not transferred.

    Attributes:
        residence: Mean seconds that a request occupies a decode engine; 0 until
            one was measured.
        assigned: Running attempts.
        latest_starts: Heap of the latest useful start of waiting attempts; may
            contain attempts that no longer wait.
        prefill_busy_until: Instant before which no prefill engine accepts work,
            so that `poll()` skips placement; 0 after any change that may free
            an engine earlier.
        blocker: Why the latest item that was tried could not be placed.
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
        self.seconds_per_token = service.inter_token_target.total_seconds()
        self.residence = 0.0
        self.queue = fair_queue.FairQueue()
        self.quarantine = quarantine.Quarantine(clock)
        self.links = links.LinkSchedule()
        self.engines = pool_engines.PoolEngines()
        self.crashing_prefixes = crashing_parts.CrashingParts(clock)
        self.prefills = self.engines.prefills
        self.decodes = self.engines.decodes
        self.assigned: dict[
            items.AttemptKey, assigned_attempts.AssignedAttempt
        ] = {}
        self.latest_starts: list[tuple[float, items.AttemptKey]] = []
        self.waiting: dict[items.AttemptKey, items.WorkItem] = {}
        self.refusals: list[items.Refusal] = []
        self.blocker: placement.Blocker | None = None
        self.next_housekeeping = 0.0
        self.prefill_busy_until = 0.0
        self.set_upstreams(upstreams)

    def set_upstreams(self, upstreams: Iterable[register.Upstream]) -> None:
        """Replaces the pool's engines; engines that remain keep their state."""
        self.prefill_busy_until = 0.0
        self.engines.replace(upstreams)

    def upstreams(self) -> list[register.Upstream]:
        """Returns the pool's engines."""
        return self.engines.upstreams()

    def submit(self, item: items.WorkItem) -> None:
        """Queues an attempt; a later `poll()` returns its decision.

        An attempt that is already queued or assigned is ignored.
        """
        if item.key in self.waiting or item.key in self.assigned:
            return
        remaining_seconds = self.quarantine.remaining_seconds(item.digest)
        if remaining_seconds > 0:
            self.refuse(item, results.QUARANTINED, remaining_seconds)
            return
        if self.has_crashing_prefix(item) and not (
            self.crashing_prefixes.start_trial(
                self.service.name, item.shared_parts
            )
        ):
            self.refuse_crashing(item)
            return
        unloaded = placement.unloaded_seconds(
            item, self.prefills.values(), self.decodes.values()
        )
        if unloaded is None:
            self.refuse(item, results.NO_UPSTREAM, self.retry_after())
            return
        self.waiting[item.key] = item
        self.queue.push(item)
        latest = item.deadline - unloaded - self.seconds_per_token
        heapq.heappush(self.latest_starts, (latest, item.key))

    def has_crashing_prefix(self, item: items.WorkItem) -> bool:
        """Returns whether engines crash on a prefix of the prompt."""
        return self.crashing_prefixes.is_refused(
            self.service.name, item.shared_parts
        )

    def refuse_crashing(self, item: items.WorkItem) -> None:
        """Refuses an item until its prefix may be tried again."""
        retry_after = self.crashing_prefixes.retry_after(
            self.service.name, item.shared_parts
        )
        self.refuse(item, results.QUARANTINED, retry_after)

    def withdraw(self, key: items.AttemptKey) -> None:
        """Removes a queued attempt whose caller no longer waits for it."""
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
        while self.queue and now >= self.prefill_busy_until:
            assignment = self.place_next(now)
            if assignment is None:
                break
            decisions.append(assignment)
        return decisions

    def next_wakeup(self) -> float:
        """Returns the monotonic instant of the next `poll()` without events."""
        now = self.clock.monotonic()
        wakeup = self.next_housekeeping
        if self.latest_starts:
            wakeup = min(wakeup, self.latest_starts[0][0])
        if self.refusals:
            return now
        if self.queue:
            recheck_at = max(now + RECHECK_SECONDS, self.prefill_busy_until)
            wakeup = min(wakeup, recheck_at)
        return max(wakeup, now)

    def apply(self, event: messages.ScheduleEvent) -> None:
        """Applies an attempt's state change reported by its entry host."""
        key = items.AttemptKey(event.request_id, event.attempt)
        now = self.clock.monotonic()
        entry = self.assigned.get(key)
        if entry is None:
            if event.step == "cancelled":
                self.withdraw(key)
            return
        if event.step == "prefilled":
            self.record_prefilled(key, entry, now)
        elif event.step == "transferred":
            self.record_transferred(key, entry, now)
        elif event.step in items.TERMINAL_STEPS:
            self.finish_attempt(key, entry, event, now)

    def apply_load_report(self, upstream: str, load: engine.LoadReport) -> None:
        """Applies an engine's load report."""
        now = self.clock.monotonic()
        queue = self.prefills.get(upstream)
        if queue is not None:
            self.prefill_busy_until = 0.0
            queue.apply_load_report(load, now)
        capacity = self.decodes.get(upstream)
        if capacity is not None:
            for entry in capacity.apply_load_report(load, now):
                self.release_attempt(entry.key, now)

    def cache_event(self, upstream: str, event: engine.CacheEvent) -> None:
        """Applies a change of an engine's prefix cache."""
        queue = self.prefills.get(upstream)
        if queue is not None:
            queue.cache.apply(event)

    def place_next(self, now: float) -> items.Assignment | None:
        """Assigns the first item that can be placed, in fair-queue order.

        Returns None if no item can be placed now.
        """
        for item in self.queue.first_items():
            choice = self.find_placement(item, now)
            if isinstance(choice, placement.Placement):
                return self.assign(item, choice, now)
            self.blocker = choice
            if choice is placement.Blocker.PREFILL and not item.excluded:
                self.prefill_busy_until = placement.earliest_start(
                    self.prefills.values(), now
                )
            # Skipping an item that waits for capacity in favour of other
            # accounts would starve requests that need much memory. An item is
            # skipped if only its exclusions, its isolation or its deadline
            # rule out the free engines.
            waits_for_capacity = choice in (
                placement.Blocker.PREFILL,
                placement.Blocker.DECODE,
            )
            is_isolated = self.quarantine.is_isolated(item.digest)
            if waits_for_capacity and not item.excluded and not is_isolated:
                return None
        return None

    def find_placement(
        self, item: items.WorkItem, now: float
    ) -> placement.Placement | placement.Blocker:
        """Returns a placement for an item, or what blocks it."""
        source = placement.choose_prefill(item, self.prefills.values(), now)
        if isinstance(source, placement.Blocker):
            return source
        timing = placement.Timing(
            now,
            self.result_lifetime,
            self.mean_residence(item),
            self.seconds_per_token,
        )
        return placement.choose_decode(
            item,
            source,
            assigned_attempts.allowed_engines(
                item, self.decodes, self.assigned.values(), self.quarantine
            ),
            self.links,
            timing,
            self.quarantine.is_suspect(item.digest),
        )

    def assign(
        self, item: items.WorkItem, choice: placement.Placement, now: float
    ) -> items.Assignment:
        """Reserves the chosen capacity and removes the item from the queue."""
        self.queue.dequeue(item)
        del self.waiting[item.key]
        source = choice.prefill.upstream.name
        target = choice.decode.upstream.name
        choice.prefill.dispatch(item.key, choice.uncached_tokens, now)
        expires_at = (
            choice.transfer.end + self.result_lifetime + TRANSFER_GRACE_SECONDS
        )
        choice.decode.reserve(item.key, choice.pieces, now, expires_at)
        self.links.reserve(source, target, item.key, choice.transfer)
        self.assigned[item.key] = assigned_attempts.AssignedAttempt(
            item, source, target
        )
        return items.Assignment(item.request_id, item.attempt, source, target)

    def record_prefilled(
        self,
        key: items.AttemptKey,
        entry: assigned_attempts.AssignedAttempt,
        now: float,
    ) -> None:
        """Records a completed prefill; ejects the engine if it is slow."""
        self.prefill_busy_until = 0.0
        queue = self.prefills.get(entry.prefill)
        if queue is None:
            return
        queue.record_prefilled(key, now)
        if slow_engines.prefill_is_slow(queue, self.prefills.values(), now):
            queue.health.eject(now)
        else:
            queue.health.record_success(now)

    def record_transferred(
        self,
        key: items.AttemptKey,
        entry: assigned_attempts.AssignedAttempt,
        now: float,
    ) -> None:
        """Releases the links and records that the attempt is decoding."""
        self.links.release(entry.prefill, entry.decode, key)
        capacity = self.decodes.get(entry.decode)
        if capacity is None:
            return
        max_seconds = entry.item.max_output_tokens * self.seconds_per_token
        max_seconds = (
            max_seconds * MAX_DECODE_TIME_FACTOR + MAX_DECODE_TIME_GRACE_SECONDS
        )
        capacity.mark_transferred(key, now, now + max_seconds)

    def finish_attempt(
        self,
        key: items.AttemptKey,
        entry: assigned_attempts.AssignedAttempt,
        event: messages.ScheduleEvent,
        now: float,
    ) -> None:
        """Records the outcome of an attempt and releases its capacity.

        The account is refunded for output tokens that were not generated.
        """
        if event.tokens:
            self.crashing_prefixes.record_sound(
                self.service.name, entry.item.shared_parts
            )
        if event.step == "finished":
            self.record_finished(key, entry, event, now)
            self.quarantine.clear(entry.item.digest)
        if event.step == "crashed":
            digests = assigned_attempts.digests_on(
                event.upstream, self.assigned.values()
            )
            self.quarantine.record_crash(
                event.upstream, entry.item.digest, digests
            )
            if not event.tokens:
                self.record_crashing_prefix(event.upstream, entry.item)
        if event.step in ("failed", "crashed"):
            self.engines.record_failure(event.upstream, now)
        unused = max(0, entry.item.max_output_tokens - event.tokens)
        self.queue.charge(entry.item.account, -unused / entry.item.weight)
        self.release_attempt(key, now)

    def record_crashing_prefix(
        self, upstream: str, item: items.WorkItem
    ) -> None:
        """Records a crash before an item generated; refuses similar ones."""
        # All reports of one crash have the instant of the first one.
        crashed_at = self.quarantine.last_crashes[upstream].at
        self.crashing_prefixes.record_crash(
            self.service.name, item.shared_parts, f"{upstream}@{crashed_at}"
        )
        for waiting in list(self.waiting.values()):
            if self.has_crashing_prefix(waiting):
                self.withdraw(waiting.key)
                self.refuse_crashing(waiting)

    def record_finished(
        self,
        key: items.AttemptKey,
        entry: assigned_attempts.AssignedAttempt,
        event: messages.ScheduleEvent,
        now: float,
    ) -> None:
        """Updates the decode measurements; ejects the engine if it is slow."""
        capacity = self.decodes.get(entry.decode)
        if capacity is None:
            return
        reservation = capacity.reservations.get(key)
        if reservation is None or reservation.transferred_at is None:
            capacity.health.record_success(now)
            return
        seconds = now - reservation.transferred_at
        capacity.record_decode_speed(seconds, event.tokens)
        if not self.residence:
            self.residence = self.mean_residence(entry.item)
        change = seconds - self.residence
        self.residence += RESIDENCE_SAMPLE_WEIGHT * change
        if slow_engines.decode_is_slow(
            capacity, self.decodes.values(), self.seconds_per_token
        ):
            capacity.health.eject(now)
        else:
            capacity.health.record_success(now)

    def release_attempt(self, key: items.AttemptKey, now: float) -> None:
        """Releases the link, prefill and decode capacity of an attempt."""
        entry = self.assigned.pop(key, None)
        if entry is None:
            return
        self.links.release(entry.prefill, entry.decode, key)
        queue = self.prefills.get(entry.prefill)
        if queue is not None and key in queue.in_progress:
            self.prefill_busy_until = 0.0
            queue.remove(key, now)
        capacity = self.decodes.get(entry.decode)
        if capacity is not None:
            capacity.release(key, now)

    def run_housekeeping(self, now: float) -> None:
        """Releases expired capacity whose end no event or report has shown."""
        self.next_housekeeping = now + HOUSEKEEPING_SECONDS
        self.prefill_busy_until = 0.0
        self.queue.prune()
        self.crashing_prefixes.expire()
        for queue in self.prefills.values():
            queue.expire(now)
        for capacity in self.decodes.values():
            for entry in capacity.expire(now):
                self.release_attempt(entry.key, now)

    def refuse_late(self, now: float) -> None:
        """Refuses queued items that can no longer meet their deadline."""
        while self.latest_starts and self.latest_starts[0][0] < now:
            _, key = heapq.heappop(self.latest_starts)
            item = self.waiting.get(key)
            if item is None:
                continue
            self.withdraw(key)
            self.refuse(item, results.OVERLOADED, self.retry_after())

    def refuse(
        self, item: items.WorkItem, code: results.ResultCode, retry_after: float
    ) -> None:
        """Queues a refusal for the next `poll()`."""
        self.refusals.append(
            items.Refusal(item.request_id, item.attempt, code, retry_after)
        )

    def mean_residence(self, item: items.WorkItem) -> float:
        """Returns the mean seconds that a request occupies a decode engine.

        Until a request was measured, the result is an estimate from the item's
        maximum output and the target time between tokens.
        """
        if self.residence:
            return self.residence
        tokens = item.max_output_tokens * INITIAL_OUTPUT_FRACTION
        return max(tokens, 1.0) * self.seconds_per_token

    def retry_after(self) -> float:
        """Returns the estimated seconds until the current queue is served."""
        slots = sum(entry.upstream.slots for entry in self.decodes.values())
        seconds = (len(self.queue) + 1) * (self.residence or 1.0)
        return max(MIN_RETRY_AFTER_SECONDS, seconds / max(1, slots))
