"""Pipeline of generation requests: placement, prefill, decode, streaming."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import structlog

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.forwarding import decode_readiness
from coltsfootarch.forwarding import decode_replacement
from coltsfootarch.forwarding import decode_stage
from coltsfootarch.forwarding import engine_preparation
from coltsfootarch.forwarding import generations
from coltsfootarch.forwarding import part_refusals
from coltsfootarch.forwarding import prefill_stage
from coltsfootarch.forwarding import reservations
from coltsfootarch.forwarding import silent_engines
from coltsfootarch.scheduling import dispatch_queue

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.forwarding import calls
    from coltsfootarch.forwarding import context
    from coltsfootarch.forwarding import upstream_exchange
    from coltsfootarch.scheduling import engine_placement

# Failed connections to decode engines after which a request is given up.
MAX_CONNECT_FAILURES = 3
# Refused reservations after which a request is given up.
MAX_RESERVATION_REFUSALS = 6
# Remaining time below which no further attempt is started, in seconds.
MIN_TIME_LEFT_S = 0.15
# `Retry-After` of a request whose engines could not be connected, in seconds.
RETRY_AFTER_S = 0.5
# Shortest wait after a refusal for overload, in seconds, before jitter. Bursts
# last several seconds; a request that is retried sooner finds the same load.
MIN_OVERLOAD_RETRY_S = 1.5
# Upper bound of `Retry-After` as a fraction of the caller's remaining time: at
# most a third of it is spent waiting.
RETRY_AFTER_FRACTION = 0.32

logger = structlog.get_logger(__name__)


class GenerationPipeline:
    """Places generation requests on engines, runs and retries them.

    Args:
        context: Components that all pipelines of the host share.
    """

    def __init__(self, context: context.Context) -> None:
        self.context = context
        self.silent_engines = silent_engines.SilentEngines(context)
        self.reservations = reservations.Reservations(
            context, self.silent_engines
        )
        self.decode_readiness = decode_readiness.DecodeReadiness(
            context, self.silent_engines, self.reservations
        )
        self.prefill_stage = prefill_stage.PrefillStage(
            context,
            self.decode_readiness,
            decode_replacement.DecodeReplacement(
                context, self.decode_readiness, self
            ),
        )
        self.decode_stage = decode_stage.DecodeStage(context)
        self.generator = random.Random()

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.context.clock

    def run(
        self,
        call: calls.Call,
        service: policy.Service,
        version: str | None = None,
    ) -> None:
        """Runs a generation request and sends its response.

        Args:
            call: The request.
            service: Its service.
            version: Software version that began the stream that it takes up.

        Raises:
            errors.RefusedError: There is no response to relay.
            cancellation.CallerDisconnectedError: The caller disconnected.
        """
        self.context.budget.record(call.service)
        generation = generations.Generation(
            call,
            service,
            not call.request.takes_up
            and self.context.refusals.was_refused(call.digest),
        )
        if version is not None:
            generation.version = version
        try:
            while not generation.finished and (
                generation.moved or self.may_attempt(generation)
            ):
                generation.needs_retry = bool(
                    generation.call.attempts and not generation.moved
                )
                generation.moved = False
                replacement, generation.replacement = (
                    generation.replacement,
                    None,
                )
                generation.has_moved = replacement is not None
                if replacement is None:
                    placement = self.place(generation)
                    if placement is None:
                        break
                    exchange = self.create_exchange(generation, placement)
                else:
                    placement = replacement.placement
                    exchange = replacement.exchange
                generation.placement = placement
                generation.event_count = 0
                generation.prompt_prefilled = False
                generation.reservation = (
                    replacement.reservation if replacement else ""
                )
                generation.reservation_ends_at = (
                    replacement.reservation_ends_at if replacement else 0.0
                )
                try:
                    self.attempt(generation, placement, exchange)
                finally:
                    self.release(generation, exchange)
        finally:
            self.prefill_stage.release(generation)
            replacement = generation.replacement
            if replacement is not None:
                generation.placement = replacement.placement
                generation.reservation = replacement.reservation
                generation.prompt_prefilled = False
                self.release(generation, replacement.exchange)
            self.reservations.abandon_late(generation)
        self.finish(generation)

    def create_exchange(
        self,
        generation: generations.Generation,
        placement: engine_placement.Placement,
    ) -> upstream_exchange.UpstreamExchange:
        """Returns an unconnected exchange; it counts towards limits."""
        exchange = self.decode_stage.create_exchange(generation, placement)
        self.context.notices.limits.take(placement.decode)
        return exchange

    def release(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> None:
        """Releases a decode engine after an attempt, or if there was none."""
        exchange.close()
        placement = generation.placement
        if placement is None:
            return
        if not exchange.sent:
            self.context.outcome_tracker.withdraw_dispatch(placement.decode.id)
            self.context.notices.limits.give_back(placement.decode)
            self.reservations.drop(generation)
        self.context.queue.release(placement, generation.prompt_prefilled)

    def may_attempt(self, generation: generations.Generation) -> bool:
        """Returns whether another attempt is allowed now."""
        call = generation.call
        if generation.connect_failures >= MAX_CONNECT_FAILURES:
            return False
        if generation.reservation_refusals >= MAX_RESERVATION_REFUSALS:
            return False
        if call.ends_at - self.clock.monotonic() < MIN_TIME_LEFT_S:
            return False
        if self.is_refused(call):
            return False
        if call.attempts == 0:
            return True
        if call.attempts >= call.route.max_attempts:
            return False
        allowed = self.context.budget.may_spend(call.service)
        if not allowed:
            self.log_budget_exhausted(call)
        return allowed

    def take_retry(self, generation: generations.Generation) -> bool:
        """Takes a retry from the service's budget for an attempt to be sent.

        Returns:
            Whether there was one.
        """
        call = generation.call
        if not self.context.budget.spend(call.service):
            self.log_budget_exhausted(call)
            return False
        if call.responder.started:
            self.context.metrics.resumes.labels(call.service).inc()
        return True

    def log_budget_exhausted(self, call: calls.Call) -> None:
        """Logs that the retry budget allows no further attempt."""
        logger.info(
            "retry budget exhausted",
            request_id=call.request.id,
            service=call.service,
            attempts=call.attempts,
        )

    def is_refused(self, call: calls.Call) -> bool:
        """Returns whether the request is known to crash or break upstreams."""
        return self.context.break_counts.is_refused(
            call.digest
        ) or self.has_crashing_part(call)

    def has_crashing_part(self, call: calls.Call) -> bool:
        """Returns whether a part of the prompt is known to crash engines."""
        if call.is_trial and not call.may_have_run:
            return False
        return self.context.crashing_parts.is_refused(
            call.service, call.request.shared_parts
        )

    def place(
        self, generation: generations.Generation
    ) -> engine_placement.Placement | None:
        """Waits for engines with capacity; returns None if there are none.

        Raises:
            cancellation.CallerDisconnectedError: The caller disconnected.
        """
        call = generation.call
        # With a prefill result, `attempt` skips the prefill engine. One is
        # chosen nevertheless: a placement without one reserves the decode
        # engine for a local prefill, and the result may expire before the
        # attempt.
        has_prefill_result = generation.prefill_result is not None
        demand = generation.demand._replace(
            may_use_prefill_engine=has_prefill_result or generation.may_prefill
        )
        waiter = dispatch_queue.Waiter(
            generation.service,
            demand,
            frozenset(call.tried),
            call.route.priority,
            call.request.received_at,
            call.request.received_at + call.route.objective_s,
            generation.is_retry,
        )
        if not self.context.engine_placer.decode_engines(
            call.service, waiter.excluded, generation.version
        ):
            if generation.connect_failures or not call.tried:
                return None
            # Attempts failed on all engines, but all could be connected, so
            # that one may have recovered.
            waiter.excluded = frozenset()
            if not self.context.engine_placer.decode_engines(
                call.service, (), generation.version
            ):
                return None
        return self.acquire(generation, waiter, self.max_wait_s(generation))

    def acquire(
        self,
        generation: generations.Generation,
        waiter: dispatch_queue.Waiter,
        timeout_s: float,
    ) -> engine_placement.Placement | None:
        """Waits for engines with capacity; returns None if there are none.

        Args:
            generation: The request.
            waiter: The request in the queue.
            timeout_s: Maximum wait in seconds.

        Raises:
            cancellation.CallerDisconnectedError: The wait was cancelled.
        """
        call = generation.call
        started = self.clock.monotonic()
        with call.cancellation.attached(waiter.wake_event.set):
            placement = self.context.queue.acquire(waiter, timeout_s)
        if call.cancellation.cancelled:
            if placement is not None:
                self.context.queue.release(placement, prompt_prefilled=False)
            call.cancellation.check()
        waited = self.clock.monotonic() - started
        self.context.metrics.queue_time.labels(call.service).observe(waited)
        logger.info(
            "engines chosen" if placement else "no engine capacity in time",
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
            waiting=self.context.queue.waiting(call.service),
            returned=generation.is_retry,
            waited_ms=round(waited * 1000),
        )
        return placement

    def max_wait_s(self, generation: generations.Generation) -> float:
        """Returns how long to wait for an engine, in seconds.

        A new request waits as long as it can meet its objective. One that can't
        is refused with a `Retry-After`, since newer requests would be placed
        first. A retry after such a refusal, a request that was sent to an
        engine before or takes up a stream, and one that needs an engine that is
        silent wait as long as the caller does.
        """
        call = generation.call
        now = self.clock.monotonic()
        caller_leaves_at = (
            generation.last_activity_at + call.route.silence_timeout_s
        )
        latest = (
            min(call.ends_at, caller_leaves_at)
            - dispatch_queue.UNLOADED_FIRST_EVENT_S
        )
        if (
            call.attempts
            or call.request.takes_up
            or generation.is_retry
            or self.silent_engines.is_awaited(generation)
        ):
            return latest - now
        due_at = call.request.received_at + call.route.objective_s
        due_at -= dispatch_queue.UNLOADED_FIRST_EVENT_S
        if now + self.context.queue.expected_wait(call.service) > due_at:
            return 0.0
        return min(due_at, latest) - now

    def attempt(
        self,
        generation: generations.Generation,
        placement: engine_placement.Placement,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> None:
        """Prefills the prompt if needed and generates at the decode engine.

        The decode engine is connected first, so that no prefill is wasted if it
        is down. It prefills the prompt itself if no prefill engine does.
        """
        call = generation.call
        if self.is_refused(call):
            return
        if generation.version is None:
            self.context.stream_versions.announce(call, placement.decode)
        if not exchange.sent:
            if not self.make_ready(generation, placement, exchange):
                return
            if generation.needs_retry and not self.take_retry(generation):
                return
        self.decode_stage.generate(
            generation,
            placement.decode,
            exchange,
            lambda: self.prepare(generation, exchange),
        )

    def make_ready(
        self,
        generation: generations.Generation,
        placement: engine_placement.Placement,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> bool:
        """Connects the decode engine and prefills the prompt if needed.

        Returns:
            Whether the request may be sent to the decode engine.
        """
        call = generation.call
        is_prepared = exchange.connection is not None
        if not is_prepared and not self.decode_readiness.connect(
            generation, exchange
        ):
            return False
        prefill_result = generation.prefill_result
        now = self.clock.monotonic()
        if prefill_result is not None and not prefill_result.is_usable(now):
            self.prefill_stage.release(generation)
        if (
            generation.prefill_result is None
            and placement.prefill is not None
            and self.admit_prefill(generation)
        ):
            if not generation.reservation and not self.reservations.reserve(
                generation, exchange
            ):
                return False
            self.prefill_stage.run(generation, placement.prefill, exchange)
        call.cancellation.check()
        if generation.replacement is not None:
            return False
        if not self.decode_readiness.restore(generation, exchange):
            return False
        if self.is_refused(call):
            return False
        if not self.context.directory.is_serving(placement.decode.id):
            # The decode engine was drained or removed during the prefill; the
            # request was not sent to it.
            call.tried.append(placement.decode.id)
            generation.connect_failures += 1
            return False
        exchange.delivery = self.decode_stage.build_delivery(
            generation, placement
        )
        return True

    def prepare(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> engine_preparation.EnginePreparation:
        """Returns the preparation of another engine for a silent stream."""
        return engine_preparation.EnginePreparation(
            self.context,
            self.decode_stage,
            self.decode_readiness,
            self,
            generation,
            exchange,
        )

    def admit_prefill(self, generation: generations.Generation) -> bool:
        """Returns whether to prefill the prompt at a prefill engine.

        The first prefill of a request is always allowed. A further one is a
        retry and takes one from the service's budget.
        """
        if not generation.prefilled:
            return True
        return generation.may_prefill and self.context.budget.spend(
            generation.call.service
        )

    def finish(self, generation: generations.Generation) -> None:
        """Sends the final response, or aborts one that is incomplete.

        Raises:
            errors.RefusedError: There is no response to relay.
        """
        call = generation.call
        response = generation.response
        if call.responder.started:
            # Part of the response was sent, so that a failure can only be
            # shown by aborting it.
            if response is None or not response.status < 300:
                call.responder.abort()
            return
        if response is not None and not response.implies_not_run:
            call.responder.respond(
                response.status, response.fields, response.body
            )
            return
        if response is not None or call.may_have_run:
            raise errors.RefusedError(generation.failure.code)
        if self.has_crashing_part(call):
            raise part_refusals.refusal(self.context.crashing_parts, call)
        if self.context.break_counts.is_refused(call.digest):
            raise errors.RefusedError(results.REPEATED_BREAKS)
        # No engine ran the request. If the caller retries it, `was_refused`
        # recognizes it.
        self.context.refusals.record(call.digest)
        raise errors.RefusedError(
            results.OVERLOADED, retry_after=self.retry_after(generation)
        )

    def retry_after(self, generation: generations.Generation) -> float:
        """Returns the seconds after which a refused caller should retry.

        By then the present backlog should have been processed. Jitter of up to
        the wait itself keeps refused callers from retrying at the same time.
        """
        call = generation.call
        if generation.connect_failures:
            return RETRY_AFTER_S
        wait = max(
            self.context.queue.expected_wait(call.service),
            self.context.notices.shortest_wait_s(
                self.context.directory.members(call.service)
            ),
        )
        wait = max(wait, MIN_OVERLOAD_RETRY_S) * (1 + self.generator.random())
        time_left = call.ends_at - self.clock.monotonic()
        return min(wait, time_left * RETRY_AFTER_FRACTION)
