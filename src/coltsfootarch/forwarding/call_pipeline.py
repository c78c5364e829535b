"""Calls of plain services: one answer, at most once or with retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.forwarding import attempts
from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import exchange
from coltsfootarch.http1 import client

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import context

# Upstreams to which no connection could be made, per request.
MAX_CONNECT_FAILURES = 3
# A repeatable call that has no answer after this part of its objective is sent
# to another upstream, so that one that hangs costs no objective.
ATTEMPT_PART = 0.6
# Time for which a request is worth sending, in seconds.
MIN_TIME_LEFT_S = 0.02
# A refused caller can come back after about one call's time, in seconds.
RETRY_AFTER_S = 0.2

logger = structlog.get_logger(__name__)


class CallPipeline:
    """Sends calls to upstreams of plain services.

    Args:
        parts: What pipelines share.
    """

    def __init__(self, parts: context.Context) -> None:
        self.parts = parts

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.parts.clock

    def run(self, call: calls.Call) -> None:
        """Answers a call.

        Raises:
            errors.RefusedError: There is no answer to relay.
            cancellation.CallerLeftError: The caller left.
        """
        self.parts.budget.record(call.service)
        connect_failures = 0
        answer: attempts.Answer | None = None
        fate = attempts.Fate.NOT_SENT
        while True:
            upstream = self.choose(call, answer, connect_failures)
            if upstream is None:
                break
            result = self.attempt(call, upstream)
            call.tried.append(upstream.id)
            if isinstance(result, attempts.Answer):
                answer = result
                if result.is_success or not call.route.repeatable:
                    break
            elif result is attempts.Fate.NOT_SENT:
                connect_failures += 1
            else:
                fate = result
                call.may_have_run = call.may_have_run or fate.may_have_run
                if fate.may_have_run and not call.route.repeatable:
                    break
        self.finish(call, answer, fate)

    def choose(
        self,
        call: calls.Call,
        answer: attempts.Answer | None,
        connect_failures: int,
    ) -> upstreams.Upstream | None:
        """Returns the next upstream to try, None to give up."""
        if connect_failures >= MAX_CONNECT_FAILURES:
            return None
        if call.ends_at - self.clock.monotonic() < MIN_TIME_LEFT_S:
            return None
        first = call.attempts == 0
        if not first and call.attempts >= call.route.max_attempts:
            return None
        upstream = self.parts.call_placer.choose(call.service, call.tried)
        if upstream is None and first and call.tried:
            # All have refused a connection; one may be back.
            upstream = self.parts.call_placer.choose(call.service)
        if upstream is None:
            return None
        if not first and not self.parts.budget.spend(call.service):
            logger.info(
                "retry refused by the budget",
                request_id=call.request.id,
                service=call.service,
                attempts=call.attempts,
                answered=answer.status if answer else None,
            )
            return None
        return upstream

    def attempt(
        self, call: calls.Call, upstream: upstreams.Upstream
    ) -> attempts.Answer | attempts.Fate:
        """Sends a call to one upstream and reads its answer."""
        now = self.clock.monotonic()
        until = call.ends_at
        last = call.attempts + 1 >= call.route.max_attempts
        load = self.parts.loads.load(upstream.id)
        # In a crowded service a second copy of a call that waits for a slot
        # would only add to the load.
        idle = load.requests < upstream.slots
        if call.route.repeatable and not last and idle:
            until = min(until, now + ATTEMPT_PART * call.route.objective_s)
        delivery = calls.Delivery(upstream, call.account, call.ends_at - now)
        sending = exchange.Exchange(
            self.parts.connections,
            self.parts.wire,
            self.clock,
            call.request,
            delivery,
        )
        self.parts.loads.add(upstream.id, 1)
        self.parts.tracker.note_dispatch(upstream.id)
        try:
            result = self.transact(call, sending, until)
        finally:
            self.parts.loads.remove(upstream.id, 1)
            sending.close()
        took = self.clock.monotonic() - now
        self.parts.tracker.record(upstream.id, result.outcome, took)
        self.parts.metrics.attempts.labels(call.service, result.label).inc()
        if isinstance(result, attempts.Answer):
            self.parts.metrics.answer_time.labels(call.service).observe(took)
        logger.info(
            "attempt ended",
            request_id=call.request.id,
            upstream=upstream.id,
            attempt=call.attempts,
            load=load.requests,
            load_age_ms=round(self.parts.loads.age() * 1000),
            outcome=result.label,
            took_ms=round(took * 1000),
        )
        return result

    def transact(
        self, call: calls.Call, sending: exchange.Exchange, until: float
    ) -> attempts.Answer | attempts.Fate:
        """Makes the exchange and says what became of it."""
        # A call that must not be repeated runs to its end; one that may be
        # repeated is ended when its caller leaves.
        wake = sending.abort if call.route.repeatable else no_action
        with call.cancellation.attached(wake):
            try:
                sending.start(fresh=not call.route.repeatable)
                call.attempts += 1
                call.offered = True
                answer = sending.read_head(until)
                body = sending.read_body(until)
            except client.ConnectError as error:
                self.note_failure(call, sending, error)
                return attempts.Fate.NOT_SENT
            except client.ResponseTimeoutError as error:
                self.note_failure(call, sending, error)
                return attempts.Fate.TIMED_OUT
            except client.BrokenConnectionError as error:
                call.attempts += call.attempts == 0
                if call.cancellation.cancelled and sending.aborted:
                    call.cancellation.check()
                self.note_failure(call, sending, error)
                return attempts.Fate.BROKEN
        if answer.is_from_other(sending.delivery.upstream):
            self.parts.directory.reject(sending.delivery.upstream.id)
        if answer.not_run:
            return attempts.Fate.NOT_RUN
        return attempts.Answer(answer.status, answer.fields, body)

    def note_failure(
        self, call: calls.Call, sending: exchange.Exchange, error: Exception
    ) -> None:
        """Logs why an exchange failed."""
        logger.info(
            "exchange failed",
            request_id=call.request.id,
            upstream=sending.delivery.upstream.id,
            reason=str(error) or type(error).__name__,
        )

    def finish(
        self,
        call: calls.Call,
        answer: attempts.Answer | None,
        fate: attempts.Fate,
    ) -> None:
        """Relays the answer or refuses."""
        if answer is not None and not answer.promises_not_run:
            call.responder.answer(answer.status, answer.fields, answer.body)
            return
        if answer is not None or call.may_have_run:
            raise errors.RefusedError(fate.code)
        if not call.tried:
            raise errors.RefusedError(
                results.NO_UPSTREAM, retry_after=RETRY_AFTER_S
            )
        raise errors.RefusedError(results.OVERLOADED, retry_after=RETRY_AFTER_S)


def no_action() -> None:
    """Leaves an exchange alone."""
