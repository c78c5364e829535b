"""Runs calls to plain services.

Idempotent calls are retried on other instances; non-idempotent calls are sent
at most once, under a claim on their idempotency key.
"""

from __future__ import annotations

import contextlib
import hashlib
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.gateway import crashing_calls
from coltsfootarch.gateway import failures
from coltsfootarch.idempotency import claims
from coltsfootarch.idempotency import rows
from coltsfootarch.observability import metrics
from coltsfootarch.upstreams import plain_client

if TYPE_CHECKING:
    import datetime
    from collections.abc import Callable

    from coltsfootarch import clock
    from coltsfootarch.config import register
    from coltsfootarch.config import routes
    from coltsfootarch.gateway import dispatch_guard
    from coltsfootarch.retries import budget
    from coltsfootarch.scheduling import plain_balancer

# HTTP statuses by which an instance says that it is temporarily unavailable.
UNAVAILABLE_STATUSES = frozenset({502, 503, 504})
MAX_CONNECT_ATTEMPTS = 3


class Call(NamedTuple):
    """A call to a plain service.

    Attributes:
        request_id: Request id.
        account: Client account; empty on a route without authentication.
        route: Service of the call and the rules for it.
        request: The request as it is sent to the upstream.
        idempotency_key: The caller's idempotency key; empty if none was sent.
    """

    request_id: str
    account: str
    route: routes.Route
    request: plain_client.PlainRequest
    idempotency_key: str


class CallAnswer(NamedTuple):
    """The answer to a call.

    Attributes:
        response: The upstream's response.
        replayed: Whether it is the recorded answer of an earlier call.
    """

    response: plain_client.PlainResponse
    replayed: bool


