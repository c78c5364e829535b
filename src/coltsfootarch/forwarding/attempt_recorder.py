"""Records what attempts to generate tell about engines and requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch.forwarding import attempts

if TYPE_CHECKING:
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import calls
    from coltsfootarch.forwarding import context
    from coltsfootarch.forwarding import generations


class AttemptRecorder:
    """Records the attempts of all generations.

    Args:
        context: Components that all pipelines of the host share.
    """

    def __init__(self, context: context.Context) -> None:
        self.context = context

    def record_sound(self, call: calls.Call) -> None:
        """Records that no part of the prompt crashes engines."""
        self.context.crashing_parts.record_sound(
            call.service, call.request.shared_parts
        )

    def record_outcome(
        self,
        generation: generations.Generation,
        engine: upstreams.Upstream,
        result: attempts.Response | attempts.Failure,
        started_at: float,
        was_silent: bool,
    ) -> None:
        """Records what an attempt tells about the engine and the request.

        An engine whose stream fell silent was checked for a crash then. A
        break after that is the same one.
        """
        digest = generation.call.digest
        latency = (
            generation.first_event_at or self.context.clock.monotonic()
        ) - started_at
        self.context.outcome_tracker.record(engine.id, result.outcome, latency)
        if result is attempts.Failure.BROKEN:
            cause = engine.incarnation if was_silent else ""
            self.context.break_counts.record(digest, cause)
        elif result is attempts.Failure.TIMED_OUT and not was_silent:
            self.context.crash_check.check(digest, engine)

    def record_result(
        self,
        generation: generations.Generation,
        result: attempts.Response | attempts.Failure,
        started_at: float,
    ) -> None:
        """Records an attempt's result; decides if the request is finished."""
        call = generation.call
        if isinstance(result, attempts.Response):
            succeeded = result.is_success
            generation.response = result
            if succeeded:
                if generation.event_count:
                    self.record_sound(call)
                self.context.break_counts.clear(call.digest)
                duration = self.context.clock.monotonic() - started_at
                self.context.queue.backlog.record_duration(
                    call.service, duration
                )
                if generation.prefill_s:
                    self.context.balancer.record(
                        call.service,
                        generation.prefill_s,
                        duration,
                        generation.demand.memory_tokens,
                    )
            if succeeded or not call.route.repeatable:
                generation.finished = True
            return
        generation.failure = result
        call.may_have_run = call.may_have_run or result.may_have_run
        if result.may_have_run and not call.route.repeatable:
            generation.finished = True
