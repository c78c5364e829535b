"""Runs completion requests and resumes streamed answers."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from gevent import pool

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.gateway import completion_run
from coltsfootarch.gateway import completions
from coltsfootarch.gateway import failures
from coltsfootarch.gateway import resume_tokens
from coltsfootarch.observability import metrics
from coltsfootarch.protocol import messages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    import gevent

    from coltsfootarch import clock
    from coltsfootarch.config import register
    from coltsfootarch.config import routes
    from coltsfootarch.gateway import dispatch_guard
    from coltsfootarch.gateway import reachability
    from coltsfootarch.keys import keyring
    from coltsfootarch.limits import limiter
    from coltsfootarch.retries import budget
    from coltsfootarch.scheduling import scheduler_client
    from coltsfootarch.upstreams import engine

CANCEL_ATTEMPTS = 3
CANCEL_INTERVAL = datetime.timedelta(seconds=1)
BACKGROUND_TIMEOUT = datetime.timedelta(seconds=10)
# Time within which a caller that was disconnected must resume a streamed answer
# before it is cancelled.
RESUME_GRACE = datetime.timedelta(seconds=2)


class CompletionPipeline:
    """Runs completion requests.

    Args:
        clock: Source of time.
        register: Returns the register in force.
        routes: Returns the routes in force.
        limiter: Enforces rate and burst of client accounts.
        scheduler: Places requests on engines.
        engines: Calls model engines.
        guard: Checks, right before work is sent, that an engine may get it.
        reachability: Records which engines this host can connect to.
        budget: Retry budget of this host.
        metrics: Receives metrics.
        owner: "host/incarnation" of this host, sent to engines with each
            request.

    Attributes:
        background: Greenlets that cancel requests at engines.
    """

    def __init__(
        self,
        clock: clock.Clock,
        register: Callable[[], register.Register],
        routes: Callable[[], routes.RouteTable],
        limiter: limiter.Limiter,
        scheduler: scheduler_client.SchedulerClient,
        engines: engine.EngineClient,
        guard: dispatch_guard.DispatchGuard,
        reachability: reachability.Reachability,
        budget: budget.RetryBudget,
        metrics: metrics.Metrics,
        owner: str,
    ) -> None:
        self.clock = clock
        self.register = register
        self.routes = routes
        self.limiter = limiter
        self.scheduler = scheduler
        self.engines = engines
        self.guard = guard
        self.reachability = reachability
        self.budget = budget
        self.metrics = metrics
        self.owner = owner
        self.background = pool.Group()

    def run(
        self,
        request_id: str,
        caller: keyring.Caller,
        request: completions.CompletionRequest,
    ) -> Iterator[completions.AnswerEvent]:
        """Yields the events of a new answer.

        Raises:
            RefusedError: The request was refused or could not be finished.
        """
        service = self.routes().match_model("POST", request.model).service
        self.metrics.increment(metrics.REQUESTS)
        self.budget.record()
        context = completion_run.RunContext(
            request_id, caller, service, request
        )
        yield from completion_run.CompletionRun(self, context).events()

    def resume(
        self,
        request_id: str,
        caller: keyring.Caller,
        request: completions.CompletionRequest,
        token: str,
        offset: int,
    ) -> Iterator[completions.AnswerEvent]:
        """Yields the rest of an answer that was started on another connection.

        The engine's stream is resumed at `offset`. If the engine no longer has
        the answer, the answer starts over and is charged as a new request.

        Args:
            request_id: Id of this request, used if the answer starts over.
            caller: Client account and key of the caller.
            request: Request with the same body as the original one.
            token: Resume token of the answer.
            offset: Number of tokens that the caller has received.

        Raises:
            RefusedError: The token is invalid, or as for `run`.
        """
        now = self.clock.now().timestamp()
        reference = self.signer().verify(token, now)
        same_body = reference.body_digest == request.digest
        if reference.account != caller.account or not same_body:
            raise errors.RefusedError(results.INVALID_RESUME_TOKEN)
        self.metrics.increment(metrics.CALLER_RESUMES)
        upstream = self.register().upstreams.get(reference.upstream)
        silent = False
        try:
            if upstream is None or offset < reference.base_offset:
                raise errors.UpstreamError("the answer can't be resumed")
            stream = self.resume_stream(
                request_id, upstream, reference, request, token, offset
            )
            with completions.closing(stream):
                try:
                    first = next(stream)
                except errors.UpstreamTimeoutError:
                    silent = True
                    raise
                yield first
                yield from stream
        except errors.UpstreamError:
            if upstream is not None and not silent:
                self.cancel_later(upstream.address, reference.request_id)
        except errors.RefusedError:
            if upstream is not None:
                self.cancel_later(upstream.address, reference.request_id)
            raise
        except GeneratorExit:
            if upstream is not None:
                self.cancel_later_unless_resumed(
                    reference.request_id, reference.attempt, upstream
                )
            raise
        else:
            return
        restart = self.run(request_id, caller, request)
        if upstream is None or not silent:
            self.metrics.increment(metrics.RESTARTS)
            yield completions.Restarted(request_id)
            yield from restart
            return
        again = self.resume_stream(
            request_id, upstream, reference, request, token, offset
        )
        yield from self.restart_or_resume(
            request_id, upstream, reference, restart, again
        )

    def restart_or_resume(
        self,
        request_id: str,
        upstream: register.Upstream,
        reference: resume_tokens.ResumeReference,
        restart: Iterator[completions.AnswerEvent],
        again: Iterator[completions.AnswerEvent],
    ) -> Iterator[completions.AnswerEvent]:
        """Yields a new answer, or else the rest of one whose engine is silent.

        The engine may still hold the answer, which is cancelled there as soon
        as the new one has begun.

        Args:
            request_id: Id of this request.
            upstream: The silent engine.
            reference: The answer that it holds.
            restart: Events of the new answer.
            again: Events of another resume.

        Raises:
            RefusedError: The new answer was refused, and the engine is silent
                still.
        """
        with completions.closing(restart), completions.closing(again):
            try:
                first = next(restart)
            except errors.RefusedError as refusal:
                if refusal.code in failures.EXTERNAL_END_CODES:
                    self.cancel_later(upstream.address, reference.request_id)
                    raise
                yield from self.resume_or_refuse(
                    request_id, upstream, reference, again, refusal
                )
                return
            except BaseException:
                self.cancel_later(upstream.address, reference.request_id)
                raise
            self.cancel_later(upstream.address, reference.request_id)
            self.metrics.increment(metrics.RESTARTS)
            yield completions.Restarted(request_id)
            yield first
            yield from restart

    def resume_or_refuse(
        self,
        request_id: str,
        upstream: register.Upstream,
        reference: resume_tokens.ResumeReference,
        again: Iterator[completions.AnswerEvent],
        refusal: errors.RefusedError,
    ) -> Iterator[completions.AnswerEvent]:
        """Yields the rest of an answer that could not be restarted.

        Args:
            request_id: Id of this request.
            upstream: The engine that was silent.
            reference: The answer that it holds.
            again: Events of another resume.
            refusal: Why it could not be restarted.

        Raises:
            RefusedError: The engine doesn't continue the answer either.
        """
        try:
            yield from again
        except errors.UpstreamError:
            self.cancel_later(upstream.address, reference.request_id)
            yield completions.Restarted(request_id)
            raise refusal from None
        except errors.RefusedError:
            self.cancel_later(upstream.address, reference.request_id)
            raise
        except GeneratorExit:
            self.cancel_later_unless_resumed(
                reference.request_id, reference.attempt, upstream
            )
            raise

    def resume_stream(
        self,
        request_id: str,
        upstream: register.Upstream,
        reference: resume_tokens.ResumeReference,
        request: completions.CompletionRequest,
        token: str,
        offset: int,
    ) -> Iterator[completions.AnswerEvent]:
        """Yields the answer events of a resumed engine stream.

        The start event contains the id of this request and not that of the
        original one, so that a caller that cancels by this id ends the
        connection that it is reading from.

        Raises:
            UpstreamError: The stream could not be resumed.
        """
        started = False
        consecutive_failures = 0
        while True:
            stream = self.engines.resume(
                upstream.address, reference.request_id, offset
            )
            try:
                with completions.closing(stream):
                    for event in stream:
                        check_event(event, reference, offset)
                        if not started:
                            started = True
                            yield completions.Started(request_id, token)
                        consecutive_failures = 0
                        offset += event.tokens
                        if event.tokens:
                            yield completions.Tokens(event.text, offset)
                        if event.finished:
                            self.notify_finished(reference, offset)
                            tokens = completions.count_tokens(request.prompt)
                            yield completions.Finished(tokens, offset)
                            return
                raise errors.UpstreamError("the stream ended early")
            except errors.UpstreamRefusedError:
                raise
            except errors.UpstreamError:
                consecutive_failures += 1
                if (
                    not started
                    or consecutive_failures
                    > completion_run.MAX_CONSECUTIVE_RESUMES
                ):
                    raise

    def notify_finished(
        self, reference: resume_tokens.ResumeReference, offset: int
    ) -> None:
        """Reports the end of a resumed answer to the scheduler."""
        event = messages.ScheduleEvent(
            reference.request_id,
            reference.attempt,
            "finished",
            reference.upstream,
            offset,
        )
        self.scheduler.notify(event)

    def wait_background(self) -> None:
        """Waits for cancellations in progress, up to `BACKGROUND_TIMEOUT`."""
        self.background.join(BACKGROUND_TIMEOUT.total_seconds())

    def upstream(self, name: str) -> register.Upstream:
        """Returns an upstream of the register in force.

        Raises:
            RefusedError: The register no longer has it.
        """
        upstream = self.register().upstreams.get(name)
        if upstream is None:
            raise errors.RefusedError(results.NO_UPSTREAM)
        return upstream

    def account_priority(self, account: str) -> int:
        """Returns the default priority of a client account."""
        entry = self.register().client_accounts.get(account)
        return entry.priority if entry else 0

    def signer(self) -> resume_tokens.ResumeSigner:
        """Returns the signer for the secret in force."""
        return resume_tokens.ResumeSigner(self.register().rules.resume_secret)

    def cancel_later_unless_resumed(
        self, request_id: str, attempt: int, upstream: register.Upstream
    ) -> None:
        """Cancels an answer after `RESUME_GRACE` unless it is resumed."""
        self.background.spawn(
            self.cancel_unless_resumed, request_id, attempt, upstream
        )

    def cancel_unless_resumed(
        self, request_id: str, attempt: int, upstream: register.Upstream
    ) -> None:
        """Waits `RESUME_GRACE` and cancels the answer if it was not resumed."""
        self.clock.sleep(RESUME_GRACE)
        if self.is_being_read(upstream.address, request_id):
            return
        self.scheduler.notify(
            messages.ScheduleEvent(
                request_id, attempt, "cancelled", upstream.name, 0
            )
        )
        self.cancel(upstream.address, request_id)

    def is_being_read(self, address: str, request_id: str) -> bool:
        """Returns whether a connection is reading the answer at the engine."""
        try:
            entries = self.engines.requests(address)
        except errors.UpstreamError:
            return False
        grace = RESUME_GRACE.total_seconds()
        return any(
            entry.request_id == request_id and entry.idle < grace / 2
            for entry in entries
        )

    def cancel_later(self, address: str, request_id: str) -> gevent.Greenlet:
        """Cancels a request at an engine in the background.

        Returns:
            The greenlet that runs the cancellation.
        """
        return self.background.spawn(self.cancel, address, request_id)

    def cancel(self, address: str, request_id: str) -> None:
        """Cancels a request at an engine in up to `CANCEL_ATTEMPTS` attempts.

        If all fail, orphan collection frees the engine's memory later.
        """
        for _ in range(CANCEL_ATTEMPTS):
            try:
                self.engines.cancel(address, request_id)
            except errors.UpstreamError:
                self.clock.sleep(CANCEL_INTERVAL)
                continue
            return


def check_event(
    event: engine.TokenEvent,
    reference: resume_tokens.ResumeReference,
    offset: int,
) -> None:
    """Checks that an event continues a resumed answer.

    Raises:
        UpstreamError: It belongs to another request or has another offset.
    """
    if event.request_id != reference.request_id:
        raise errors.UpstreamError("the stream belongs to another request")
    if event.offset != offset:
        raise errors.UpstreamError("the stream continues at another offset")
