"""Requests of model services: prefill, decode, and the stream of events."""

from __future__ import annotations

import contextlib
import random
from typing import TYPE_CHECKING

import gevent
import structlog

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.forwarding import attempts
from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import events
from coltsfootarch.forwarding import exchange
from coltsfootarch.http1 import client
from coltsfootarch.scheduling import dispatch_queue
from coltsfootarch.scheduling import engine_placement
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import context

MAX_CONNECT_FAILURES = 3
# Engines that may refuse a reservation, per request.
MAX_REFUSALS = 6
# Time for which a generation is worth starting, in seconds.
MIN_TIME_LEFT_S = 0.15
# Part of a prefill result's lifetime in which it can still be used by another
# engine; the rest is for sending the request and fetching the memory.
HANDLE_USE_PART = 0.6
# Reading a prompt takes 0.2 s for the longest ones; a prefill engine that needs
# several times as long is stuck.
PREFILL_TIMEOUT_S = 1.2
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
# Time to free a prefill result that won't be used, in seconds.
RELEASE_TIMEOUT_S = 0.5
RETRY_AFTER_S = 0.5
# Bursts last some seconds; a request that returns within less meets the same
# load again.
MIN_OVERLOAD_S = 1.5
# Callers wait at most a third of the time that they have left.
RETURN_PART = 0.32

logger = structlog.get_logger(__name__)


class PromptMemory:
    """KV cache of a prompt that a prefill engine holds.

    Args:
        source: Where it is.
        created_at: Instant of its creation, in seconds.
        lifetime_s: Time for which it is kept, in seconds.
    """

    def __init__(
        self, source: calls.MemorySource, created_at: float, lifetime_s: float
    ) -> None:
        self.source = source
        self.created_at = created_at
        self.lifetime_s = lifetime_s

    def is_usable(self, now: float) -> bool:
        """Returns whether a decode engine can still fetch it."""
        return now - self.created_at < HANDLE_USE_PART * self.lifetime_s


class Generation:
    """State of one request over its attempts.

    Args:
        call: The request.
        service: Its service.
    """

    def __init__(self, call: calls.Call, service: policy.Service) -> None:
        self.call = call
        self.service = service
        self.demand = engine_placement.estimate(
            call.request.prompt_tokens,
            call.request.output_tokens,
            call.request.likely_output_tokens,
        )
        self.memory: PromptMemory | None = None
        self.prefilled = False
        self.prompt_delivered = False
        self.prefill_s = 0.0
        self.placement: engine_placement.Placement | None = None
        # Room at the decode engine, and how often there was none.
        self.reservation = ""
        self.refusals = 0
        self.prompt_read = False
        self.connect_failures = 0
        self.resume_after = call.request.resume_after
        self.answer: attempts.Answer | None = None
        self.fate = attempts.Fate.NOT_SENT
        self.finished = False
        self.first_event_at: float | None = None
        # Instant at which the caller last got something, or sent its request.
        self.heard_at = call.request.received_at


