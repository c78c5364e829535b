"""Requests of model services: prefill, decode, and the stream of events."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import structlog

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.forwarding import decode_stage
from coltsfootarch.forwarding import generations
from coltsfootarch.forwarding import prefill_stage
from coltsfootarch.scheduling import dispatch_queue

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.forwarding import calls
    from coltsfootarch.forwarding import context
    from coltsfootarch.scheduling import engine_placement

MAX_CONNECT_FAILURES = 3
# Engines that may refuse a reservation, per request.
MAX_REFUSALS = 6
# Time for which a generation is worth starting, in seconds.
MIN_TIME_LEFT_S = 0.15
RETRY_AFTER_S = 0.5
# Bursts last some seconds; a request that returns within less meets the same
# load again.
MIN_OVERLOAD_S = 1.5
# Callers wait at most a third of the time that they have left.
RETURN_PART = 0.32

logger = structlog.get_logger(__name__)


class GenerationPipeline:
    """Places generations on engines and has them answered.

    Args:
        parts: What pipelines share.
    """

    def __init__(self, parts: context.Context) -> None:
        self.parts = parts
        self.prefill = prefill_stage.PrefillStage(parts)
        self.decode = decode_stage.DecodeStage(parts)
        self.generator = random.Random()

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.parts.clock

    def run(self, call: calls.Call, service: policy.Service) -> None:
        """Answers a generation request.

        Raises:
            errors.RefusedError: There is no answer to relay.
            cancellation.CallerLeftError: The caller left.
        """
        self.parts.budget.record(call.service)
        generation = generations.Generation(
            call, service, self.parts.refusals.is_known(call.digest)
        )
        try:
            while not generation.finished and self.may_try(generation):
                placement = self.place(generation)
                if placement is None:
                    break
                generation.placement = placement
                generation.events = 0
                generation.prompt_read = False
                generation.reservation = ""
                try:
                    self.attempt(generation, placement)
                finally:
                    self.parts.queue.release(placement, generation.prompt_read)
        finally:
            self.prefill.release(generation)
        self.finish(generation)

    def may_try(self, generation: generations.Generation) -> bool:
        """Returns whether another attempt is allowed."""
        call = generation.call
        if generation.connect_failures >= MAX_CONNECT_FAILURES:
            return False
        if generation.refusals >= MAX_REFUSALS:
            return False
        if call.ends_at - self.clock.monotonic() < MIN_TIME_LEFT_S:
            return False
        if call.attempts == 0:
            return True
        if call.attempts >= call.route.max_attempts:
            return False
        if self.parts.breaks.is_refused(call.digest):
            return False
        allowed = self.parts.budget.spend(call.service)
        if allowed and call.responder.started:
            self.parts.metrics.resumes.labels(call.service).inc()
        if not allowed:
            logger.info(
                "retry refused by the budget",
                request_id=call.request.id,
                service=call.service,
                attempts=call.attempts,
            )
        return allowed

    def place(
        self, generation: generations.Generation
    ) -> engine_placement.Placement | None:
        """Waits for engines with room; None if there will be none in time."""
        call = generation.call
        started = self.clock.monotonic()
        is_read = generation.memory is not None
        demand = generation.demand._replace(
            prefill=is_read or generation.has_prefill_left
        )
        waiter = dispatch_queue.Waiter(
            generation.service,
            demand,
            frozenset(call.tried),
            call.route.priority,
            call.request.received_at,
            call.request.received_at + call.route.objective_s,
            generation.returned,
        )
        if not self.parts.engine_placer.decode_engines(
            call.service, waiter.excluded
        ):
            if generation.connect_failures or not call.tried:
                return None
            # The only engine broke off; it may be back.
            waiter.excluded = frozenset()
        with call.cancellation.attached(waiter.woken.set):
            placement = self.parts.queue.acquire(
                waiter, self.longest_wait(generation)
            )
        if call.cancellation.cancelled:
            if placement is not None:
                self.parts.queue.release(placement, prompt_read=False)
            call.cancellation.check()
        waited = self.clock.monotonic() - started
        self.parts.metrics.queue_time.labels(call.service).observe(waited)
        logger.info(
            "engines chosen" if placement else "no room in time",
            request_id=call.request.id,
            prefill=placement.prefill.id
            if placement and placement.prefill
            else None,
            decode=placement.decode.id if placement else None,
            memory_tokens=generation.demand.memory_tokens,
            decode_tokens=placement.decode_load.tokens if placement else None,
            decode_requests=placement.decode_load.requests
            if placement
            else None,
            view_age_ms=round(placement.view_age_s * 1000)
            if placement
            else None,
            waiting=self.parts.queue.waiting(call.service),
            returned=generation.returned,
            waited_ms=round(waited * 1000),
        )
        return placement

    def longest_wait(self, generation: generations.Generation) -> float:
        """Returns how long to wait for an engine, in seconds.

        A new request waits while it can be in time. One that can't is told
        when to come back, as newer requests would go first; if it came back
        already, or has been sent before, it waits while its caller does.
        """
        call = generation.call
        now = self.clock.monotonic()
        patience = generation.heard_at + call.route.patience_s
        last = min(call.ends_at, patience) - dispatch_queue.SERVICE_TIME_S
        if call.attempts or generation.returned:
            return last - now
        due = call.request.received_at + call.route.objective_s
        due -= dispatch_queue.SERVICE_TIME_S
        if now + self.parts.queue.expected_wait(call.service) > due:
            return 0.0
        return min(due, last) - now

    def attempt(
        self,
        generation: generations.Generation,
        placement: engine_placement.Placement,
    ) -> None:
        """Reads the prompt, if needed, and generates.

        The decode engine is connected first: a prompt that was read for an
        engine that is down would be read in vain.
        """
        call = generation.call
        sending = self.decode.open(generation, placement)
        try:
            if not self.decode.connect(generation, sending):
                return
            memory = generation.memory
            now = self.clock.monotonic()
            if memory is not None and not memory.is_usable(now):
                generation.memory = None
            if (
                generation.memory is None
                and placement.prefill is not None
                and self.spend_prefill(generation)
            ):
                if not self.decode.reserve(generation, sending):
                    return
                self.prefill.read_prompt(generation, placement.prefill)
            call.cancellation.check()
            sending = self.decode.reconnected(generation, sending)
            if not self.parts.directory.is_serving(placement.decode.id):
                # It left while the prompt was read; nothing was sent to it.
                call.tried.append(placement.decode.id)
                generation.connect_failures += 1
                return
            sending.delivery = self.decode.delivery(generation, placement)
            self.decode.generate(generation, placement.decode, sending)
        finally:
            sending.close()

    def spend_prefill(self, generation: generations.Generation) -> bool:
        """Returns whether to have the prompt read.

        A further prefill of a request is a retry and spends the budget.
        """
        if not generation.prefilled:
            return True
        return generation.has_prefill_left and self.parts.budget.spend(
            generation.call.service
        )

    def finish(self, generation: generations.Generation) -> None:
        """Ends the answer or refuses."""
        call = generation.call
        answer = generation.answer
        if call.responder.started:
            if answer is None or not answer.status < 300:
                call.responder.abort()
            return
        if answer is not None and not answer.promises_not_run:
            call.responder.answer(answer.status, answer.fields, answer.body)
            return
        if answer is not None or call.may_have_run:
            raise errors.RefusedError(generation.fate.code)
        self.parts.refusals.note(call.digest)
        raise errors.RefusedError(
            results.OVERLOADED, retry_after=self.retry_after(generation)
        )

    def retry_after(self, generation: generations.Generation) -> float:
        """Returns when a refused request is likely to find room, in seconds.

        The backlog must have been worked off by then; callers come back at
        different times, so that they don't all meet again.
        """
        call = generation.call
        if generation.connect_failures:
            return RETRY_AFTER_S
        wait = self.parts.queue.expected_wait(call.service)
        wait = max(wait, MIN_OVERLOAD_S) * (1 + self.generator.random())
        left = call.ends_at - self.clock.monotonic()
        return min(wait, left * RETURN_PART)
