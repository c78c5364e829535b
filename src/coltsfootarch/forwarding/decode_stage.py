"""Generating at decode engines and relaying the events."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import structlog

from coltsfootarch.forwarding import attempts
from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import events
from coltsfootarch.forwarding import exchange
from coltsfootarch.http1 import client
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import context
    from coltsfootarch.forwarding import generations
    from coltsfootarch.scheduling import engine_placement

# Silence after which a resumable stream goes on elsewhere, in multiples of the
# longest wanted pause and in seconds. Callers give up a little later.
STALL_GAPS = 5.0
MIN_STALL_S = 1.5
# Part of a stream's objective after which an engine that has sent no event is
# given up, so that another one can still answer before the caller leaves. An
# engine that fetches the prompt's memory sends the first event within some
# milliseconds; one that reads the prompt itself takes several times as long.
FIRST_EVENT_PART = 0.4
FIRST_EVENT_UNREAD_PART = 0.9
# Events after which an engine that reads prompts itself may read the next one.
# With the second one its other streams have sent an event too, so that the
# pauses for two prompts don't add up.
EVENTS_BETWEEN_PROMPTS = 2

logger = structlog.get_logger(__name__)


class DecodeStage:
    """Sends requests to decode engines and relays their streams.

    Args:
        parts: What pipelines share.
    """

    def __init__(self, parts: context.Context) -> None:
        self.parts = parts

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.parts.clock

    def open(
        self,
        generation: generations.Generation,
        placement: engine_placement.Placement,
    ) -> exchange.Exchange:
        """Returns an exchange with a decode engine, not yet connected."""
        return exchange.Exchange(
            self.parts.connections,
            self.parts.wire,
            self.clock,
            generation.call.request,
            self.delivery(generation, placement),
        )

    def delivery(
        self,
        generation: generations.Generation,
        placement: engine_placement.Placement,
    ) -> calls.Delivery:
        """Returns what is sent to the decode engine, as of now."""
        call = generation.call
        memory = generation.memory
        return calls.Delivery(
            placement.decode,
            call.account,
            call.ends_at - self.clock.monotonic(),
            memory=memory.source if memory else None,
            reservation=generation.reservation,
            resume_after=generation.resume_after,
        )

    def connect(
        self, generation: generations.Generation, sending: exchange.Exchange
    ) -> bool:
        """Connects to the decode engine; returns whether that worked."""
        call = generation.call
        engine = sending.delivery.upstream
        self.parts.tracker.note_dispatch(engine.id)
        try:
            with call.cancellation.attached(sending.abort):
                sending.connect(fresh=False)
        except client.ConnectError as error:
            call.cancellation.check()
            generation.connect_failures += 1
            call.tried.append(engine.id)
            self.parts.tracker.record(engine.id, outcomes.Outcome.ABSENT)
            logger.info(
                "decode engine not reached",
                request_id=call.request.id,
                upstream=engine.id,
                reason=str(error),
            )
            return False
        return True

    def reserve(
        self, generation: generations.Generation, sending: exchange.Exchange
    ) -> bool:
        """Reserves room for a prompt before it is read, on large fleets.

        Other hosts may have taken the room that the view of loads shows; the
        engine knows. The view of a few hosts is newer than that, and an engine
        refuses more than needed, since it can't tell which requests end soon.

        Returns:
            Whether to go on with this engine.
        """
        engine = generation.service.engine
        many_hosts = self.parts.engine_placer.sampler.many_hosts
        if engine is None or engine.reservation_s <= 0 or not many_hosts:
            return True
        call = generation.call
        upstream = sending.delivery.upstream
        tokens = generation.demand.prompt_tokens
        reason = "no room"
        try:
            with call.cancellation.attached(sending.abort):
                generation.reservation = (
                    sending.reserve(tokens, engine.reservation_s) or ""
                )
        except (
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
        ) as error:
            reason = str(error) or type(error).__name__
            sending.close()
        call.cancellation.check()
        if generation.reservation:
            return True
        generation.refusals += 1
        self.parts.tracker.record(upstream.id, outcomes.Outcome.REFUSED)
        logger.info(
            "reservation refused",
            request_id=call.request.id,
            upstream=upstream.id,
            tokens=tokens,
            reason=reason,
        )
        return False

    def reconnected(
        self, generation: generations.Generation, sending: exchange.Exchange
    ) -> exchange.Exchange:
        """Returns an exchange with a connection.

        An engine may end the connection with the answer to a reservation.
        """
        if sending.connection is None and generation.reservation:
            with contextlib.suppress(client.ConnectError):
                sending.connect(fresh=True)
        return sending

    def generate(
        self,
        generation: generations.Generation,
        engine: upstreams.Upstream,
        sending: exchange.Exchange,
    ) -> None:
        """Generates at a decode engine and relays the events."""
        call = generation.call
        now = self.clock.monotonic()
        memory, generation.memory = generation.memory, None
        generation.prompt_delivered = memory is not None
        reason = "done"
        result: attempts.Answer | attempts.Fate
        call.tried.append(engine.id)
        try:
            with call.cancellation.attached(sending.abort):
                result = self.relay(generation, sending)
        except client.ConnectError as error:
            reason = str(error)
            result = attempts.Fate.NOT_SENT
            generation.connect_failures += 1
        except client.ResponseTimeoutError:
            reason = "silent"
            result = attempts.Fate.TIMED_OUT
        except (client.BrokenConnectionError, ValueError) as error:
            reason = str(error)
            result = attempts.Fate.BROKEN
        finally:
            sending.close()
        if sending.sent:
            call.attempts += 1
        call.cancellation.check()
        if memory is not None and result in (
            attempts.Fate.NOT_SENT,
            attempts.Fate.NOT_RUN,
        ):
            # A refused request leaves the prompt's memory where it was.
            generation.memory = memory
        self.judge(generation, engine, result, now)
        self.parts.metrics.attempts.labels(call.service, result.label).inc()
        logger.info(
            "decode ended",
            request_id=call.request.id,
            upstream=engine.id,
            attempt=call.attempts,
            outcome=result.label,
            reason=reason,
            started=call.responder.started,
            first_event_ms=round((generation.first_event_at - now) * 1000)
            if generation.first_event_at
            else None,
            took_ms=round((self.clock.monotonic() - now) * 1000),
        )

    def relay(
        self, generation: generations.Generation, sending: exchange.Exchange
    ) -> attempts.Answer | attempts.Fate:
        """Relays whole events; returns how the exchange ended."""
        call = generation.call
        sending.send()
        call.offered = True
        answer = sending.read_head(self.silence_limit(generation))
        if not 200 <= answer.status < 300:
            body = sending.read_body(self.silence_limit(generation))
            if answer.is_from_other(sending.delivery.upstream):
                self.parts.directory.reject(sending.delivery.upstream.id)
            if answer.not_run:
                return attempts.Fate.NOT_RUN
            return attempts.Answer(answer.status, answer.fields, body)
        splitter = events.EventSplitter()
        while True:
            part = sending.read_part(self.silence_limit(generation))
            if part is None:
                break
            if not isinstance(part, bytes):
                raise client.BrokenConnectionError("an answer in an answer")
            for event in splitter.feed(part):
                self.send_event(generation, answer, event)
        sending.finish()
        if splitter.rest:
            raise client.BrokenConnectionError("the last event is cut")
        generation.finished = True
        call.responder.finish()
        return attempts.Answer(answer.status, (), b"")

    def send_event(
        self,
        generation: generations.Generation,
        answer: calls.UpstreamAnswer,
        event: events.Event,
    ) -> None:
        """Sends an event to the caller; the first one starts the answer."""
        responder = generation.call.responder
        generation.events += 1
        if (
            generation.events >= EVENTS_BETWEEN_PROMPTS
            and generation.placement is not None
            and not generation.prompt_read
        ):
            generation.prompt_read = True
            self.parts.queue.note_prompt_read(generation.placement)
        if not responder.started:
            generation.first_event_at = self.clock.monotonic()
            took = generation.first_event_at - (
                generation.call.request.received_at
            )
            self.parts.metrics.answer_time.labels(
                generation.call.service
            ).observe(took)
            self.parts.tracker.note_progress(generation.call.tried[-1])
            responder.start(answer.status, answer.fields)
        responder.send(event.data)
        generation.heard_at = self.clock.monotonic()
        if event.id:
            generation.resume_after = event.id

    def silence_limit(self, generation: generations.Generation) -> float:
        """Returns the instant until which the engine may be silent."""
        call = generation.call
        if not call.route.resumable or (
            call.attempts + 1 >= call.route.max_attempts
        ):
            return call.ends_at
        silence = max(MIN_STALL_S, STALL_GAPS * call.route.event_gap_s)
        if not call.responder.started:
            read = generation.prompt_delivered
            part = FIRST_EVENT_PART if read else FIRST_EVENT_UNREAD_PART
            silence = part * call.route.objective_s
        return min(call.ends_at, self.clock.monotonic() + silence)

    def judge(
        self,
        generation: generations.Generation,
        engine: upstreams.Upstream,
        result: attempts.Answer | attempts.Fate,
        started: float,
    ) -> None:
        """Counts an outcome and decides whether the request is over."""
        call = generation.call
        took = (generation.first_event_at or self.clock.monotonic()) - started
        self.parts.tracker.record(engine.id, result.outcome, took)
        if isinstance(result, attempts.Answer):
            good = result.is_success
            generation.answer = result
            if good:
                self.parts.breaks.clear(call.digest)
                duration = self.clock.monotonic() - started
                self.parts.queue.backlog.note_duration(call.service, duration)
                if generation.prefill_s:
                    self.parts.balancer.note(
                        call.service,
                        generation.prefill_s,
                        duration,
                        generation.demand.memory_tokens,
                    )
            if good or not call.route.repeatable:
                generation.finished = True
            return
        generation.fate = result
        call.may_have_run = call.may_have_run or result.may_have_run
        if result is attempts.Fate.BROKEN:
            self.parts.breaks.record(call.digest)
        if result.may_have_run and not call.route.repeatable:
            generation.finished = True