class GenerationPipeline:
    """Places generations on engines and relays their streams.

    Args:
        parts: What pipelines share.
    """

    def __init__(self, parts: context.Context) -> None:
        self.parts = parts
        self.generator = random.Random()

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.parts.clock

    def run(self, call: calls.Call, service: policy.Service) -> None:
        """Answers a generation request.

        Raises:
            errors.RefusedError: There is no answer to relay.
            cancellation.CallerLeftError: The caller left.
        """
        self.parts.budget.record(call.service)
        generation = Generation(call, service)
        try:
            while not generation.finished and self.may_try(generation):
                placement = self.place(generation)
                if placement is None:
                    break
                generation.placement = placement
                generation.prompt_read = False
                generation.reservation = ""
                try:
                    self.attempt(generation, placement)
                finally:
                    self.parts.queue.release(placement, generation.prompt_read)
        finally:
            self.release_memory(generation)
        self.finish(generation)

    def may_try(self, generation: Generation) -> bool:
        """Returns whether another attempt is allowed."""
        call = generation.call
        if generation.connect_failures >= MAX_CONNECT_FAILURES:
            return False
        if generation.refusals >= MAX_REFUSALS:
            return False
        if call.ends_at - self.clock.monotonic() < MIN_TIME_LEFT_S:
            return False
        if call.attempts == 0:
            return True
        if call.attempts >= call.route.max_attempts:
            return False
        if self.parts.breaks.is_refused(call.digest):
            return False
        allowed = self.parts.budget.spend(call.service)
        if allowed and call.responder.started:
            self.parts.metrics.resumes.labels(call.service).inc()
        if not allowed:
            logger.info(
                "retry refused by the budget",
                request_id=call.request.id,
                service=call.service,
                attempts=call.attempts,
            )
        return allowed

    def place(
        self, generation: Generation
    ) -> engine_placement.Placement | None:
        """Waits for engines with room; None if there will be none in time."""
        call = generation.call
        started = self.clock.monotonic()
        waiter = dispatch_queue.Waiter(
            generation.service,
            generation.demand,
            frozenset(call.tried),
            call.route.priority,
            call.request.received_at,
            call.request.received_at + call.route.objective_s,
        )
        if not self.parts.engine_placer.decode_engines(
            call.service, waiter.excluded
        ):
            if generation.connect_failures or not call.tried:
                return None
            # The only engine broke off; it may be back.
            waiter.excluded = frozenset()
        with call.cancellation.attached(waiter.woken.set):
            placement = self.parts.queue.acquire(
                waiter, self.longest_wait(generation)
            )
        if call.cancellation.cancelled:
            if placement is not None:
                self.parts.queue.release(placement, prompt_read=False)
            call.cancellation.check()
        waited = self.clock.monotonic() - started
        self.parts.metrics.queue_time.labels(call.service).observe(waited)
        logger.info(
            "engines chosen" if placement else "no room in time",
            request_id=call.request.id,
            prefill=placement.prefill.id
            if placement and placement.prefill
            else None,
            decode=placement.decode.id if placement else None,
            memory_tokens=generation.demand.memory_tokens,
            decode_tokens=placement.decode_load.tokens if placement else None,
            decode_requests=placement.decode_load.requests
            if placement
            else None,
            view_age_ms=round(placement.view_age_s * 1000)
            if placement
            else None,
            waiting=self.parts.queue.waiting(call.service),
            waited_ms=round(waited * 1000),
        )
        return placement

    def longest_wait(self, generation: Generation) -> float:
        """Returns how long to wait for an engine, in seconds.

        A new request waits while it can be in time. One that can't is told
        when to come back, as newer requests would go first; if it came back
        already, or has been sent before, it waits while its caller does.
        """
        call = generation.call
        now = self.clock.monotonic()
        patience = generation.heard_at + call.route.patience_s
        last = min(call.ends_at, patience) - dispatch_queue.SERVICE_TIME_S
        if call.attempts or call.returned:
            return last - now
        due = call.request.received_at + call.route.objective_s
        due -= dispatch_queue.SERVICE_TIME_S
        if now + self.parts.queue.expected_wait(call.service) > due:
            return 0.0
        return min(due, last) - now

    def attempt(
        self, generation: Generation, placement: engine_placement.Placement
    ) -> None:
        """Reads the prompt, if needed, and generates.

        The decode engine is connected first: a prompt that was read for an
        engine that is down would be read in vain.
        """
        call = generation.call
        sending = self.make_exchange(call, self.delivery(generation, placement))
        try:
            if not self.connect(generation, sending):
                return
            memory = generation.memory
            now = self.clock.monotonic()
            if memory is not None and not memory.is_usable(now):
                generation.memory = None
            if (
                generation.memory is None
                and placement.prefill is not None
                and self.may_prefill(generation)
            ):
                if not self.reserve(generation, sending):
                    return
                self.prefill(generation, placement.prefill)
            call.cancellation.check()
            sending = self.reconnected(generation, sending)
            if not self.parts.directory.is_serving(placement.decode.id):
                # It left while the prompt was read; nothing was sent to it.
                call.tried.append(placement.decode.id)
                generation.connect_failures += 1
                return
            sending.delivery = self.delivery(generation, placement)
            self.decode(generation, placement.decode, sending)
        finally:
            sending.close()

    def reconnected(
        self, generation: Generation, sending: exchange.Exchange
    ) -> exchange.Exchange:
        """Returns an exchange with a connection.

        An engine may end the connection with the answer to a reservation.
        """
        if sending.connection is None and generation.reservation:
            with contextlib.suppress(client.ConnectError):
                sending.connect(fresh=True)
        return sending

    def reserve(
        self, generation: Generation, sending: exchange.Exchange
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

    def delivery(
        self, generation: Generation, placement: engine_placement.Placement
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
            urgency=call.urgency,
        )

    def connect(
        self, generation: Generation, sending: exchange.Exchange
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

    def may_prefill(self, generation: Generation) -> bool:
        """Returns whether a prefill engine may read the prompt.

        The first accepted prefill of a request is no attempt. A further one
        is, and leaves none for the decode engine when only one is left.
        """
        if not generation.prefilled:
            return True
        call = generation.call
        if call.attempts + 2 > call.route.max_attempts:
            return False
        return self.parts.budget.spend(call.service)

    def prefill(
        self, generation: Generation, engine: upstreams.Upstream
    ) -> None:
        """Reads the prompt at a prefill engine.

        Without a result the decode engine reads the prompt itself.
        """
        call = generation.call
        now = self.clock.monotonic()
        tokens = call.request.prompt_tokens
        sending = self.make_exchange(
            call,
            calls.Delivery(
                engine,
                call.account,
                call.ends_at - now,
                prefill_only=True,
                urgency=call.urgency,
            ),
        )
        ahead = self.parts.loads.load(engine.id)
        self.parts.loads.add(engine.id, tokens)
        self.parts.tracker.note_dispatch(engine.id)
        until = min(call.ends_at, now + PREFILL_TIMEOUT_S)
        outcome = outcomes.Outcome.BROKEN
        reason = "done"
        try:
            with call.cancellation.attached(sending.abort):
                sending.start(fresh=False)
                answer = sending.read_head(until)
                body = sending.read_body(until)
            handle = ""
            if answer.status == 200:
                handle = self.parts.wire.decode_prefill(body)
            if handle:
                generation.memory = PromptMemory(
                    calls.MemorySource(engine.address, handle),
                    self.clock.monotonic(),
                    self.handle_lifetime(generation.service),
                )
                outcome = outcomes.Outcome.SUCCESS
            else:
                reason = f"status {answer.status}"
                if answer.is_from_other(engine):
                    self.parts.directory.reject(engine.id)
                refused = answer.not_run
                outcome = (
                    outcomes.Outcome.REFUSED
                    if refused
                    else outcomes.Outcome.ERROR
                )
        except client.ConnectError as error:
            outcome = outcomes.Outcome.ABSENT
            reason = str(error)
        except (
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
        ) as error:
            reason = str(error) or type(error).__name__
        finally:
            self.parts.loads.remove(engine.id, tokens)
            sending.close()
        call.cancellation.check()
        if sending.sent:
            if generation.prefilled or outcome is not outcomes.Outcome.SUCCESS:
                call.attempts += 1
            generation.prefilled = True
        took = self.clock.monotonic() - now
        generation.prefill_s = took / (1 + ahead.requests)
        self.parts.tracker.record(engine.id, outcome, took)
        logger.info(
            "prefill ended",
            request_id=call.request.id,
            upstream=engine.id,
            outcome=outcome.value,
            reason=reason,
            took_ms=round(took * 1000),
        )

    def handle_lifetime(self, service: policy.Service) -> float:
        """Returns how long a prefill result is kept, in seconds."""
        return service.engine.handle_lifetime_s if service.engine else 0.0

    def decode(
        self,
        generation: Generation,
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
        outcome = (
            str(result.status)
            if isinstance(result, attempts.Answer)
            else result.value
        )
        self.parts.metrics.attempts.labels(call.service, outcome).inc()
        logger.info(
            "decode ended",
            request_id=call.request.id,
            upstream=engine.id,
            attempt=call.attempts,
            outcome=outcome,
            reason=reason,
            started=call.responder.started,
            first_event_ms=round((generation.first_event_at - now) * 1000)
            if generation.first_event_at
            else None,
            took_ms=round((self.clock.monotonic() - now) * 1000),
        )

    def relay(
        self, generation: Generation, sending: exchange.Exchange
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
        generation: Generation,
        answer: calls.UpstreamAnswer,
        event: events.Event,
    ) -> None:
        """Sends an event to the caller; the first one starts the answer."""
        responder = generation.call.responder
        if generation.placement is not None and not generation.prompt_read:
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

    def silence_limit(self, generation: Generation) -> float:
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
        generation: Generation,
        engine: upstreams.Upstream,
        result: attempts.Answer | attempts.Fate,
        started: float,
    ) -> None:
        """Counts an outcome and decides whether the request is over."""
        call = generation.call
        tracker = self.parts.tracker
        took = (generation.first_event_at or self.clock.monotonic()) - started
        if isinstance(result, attempts.Answer):
            good = result.is_success
            tracker.record(
                engine.id,
                outcomes.Outcome.SUCCESS if good else outcomes.Outcome.ERROR,
                took,
            )
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
        if result is attempts.Fate.NOT_RUN:
            tracker.record(engine.id, outcomes.Outcome.REFUSED)
            return
        sent = result is not attempts.Fate.NOT_SENT
        tracker.record(
            engine.id,
            outcomes.Outcome.BROKEN if sent else outcomes.Outcome.ABSENT,
        )
        if result is attempts.Fate.BROKEN:
            self.parts.breaks.record(call.digest)
        if result.may_have_run and not call.route.repeatable:
            generation.finished = True

    def make_exchange(
        self, call: calls.Call, delivery: calls.Delivery
    ) -> exchange.Exchange:
        """Returns an exchange for this request."""
        return exchange.Exchange(
            self.parts.connections,
            self.parts.wire,
            self.clock,
            call.request,
            delivery,
        )

    def release_memory(self, generation: Generation) -> None:
        """Frees a prefill result that no decode engine took."""
        memory, generation.memory = generation.memory, None
        if memory is None:
            return
        age = self.clock.monotonic() - memory.created_at
        if age < memory.lifetime_s:
            gevent.spawn(self.free, memory.source)

    def free(self, source: calls.MemorySource) -> None:
        """Asks a prefill engine to free a result; it lapses by itself too."""
        connection = client.Connection(source.address, self.clock)
        try:
            connection.start(RELEASE_TIMEOUT_S)
            connection.send(
                self.parts.wire.encode_release(source), b"", RELEASE_TIMEOUT_S
            )
            connection.read_part(RELEASE_TIMEOUT_S)
        except (
            client.ConnectError,
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
        ) as error:
            logger.info(
                "prefill result not freed",
                upstream=source.address,
                reason=str(error),
            )
        finally:
            connection.close()

    def finish(self, generation: Generation) -> None:
        """Ends the answer or refuses."""
        call = generation.call
        answer = generation.answer
        if call.responder.started:
            if answer is None or not answer.status < 300:
                call.responder.abort()
            return
        if answer is not None and not answer.promises_not_run:
            call.responder.answer(answer.status, answer.fields, answer.body)
            return
        if answer is not None or call.may_have_run:
            fate = generation.fate
            code = fate.code if fate.may_have_run else results.UPSTREAM_FAILED
            raise errors.RefusedError(code)
        raise errors.RefusedError(
            results.OVERLOADED, retry_after=self.retry_after(generation)
        )

    def retry_after(self, generation: Generation) -> float:
        """Returns when a refused request is likely to find room, in seconds.

        The backlog must have been worked off by then; callers come back at
        different times, so that they don't all meet again.
        """
        call = generation.call
        if generation.connect_failures:
            return RETRY_AFTER_S
        wait = self.parts.queue.expected_wait(call.service)
        wait = max(wait, MIN_OVERLOAD_S) * (1 + self.generator.random())
        left = call.ends_at - self.clock.monotonic()
        return min(wait, left * RETURN_PART)
