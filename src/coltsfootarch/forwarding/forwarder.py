"""Admits requests of callers and passes them to the matching pipeline."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

import gevent
import gevent.event
import structlog

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.fleet import policy as policies
from coltsfootarch.forwarding import call_pipeline
from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import cancellation as cancellations
from coltsfootarch.forwarding import endings
from coltsfootarch.forwarding import generation_pipeline
from coltsfootarch.forwarding import part_refusals

if TYPE_CHECKING:
    import random

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import active_policy
    from coltsfootarch.forwarding import context
    from coltsfootarch.forwarding import fleet_join
    from coltsfootarch.http1 import messages
    from coltsfootarch.limits import shared_bucket

# Longest wait for the store to confirm the keys, before the request is refused
# so that the caller tries another host. The store normally answers within a
# few milliseconds.
CONFIRMATION_WAIT_S = 0.3
# Fraction of `Forwarder.confirmation_s` for which a confirmation is valid. The
# rest is a margin for differences between the hosts' clocks.
CONFIRMATION_FRACTION = 0.95
UNCONFIRMED_RETRY_AFTER_S = 0.1
# `Retry-After` of a request for whose connection there is no room, in seconds.
SURPLUS_RETRY_AFTER_S = 0.2
# Longest time for which a request that takes up a stream waits for tokens of
# its account, and the interval at which it tries to get them, in seconds.
MAX_TOKEN_WAIT_S = 3.0
TOKEN_CHECK_S = 0.1

logger = structlog.get_logger(__name__)


class AdmittedRequest(NamedTuple):
    """A request that passed all checks, with the policy that applies to it.

    Attributes:
        route: Route that matches the request.
        account: Client account of the key; None where no key is needed.
        policy: Policy version used for the checks.
        tokens: Tokens taken from the account's rate limit; 0 without an
            account.
        service: Service chosen for it.
        version: Software version that began the stream that it takes up; None
            if it takes up none.
    """

    route: policies.Route
    account: policies.ClientAccount | None
    policy: policies.Policy
    tokens: int
    service: str
    version: str | None = None


class Forwarder:
    """Checks requests of callers, runs them and sends refusals.

    Args:
        context: Components that all pipelines of the host share.
        protocol: Wire format of callers.
        policy_tracker: Holds the active policy.
        buckets: Rate limits of client accounts.
        generator: Source of randomness for choosing services by weight.
        confirmation_s: Time in seconds for which keys are accepted after the
            policy was last confirmed to be current, which bounds how long a
            withdrawn key still works; None to accept them always.
        join: Tells whether this host may serve after its start.

    Attributes:
        refuse_from: Instant from which new requests are refused, in seconds.
        in_progress: Number of requests in progress.
        calls: Admitted requests in progress.
        ends_by: Instant by which calls must end, in seconds.
    """

    def __init__(
        self,
        context: context.Context,
        protocol: calls.CallerProtocol,
        policy_tracker: active_policy.PolicyTracker,
        buckets: shared_bucket.SharedBuckets,
        generator: random.Random,
        confirmation_s: float | None,
        join: fleet_join.FleetJoin,
    ) -> None:
        self.context = context
        self.protocol = protocol
        self.policy_tracker = policy_tracker
        self.buckets = buckets
        self.generator = generator
        self.confirmation_s = confirmation_s
        self.join = join
        self.refuse_from = math.inf
        self.in_progress = 0
        self.calls: set[calls.Call] = set()
        self.ends_by = math.inf
        self.call_pipeline = call_pipeline.CallPipeline(context)
        self.generation_pipeline = generation_pipeline.GenerationPipeline(
            context
        )

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.context.clock

    @property
    def stopping(self) -> bool:
        """Whether new requests are refused."""
        return self.clock.monotonic() >= self.refuse_from

    def handle(
        self,
        raw: messages.Request,
        responder: calls.Responder,
        cancellation: cancellations.Cancellation,
    ) -> None:
        """Handles a request; a failure ends in a refusal or an abort."""
        try:
            request = self.protocol.decode(raw)
        except Exception:
            request_id = self.protocol.request_id(raw.fields)
            logger.exception("request not decoded", request_id=request_id)
            endings.refuse(
                self.protocol,
                request_id,
                responder,
                errors.RefusedError(results.MALFORMED_REQUEST),
            )
            return
        self.in_progress += 1
        call: calls.Call | None = None
        admitted: AdmittedRequest | None = None
        ending: endings.Ending | None = None
        code: results.ResultCode | None = None
        try:
            if responder.surplus:
                raise errors.RefusedError(
                    results.OVERLOADED, retry_after=SURPLUS_RETRY_AFTER_S
                )
            admitted = self.admit(request, cancellation)
            call = self.make_call(request, admitted, responder, cancellation)
            call.ends_at = min(call.ends_at, self.ends_by)
            self.calls.add(call)
            self.run(call, admitted)
        except errors.RefusedError as error:
            code = error.code
            ending = endings.refuse(self.protocol, request.id, responder, error)
        except cancellations.CallerDisconnectedError:
            ending = endings.Ending(endings.CALLER_LEFT)
            responder.abort()
        except calls.CallerConnectionError as error:
            ending = endings.Ending(endings.CALLER_LOST, str(error))
            responder.abort()
        except (Exception, gevent.Timeout):
            logger.exception("request failed", request_id=request.id)
            ending = endings.refuse(
                self.protocol,
                request.id,
                responder,
                errors.RefusedError(results.INTERNAL_ERROR),
            )
        finally:
            self.in_progress -= 1
            if call is not None:
                self.calls.discard(call)
                call.keep(None)
            self.refund_tokens(call, admitted, code)
            ending = ending or endings.Ending(endings.result_of(responder))
            self.log_result(request, call, admitted, ending)

    def limit_calls(self, ends_by: float) -> None:
        """Ends all calls by an instant, in seconds, before the host exits."""
        self.ends_by = ends_by
        for call in self.calls:
            call.ends_at = min(call.ends_at, ends_by)

    def interrupt_calls(self) -> None:
        """Makes the calls in progress respond at once."""
        for call in tuple(self.calls):
            call.ends_at = self.clock.monotonic()
            call.cancellation.interrupt()

    def admit(
        self,
        request: calls.CallerRequest,
        cancellation: cancellations.Cancellation,
    ) -> AdmittedRequest:
        """Checks route, key and rate limit.

        Raises:
            errors.RefusedError: A check failed; the request must not run.
            cancellation.CallerDisconnectedError: The caller disconnected.
        """
        if self.stopping:
            raise errors.RefusedError(
                results.STOPPING, retry_after=endings.MIN_RETRY_AFTER_S
            )
        current = self.policy_tracker.usable_policy()
        if current is None:
            raise errors.RefusedError(
                results.NO_CONFIGURATION,
                retry_after=UNCONFIRMED_RETRY_AFTER_S,
            )
        if not self.join.wait():
            raise errors.RefusedError(
                results.HOST_LIST_UNAVAILABLE,
                retry_after=UNCONFIRMED_RETRY_AFTER_S,
            )
        route = self.find_route(current, request)
        if current.accounts and not route.public:
            self.confirm_keys(request)
            # The policy may have changed while waiting for the confirmation.
            current = self.policy_tracker.policy or current
            route = self.find_route(current, request)
        account = self.authenticate(current, route, request)
        service = route.choose_service(self.generator)
        version = None
        if route.repeat is policies.Repeat.STREAM:
            self.context.stream_versions.wait_known(service)
            if request.takes_up:
                version = self.context.stream_versions.resolve(
                    request, account.name if account else "", service
                )
        tokens = 0
        if account is not None:
            tokens = request.prompt_tokens + request.output_tokens
            tokens = tokens or account.default_tokens
            wait = self.take_tokens(request, account, tokens, cancellation)
            if wait > 0:
                bucket = self.buckets.bucket(account.name)
                logger.info(
                    "rate limit exceeded",
                    request_id=request.id,
                    client_account=account.name,
                    tokens=tokens,
                    level=round(bucket.level),
                    share=round(self.buckets.reachable_fraction(), 3),
                    policy_version=current.version,
                    wait_ms=round(wait * 1000),
                )
                raise errors.RefusedError(
                    results.RATE_EXCEEDED, retry_after=wait
                )
        return AdmittedRequest(
            route, account, current, tokens, service, version
        )

    def take_tokens(
        self,
        request: calls.CallerRequest,
        account: policies.ClientAccount,
        tokens: int,
        cancellation: cancellations.Cancellation,
    ) -> float:
        """Takes the tokens of a request from its account's bucket.

        A request that takes up a stream has missed its objective and waits for
        them; a refusal would cost its caller one of few retries.

        Returns:
            0.0 if they were taken, else the seconds until there are enough.

        Raises:
            cancellation.CallerDisconnectedError: The caller disconnected.
        """
        takes_up = request.takes_up
        wait = self.buckets.admit(account, tokens, takes_up)
        if not takes_up or wait <= 0:
            return wait
        deadline = self.clock.monotonic() + MAX_TOKEN_WAIT_S
        wake_event = gevent.event.Event()
        with cancellation.attached(wake_event.set):
            while wait > 0 and self.clock.monotonic() + wait < deadline:
                wake_event.wait(min(wait, TOKEN_CHECK_S))
                cancellation.check()
                wait = self.buckets.admit(account, tokens, takes_up)
        return wait

    def find_route(
        self, current: policies.Policy, request: calls.CallerRequest
    ) -> policies.Route:
        """Returns the route of a request.

        Raises:
            errors.RefusedError: No route matches.
        """
        route = current.find_route(request.host, request.path)
        if route is None:
            raise errors.RefusedError(results.UNKNOWN_ROUTE)
        return route

    def confirm_keys(self, request: calls.CallerRequest) -> None:
        """Waits until the keys of the policy are confirmed to be current.

        Raises:
            errors.RefusedError: The store did not confirm them in time.
        """
        limit = self.confirmation_s
        if limit is None:
            return
        since = request.received_at - limit * CONFIRMATION_FRACTION
        if self.policy_tracker.confirmed_at >= since:
            return
        if not self.policy_tracker.wait_confirmed(since, CONFIRMATION_WAIT_S):
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
        """Returns the client account of a request; None if it needs no key.

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
        admitted: AdmittedRequest,
        responder: calls.Responder,
        cancellation: cancellations.Cancellation,
    ) -> calls.Call:
        """Returns the call for an admitted request.

        Raises:
            errors.RefusedError: The request repeatedly broke its upstreams, or
                its prompt has a part that crashes them.
        """
        call = calls.Call(
            request,
            admitted.route,
            admitted.service,
            admitted.account.name if admitted.account else "",
            admitted.policy.version,
            cancellation,
            responder,
        )
        if self.context.break_counts.is_refused(call.digest):
            raise errors.RefusedError(results.REPEATED_BREAKS)
        parts = request.shared_parts
        crashing_parts = self.context.crashing_parts
        if parts and crashing_parts.is_refused(call.service, parts):
            call.is_trial = crashing_parts.start_trial(call.service, parts)
            if not call.is_trial:
                raise part_refusals.refusal(crashing_parts, call)
        return call

    def run(self, call: calls.Call, admitted: AdmittedRequest) -> None:
        """Runs the call in the pipeline for its kind of route."""
        if admitted.route.repeat is not policies.Repeat.STREAM:
            self.call_pipeline.run(call)
            return
        service = admitted.policy.services.get(call.service)
        if service is None:
            raise errors.RefusedError(
                results.NO_UPSTREAM, retry_after=UNCONFIRMED_RETRY_AFTER_S
            )
        self.generation_pipeline.run(call, service, admitted.version)

    def refund_tokens(
        self,
        call: calls.Call | None,
        admitted: AdmittedRequest | None,
        code: results.ResultCode | None,
    ) -> None:
        """Returns the tokens to the account if the request was not run."""
        if admitted is None or admitted.account is None:
            return
        may_have_run = call is not None and call.sent_upstream
        if code is not None and code.execution is results.Execution.NOT_RUN:
            may_have_run = False
        if not may_have_run:
            self.buckets.refund(admitted.account, admitted.tokens)

    def log_result(
        self,
        request: calls.CallerRequest,
        call: calls.Call | None,
        admitted: AdmittedRequest | None,
        ending: endings.Ending,
    ) -> None:
        """Counts the request and logs its result."""
        service = call.service if call else ""
        self.context.metrics.requests.labels(service, ending.result).inc()
        age = self.policy_tracker.age()
        logger.info(
            "request ended",
            request_id=request.id,
            result=ending.result,
            reason=ending.reason or None,
            route=admitted.route.name if admitted else None,
            client_account=call.account if call else None,
            service=service,
            tokens=admitted.tokens if admitted else None,
            policy_version=admitted.policy.version if admitted else None,
            policy_age_ms=round(age * 1000) if math.isfinite(age) else None,
            attempts=call.attempts if call else 0,
            upstreams=call.tried if call else [],
            resumes=request.resumed_id or None,
            resume_after=request.resume_after or None,
            deadline_ms=round(request.deadline_s * 1000)
            if request.deadline_s is not None
            else None,
            took_ms=round(
                (self.clock.monotonic() - request.received_at) * 1000
            ),
        )
