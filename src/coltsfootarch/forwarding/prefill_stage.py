"""Runs the prefill stage: computes the KV cache of prompts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import structlog

from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import generations
from coltsfootarch.forwarding import prefill_calls
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import context
    from coltsfootarch.forwarding import decode_readiness
    from coltsfootarch.forwarding import decode_replacement
    from coltsfootarch.forwarding import upstream_exchange

# The longest prompts take 0.2 s to prefill; from several times as long on, the
# decode engine is asked to take over.
PREFILL_TIMEOUT_S = 1.2
# The same for a stream that has moved, which has been silent for long already.
MOVED_PREFILL_TIMEOUT_S = 0.4
# Shortest and longest interval at which it is asked again, in seconds; each
# interval is twice as long as the one before.
MIN_TAKE_OVER_INTERVAL_S = 0.1
MAX_TAKE_OVER_INTERVAL_S = 0.8
# Failures of the chosen engine to take over from which on others are asked too,
# 0.7 s after the first one. A short silence costs no second prefill by then.
MAX_TAKE_OVER_FAILURES = 4

logger = structlog.get_logger(__name__)


class PrefillStage:
    """Sends prompts to prefill engines and frees results that stay unused.

    Args:
        context: Components that all pipelines of the host share.
        readiness: Lets decode engines take over.
        replacement: Finds another decode engine if the chosen one can't.
    """

    def __init__(
        self,
        context: context.Context,
        readiness: decode_readiness.DecodeReadiness,
        replacement: decode_replacement.DecodeReplacement,
    ) -> None:
        self.context = context
        self.decode_readiness = readiness
        self.decode_replacement = replacement

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.context.clock

    def run(
        self,
        generation: generations.Generation,
        engine: upstreams.Upstream,
        decode_exchange: upstream_exchange.UpstreamExchange,
    ) -> None:
        """Prefills the prompt and stores the result in the generation.

        If this fails, the decode engine prefills the prompt itself. An engine
        that is silent may still respond; it is awaited until a decode engine is
        certain to take over. If that isn't the chosen one, it becomes the
        generation's replacement.

        Args:
            generation: The request.
            engine: The prefill engine.
            decode_exchange: Connected exchange with the decode engine.
        """
        call = generation.call
        now = self.clock.monotonic()
        load_ahead = self.context.loads.load(engine.id)
        prefill = prefill_calls.PrefillCall(self.context, call, engine)
        prefill.start()
        try:
            self.wait(generation, prefill, decode_exchange)
            call.cancellation.check()
        except BaseException:
            prefill.abandon()
            raise
        answered = prefill.ended
        outcome = prefill.outcome
        reason = prefill.reason
        elapsed = self.clock.monotonic() - now
        if not answered:
            prefill.abandon()
        if prefill.broken or not answered:
            self.context.crash_check.check(call.digest, engine)
        if prefill.exchange.sent:
            # The first prefill that an engine accepts is no attempt; one that
            # is silent has not refused it.
            accepted = not answered or outcome is outcomes.Outcome.SUCCESS
            if generation.prefilled or not accepted:
                call.attempts += 1
            generation.prefilled = True
        # A silence says nothing about the time that a prefill takes.
        generation.prefill_s = min(elapsed, PREFILL_TIMEOUT_S) / (
            1 + load_ahead.requests
        )
        if answered and prefill.handle:
            generation.prefill_result = generations.PrefillResult(
                calls.KvCacheSource(engine.address, prefill.handle),
                self.clock.monotonic(),
                self.handle_lifetime(generation.service),
            )
            self.context.prefill_times.record(
                call.service,
                call.request.prompt_tokens,
                generation.prefill_s,
            )
        if not (prefill.exchange.aborted or prefill.exchange.lacks_memory):
            self.context.outcome_tracker.record(engine.id, outcome, elapsed)
        logger.info(
            "prefill ended",
            request_id=call.request.id,
            upstream=engine.id,
            digest=call.digest,
            breaks=self.context.break_counts.count(call.digest),
            outcome=outcome.value,
            reason=reason,
            took_ms=round(elapsed * 1000),
        )

    def wait(
        self,
        generation: generations.Generation,
        prefill: prefill_calls.PrefillCall,
        decode_exchange: upstream_exchange.UpstreamExchange,
    ) -> None:
        """Waits until the prefill has ended or a decode engine takes over.

        Raises:
            cancellation.CallerDisconnectedError: The caller disconnected.
        """
        ends_at = generation.call.ends_at
        wait_s = PREFILL_TIMEOUT_S
        if generation.has_moved:
            wait_s = MOVED_PREFILL_TIMEOUT_S
        next_wait_s = MIN_TAKE_OVER_INTERVAL_S
        failures = 0
        while not prefill.wait(min(wait_s, ends_at - self.clock.monotonic())):
            if self.clock.monotonic() >= ends_at:
                return
            if self.decode_readiness.take_over(generation, decode_exchange):
                return
            if prefill.ended:
                return
            failures += 1
            if (
                failures >= MAX_TAKE_OVER_FAILURES
                and self.decode_replacement.find(generation, decode_exchange)
            ):
                return
            wait_s = next_wait_s
            next_wait_s = min(2 * next_wait_s, MAX_TAKE_OVER_INTERVAL_S)

    def handle_lifetime(self, service: policy.Service) -> float:
        """Returns how long engines keep a prefill result, in seconds."""
        return (
            service.engine.prefill_result_lifetime_s if service.engine else 0.0
        )

    def release(self, generation: generations.Generation) -> None:
        """Frees a prefill result that no decode engine has fetched."""
        prefill_result, generation.prefill_result = (
            generation.prefill_result,
            None,
        )
        if prefill_result is None:
            return
        age = self.clock.monotonic() - prefill_result.created_at
        if age < prefill_result.lifetime_s:
            gevent.spawn(
                prefill_calls.send_release, self.context, prefill_result.source
            )
