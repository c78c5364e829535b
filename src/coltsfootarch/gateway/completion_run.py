"""One completion request from its reservation to its last token."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.gateway import answer_text
from coltsfootarch.gateway import completions
from coltsfootarch.gateway import failures
from coltsfootarch.gateway import resume
from coltsfootarch.gateway import stale_engines
from coltsfootarch.observability import metrics
from coltsfootarch.protocol import messages
from coltsfootarch.scheduling import items
from coltsfootarch.upstreams import engine

if TYPE_CHECKING:
    from collections.abc import Iterator

    from coltsfootarch.config import register
    from coltsfootarch.gateway import completion_pipeline
    from coltsfootarch.keys import ring

MAX_REPLACEMENTS = 3
# A first replacement is never refused for the retry budget, because refusing
# it loses an answer that was admitted.
FREE_REPLACEMENTS = 1
MAX_STALLED_RESUMES = 2
# An admitted request waits longer for another engine than a new one would.
REPLACEMENT_DEADLINE = datetime.timedelta(seconds=30)
REPLACEMENT_INTERVAL = datetime.timedelta(milliseconds=250)
RESUME_TOKEN_LIFETIME = datetime.timedelta(minutes=10)


class RunContext(NamedTuple):
    """What a run is about.

    Attributes:
        request_id: Request id.
        caller: Client account and key of the caller.
        service: Model service.
        request: The checked request.
    """

    request_id: str
    caller: ring.Caller
    service: register.Service
    request: completions.CompletionRequest


class CompletionRun:
    """State of one completion request.

    Iterating `events` drives it. Closing that generator early counts as the
    caller's leaving.

    Args:
        pipeline: Collaborators shared by all runs.
        context: What the run is about.
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
        self.announced = False
        self.abandoned = False
        self.started_at = pipeline.clock.monotonic()

    def events(self) -> Iterator[completions.AnswerEvent]:
        """Yields the answer's events until it is whole.

        Raises:
            RefusedError: The request was refused or could not be finished.
        """
        limiter = self.pipeline.limiter
        reservation = limiter.reserve(
            self.context.caller.account,
            self.prompt_tokens + self.context.request.max_tokens,
        )
        try:
            yield from self.attempts()
        finally:
            self.stale.release()
            limiter.settle(reservation, self.tokens_used())

    def tokens_used(self) -> int:
        """Returns the tokens to charge.

        A caller that left may fetch the rest of the answer with its resume
        token, which is not charged, so the whole reservation is charged here.
        """
        if self.abandoned:
            return self.prompt_tokens + self.context.request.max_tokens
        return self.prompt_tokens + self.text.offset if self.sent else 0

    def attempts(self) -> Iterator[completions.AnswerEvent]:
        """Places the request until one placement finishes it."""
        while True:
            self.place()
            try:
                yield from self.run_placement()
            except failures.AttemptFailedError as failure:
                self.note_failure(failure)
                if self.text.tokens_left() > 0:
                    self.check_replacement()
                    continue
                # Only the engine's end mark is missing.
            except GeneratorExit:
                self.abandon()
                raise
            except BaseException:
                self.cancel()
                raise
            else:
                self.stale.forget_all()
            yield completions.Finished(self.prompt_tokens, self.text.offset)
            return

    def place(self) -> None:
        """Asks the scheduler for engines.

        Raises:
            RefusedError: No placement; "not run" only if nothing was sent.
        """
        try:
            while True:
                self.placement = self.next_placement()
                if self.is_allowed(self.placement):
                    self.engines = self.placed_engines(self.placement)
                    self.stale.release(used=self.engines)
                    return
        except errors.RefusedError as refusal:
            if not self.sent or refusal.code in failures.ENDINGS:
                raise
            raise errors.RefusedError(
                results.UPSTREAM_FAILED,
                "An upstream failed and no other could take over; send the "
                "request again.",
                refusal.retry_after,
            ) from refusal

    def next_placement(self) -> items.Assignment:
        """Asks the scheduler, for an admitted request until engines are back.

        A request that crashes engines can take all of a pool with it for a
        moment, and the answers under way there must not be lost.

        Raises:
            RefusedError: No placement.
        """
        waited_until = self.deadline()
        while True:
            self.attempt += 1
            try:
                return self.pipeline.scheduler.schedule(
                    self.context.service.name, self.work_item()
                )
            except errors.RefusedError as refusal:
                gone = refusal.code == results.NO_UPSTREAM
                late = self.pipeline.clock.monotonic() >= waited_until
                if late or not (self.sent and gone):
                    raise
            self.excluded.clear()
            self.pipeline.clock.sleep(REPLACEMENT_INTERVAL)

    def deadline(self) -> float:
        """Returns the monotonic instant at which the first token is due."""
        target = self.context.service.first_token_target
        within = REPLACEMENT_DEADLINE if self.sent else target
        return self.pipeline.clock.monotonic() + within.total_seconds()

    def is_allowed(self, placement: items.Assignment) -> bool:
        """Returns whether both engines may get new work.

        An engine that may not is given back and excluded.
        """
        try:
            leaving = self.pipeline.guard.denied(
                (placement.prefill, placement.decode)
            )
        except BaseException:
            self.notify("cancelled", placement.decode)
            raise
        if leaving:
            self.notify("cancelled", placement.decode)
            self.excluded.update(leaving)
        return not leaving

    def work_item(self) -> items.WorkItem:
        """Returns the scheduler's view of what is left to do."""
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
            # A cancellation names no attempt and would end the new one.
            excluded=frozenset(self.excluded | self.stale.cancelling),
        )

    def priority(self) -> int:
        """Returns the priority; replaced requests come before new ones."""
        asked = self.context.request.priority
        base = self.pipeline.account_priority(self.context.caller.account)
        chosen = base if asked is None else min(asked, base)
        return chosen + (1 if self.sent else 0)

    def run_placement(self) -> Iterator[completions.AnswerEvent]:
        """Prefills, transfers and decodes on the current placement."""
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
        self.announced = False
        source = self.prefill(request)
        yield from self.decode(request, source)

    def prefill(self, request: engine.EngineRequest) -> engine.PrefillResult:
        """Runs the prefill.

        Raises:
            failures.AttemptFailedError: The prefill engine failed.
        """
        upstream = self.engines[self.assigned().prefill]
        sent_before = self.sent
        self.sent = True
        try:
            source = self.pipeline.engines.prefill(upstream.address, request)
        except errors.UpstreamConnectError as error:
            self.sent = sent_before
            self.pipeline.reachability.note_failure(upstream.address)
            raise failures.AttemptFailedError(
                upstream.name, failures.FAILED
            ) from error
        except errors.UpstreamError as error:
            raise self.failure(upstream, error) from error
        self.pipeline.reachability.note_success(upstream.address)
        self.notify("prefilled", upstream.name)
        return source

    def decode(
        self, request: engine.EngineRequest, source: engine.PrefillResult
    ) -> Iterator[completions.AnswerEvent]:
        """Streams tokens, resuming on a new connection when one stalls.

        Raises:
            failures.AttemptFailedError: The decode engine failed.
        """
        upstream = self.engines[self.assigned().decode]
        if not self.pipeline.guard.allows(upstream.name):
            self.excluded.add(upstream.name)
            raise failures.AttemptFailedError(upstream.name, failures.CANCELLED)
        stream = self.pipeline.engines.decode(upstream.address, request, source)
        stalled = 0
        while True:
            try:
                with completions.closing(stream):
                    for event in stream:
                        yield from self.accept(event)
                        stalled = 0
                        if event.finished:
                            self.notify("finished", upstream.name)
                            return
                raise errors.UpstreamError("the stream ended early")
            except errors.UpstreamError as error:
                stalled += 1
                if not self.can_resume(error, stalled):
                    raise self.failure(upstream, error) from error
            self.pipeline.metrics.increment(metrics.STREAM_RESUMES)
            stream = self.pipeline.engines.resume(
                upstream.address, request.request_id, self.text.offset
            )

    def can_resume(self, error: errors.UpstreamError, stalled: int) -> bool:
        """Returns whether a broken stream is worth a new connection."""
        if isinstance(error, errors.UpstreamRefusedError):
            return False
        return self.announced and stalled <= MAX_STALLED_RESUMES

    def failure(
        self, upstream: register.Upstream, error: errors.UpstreamError
    ) -> failures.AttemptFailedError:
        """Returns what an engine's error means for this attempt."""
        return failures.classify(
            upstream.name,
            error,
            answers=lambda: self.held_requests(upstream.address) is not None,
            holds=lambda: self.is_held(upstream.address),
        )

    def accept(
        self, event: engine.TokenEvent
    ) -> Iterator[completions.AnswerEvent]:
        """Passes an engine's event on if it continues the answer.

        Raises:
            UpstreamError: The event does not belong here.
        """
        if not self.text.is_new(event, self.attempt):
            return
        if not self.announced:
            self.announced = True
            yield self.first_event()
        if not event.tokens:
            return
        self.text.append(event)
        self.pipeline.metrics.increment(metrics.TOKENS, event.tokens)
        yield completions.Tokens(event.text, self.text.offset)

    def first_event(self) -> completions.Started:
        """Notes the first token of a placement and returns its event."""
        placement = self.assigned()
        self.notify("transferred", placement.decode)
        if self.text.offset == 0:
            elapsed = self.pipeline.clock.monotonic() - self.started_at
            self.pipeline.metrics.timing(metrics.FIRST_TOKEN, elapsed)
        expires = self.pipeline.clock.now() + RESUME_TOKEN_LIFETIME
        reference = resume.ResumeReference(
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

    def note_failure(self, failure: failures.AttemptFailedError) -> None:
        """Notes what an attempt leaves behind and tells the scheduler."""
        self.stale.mark(self.engines.values())
        self.notify(failure.step, failure.upstream)
        if failure.excludes:
            self.excluded.add(failure.upstream)
        if failure.upstream == self.assigned().decode and not self.announced:
            self.pipeline.metrics.increment(metrics.PREFILLS_WASTED)

    def check_replacement(self) -> None:
        """Decides whether another attempt follows.

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
        allowed = self.replacements <= FREE_REPLACEMENTS
        if not allowed and not self.pipeline.budget.spend():
            raise errors.RefusedError(results.RETRY_BUDGET_SPENT)

    def abandon(self) -> None:
        """Leaves a streamed answer to be resumed for a short while."""
        if not (self.context.request.stream and self.announced):
            self.cancel()
            return
        self.abandoned = True
        placement = self.assigned()
        self.stale.forget(self.engines)
        self.pipeline.leave_for_resume(
            self.context.request_id,
            self.attempt,
            self.engines[placement.decode],
        )

    def cancel(self) -> None:
        """Frees what the request holds after it was ended."""
        self.stale.mark(self.engines.values())
        self.notify("cancelled", self.assigned().decode)

    def placed_engines(
        self, placement: items.Assignment
    ) -> dict[str, register.Upstream]:
        """Returns a placement's engines by name.

        They are kept, because the register may lose them while they run.
        """
        return {
            name: self.pipeline.upstream(name)
            for name in (placement.prefill, placement.decode)
        }

    def held_requests(self, address: str) -> list[engine.EngineEntry] | None:
        """Returns what an engine holds, or None if it does not answer."""
        try:
            return self.pipeline.engines.requests(address)
        except errors.UpstreamError:
            self.pipeline.reachability.note_failure(address)
            return None

    def is_held(self, address: str) -> bool:
        """Returns whether an engine holds this attempt."""
        own = (self.context.request_id, self.attempt)
        return any(
            (entry.request_id, entry.attempt) == own
            for entry in self.held_requests(address) or ()
        )

    def notify(self, step: str, upstream: str) -> None:
        """Reports a step to the pool's scheduler."""
        event = messages.ScheduleEvent(
            self.context.request_id,
            self.attempt,
            step,
            upstream,
            self.text.offset,
        )
        self.pipeline.scheduler.notify(event)

    def assigned(self) -> items.Assignment:
        """Returns the current placement."""
        assert self.placement is not None
        return self.placement
