"""Runs one completion request, from its token reservation to its last token."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.gateway import answer_text
from coltsfootarch.gateway import completions
from coltsfootarch.gateway import failures
from coltsfootarch.gateway import resume_tokens
from coltsfootarch.gateway import stale_engines
from coltsfootarch.observability import metrics
from coltsfootarch.protocol import messages
from coltsfootarch.scheduling import items
from coltsfootarch.upstreams import engine

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootarch.config import register
    from coltsfootarch.gateway import completion_pipeline
    from coltsfootarch.keys import keyring

MAX_REPLACEMENTS = 3
# Replacements that do not need the retry budget. The first one never does,
# because refusing it would lose the answer of a request that was admitted.
UNBUDGETED_REPLACEMENTS = 1
# Maximum number of resumes in a row of an engine's stream without an event.
MAX_CONSECUTIVE_RESUMES = 2
# How long a request that was already sent to an engine waits for another one;
# longer than a new request waits, whose limit is its first-token target.
REPLACEMENT_TIMEOUT = datetime.timedelta(seconds=30)
REPLACEMENT_RETRY_INTERVAL = datetime.timedelta(milliseconds=250)
RESUME_TOKEN_LIFETIME = datetime.timedelta(minutes=10)


class RunContext(NamedTuple):
    """The request of a run and its caller.

    Attributes:
        request_id: Request id.
        caller: Client account and key of the caller.
        service: Model service.
        request: The validated request.
    """

    request_id: str
    caller: keyring.Caller
    service: register.Service
    request: completions.CompletionRequest


class CompletionRun:
    """State of one completion request.

    The request runs while `events` is iterated. Closing that generator early
    means that the caller has disconnected.

    Args:
        pipeline: Components shared by all runs.
        context: The request and its caller.

    Attributes:
        text: Text of the answer over all attempts.
        attempt: Number of the current attempt, from 1.
        replacements: Number of replacements after failed attempts.
        excluded: Names of engines to avoid in further attempts.
        stale: Engines at which earlier attempts are still to be cancelled.
        engines: Engines of the current placement, by name.
        sent: Whether the request may have reached an engine.
        placement: Current placement.
        base_offset: Offset of the first token of the current attempt.
        start_emitted: Whether the current attempt has emitted its start event.
        left_for_resume: Whether the answer was left to be resumed after the
            caller disconnected.
        started_at: Monotonic time in seconds at which the run started.
    """

    def __init__(
        self,
        pipeline: completion_pipeline.CompletionPipeline,
        context: RunContext,
    ) -> None:
        self.pipeline = pipeline
        self.context = context
        self.prompt_tokens = completions.count_tokens(context.request.prompt)
        self.text = answer_text.AnswerText(context.request_id, context.request)
        self.attempt = 0
        self.replacements = 0
        self.excluded: set[str] = set()
        self.stale = stale_engines.StaleEngines(
            lambda address: pipeline.cancel_later(address, context.request_id)
        )
        self.engines: dict[str, register.Upstream] = {}
        self.sent = False
        self.placement: items.Assignment | None = None
        self.base_offset = 0
        self.start_emitted = False
        self.left_for_resume = False
        self.started_at = pipeline.clock.monotonic()

    def events(self) -> Iterator[completions.AnswerEvent]:
        """Yields the answer's events until it is complete.

        Raises:
            RefusedError: The request was refused or could not be finished.
        """
        limiter = self.pipeline.limiter
        reservation = limiter.reserve(
            self.context.caller.account,
            self.prompt_tokens + self.context.request.max_tokens,
        )
        try:
            yield from self.run_attempts()
        finally:
            self.stale.cancel_unused()
            limiter.settle(reservation, self.tokens_used())

    def tokens_used(self) -> int:
        """Returns the tokens to charge.

        A caller that disconnected may fetch the rest of the answer with its
        resume token without another charge, so the whole reservation is
        charged here.
        """
        if self.left_for_resume:
            return self.prompt_tokens + self.context.request.max_tokens
        return self.prompt_tokens + self.text.offset if self.sent else 0

    def run_attempts(self) -> Iterator[completions.AnswerEvent]:
        """Runs attempts, each on a new placement, until one finishes."""
        while True:
            self.place()
            try:
                yield from self.run_placement()
            except failures.AttemptFailedError as failure:
                self.record_failure(failure)
                if self.text.tokens_left() > 0:
                    self.check_replacement()
                    continue
                # All tokens have arrived; only the event that ends the stream
                # is missing.
            except GeneratorExit:
                self.handle_disconnect()
                raise
            except BaseException:
                self.cancel()
                raise
            else:
                self.stale.clear()
            yield completions.Finished(self.prompt_tokens, self.text.offset)
            return

    def place(self) -> None:
        """Sets `placement` and `engines` to engines that may get work.

        Raises:
            RefusedError: There is no placement. The code says "not run" only if
                nothing was sent to an engine.
        """
        try:
            while True:
                self.placement = self.next_placement()
                if self.is_allowed(self.placement):
                    self.engines = self.placed_engines(self.placement)
                    self.stale.cancel_unused(used=self.engines)
                    return
        except errors.RefusedError as refusal:
            if not self.sent or refusal.code in failures.EXTERNAL_END_CODES:
                raise
            raise errors.RefusedError(
                results.UPSTREAM_FAILED,
                "An upstream failed and no other could take over; send the "
                "request again.",
                refusal.retry_after,
            ) from refusal

    def next_placement(self) -> items.Assignment:
        """Returns a placement by the scheduler.

        Once something was sent, the scheduler is asked again while it has no
        upstream. A request that crashes engines can make a whole pool
        unavailable for a short time, and the other answers in progress on that
        pool must not be lost.

        Raises:
            RefusedError: There is no placement.
        """
        give_up_at = self.deadline()
        while True:
            self.attempt += 1
            try:
                return self.pipeline.scheduler.schedule(
                    self.context.service.name, self.work_item()
                )
            except errors.RefusedError as refusal:
                no_upstream = refusal.code == results.NO_UPSTREAM
                expired = self.pipeline.clock.monotonic() >= give_up_at
                if expired or not (self.sent and no_upstream):
                    raise
            self.excluded.clear()
            self.pipeline.clock.sleep(REPLACEMENT_RETRY_INTERVAL)

    def deadline(self) -> float:
        """Returns when the first token is due, in monotonic seconds."""
        target = self.context.service.first_token_target
        timeout = REPLACEMENT_TIMEOUT if self.sent else target
        return self.pipeline.clock.monotonic() + timeout.total_seconds()

    def is_allowed(self, placement: items.Assignment) -> bool:
        """Returns whether both engines may get new work.

        Otherwise the placement is cancelled and the denied engines excluded.
        """
        try:
            denied = self.pipeline.guard.denied(
                (placement.prefill, placement.decode)
            )
        except BaseException:
            self.notify("cancelled", placement.decode)
            raise
        if denied:
            self.notify("cancelled", placement.decode)
            self.excluded.update(denied)
        return not denied

    def work_item(self) -> items.WorkItem:
        """Returns the remaining work, as the scheduler needs it."""
        context = self.context
        prompt = self.text.prompt()
        return items.WorkItem(
            request_id=context.request_id,
            attempt=self.attempt,
            account=context.caller.account,
            prompt_tokens=completions.count_tokens(prompt),
            max_output_tokens=self.text.tokens_left(),
            deadline=self.deadline(),
            prefix_digests=tuple(completions.prefix_digests(prompt)),
            digest=context.request.digest,
            priority=self.priority(),
            # A cancellation in progress names only the request and would also
            # end a new attempt on the same engine.
            excluded=frozenset(self.excluded | self.stale.cancelling),
        )

    def priority(self) -> int:
        """Returns the priority; larger runs earlier.

        A caller can lower the priority of its client account but not raise it.
        Replacements get one more, so that they come before new requests.
        """
        requested = self.context.request.priority
        default = self.pipeline.account_priority(self.context.caller.account)
        priority = default if requested is None else min(requested, default)
        return priority + (1 if self.sent else 0)

    def run_placement(self) -> Iterator[completions.AnswerEvent]:
        """Yields the answer events of prefill and decode on the placement."""
        request = engine.EngineRequest(
            request_id=self.context.request_id,
            attempt=self.attempt,
            owner=self.pipeline.owner,
            prompt=self.text.prompt(),
            max_tokens=self.text.tokens_left(),
            priority=self.priority(),
            first_offset=self.text.offset,
        )
        self.base_offset = self.text.offset
        self.start_emitted = False
        source = self.prefill(request)
        yield from self.decode(request, source)

    def prefill(self, request: engine.EngineRequest) -> engine.PrefillResult:
        """Runs the prefill and returns the exported KV cache.

        Raises:
            failures.AttemptFailedError: The prefill engine failed.
        """
        upstream = self.engines[self.current_placement().prefill]
        sent_before = self.sent
        self.sent = True
        try:
            source = self.pipeline.engines.prefill(upstream.address, request)
        except errors.LocalConnectError as error:
            self.sent = sent_before
            raise failures.AttemptFailedError(
                upstream.name, failures.CANCELLED
            ) from error
        except errors.UpstreamConnectError as error:
            self.sent = sent_before
            self.pipeline.reachability.record_failure(upstream.address)
            raise failures.AttemptFailedError(
                upstream.name, failures.FAILED
            ) from error
        except errors.UpstreamError as error:
            raise self.classify_error(upstream, error) from error
        self.pipeline.reachability.record_success(upstream.address)
        self.notify("prefilled", upstream.name)
        return source

    def decode(
        self, request: engine.EngineRequest, source: engine.PrefillResult
    ) -> Iterator[completions.AnswerEvent]:
        """Yields answer events, resuming a broken stream on a new connection.

        Raises:
            failures.AttemptFailedError: The decode engine failed.
        """
        upstream = self.engines[self.current_placement().decode]
        if not self.pipeline.guard.allows(upstream.name):
            self.excluded.add(upstream.name)
            raise failures.AttemptFailedError(upstream.name, failures.CANCELLED)
        stream = self.pipeline.engines.decode(upstream.address, request, source)
        consecutive_failures = 0
        while True:
            try:
                with completions.closing(stream):
                    for event in stream:
                        yield from self.accept_event(event)
                        consecutive_failures = 0
                        if event.finished:
                            self.notify("finished", upstream.name)
                            return
                raise errors.UpstreamError("the stream ended early")
            except errors.UpstreamError as error:
                consecutive_failures += 1
                if not self.can_resume(error, consecutive_failures):
                    raise self.classify_error(upstream, error) from error
            self.pipeline.metrics.increment(metrics.STREAM_RESUMES)
            stream = self.pipeline.engines.resume(
                upstream.address, request.request_id, self.text.offset
            )

    def can_resume(
        self, error: errors.UpstreamError, consecutive_failures: int
    ) -> bool:
        """Returns whether to resume a broken stream on a new connection."""
        if isinstance(error, errors.UpstreamRefusedError):
            return False
        return (
            self.start_emitted
            and consecutive_failures <= MAX_CONSECUTIVE_RESUMES
        )

    def classify_error(
        self, upstream: register.Upstream, error: errors.UpstreamError
    ) -> failures.AttemptFailedError:
        """Returns the attempt's failure for an error of an engine."""
        return failures.classify(
            upstream.name,
            error,
            is_responding=lambda: (
                self.held_requests(upstream.address) is not None
            ),
            holds_request=lambda: self.is_held(upstream.address),
        )

    def accept_event(
        self, event: engine.TokenEvent
    ) -> Iterator[completions.AnswerEvent]:
        """Yields the answer events for an engine's event, if it is new.

        Raises:
            UpstreamError: The event does not continue the answer.
        """
        if not self.text.is_new(event, self.attempt):
            return
        if not self.start_emitted:
            self.start_emitted = True
            yield self.first_event()
        if not event.tokens:
            return
        self.text.append(event)
        self.pipeline.metrics.increment(metrics.TOKENS, event.tokens)
        yield completions.Tokens(event.text, self.text.offset)

    def first_event(self) -> completions.Started:
        """Returns the start event of an attempt and reports its first token."""
        placement = self.current_placement()
        self.notify("transferred", placement.decode)
        if self.text.offset == 0:
            elapsed = self.pipeline.clock.monotonic() - self.started_at
            self.pipeline.metrics.timing(metrics.FIRST_TOKEN, elapsed)
        expires = self.pipeline.clock.now() + RESUME_TOKEN_LIFETIME
        reference = resume_tokens.ResumeReference(
            request_id=self.context.request_id,
            attempt=self.attempt,
            account=self.context.caller.account,
            upstream=placement.decode,
            body_digest=self.context.request.digest,
            base_offset=self.base_offset,
            expires_at=expires.timestamp(),
        )
        token = self.pipeline.signer().sign(reference)
        return completions.Started(self.context.request_id, token)

    def record_failure(self, failure: failures.AttemptFailedError) -> None:
        """Records a failed attempt and reports it to the scheduler."""
        self.stale.add(self.engines.values())
        self.notify(failure.step, failure.upstream)
        if failure.excludes:
            self.excluded.add(failure.upstream)
        if (
            failure.upstream == self.current_placement().decode
            and not self.start_emitted
        ):
            self.pipeline.metrics.increment(metrics.PREFILLS_WASTED)

    def check_replacement(self) -> None:
        """Checks that another attempt is allowed.

        Raises:
            RefusedError: No further attempt is allowed.
        """
        self.pipeline.metrics.increment(metrics.REPLACEMENTS)
        if self.replacements >= MAX_REPLACEMENTS:
            code = results.UPSTREAM_FAILED
            if not self.sent:
                code = results.UPSTREAM_CONNECT_FAILED
            raise errors.RefusedError(code)
        self.replacements += 1
        allowed = self.replacements <= UNBUDGETED_REPLACEMENTS
        if not allowed and not self.pipeline.budget.spend():
            raise errors.RefusedError(results.RETRY_BUDGET_SPENT)

    def handle_disconnect(self) -> None:
        """Leaves a streamed answer running for a resume, or else cancels it."""
        if not (self.context.request.stream and self.start_emitted):
            self.cancel()
            return
        self.left_for_resume = True
        placement = self.current_placement()
        self.stale.discard(self.engines)
        self.pipeline.cancel_later_unless_resumed(
            self.context.request_id,
            self.attempt,
            self.engines[placement.decode],
        )

    def cancel(self) -> None:
        """Cancels the request at its engines and at the scheduler."""
        self.stale.add(self.engines.values())
        self.notify("cancelled", self.current_placement().decode)

    def placed_engines(
        self, placement: items.Assignment
    ) -> dict[str, register.Upstream]:
        """Returns a placement's engines by name.

        They are kept, because an edit may remove them from the register while
        they run the request.
        """
        return {
            name: self.pipeline.upstream(name)
            for name in (placement.prefill, placement.decode)
        }

    def held_requests(self, address: str) -> list[engine.EngineEntry] | None:
        """Returns an engine's requests, or None if it does not answer.

        Raises:
            LocalConnectError: It could not be asked.
        """
        try:
            return self.pipeline.engines.requests(address)
        except errors.LocalConnectError:
            raise
        except errors.UpstreamError:
            self.pipeline.reachability.record_failure(address)
            return None

    def is_held(self, address: str) -> bool:
        """Returns whether an engine holds this attempt."""
        own = (self.context.request_id, self.attempt)
        return any(
            (entry.request_id, entry.attempt) == own
            for entry in self.held_requests(address) or ()
        )

    def notify(self, step: str, upstream: str) -> None:
        """Reports a step of the current attempt to the pool's scheduler."""
        event = messages.ScheduleEvent(
            self.context.request_id,
            self.attempt,
            step,
            upstream,
            self.text.offset,
        )
        self.pipeline.scheduler.notify(event)

    def current_placement(self) -> items.Assignment:
        """Returns the current placement."""
        assert self.placement is not None
        return self.placement
