"""Pipeline of calls to plain services: sent at most once, or with retries."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.forwarding import attempts
from coltsfootarch.forwarding import call_attempts
from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import crash_checks
from coltsfootarch.forwarding import upstream_exchange
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import context

# Failed connections to upstreams after which a call is given up.
MAX_CONNECT_FAILURES = 3
# Fraction of the objective after which a repeatable call without a response is
# sent to another upstream too, so that the objective is met though one hangs.
ATTEMPT_FRACTION = 0.6
# Remaining time below which no further attempt is started, in seconds.
MIN_TIME_LEFT_S = 0.02
# `Retry-After` of a refused call, about the duration of one call, in seconds.
RETRY_AFTER_S = 0.2

logger = structlog.get_logger(__name__)


class CallProgress:
    """What the attempts of a call have come to.

    Attributes:
        response: The latest response, one that can be relayed if there is any.
        failure: How the latest attempt failed that may have run the call.
        connect_failures: Attempts that were not sent.
        is_decided: Whether no further attempt may change the result.
    """

    def __init__(self) -> None:
        self.response: attempts.Response | None = None
        self.failure = attempts.Failure.NOT_SENT
        self.connect_failures = 0
        self.is_decided = False

    def add(self, attempt: call_attempts.CallAttempt) -> None:
        """Adds an attempt that has ended, and frees it."""
        if not self.is_decided:
            self.evaluate(attempt)
        attempt.close()

    def evaluate(self, attempt: call_attempts.CallAttempt) -> None:
        """Takes the response of an attempt or notes how it failed."""
        call, result = attempt.call, attempt.result
        if isinstance(result, attempts.Response):
            if self.response is None or not result.implies_not_run:
                self.response = result
                call.keep(attempt.take_holding())
            usable = result.is_success and not result.implies_not_run
            self.is_decided = usable or not call.route.repeatable
        elif result is attempts.Failure.NOT_SENT:
            self.connect_failures += 1
        elif result is not None and result.may_have_run:
            self.failure = result
            call.may_have_run = True
            self.is_decided = not call.route.repeatable


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
        group = call_attempts.AttemptGroup(self.clock)
        # When the caller disconnects, only a call that may be repeated is
        # aborted; one that must not be repeated runs to its end.
        wake = group.abort if call.route.repeatable else ignore_cancellation
        try:
            with call.cancellation.attached(wake, group.abort):
                progress = self.run_attempts(call, group)
        finally:
            group.close()
        self.finish(call, progress.response, progress.failure)

    def run_attempts(
        self, call: calls.Call, group: call_attempts.AttemptGroup
    ) -> CallProgress:
        """Runs attempts until one of them decides the call, or all failed.

        An attempt that is silent goes on while another upstream is tried,
        since the other one may refuse the call or be silent too.
        """
        progress = CallProgress()
        while not progress.is_decided:
            if not group.ended and not group.waits_for_any():
                call.cancellation.check()
                upstream = self.choose_upstream(call, group, progress)
                group.next_look_at = math.inf
                if upstream is not None:
                    self.start_attempt(call, group, upstream)
                elif not group.running:
                    break
                else:
                    group.next_look_at = self.clock.monotonic() + patience(call)
            group.wait()
            ended = group.take_ended()
            for attempt in ended:
                progress.add(attempt)
                attempt.close()
            if call.route.repeatable:
                call.cancellation.check()
            if not ended:
                for attempt in group.take_overdue():
                    self.record_overdue(attempt)
        return progress

    def choose_upstream(
        self,
        call: calls.Call,
        group: call_attempts.AttemptGroup,
        progress: CallProgress,
    ) -> upstreams.Upstream | None:
        """Returns the upstream of the next attempt; None if there is none."""
        if progress.connect_failures >= MAX_CONNECT_FAILURES:
            return None
        if not self.is_attempt_left(call):
            return None
        is_first = call.attempts == 0
        upstream = self.context.call_placer.choose(call.service, call.tried)
        if upstream is None and is_first and call.tried and not group.running:
            # No connection could be made to any; one may have recovered.
            upstream = self.context.call_placer.choose(call.service)
        if upstream is None:
            return None
        if not is_first and not self.context.budget.may_spend(call.service):
            self.log_budget_exhausted(call)
            return None
        return upstream

    def is_attempt_left(self, call: calls.Call) -> bool:
        """Returns whether the call may be sent to one more upstream."""
        if call.ends_at - self.clock.monotonic() < MIN_TIME_LEFT_S:
            return False
        if call.attempts and call.attempts >= call.route.max_attempts:
            return False
        return not self.context.break_counts.is_refused(call.digest)

    def take_attempt(
        self,
        attempt: call_attempts.CallAttempt,
        group: call_attempts.AttemptGroup,
    ) -> bool:
        """Counts an attempt that is about to be sent.

        Each attempt but the first spends the retry budget.

        Returns:
            Whether it may be sent.
        """
        call = attempt.call
        if group.is_replaced(attempt):
            # Its connection took so long that another one was faster.
            call.tried.remove(attempt.upstream.id)
            return False
        if not self.is_attempt_left(call):
            return False
        if not self.context.directory.is_serving(attempt.upstream.id):
            return False
        if call.attempts and not self.context.budget.spend(call.service):
            self.log_budget_exhausted(call)
            return False
        call.attempts += 1
        attempt.number = call.attempts
        attempt.sent_at = self.clock.monotonic()
        if attempt.is_overdue:
            # Its connection was; the upstream has just replied.
            attempt.is_overdue = False
            attempt.overdue_at = attempt.sent_at + patience(call)
        return True

    def log_budget_exhausted(self, call: calls.Call) -> None:
        """Logs that the retry budget allows no further attempt."""
        logger.info(
            "retry budget exhausted",
            request_id=call.request.id,
            service=call.service,
            attempts=call.attempts,
        )

    def start_attempt(
        self,
        call: calls.Call,
        group: call_attempts.AttemptGroup,
        upstream: upstreams.Upstream,
    ) -> None:
        """Starts an attempt at an upstream."""
        now = self.clock.monotonic()
        overdue_at = math.inf
        is_last = call.attempts + 1 >= call.route.max_attempts
        load = self.context.loads.load(upstream.id)
        # Without a free slot the call may just be queued at the upstream, and a
        # second copy would only add to the load.
        has_free_slot = load.requests < upstream.slots
        if call.route.repeatable and not is_last and has_free_slot:
            overdue_at = now + patience(call)
        exchange = upstream_exchange.UpstreamExchange(
            self.context.connections,
            self.context.wire,
            self.clock,
            call.request,
            calls.Delivery(upstream, call.account, call.ends_at - now),
            self.context.notices,
            self.context.response_memory,
        )
        call.tried.append(upstream.id)
        group.start(
            call_attempts.CallAttempt(call, upstream, exchange, overdue_at),
            lambda attempt: self.run_attempt(attempt, group),
        )

    def run_attempt(
        self,
        attempt: call_attempts.CallAttempt,
        group: call_attempts.AttemptGroup,
    ) -> None:
        """Runs an attempt and records its outcome."""
        call, upstream = attempt.call, attempt.upstream
        exchange = attempt.exchange
        started_at = self.clock.monotonic()
        load = self.context.loads.load(upstream.id)
        self.context.loads.add(upstream.id, 1)
        self.context.notices.limits.take(upstream)
        sent_at = self.context.outcome_tracker.record_dispatch(upstream.id)
        try:
            attempt.result = attempt.run(
                lambda: self.take_attempt(attempt, group)
            )
        finally:
            self.context.loads.remove(upstream.id, 1)
            exchange.close()
            if not exchange.sent:
                self.context.notices.limits.give_back(upstream)
        elapsed = self.clock.monotonic() - started_at
        if attempt.is_abandoned or attempt.is_denied:
            self.context.outcome_tracker.withdraw_probe(upstream.id, sent_at)
        else:
            self.record_outcome(attempt, elapsed)
        self.context.metrics.attempts.labels(call.service, attempt.label).inc()
        logger.info(
            "attempt ended",
            request_id=call.request.id,
            upstream=upstream.id,
            attempt=attempt.number,
            digest=call.digest,
            breaks=self.context.break_counts.count(call.digest),
            load=load.requests,
            load_age_ms=round(self.context.loads.age() * 1000),
            outcome=attempt.label,
            overdue=attempt.is_overdue,
            took_ms=round(elapsed * 1000),
        )

    def record_outcome(
        self, attempt: call_attempts.CallAttempt, elapsed: float
    ) -> None:
        """Records what an attempt tells about the upstream and the call."""
        call, upstream, result = attempt.call, attempt.upstream, attempt.result
        if result is None:
            return
        if attempt.is_misdirected:
            self.context.directory.reject(upstream.id)
        # That of an overdue attempt was recorded when it became overdue.
        is_known = result.outcome is outcomes.Outcome.BROKEN
        if not (is_known and attempt.is_overdue):
            self.context.outcome_tracker.record(
                upstream.id, result.outcome, elapsed
            )
        if isinstance(result, attempts.Response):
            self.context.metrics.answer_time.labels(call.service).observe(
                elapsed
            )
            if result.is_success:
                self.context.break_counts.clear(call.digest)
        elif result.may_have_run:
            self.check_crash(attempt)

    def record_overdue(self, attempt: call_attempts.CallAttempt) -> None:
        """Records that an upstream is silent for longer than expected."""
        call, upstream = attempt.call, attempt.upstream
        logger.info(
            "attempt overdue",
            request_id=call.request.id,
            upstream=upstream.id,
            attempt=attempt.number,
        )
        if attempt.exchange.lacks_memory:
            return
        self.context.outcome_tracker.record(
            upstream.id, outcomes.Outcome.BROKEN
        )
        if attempt.exchange.sent:
            self.check_crash(attempt)

    def check_crash(self, attempt: call_attempts.CallAttempt) -> None:
        """Finds out whether an upstream crashed while it ran the call."""
        call = attempt.call
        time_left = max(call.ends_at - self.clock.monotonic(), 0.0)
        self.context.crash_check.check(
            call.digest,
            attempt.upstream,
            attempt.sent_at,
            f"{call.request.id}/{attempt.number}",
            min(crash_checks.MAX_DELAY_S, time_left),
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


def patience(call: calls.Call) -> float:
    """Returns the silence after which another upstream is tried, in seconds."""
    return ATTEMPT_FRACTION * call.route.objective_s
