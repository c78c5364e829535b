"""Calls to plain services: free retries or at most one run."""

from __future__ import annotations

import contextlib
import hashlib
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch import results
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
    from coltsfootarch.scheduling import plain

# Answers by which an instance says that it can't serve now.
UNAVAILABLE_STATUSES = frozenset({502, 503, 504})
MAX_CONNECT_ATTEMPTS = 3


class Call(NamedTuple):
    """A call to a plain service.

    Attributes:
        request_id: Request id.
        account: Client account; empty on an open route.
        route: Where the call goes and what rules hold for it.
        request: The request as the upstream gets it.
        idempotency_key: The caller's key; empty if none was sent.
    """

    request_id: str
    account: str
    route: routes.Route
    request: plain_client.PlainRequest
    idempotency_key: str


class CallAnswer(NamedTuple):
    """An upstream's answer.

    Attributes:
        response: The answer.
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
        guard: Last check before a call is sent to an instance.
        claim_book: Claims of non-idempotent calls.
        budget: Retry budget of this host.
        backoff: Returns the wait before a numbered retry.
        metrics: Where metrics go.
    """

    def __init__(
        self,
        clock: clock.Clock,
        register: Callable[[], register.Register],
        balancer: plain.PlainBalancer,
        connector: plain_client.PlainConnector,
        guard: dispatch_guard.DispatchGuard,
        claim_book: claims.ClaimBook,
        budget: budget.RetryBudget,
        backoff: Callable[[int], datetime.timedelta],
        metrics: metrics.Metrics,
    ) -> None:
        self.clock = clock
        self.register = register
        self.balancer = balancer
        self.connector = connector
        self.guard = guard
        self.claim_book = claim_book
        self.budget = budget
        self.backoff = backoff
        self.metrics = metrics

    def run(self, call: Call) -> CallAnswer:
        """Sends a call and returns its answer.

        Raises:
            RefusedError: The call was not run, or may have run; the code
                says which.
        """
        self.metrics.increment(metrics.CALLS)
        self.budget.record()
        if call.route.idempotent:
            return self.run_idempotent(call)
        return self.run_once(call)

    def run_idempotent(self, call: Call) -> CallAnswer:
        """Sends an idempotent call, again on other instances if need be."""
        excluded: set[str] = set()
        attempt = 0
        failure: errors.RefusedError | None = None
        while True:
            attempt += 1
            try:
                response = self.send_anywhere(call, excluded)
            except errors.UpstreamError as error:
                failure = worse(failure, errors.RefusedError(error.code))
            except errors.RefusedError as refusal:
                if refusal.code in failures.ENDINGS:
                    raise
                # The failure of a call that was sent is the true answer.
                raise failure or refusal from refusal
            else:
                if response.status not in UNAVAILABLE_STATUSES:
                    return CallAnswer(response, replayed=False)
                failure = errors.RefusedError(results.UPSTREAM_FAILED)
            self.check_retry(call, attempt, failure)
            self.clock.sleep(self.backoff(attempt))
            excluded = self.still_useful(call.route.service.name, excluded)

    def send_anywhere(
        self, call: Call, excluded: set[str]
    ) -> plain_client.PlainResponse:
        """Sends a call to one instance and adds it to the excluded ones.

        Raises:
            UpstreamError: The instance did not answer.
            RefusedError: There is none.
        """
        upstream, connection = self.connect_allowed(call, excluded)
        excluded.add(upstream.name)
        return self.send(call, upstream, connection)

    def connect_allowed(
        self, call: Call, excluded: set[str]
    ) -> tuple[register.Upstream, plain_client.PlainConnection]:
        """Connects to an instance that may get new work.

        The guard comes last, because a connect can take long, so that nothing
        lies between it and the first byte. An instance that accepts no
        connection is added to `excluded`.

        Raises:
            UpstreamConnectError: The instance accepts no connection.
            RefusedError: There is no instance.
        """
        denied: set[str] = set()
        while True:
            upstream = self.balancer.choose(
                call.route.service.name, excluded | denied
            )
            self.balancer.started(upstream.name)
            try:
                connection = self.connector.connect(
                    upstream.address, self.timeout(call)
                )
            except errors.UpstreamConnectError:
                self.balancer.failed(upstream.name)
                excluded.add(upstream.name)
                raise
            except BaseException:
                self.balancer.cancelled(upstream.name)
                raise
            if self.is_allowed(upstream, connection):
                return upstream, connection
            denied.add(upstream.name)

    def is_allowed(
        self,
        upstream: register.Upstream,
        connection: plain_client.PlainConnection,
    ) -> bool:
        """Returns whether an instance may get work; else gives it back."""
        try:
            allowed = self.guard.allows(upstream.name)
        except BaseException:
            self.give_back(upstream, connection)
            raise
        if not allowed:
            self.give_back(upstream, connection)
        return allowed

    def check_retry(
        self, call: Call, attempt: int, failure: errors.RefusedError
    ) -> None:
        """Raises the failure if the call must not be sent again."""
        if attempt >= call.route.max_attempts:
            raise failure
        if not self.budget.spend():
            raise errors.RefusedError(results.RETRY_BUDGET_SPENT)
        self.metrics.increment(metrics.CALL_RETRIES)

    def still_useful(self, service: str, excluded: set[str]) -> set[str]:
        """Returns the exclusions, or none when no instance would be left."""
        names = {
            upstream.name
            for upstream in self.register().upstreams.values()
            if upstream.service == service
        }
        return excluded if names - excluded else set()

    def run_once(self, call: Call) -> CallAnswer:
        """Sends a non-idempotent call at most once."""
        if not call.idempotency_key:
            raise errors.RefusedError(results.IDEMPOTENCY_KEY_REQUIRED)
        upstream, connection = self.open_connection(call)
        try:
            claim = self.claim_book.claim(
                call.account, call.idempotency_key, body_digest(call)
            )
        except BaseException:
            self.give_back(upstream, connection)
            raise
        if isinstance(claim, claims.RecordedOutcome):
            self.give_back(upstream, connection)
            self.metrics.increment(metrics.REPLAYS)
            return CallAnswer(replayed_response(claim), replayed=True)
        try:
            # A claim can take long, so the instance may be leaving by now.
            if not self.is_allowed(upstream, connection):
                upstream, connection = self.open_connection(call)
        except BaseException:
            self.claim_book.release(claim)
            raise
        response = self.send_claimed(call, upstream, connection)
        outcome = rows.Outcome(
            response.status, list(response.headers), response.body
        )
        self.claim_book.record(claim, outcome)
        return CallAnswer(response, replayed=False)

    def give_back(
        self,
        upstream: register.Upstream,
        connection: plain_client.PlainConnection,
    ) -> None:
        """Closes a connection on which nothing was sent."""
        self.balancer.cancelled(upstream.name)
        connection.close()

    def open_connection(
        self, call: Call
    ) -> tuple[register.Upstream, plain_client.PlainConnection]:
        """Connects before the claim, so that a dead instance costs nothing.

        Raises:
            RefusedError: No instance accepted a connection; nothing was sent.
        """
        excluded: set[str] = set()
        for _ in range(MAX_CONNECT_ATTEMPTS):
            with contextlib.suppress(errors.UpstreamConnectError):
                return self.connect_allowed(call, excluded)
        raise errors.RefusedError(results.UPSTREAM_CONNECT_FAILED)

    def send_claimed(
        self,
        call: Call,
        upstream: register.Upstream,
        connection: plain_client.PlainConnection,
    ) -> plain_client.PlainResponse:
        """Sends a claimed call.

        After the first byte nothing is sent again: a failure from here on
        leaves the claim in place and says "may have run".
        """
        try:
            return self.send(call, upstream, connection)
        except errors.UpstreamError as error:
            raise errors.RefusedError(may_have_run(error)) from error

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
            self.balancer.failed(upstream.name)
            raise
        except BaseException:
            self.balancer.cancelled(upstream.name)
            raise
        finally:
            connection.close()
        self.balancer.finished(upstream.name)
        return response

    def timeout(self, call: Call) -> datetime.timedelta:
        """Returns the service's longest wait."""
        return call.route.service.timeout


def may_have_run(error: errors.UpstreamError) -> results.ResultCode:
    """Returns the code for a failure after the first byte was sent."""
    if isinstance(error, errors.UpstreamTimeoutError):
        return results.UPSTREAM_TIMEOUT
    return results.UPSTREAM_FAILED


def worse(
    before: errors.RefusedError | None, last: errors.RefusedError
) -> errors.RefusedError:
    """Returns the failure to report for several attempts.

    "Not run" is true only if it holds for all of them.
    """
    if before is None or last.code.execution is not results.Execution.NOT_RUN:
        return last
    return before


def replayed_response(
    outcome: claims.RecordedOutcome,
) -> plain_client.PlainResponse:
    """Returns a recorded outcome as an upstream's answer."""
    recorded = outcome.outcome
    return plain_client.PlainResponse(
        recorded.status, tuple(recorded.headers), recorded.body
    )


def body_digest(call: Call) -> str:
    """Returns the digest by which a repeated call is recognised."""
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
