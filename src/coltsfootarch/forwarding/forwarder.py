"""Admission of a caller's request and the choice of its pipeline."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec
import structlog

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.fleet import policy as policies
from coltsfootarch.forwarding import call_pipeline
from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import cancellation as cancellations
from coltsfootarch.forwarding import generation_pipeline

if TYPE_CHECKING:
    import random

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import followers
    from coltsfootarch.forwarding import context
    from coltsfootarch.http1 import messages
    from coltsfootarch.limits import shared_bucket

# A host that can't confirm keys waits this long for the store before it tells
# the caller to go elsewhere. The store answers within some milliseconds.
CONFIRMATION_WAIT_S = 0.3
# Part of the limit for withdrawn keys in which a confirmation counts. The rest
# covers differences between clocks.
CONFIRMATION_PART = 0.95
# Shortest wait that a refused caller is told, in seconds.
MIN_RETRY_AFTER_S = 0.05
UNCONFIRMED_RETRY_AFTER_S = 0.1

logger = structlog.get_logger(__name__)


class Admitted(NamedTuple):
    """A request that passed all checks.

    Attributes:
        route: Its route.
        account: Its client account; None on public routes.
        policy: Policy on which it was decided.
        tokens: Size counted against the account's limit.
    """

    route: policies.Route
    account: policies.ClientAccount | None
    policy: policies.Policy
    tokens: int


class Forwarder:
    """Handles requests of callers.

    Args:
        parts: What pipelines share.
        protocol: Wire format of callers.
        tracker: The policy in force.
        buckets: Limits of client accounts.
        generator: Draws services by weight.
        confirmation_s: Longest time since the policy was confirmed for which
            keys are accepted, in seconds; None to accept them always.
    """

    def __init__(
        self,
        parts: context.Context,
        protocol: calls.CallerProtocol,
        tracker: followers.PolicyTracker,
        buckets: shared_bucket.SharedBuckets,
        generator: random.Random,
        confirmation_s: float | None,
    ) -> None:
        self.parts = parts
        self.protocol = protocol
        self.tracker = tracker
        self.buckets = buckets
        self.generator = generator
        self.confirmation_s = confirmation_s
        self.stopping = False
        self.in_progress = 0
        self.calls = call_pipeline.CallPipeline(parts)
        self.generations = generation_pipeline.GenerationPipeline(parts)

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.parts.clock

    def handle(
        self,
        raw: messages.Request,
        responder: calls.Responder,
        cancellation: cancellations.Cancellation,
    ) -> None:
        """Answers a request, whatever happens to it."""
        request = self.protocol.decode(raw)
        self.in_progress += 1
        call: calls.Call | None = None
        admitted: Admitted | None = None
        result = "answered"
        code: results.ResultCode | None = None
        try:
            admitted = self.admit(request)
            call = self.make_call(request, admitted, responder, cancellation)
            self.run(call, admitted)
        except errors.RefusedError as error:
            code = error.code
            result = code.name
            self.refuse(request, responder, error)
        except cancellations.CallerLeftError:
            result = "caller-left"
            responder.abort()
        except OSError as error:
            # The caller's connection failed while the answer was written.
            result = "caller-lost"
            logger.info(
                "answer not delivered",
                request_id=request.id,
                reason=str(error),
            )
            responder.abort()
        except Exception:
            result = results.INTERNAL_ERROR.name
            logger.exception("request failed", request_id=request.id)
            self.fail(request, responder, call)
        finally:
            self.in_progress -= 1
            self.settle(call, admitted, code)
            self.log_end(request, call, admitted, result)

    def admit(self, request: calls.CallerRequest) -> Admitted:
        """Checks route, key and limit.

        Raises:
            errors.RefusedError: The request must not run.
        """
        if self.stopping:
            raise errors.RefusedError(
                results.STOPPING, retry_after=MIN_RETRY_AFTER_S
            )
        current = self.tracker.policy
        if current is None:
            raise errors.RefusedError(
                results.NO_CONFIGURATION,
                retry_after=UNCONFIRMED_RETRY_AFTER_S,
            )
        route = self.find_route(current, request)
        if current.accounts and not route.public:
            self.confirm(request)
            # The policy can have changed during the wait.
            current = self.tracker.policy or current
            route = self.find_route(current, request)
        account = self.authenticate(current, route, request)
        tokens = 0
        if account is not None:
            tokens = request.prompt_tokens + request.output_tokens
            tokens = tokens or account.default_tokens
            wait = self.buckets.take(account, tokens)
            if wait > 0:
                bucket = self.buckets.bucket(account.name)
                logger.info(
                    "limit reached",
                    request_id=request.id,
                    client_account=account.name,
                    tokens=tokens,
                    level=round(bucket.level),
                    share=round(self.buckets.share(), 3),
                    policy_version=current.version,
                    wait_ms=round(wait * 1000),
                )
                raise errors.RefusedError(
                    results.RATE_EXCEEDED, retry_after=wait
                )
        return Admitted(route, account, current, tokens)

    def find_route(
        self, current: policies.Policy, request: calls.CallerRequest
    ) -> policies.Route:
        """Returns the route of a request.

        Raises:
            errors.RefusedError: There is none.
        """
        route = current.find_route(request.host, request.path)
        if route is None:
            raise errors.RefusedError(results.UNKNOWN_ROUTE)
        return route

    def confirm(self, request: calls.CallerRequest) -> None:
        """Waits until the keys of the policy are known to be current.

        Raises:
            errors.RefusedError: They can't be confirmed.
        """
        limit = self.confirmation_s
        if limit is None:
            return
        since = request.received_at - limit * CONFIRMATION_PART
        if self.tracker.confirmed_at >= since:
            return
        if not self.tracker.wait_confirmed(since, CONFIRMATION_WAIT_S):
            raise errors.RefusedError(
                results.KEY_UNCONFIRMED,
                retry_after=UNCONFIRMED_RETRY_AFTER_S,
            )

    def authenticate(
        self,
        current: policies.Policy,
        route: policies.Route,
        request: calls.CallerRequest,
    ) -> policies.ClientAccount | None:
        """Returns the account of a request; None where no key is needed.

        Raises:
            errors.RefusedError: The key is missing or unknown.
        """
        if route.public or not current.accounts:
            return None
        if not request.key:
            raise errors.RefusedError(results.MISSING_KEY)
        account = current.find_account(request.key)
        if account is None:
            raise errors.RefusedError(results.INVALID_KEY)
        return account

    def make_call(
        self,
        request: calls.CallerRequest,
        admitted: Admitted,
        responder: calls.Responder,
        cancellation: cancellations.Cancellation,
    ) -> calls.Call:
        """Returns the call of an admitted request."""
        call = calls.Call(
            request,
            admitted.route,
            admitted.route.choose_service(self.generator),
            admitted.account.name if admitted.account else "",
            admitted.policy.version,
            cancellation,
            responder,
        )
        if self.parts.breaks.is_refused(call.digest):
            raise errors.RefusedError(results.REPEATED_BREAKS)
        return call

    def run(self, call: calls.Call, admitted: Admitted) -> None:
        """Runs the pipeline of the call's service."""
        if admitted.route.repeat is not policies.Repeat.STREAM:
            self.calls.run(call)
            return
        service = admitted.policy.services.get(call.service)
        if service is None:
            raise errors.RefusedError(
                results.NO_UPSTREAM, retry_after=UNCONFIRMED_RETRY_AFTER_S
            )
        self.generations.run(call, service)

    def settle(
        self,
        call: calls.Call | None,
        admitted: Admitted | None,
        code: results.ResultCode | None,
    ) -> None:
        """Gives tokens back if the request was not run."""
        if admitted is None or admitted.account is None:
            return
        ran = call is not None and call.offered
        if code is not None and code.execution is results.Execution.NOT_RUN:
            ran = False
        if not ran:
            self.buckets.give_back(admitted.account, admitted.tokens)

    def refuse(
        self,
        request: calls.CallerRequest,
        responder: calls.Responder,
        error: errors.RefusedError,
    ) -> None:
        """Sends a refusal, or ends an answer that has begun."""
        if responder.started:
            responder.abort()
            return
        code = error.code
        document = {
            "code": code.number,
            "name": code.name,
            "message": error.message,
            "execution": code.execution.value,
            "request_id": request.id,
        }
        fields = [
            ("Content-Type", "application/json"),
            *self.protocol.refusal_fields(request.id),
        ]
        if error.retry_after is not None:
            wait = max(error.retry_after, MIN_RETRY_AFTER_S)
            wait = math.ceil(wait * 1000) / 1000
            document["retry_after"] = wait
            fields.append(("Retry-After", f"{wait:.3f}"))
        try:
            responder.answer(
                code.http_status,
                tuple(fields),
                msgspec.json.encode(document),
            )
        except OSError as failure:
            logger.info(
                "refusal not delivered",
                request_id=request.id,
                reason=str(failure),
            )

    def fail(
        self,
        request: calls.CallerRequest,
        responder: calls.Responder,
        call: calls.Call | None,
    ) -> None:
        """Answers after an unexpected error."""
        if call is not None:
            call.may_have_run = True
        self.refuse(
            request, responder, errors.RefusedError(results.INTERNAL_ERROR)
        )

    def log_end(
        self,
        request: calls.CallerRequest,
        call: calls.Call | None,
        admitted: Admitted | None,
        result: str,
    ) -> None:
        """Writes the request's last log line."""
        service = call.service if call else ""
        self.parts.metrics.requests.labels(service, result).inc()
        age = self.tracker.age()
        logger.info(
            "request ended",
            request_id=request.id,
            result=result,
            route=admitted.route.name if admitted else None,
            client_account=call.account if call else None,
            service=service,
            tokens=admitted.tokens if admitted else None,
            policy_version=admitted.policy.version if admitted else None,
            policy_age_ms=round(age * 1000) if math.isfinite(age) else None,
            attempts=call.attempts if call else 0,
            upstreams=call.tried if call else [],
            deadline_ms=round(request.deadline_s * 1000)
            if request.deadline_s is not None
            else None,
            took_ms=round(
                (self.clock.monotonic() - request.received_at) * 1000
            ),
        )
