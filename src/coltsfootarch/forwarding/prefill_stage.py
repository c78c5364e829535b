"""Runs the prefill stage: computes the KV cache of prompts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import structlog

from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import generations
from coltsfootarch.forwarding import upstream_exchange
from coltsfootarch.http1 import client
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import context

# The longest prompts take 0.2 s to prefill; an engine that needs several times
# as long is stuck.
PREFILL_TIMEOUT_S = 1.2
# Timeout of each step of freeing an unused prefill result, in seconds.
RELEASE_TIMEOUT_S = 0.5

logger = structlog.get_logger(__name__)


class PrefillStage:
    """Sends prompts to prefill engines and frees results that stay unused.

    Args:
        context: Components that all pipelines of the host share.
    """

    def __init__(self, context: context.Context) -> None:
        self.context = context

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.context.clock

    def run(
        self, generation: generations.Generation, engine: upstreams.Upstream
    ) -> None:
        """Prefills the prompt and stores the result in the generation.

        If this fails, the decode engine prefills the prompt itself.
        """
        call = generation.call
        now = self.clock.monotonic()
        tokens = call.request.prompt_tokens
        exchange = upstream_exchange.UpstreamExchange(
            self.context.connections,
            self.context.wire,
            self.clock,
            call.request,
            calls.Delivery(
                engine,
                call.account,
                call.ends_at - now,
                prefill_only=True,
            ),
            self.context.notices,
            self.context.response_memory,
        )
        load_ahead = self.context.loads.load(engine.id)
        self.context.loads.add(engine.id, tokens)
        self.context.notices.limits.take(engine)
        self.context.outcome_tracker.record_dispatch(engine.id)
        deadline = min(call.ends_at, now + PREFILL_TIMEOUT_S)
        outcome = outcomes.Outcome.BROKEN
        reason = "done"
        try:
            with call.cancellation.attached(exchange.abort):
                exchange.start(recently_used=False)
                response = exchange.read_head(deadline)
                body = exchange.read_body(
                    deadline, upstream_exchange.MAX_CONTROL_RESPONSE_BYTES
                )
            handle = ""
            if response.status == 200:
                handle = self.context.wire.decode_prefill(body)
            if handle:
                generation.prefill_result = generations.PrefillResult(
                    calls.KvCacheSource(engine.address, handle),
                    self.clock.monotonic(),
                    self.handle_lifetime(generation.service),
                )
                outcome = outcomes.Outcome.SUCCESS
            else:
                reason = f"status {response.status}"
                if response.is_from_other_upstream(engine):
                    self.context.directory.reject(engine.id)
                refused = response.not_run
                outcome = (
                    outcomes.Outcome.REFUSED
                    if refused
                    else outcomes.Outcome.ERROR
                )
        except client.ConnectError as error:
            outcome = outcomes.Outcome.UNREACHABLE
            reason = str(error)
        except (
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
        ) as error:
            reason = str(error) or type(error).__name__
            if not exchange.aborted:
                self.context.crash_check.check(call.digest, engine)
        finally:
            self.context.loads.remove(engine.id, tokens)
            exchange.close()
            if not exchange.sent:
                self.context.notices.limits.give_back(engine)
        call.cancellation.check()
        if exchange.sent:
            if generation.prefilled or outcome is not outcomes.Outcome.SUCCESS:
                call.attempts += 1
            generation.prefilled = True
        elapsed = self.clock.monotonic() - now
        generation.prefill_s = elapsed / (1 + load_ahead.requests)
        if outcome is outcomes.Outcome.SUCCESS:
            self.context.prefill_times.record(
                call.service, tokens, generation.prefill_s
            )
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
            gevent.spawn(self.send_release, prefill_result.source)

    def send_release(self, source: calls.KvCacheSource) -> None:
        """Asks a prefill engine to free a result.

        A failure is only logged, since results expire by themselves.
        """
        connection = client.Connection(source.address, self.clock)
        try:
            connection.start(RELEASE_TIMEOUT_S)
            connection.send(
                self.context.wire.encode_release(source), b"", RELEASE_TIMEOUT_S
            )
            connection.read_part(RELEASE_TIMEOUT_S)
        except (
            client.ConnectError,
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
        ) as error:
            logger.info(
                "prefill result not freed",
                upstream=source.address,
                reason=str(error),
            )
        finally:
            connection.close()