class CallPipeline:
    """Runs calls to plain services.

    Args:
        clock: Source of time.
        register: Returns the register in force.
        balancer: Chooses instances.
        connector: Opens connections to instances.
        guard: Checks, right before a call is sent, that an instance may get it.
        claim_store: Claims of non-idempotent calls.
        budget: Retry budget of this host.
        backoff: Returns the delay before a retry, by its number from 1.
        metrics: Receives metrics.
    """

    def __init__(
        self,
        clock: clock.Clock,
        register: Callable[[], register.Register],
        balancer: plain_balancer.PlainBalancer,
        connector: plain_client.PlainConnector,
        guard: dispatch_guard.DispatchGuard,
        claim_store: claims.ClaimStore,
        budget: budget.RetryBudget,
        backoff: Callable[[int], datetime.timedelta],
        metrics: metrics.Metrics,
    ) -> None:
        self.clock = clock
        self.register = register
        self.balancer = balancer
        self.connector = connector
        self.guard = guard
        self.claim_store = claim_store
        self.budget = budget
        self.backoff = backoff
        self.metrics = metrics
        self.crashing_calls = crashing_calls.CrashingCalls(clock, connector)

    def run(self, call: Call) -> CallAnswer:
        """Sends a call and returns its answer.

        Raises:
            RefusedError: The call failed; the code says whether it was not
                run or may have run.
        """
        self.metrics.increment(metrics.CALLS)
        self.budget.record()
        if call.route.idempotent:
            return self.run_idempotent(call)
        return self.run_once(call)

    def run_idempotent(self, call: Call) -> CallAnswer:
        """Sends an idempotent call and retries it on other instances."""
        excluded: set[str] = set()
        attempt = 0
        failure: errors.RefusedError | None = None
        while True:
            attempt += 1
            try:
                self.crashing_calls.check(request_digest(call))
                response = self.send_to_any(call, excluded)
            except errors.UpstreamError as error:
                failure = failure_to_report(
                    failure, errors.RefusedError(error.code)
                )
            except errors.RefusedError as refusal:
                if refusal.code in failures.EXTERNAL_END_CODES:
                    raise
                # The failure of an earlier attempt that was sent is the true
                # result; this refusal alone could wrongly say "not run".
                raise failure or refusal from refusal
            else:
                if response.status not in UNAVAILABLE_STATUSES:
                    return CallAnswer(response, replayed=False)
                failure = errors.RefusedError(results.UPSTREAM_FAILED)
            self.check_retry(call, attempt, failure)
            self.clock.sleep(self.backoff(attempt))
            excluded = self.usable_exclusions(call.route.service.name, excluded)

    def send_to_any(
        self, call: Call, excluded: set[str]
    ) -> plain_client.PlainResponse:
        """Sends a call to one instance and adds the instance to `excluded`.

        Raises:
            UpstreamError: The instance did not answer.
            RefusedError: There is no instance.
        """
        upstream, connection = self.connect_to_allowed(call, excluded)
        excluded.add(upstream.name)
        return self.send(call, upstream, connection)

    def connect_to_allowed(
        self, call: Call, excluded: set[str]
    ) -> tuple[register.Upstream, plain_client.PlainConnection]:
        """Connects to an instance that may get new work.

        The guard is asked after the connect, which can take long, so that
        nothing delays the call between this check and its first byte. An
        instance that accepts no connection is added to `excluded`.

        Raises:
            UpstreamConnectError: The instance accepts no connection.
            LocalConnectError: This host could not open a connection.
            RefusedError: There is no instance.
        """
        denied: set[str] = set()
        while True:
            upstream = self.balancer.choose(
                call.route.service.name, excluded | denied
            )
            self.balancer.record_start(upstream.name)
            try:
                connection = self.connector.connect(
                    upstream.address, self.timeout(call)
                )
            except errors.LocalConnectError:
                self.balancer.record_cancel(upstream.name)
                raise
            except errors.UpstreamConnectError:
                self.balancer.record_failure(upstream.name)
                excluded.add(upstream.name)
                raise
            except BaseException:
                self.balancer.record_cancel(upstream.name)
                raise
            if self.is_allowed(upstream, connection):
                return upstream, connection
            denied.add(upstream.name)

    def is_allowed(
        self,
        upstream: register.Upstream,
        connection: plain_client.PlainConnection,
    ) -> bool:
        """Returns whether an instance may get work; if not, releases it."""
        try:
            allowed = self.guard.allows(upstream.name)
        except BaseException:
            self.release_connection(upstream, connection)
            raise
        if not allowed:
            self.release_connection(upstream, connection)
        return allowed

    def check_retry(
        self, call: Call, attempt: int, failure: errors.RefusedError
    ) -> None:
        """Checks that a failed call may be sent again.

        Raises:
            RefusedError: `failure` after the last attempt, or
                RETRY_BUDGET_SPENT.
        """
        if attempt >= call.route.max_attempts:
            raise failure
        if not self.budget.spend():
            raise errors.RefusedError(results.RETRY_BUDGET_SPENT)
        self.metrics.increment(metrics.CALL_RETRIES)

    def usable_exclusions(self, service: str, excluded: set[str]) -> set[str]:
        """Returns `excluded`, or an empty set if it has all instances."""
        names = {
            upstream.name
            for upstream in self.register().upstreams.values()
            if upstream.service == service
        }
        return excluded if names - excluded else set()

    def run_once(self, call: Call) -> CallAnswer:
        """Sends a non-idempotent call at most once, or replays its outcome."""
        if not call.idempotency_key:
            raise errors.RefusedError(results.IDEMPOTENCY_KEY_REQUIRED)
        self.crashing_calls.check(request_digest(call))
        upstream, connection = self.open_connection(call)
        try:
            claim = self.claim_store.claim(
                call.account, call.idempotency_key, request_digest(call)
            )
        except BaseException:
            self.release_connection(upstream, connection)
            raise
        if isinstance(claim, claims.RecordedOutcome):
            self.release_connection(upstream, connection)
            self.metrics.increment(metrics.REPLAYS)
            return CallAnswer(replayed_response(claim), replayed=True)
        try:
            # The claim can take long, and the instance may have been drained
            # or removed in the meantime.
            if not self.is_allowed(upstream, connection):
                upstream, connection = self.open_connection(call)
        except BaseException:
            self.claim_store.release(claim)
            raise
        response = self.send_claimed(call, upstream, connection)
        outcome = rows.Outcome(
            response.status, list(response.headers), response.body
        )
        self.claim_store.record(claim, outcome)
        return CallAnswer(response, replayed=False)

    def release_connection(
        self,
        upstream: register.Upstream,
        connection: plain_client.PlainConnection,
    ) -> None:
        """Closes a connection on which nothing was sent."""
        self.balancer.record_cancel(upstream.name)
        connection.close()

    def open_connection(
        self, call: Call
    ) -> tuple[register.Upstream, plain_client.PlainConnection]:
        """Connects to an instance before the key is claimed.

        In this order an instance that is down leaves no claim behind.

        Raises:
            RefusedError: No instance accepted a connection; nothing was sent.
        """
        excluded: set[str] = set()
        for _ in range(MAX_CONNECT_ATTEMPTS):
            with contextlib.suppress(errors.UpstreamConnectError):
                return self.connect_to_allowed(call, excluded)
        raise errors.RefusedError(results.UPSTREAM_CONNECT_FAILED)

    def send_claimed(
        self,
        call: Call,
        upstream: register.Upstream,
        connection: plain_client.PlainConnection,
    ) -> plain_client.PlainResponse:
        """Sends a claimed call.

        After the first byte nothing is sent again. A failure from here on keeps
        the claim and is reported as "may have run".

        Raises:
            RefusedError: The instance did not answer.
        """
        try:
            return self.send(call, upstream, connection)
        except errors.UpstreamError as error:
            raise errors.RefusedError(failure_code(error)) from error

    def send(
        self,
        call: Call,
        upstream: register.Upstream,
        connection: plain_client.PlainConnection,
    ) -> plain_client.PlainResponse:
        """Sends a call on an open connection and closes it.

        Raises:
            UpstreamError: The instance did not answer.
        """
        try:
            response = connection.send(call.request, self.timeout(call))
        except errors.UpstreamError:
            self.balancer.record_failure(upstream.name)
            self.crashing_calls.record_failure(request_digest(call), upstream)
            raise
        except BaseException:
            self.balancer.record_cancel(upstream.name)
            raise
        finally:
            connection.close()
        self.balancer.record_success(upstream.name)
        self.crashing_calls.record_success(request_digest(call))
        return response

    def timeout(self, call: Call) -> datetime.timedelta:
        """Returns the timeout of the call's service."""
        return call.route.service.timeout


