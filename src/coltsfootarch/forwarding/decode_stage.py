"""Runs the decode stage: generates at a decode engine and relays events."""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

import structlog

from coltsfootarch.forwarding import attempt_recorder
from coltsfootarch.forwarding import attempts
from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import crash_checks
from coltsfootarch.forwarding import silence_watch
from coltsfootarch.forwarding import upstream_exchange
from coltsfootarch.http1 import client
from coltsfootarch.http1 import events
from coltsfootarch.scheduling import crashing_parts

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import context
    from coltsfootarch.forwarding import generations
    from coltsfootarch.scheduling import engine_placement

# Another engine is prepared for a resumable stream after this silence: a
# multiple of the route's `event_gap_s`, and a lower bound in seconds. Callers
# give up a little later; see `policy.Route.silence_timeout_s`.
STALL_GAP_MULTIPLE = 5.0
MIN_STALL_S = 1.5
# The same before the first event, as a fraction of the stream's objective, so
# that another engine can still respond before the caller disconnects. An engine
# that fetches the prompt's KV cache sends the first event within a few
# milliseconds; one that prefills the prompt itself takes several times as long.
FIRST_EVENT_FRACTION = 0.4
FIRST_EVENT_WITH_PREFILL_FRACTION = 0.9
# Events of a stream after which a decode engine that prefills prompts itself
# may start with the next prompt. By the second event its other streams have
# sent an event too, so that the pauses caused by two prompts don't add up.
EVENTS_BETWEEN_PROMPTS = 2

logger = structlog.get_logger(__name__)


