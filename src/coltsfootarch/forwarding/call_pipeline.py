"""Pipeline of calls to plain services: sent at most once, or with retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.forwarding import attempts
from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import upstream_exchange
from coltsfootarch.http1 import client

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import context

# Failed connections to upstreams after which a call is given up.
MAX_CONNECT_FAILURES = 3
# Fraction of the objective after which a repeatable call without a response is
# sent to another upstream, so that the objective is met though one hangs.
ATTEMPT_FRACTION = 0.6
# Remaining time below which no further attempt is started, in seconds.
MIN_TIME_LEFT_S = 0.02
# `Retry-After` of a refused call, about the duration of one call, in seconds.
RETRY_AFTER_S = 0.2

logger = structlog.get_logger(__name__)


class CallPipeline:
    """Sends calls to upstreams of plain services.

    Args:
        context: Components that all pipelines of the host share.
    """

    def __init__(self, context: context.Context) -> None:
        self.context = context

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.context.clock

    def run(self, call: calls.Call) -> None:
        """Runs a call and sends its response.

        Raises:
            errors.RefusedError: There is no response to relay.
            cancellation.CallerDisconnectedError: The caller disconnected.
        """
        self.context.budget.record(call.service)
        connect_failures = 0
        response: attempts.Response | None = None
        failure = attempts.Failure.NOT_SENT
        while True:
            upstream = self.choose_upstream(call, response, connect_failures)
            if upstream is None:
                break
            result = self.attempt(call, upstream)
            call.tried.append(upstream.id)
            if isinstance(result, attempts.Response):
                response = result
                if result.is_success or not call.route.repeatable:
                    break
            elif result is attempts.Failure.NOT_SENT:
                connect_failures += 1
            else:
                failure = result
                call.may_have_run = call.may_have_run or failure.may_have_run
                if failure.may_have_run and not call.route.repeatable:
                    break
        self.finish(call, response, failure)

    def choose_upstream(
        self,
        call: calls.Call,
        response: attempts.Response | None,
        connect_failures: int,
    ) -> upstreams.Upstream | None:
        """Returns the upstream of the next attempt; None to give up.

        Each attempt but the first spends the retry budget.
        """
        if connect_failures >= MAX_CONNECT_FAILURES:
            return None
        if call.ends_at - self.clock.monotonic() < MIN_TIME_LEFT_S:
            return None
        is_first = call.attempts == 0
        if not is_first and call.attempts >= call.route.max_attempts:
            return None
        if self.context.break_counts.is_refused(call.digest):
            return None
        upstream = self.context.call_placer.choose(call.service, call.tried)
        if upstream is None and is_first and call.tried:
            # No connection could be made to any; one may have recovered.
            upstream = self.context.call_placer.choose(call.service)
        if upstream is None:
            return None
        if not is_first and not self.context.budget.spend(call.service):
            logger.info(
                "retry budget exhausted",
                request_id=call.request.id,
                service=call.service,
                attempts=call.attempts,
                answered=response.status if response else None,
            )
            return None
        return upstream

    def attempt(
        self, call: calls.Call, upstream: upstreams.Upstream
    ) -> attempts.Response | attempts.Failure:
        """Runs one attempt at an upstream and records its outcome."""
        now = self.clock.monotonic()
        deadline = call.ends_at
        is_last = call.attempts + 1 >= call.route.max_attempts
        load = self.context.loads.load(upstream.id)
        # Without a free slot the call may just be queued at the upstream, and a
        # second copy would only add to the load.
        has_free_slot = load.requests < upstream.slots
        if call.route.repeatable and not is_last and has_free_slot:
            deadline = min(
                deadline, now + ATTEMPT_FRACTION * call.route.objective_s
            )
        delivery = calls.Delivery(upstream, call.account, call.ends_at - now)
        exchange = upstream_exchange.UpstreamExchange(
            self.context.connections,
            self.context.wire,
            self.clock,
            call.request,
            delivery,
            self.context.notices,
            self.context.response_memory,
        )
        self.context.loads.add(upstream.id, 1)
        self.context.notices.limits.take(upstream)
        self.context.outcome_tracker.record_dispatch(upstream.id)
        try:
            result = self.run_exchange(call, exchange, deadline)
        finally:
            self.context.loads.remove(upstream.id, 1)
            exchange.close()
            if not exchange.sent:
                self.context.notices.limits.give_back(upstream)
        elapsed = self.clock.monotonic() - now
        if not exchange.aborted:
            self.context.outcome_tracker.record(
                upstream.id, result.outcome, elapsed
            )
            self.record_break(call, upstream, result)
        self.context.metrics.attempts.labels(call.service, result.label).inc()
        if isinstance(result, attempts.Response):
            self.context.metrics.answer_time.labels(call.service).observe(
                elapsed
            )
        logger.info(
            "attempt ended",
            request_id=call.request.id,
            upstream=upstream.id,
            attempt=call.attempts,
            digest=call.digest,
            breaks=self.context.break_counts.count(call.digest),
            load=load.requests,
            load_age_ms=round(self.context.loads.age() * 1000),
            outcome=result.label,
            took_ms=round(elapsed * 1000),
        )
        return result

    def record_break(
        self,
        call: calls.Call,
        upstream: upstreams.Upstream,
        result: attempts.Response | attempts.Failure,
    ) -> None:
        """Records whether the upstream crashed while it ran the call."""
        if isinstance(result, attempts.Response):
            if result.is_success:
                self.context.break_counts.clear(call.digest)
        elif result.may_have_run:
            self.context.crash_check.check(call.digest, upstream)

    def run_exchange(
        self,
        call: calls.Call,
        exchange: upstream_exchange.UpstreamExchange,
        deadline: float,
    ) -> attempts.Response | attempts.Failure:
        """Sends the call and returns the response or how it failed."""
        # When the caller disconnects, only a call that may be repeated is
        # aborted; one that must not be repeated runs to its end.
        wake = exchange.abort if call.route.repeatable else ignore_cancellation
        with call.cancellation.attached(wake, exchange.abort):
            try:
                exchange.start(recently_used=not call.route.repeatable)
                call.attempts += 1
                call.sent_upstream = True
                response = exchange.read_head(deadline)
                body = exchange.read_body(deadline)
                call.keep(exchange.take_holding())
            except client.ConnectError as error:
                self.log_failure(call, exchange, error)
                return attempts.Failure.NOT_SENT
            except client.ResponseTimeoutError as error:
                self.log_failure(call, exchange, error)
                return attempts.Failure.TIMED_OUT
            except client.BrokenConnectionError as error:
                call.attempts += call.attempts == 0
                if call.cancellation.cancelled and exchange.aborted:
                    call.cancellation.check()
                self.log_failure(call, exchange, error)
                return attempts.Failure.BROKEN
        if response.is_from_other_upstream(exchange.delivery.upstream):
            self.context.directory.reject(exchange.delivery.upstream.id)
        if response.not_run:
            return attempts.Failure.NOT_RUN
        return attempts.Response(response.status, response.fields, body)

    def log_failure(
        self,
        call: calls.Call,
        exchange: upstream_exchange.UpstreamExchange,
        error: Exception,
    ) -> None:
        """Logs why an exchange with an upstream failed."""
        logger.info(
            "exchange with upstream failed",
            request_id=call.request.id,
            upstream=exchange.delivery.upstream.id,
            reason=str(error) or type(error).__name__,
        )

    def finish(
        self,
        call: calls.Call,
        response: attempts.Response | None,
        failure: attempts.Failure,
    ) -> None:
        """Relays the response.

        Raises:
            errors.RefusedError: There is no response to relay.
        """
        if response is not None and not response.implies_not_run:
            call.responder.respond(
                response.status, response.fields, response.body
            )
            return
        if response is not None or call.may_have_run:
            raise errors.RefusedError(failure.code)
        if self.context.break_counts.is_refused(call.digest):
            raise errors.RefusedError(results.REPEATED_BREAKS)
        code = results.OVERLOADED if call.tried else results.NO_UPSTREAM
        raise errors.RefusedError(code, retry_after=self.retry_after(call))

    def retry_after(self, call: calls.Call) -> float:
        """Returns the seconds until an upstream may get the call."""
        members = self.context.directory.members(call.service)
        return max(self.context.notices.shortest_wait_s(members), RETRY_AFTER_S)


def ignore_cancellation() -> None:
    """Lets an exchange go on after its caller disconnected."""