def failure_code(error: errors.UpstreamError) -> results.ResultCode:
    """Returns the code for a failure after the first byte was sent."""
    if isinstance(error, errors.UpstreamTimeoutError):
        return results.UPSTREAM_TIMEOUT
    return results.UPSTREAM_FAILED


def failure_to_report(
    before: errors.RefusedError | None, last: errors.RefusedError
) -> errors.RefusedError:
    """Returns which of two failures to report for several attempts.

    "Not run" may be reported only if it is true of all attempts.
    """
    if before is None or last.code.execution is not results.Execution.NOT_RUN:
        return last
    return before


def replayed_response(
    outcome: claims.RecordedOutcome,
) -> plain_client.PlainResponse:
    """Returns a recorded outcome as an upstream's response."""
    recorded = outcome.outcome
    return plain_client.PlainResponse(
        recorded.status, tuple(recorded.headers), recorded.body
    )


def request_digest(call: Call) -> str:
    """Returns the digest of service, method, path and body of a call.

    A repeated call with the same idempotency key must have the same digest.
    """
    digest = hashlib.sha256()
    for part in (
        call.route.service.name,
        call.request.method,
        call.request.path,
    ):
        digest.update(part.encode())
        digest.update(b"\0")
    digest.update(call.request.body)
    return digest.hexdigest()