class DecodeStage:
    """Sends requests to decode engines and relays their event streams.

    Args:
        context: Components that all pipelines of the host share.
    """

    def __init__(self, context: context.Context) -> None:
        self.context = context
        self.recorder = attempt_recorder.AttemptRecorder(context)

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.context.clock

    def create_exchange(
        self,
        generation: generations.Generation,
        placement: engine_placement.Placement,
    ) -> upstream_exchange.UpstreamExchange:
        """Returns an unconnected exchange with the decode engine."""
        return upstream_exchange.UpstreamExchange(
            self.context.connections,
            self.context.wire,
            self.clock,
            generation.call.request,
            self.build_delivery(generation, placement),
            self.context.notices,
            self.context.response_memory,
        )

    def build_delivery(
        self,
        generation: generations.Generation,
        placement: engine_placement.Placement,
    ) -> calls.Delivery:
        """Returns what the host adds to the request, from its current state."""
        call = generation.call
        prefill_result = generation.prefill_result
        return calls.Delivery(
            placement.decode,
            call.account,
            call.ends_at - self.clock.monotonic(),
            kv_cache_source=prefill_result.source if prefill_result else None,
            reservation=generation.reservation,
            resume_after=generation.resume_after,
        )

    def generate(
        self,
        generation: generations.Generation,
        engine: upstreams.Upstream,
        exchange: upstream_exchange.UpstreamExchange,
        prepare: Callable[[], silence_watch.Preparation],
    ) -> None:
        """Sends the request to a decode engine and relays its events.

        Args:
            generation: The request.
            engine: The engine.
            exchange: Exchange with the engine.
            prepare: Prepares another engine while this one is silent.
        """
        call = generation.call
        now = self.clock.monotonic()
        prefill_result, generation.prefill_result = (
            generation.prefill_result,
            None,
        )
        generation.kv_cache_provided = prefill_result is not None
        reason = "done"
        result: attempts.Response | attempts.Failure
        if not exchange.sent:
            call.tried.append(engine.id)
        watch = silence_watch.SilenceWatch(
            self.context,
            generation,
            exchange,
            lambda: self.silence_limit_s(generation),
            prepare,
        )
        exchange.part_reader = watch
        try:
            with call.cancellation.attached(exchange.abort):
                result = self.relay(generation, exchange)
        except client.ConnectError as error:
            reason = str(error)
            result = attempts.Failure.NOT_SENT
            generation.connect_failures += 1
        except client.ResponseTimeoutError:
            reason = "silent"
            result = attempts.Failure.TIMED_OUT
        except (client.BrokenConnectionError, ValueError) as error:
            reason = "silent" if watch.moved else str(error)
            result = (
                attempts.Failure.TIMED_OUT
                if watch.moved
                else attempts.Failure.BROKEN
            )
        finally:
            exchange.close()
            watch.close()
            generation.replacement = watch.replacement
            generation.moved = watch.moved
        call.cancellation.check()
        if prefill_result is not None and result in (
            attempts.Failure.NOT_SENT,
            attempts.Failure.NOT_RUN,
        ):
            # The engine didn't fetch the KV cache; another one can still.
            generation.prefill_result = prefill_result
        if (
            result is attempts.Failure.BROKEN
            and not exchange.aborted
            and generation.event_count < crashing_parts.SOUND_EVENTS
        ):
            check = self.context.crash_check.watch(
                engine,
                functools.partial(
                    self.context.crashing_parts.record_crash,
                    call.service,
                    call.request.shared_parts,
                    f"{engine.id}@{engine.started_ms}",
                ),
                generation.last_activity_at,
                call.digest,
            )
            check.join(crash_checks.MAX_DELAY_S)
        if not exchange.aborted:
            self.recorder.record_outcome(
                generation, engine, result, now, watch.was_silent
            )
        self.recorder.record_result(generation, result, now)
        self.context.metrics.attempts.labels(call.service, result.label).inc()
        logger.info(
            "decode ended",
            request_id=call.request.id,
            upstream=engine.id,
            version=engine.version,
            resumes=call.request.resumed_id or None,
            attempt=call.attempts,
            digest=call.digest,
            breaks=self.context.break_counts.count(call.digest),
            outcome=result.label,
            reason=reason,
            started=call.responder.started,
            events=generation.event_count,
            shared_parts=call.request.shared_parts,
            first_event_ms=round((generation.first_event_at - now) * 1000)
            if generation.first_event_at and generation.first_event_at >= now
            else None,
            took_ms=round((self.clock.monotonic() - now) * 1000),
        )

    def relay(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> attempts.Response | attempts.Failure:
        """Relays complete events to the caller; returns the result.

        Raises:
            client.ConnectError: Nothing was sent.
            client.ResponseTimeoutError: The call has ended.
            client.BrokenConnectionError: The stream ended early, or has moved.
            ValueError: An event was too long.
        """
        call = generation.call
        if not exchange.sent:
            try:
                exchange.send()
            finally:
                call.attempts += exchange.sent
        call.sent_upstream = True
        response = exchange.accepted or exchange.read_head(call.ends_at)
        if not 200 <= response.status < 300:
            body = exchange.read_body(call.ends_at)
            call.keep(exchange.take_holding())
            if response.is_from_other_upstream(exchange.delivery.upstream):
                self.context.directory.reject(exchange.delivery.upstream.id)
            if response.not_run:
                return attempts.Failure.NOT_RUN
            return attempts.Response(response.status, response.fields, body)
        splitter = events.EventSplitter()
        exchange.discard = splitter.clear
        while True:
            part = exchange.read_part(call.ends_at)
            if part is None:
                break
            if not isinstance(part, bytes):
                raise client.BrokenConnectionError(
                    "another response began before the stream ended"
                )
            for event in splitter.feed(part):
                if generation.version is None:
                    self.begin(generation, exchange)
                self.send_event(generation, response, event)
                exchange.share_turn()
            exchange.hold(len(splitter.incomplete))
        exchange.finish()
        if splitter.incomplete:
            raise client.BrokenConnectionError(
                "the stream ended within an event"
            )
        generation.finished = True
        if call.responder.started:
            call.responder.finish()
        else:
            # A stream without an event, as after a resume at its last one.
            call.responder.respond(response.status, response.fields, b"")
        return attempts.Response(response.status, (), b"")

    def begin(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> None:
        """Binds a stream to the software version of its engine.

        Raises:
            client.BrokenConnectionError: It could not be recorded, so that the
                stream must not begin there.
        """
        engine = exchange.delivery.upstream
        if not self.context.stream_versions.confirm(generation.call, engine):
            exchange.abort()
            raise client.BrokenConnectionError("its version was not recorded")
        generation.version = engine.version

    def send_event(
        self,
        generation: generations.Generation,
        response: calls.UpstreamResponse,
        event: events.Event,
    ) -> None:
        """Sends an event to the caller; the first event starts the response."""
        responder = generation.call.responder
        generation.event_count += 1
        if generation.event_count == crashing_parts.SOUND_EVENTS:
            self.recorder.record_sound(generation.call)
        if (
            generation.event_count >= EVENTS_BETWEEN_PROMPTS
            and generation.placement is not None
            and not generation.prompt_prefilled
        ):
            generation.prompt_prefilled = True
            self.context.queue.finish_local_prefill(generation.placement)
        if not responder.started:
            generation.first_event_at = self.clock.monotonic()
            elapsed = generation.first_event_at - (
                generation.call.request.received_at
            )
            self.context.metrics.answer_time.labels(
                generation.call.service
            ).observe(elapsed)
            if generation.placement is not None:
                self.context.outcome_tracker.record_progress(
                    generation.placement.decode.id
                )
            responder.start(response.status, response.fields)
        responder.send(event.data)
        generation.last_activity_at = self.clock.monotonic()
        if event.id:
            generation.resume_after = event.id

    def silence_limit_s(self, generation: generations.Generation) -> float:
        """Returns the silence after which another engine is prepared.

        It is in seconds, and infinite if the stream can't be resumed or has no
        attempt left.
        """
        call = generation.call
        if not call.route.resumable or (
            call.attempts >= call.route.max_attempts
        ):
            return math.inf
        if call.responder.started:
            return max(MIN_STALL_S, STALL_GAP_MULTIPLE * call.route.event_gap_s)
        fraction = (
            FIRST_EVENT_FRACTION
            if generation.kv_cache_provided
            else FIRST_EVENT_WITH_PREFILL_FRACTION
        )
        return fraction * call.route.objective_s
