"""Prepares another engine for a silent stream, which is read on meanwhile.

A sound engine may be silent for a second or so. The exchange with it is closed
only when nothing can keep the stream from going on elsewhere: another engine
has room, is connected and, where engines reserve memory, has reserved it; the
retry budget allows the move; at last the engine has taken the request. Only if
a prefill engine reads the prompt again, the request follows the move.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import gevent
import gevent.event
import structlog

from coltsfootarch.forwarding import cancellation
from coltsfootarch.forwarding import engine_acceptance
from coltsfootarch.forwarding import reservations
from coltsfootarch.forwarding import silence_watch
from coltsfootarch.scheduling import dispatch_queue

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.forwarding import calls
    from coltsfootarch.forwarding import context
    from coltsfootarch.forwarding import decode_readiness
    from coltsfootarch.forwarding import decode_stage
    from coltsfootarch.forwarding import generations
    from coltsfootarch.forwarding import upstream_exchange
    from coltsfootarch.scheduling import engine_placement

# Shortest pause of all streams of an engine after which none is moved to it.
MIN_PAUSE_S = 0.5
# Time between two tries, in seconds; it doubles with each one that fails.
RETRY_S = 0.25
MAX_RETRY_S = 2.0
# Largest part of a call's time that a stream is expected to take.
USUAL_FRACTION = 0.5
# Time for the reader to take bytes that have arrived, in seconds.
READER_S = 0.01
# Interval at which the other streams of an engine are looked at, in seconds.
SIGN_S = 0.02

logger = structlog.get_logger(__name__)


class Attempts(Protocol):
    """Rules and queue for the attempts of a request."""

    def may_attempt(self, generation: generations.Generation) -> bool:
        """Returns whether another attempt is allowed now."""

    def take_retry(self, generation: generations.Generation) -> bool:
        """Takes a retry from the budget; returns whether there was one."""

    def is_refused(self, call: calls.Call) -> bool:
        """Returns whether the request is known to crash or break upstreams."""

    def acquire(
        self,
        generation: generations.Generation,
        waiter: dispatch_queue.Waiter,
        timeout_s: float,
    ) -> engine_placement.Placement | None:
        """Waits for engines with capacity; returns None if there are none."""


class EnginePreparation:
    """Prepares another engine for one silent stream.

    Args:
        context: Components that all pipelines of the host share.
        stage: Creates the exchanges with decode engines.
        readiness: Connects to them and reserves memory.
        attempts: Rules and queue for the attempts.
        generation: The request.
        exchange: Exchange with the silent engine.

    Attributes:
        cancellation: Ends the preparation.
        moved: Whether the exchange with the silent engine was closed.
        ready: Engine that is ready, until it is taken or released.
        taken: Whether `ready` is released by others.
    """

    def __init__(
        self,
        context: context.Context,
        stage: decode_stage.DecodeStage,
        readiness: decode_readiness.DecodeReadiness,
        attempts: Attempts,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> None:
        self.context = context
        self.stage = stage
        self.decode_readiness = readiness
        self.attempts = attempts
        self.generation = generation
        self.exchange = exchange
        self.cancellation = cancellation.Cancellation()
        self.own = generation.fork(self.cancellation)
        self.moved = False
        self.ready: silence_watch.Replacement | None = None
        self.taken = False
        self.tries = 0
        self.acceptance: engine_acceptance.EngineAcceptance | None = None
        self.greenlet: gevent.Greenlet[[], None] | None = None

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.context.clock

    @property
    def engine(self) -> upstreams.Upstream:
        """The silent engine."""
        return self.exchange.delivery.upstream

    @property
    def may_prefill(self) -> bool:
        """Whether a prefill engine may read the prompt again after the move.

        The decode engine can't be asked before. It needs memory that is
        reserved for it, and an attempt must be left if it refuses.
        """
        engine = self.own.service.engine
        if engine is None or engine.reservation_s <= 0:
            return False
        call = self.generation.call
        # The prefill, the request and another one after a refusal.
        return call.attempts + 3 <= call.route.max_attempts

    def start(self) -> None:
        """Starts the preparation; see `silence_watch.Preparation`."""
        self.greenlet = gevent.spawn(self.run)

    def stop(self) -> None:
        """Ends the preparation; see `silence_watch.Preparation`."""
        self.cancellation.cancel()

    @property
    def is_asking(self) -> bool:
        """Whether an engine has the request and hasn't answered yet."""
        return self.acceptance is not None and self.acceptance.pending

    def settle(self) -> bool:
        """Waits for an engine's answer; see `silence_watch.Preparation`."""
        if self.acceptance is not None and self.acceptance.pending:
            with self.generation.call.cancellation.attached(self.stop):
                self.acceptance.decided.wait()
        return self.moved

    def take(self) -> silence_watch.Replacement | None:
        """Returns what is ready; see `silence_watch.Preparation`."""
        self.taken = self.ready is not None
        if self.is_asking and self.greenlet is not None:
            # The engine has the request; its response is read by the taker.
            self.moved = True
            self.greenlet.kill()
        self.stop()
        return self.ready

    def run(self) -> None:
        """Checks the silent engine and looks for another one."""
        call = self.generation.call
        try:
            self.cancellation.check()
            self.context.crash_check.check(call.digest, self.engine)
            self.cancellation.check()
            # A trial of a request with a crashing part is sent only once.
            while self.is_movable():
                if self.has_budget() and self.prepare():
                    return
                self.pause(min(RETRY_S * 2**self.tries, MAX_RETRY_S))
                self.tries += 1
        except cancellation.CallerDisconnectedError:
            return
        logger.info(
            "silent stream stays at its engine",
            request_id=call.request.id,
            upstream=self.engine.id,
            needed_ms=round(self.needed_s() * 1000),
            time_left_ms=round(self.time_left_s() * 1000),
            attempts=call.attempts,
            refused=self.attempts.is_refused(call),
        )

    def is_movable(self) -> bool:
        """Returns whether the stream could go on at another engine now."""
        call = self.generation.call
        return (
            not call.is_trial
            and call.attempts < call.route.max_attempts
            and not self.attempts.is_refused(call)
            and self.time_left_s() > self.needed_s()
        )

    def time_left_s(self) -> float:
        """Returns the time left for the call, in seconds."""
        return self.generation.call.ends_at - self.clock.monotonic()

    def needed_s(self) -> float:
        """Returns the time that the rest of the stream is expected to take.

        It is in seconds. A started stream that could not end in time at another
        engine has better chances at its own one.
        """
        generation = self.generation
        started_at = generation.first_event_at
        if started_at is None:
            return dispatch_queue.UNLOADED_FIRST_EVENT_S
        call = generation.call
        durations = self.context.queue.backlog.mean_durations
        usual = min(
            durations.get(call.service, 0.0),
            USUAL_FRACTION * (call.ends_at - call.request.received_at),
        )
        remaining = usual - (generation.last_activity_at - started_at)
        return max(remaining, 0.0) + dispatch_queue.UNLOADED_FIRST_EVENT_S

    def has_budget(self) -> bool:
        """Returns whether the retry budget would allow a move now."""
        call = self.generation.call
        allowed = self.context.budget.may_spend(call.service)
        if not allowed and not self.tries:
            logger.info(
                "silent stream waits for the retry budget",
                request_id=call.request.id,
                service=call.service,
            )
        return allowed

    def pause(self, seconds: float) -> None:
        """Waits.

        Raises:
            cancellation.CallerDisconnectedError: The preparation was stopped.
        """
        wake_event = gevent.event.Event()
        with self.cancellation.attached(wake_event.set):
            wake_event.wait(seconds)
        self.cancellation.check()

    def prepare(self) -> bool:
        """Tries once to move the stream; returns whether it has moved.

        Raises:
            cancellation.CallerDisconnectedError: The preparation was stopped.
        """
        call = self.generation.call
        waiter = dispatch_queue.RunningWaiter(
            self.own.service,
            self.own.demand._replace(
                may_use_prefill_engine=self.may_prefill,
                version=self.generation.version,
            ),
            self.excluded,
            call.route.priority,
            call.request.received_at,
            call.request.received_at + call.route.objective_s,
        )
        placement = self.attempts.acquire(
            self.own, waiter, self.time_left_s() - self.needed_s()
        )
        if placement is None:
            return False
        self.own.placement = placement
        self.own.reservation = ""
        self.own.reservation_ends_at = 0.0
        exchange = self.stage.create_exchange(self.own, placement)
        self.context.notices.limits.take(placement.decode)
        try:
            if not self.decode_readiness.connect(self.own, exchange):
                return False
            if not self.reserve(exchange):
                return False
            if not self.own.reservation and not self.runs(placement.decode.id):
                return False
            self.ready = silence_watch.Replacement(
                placement,
                exchange,
                self.own.reservation,
                self.own.reservation_ends_at,
            )
            if not self.may_move(self.ready):
                return False
            if placement.prefill is None:
                return self.ask(self.ready)
            self.wait_for_reader()
            self.move(self.ready)
            return True
        finally:
            if not self.taken:
                self.ready = None
                self.release(placement, exchange)

    def release(
        self,
        placement: engine_placement.Placement,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> None:
        """Releases an engine that gets no request."""
        exchange.close()
        self.decode_readiness.reservations.drop(self.own)
        self.context.outcome_tracker.withdraw_dispatch(placement.decode.id)
        if not exchange.sent:
            self.context.notices.limits.give_back(placement.decode)
        self.context.queue.release(placement, prompt_prefilled=False)

    def excluded(self) -> set[str]:
        """Returns the ids of the engines that can't take the stream now."""
        call = self.generation.call
        engines = self.context.engine_placer.decode_engines(
            call.service, (), self.generation.version
        )
        excluded = set(call.tried)
        if all(each.id in excluded for each in engines):
            # Engines that failed may have recovered.
            excluded = {self.engine.id}
        return excluded | {each.id for each in engines if self.is_mute(each.id)}

    def is_mute(self, engine: str) -> bool:
        """Returns whether an engine seems to be silent as well."""
        activity = self.context.outcome_tracker.activity
        pause = max(MIN_PAUSE_S, self.generation.call.route.event_gap_s)
        return activity.is_silent(engine) or activity.is_pausing(engine, pause)

    def runs(self, engine: str) -> bool:
        """Waits for an event of another stream of an engine.

        A process that has stopped still gets connections.

        Returns:
            Whether there was one; also true if this host has no stream there.

        Raises:
            cancellation.CallerDisconnectedError: The preparation was stopped.
        """
        activity = self.context.outcome_tracker.activity
        since = self.clock.monotonic()
        while not self.is_mute(engine):
            if (
                engine not in activity.streams
                or activity.heard_at[engine] > since
            ):
                return True
            self.pause(SIGN_S)
        return False

    def reserve(self, exchange: upstream_exchange.UpstreamExchange) -> bool:
        """Reserves memory where engines do so; returns whether to continue.

        The response also shows that the engine isn't silent itself. A refusal
        costs nothing here, so that it is done on small fleets, too.

        Raises:
            cancellation.CallerDisconnectedError: The preparation was stopped.
        """
        engine = self.own.service.engine
        if engine is None or engine.reservation_s <= 0:
            return True
        result = self.decode_readiness.reservations.request(
            self.own, exchange, engine.reservation_s
        )
        return (
            result is reservations.ReservationResult.GRANTED
            and self.decode_readiness.ensure_connected(self.own, exchange)
        )

    def may_move(self, replacement: silence_watch.Replacement) -> bool:
        """Returns whether the stream may move now; spends the retry budget.

        Raises:
            cancellation.CallerDisconnectedError: The preparation was stopped.
        """
        self.wait_for_reader()
        engine = replacement.placement.decode
        return (
            self.context.directory.is_serving(engine.id)
            # The stream may have begun since the engine was chosen.
            and self.generation.version in (None, engine.version)
            and not self.is_mute(engine.id)
            and replacement.exchange.is_ready()
            and self.is_movable()
            and self.attempts.may_attempt(self.generation)
            and self.attempts.take_retry(self.generation)
        )

    def wait_for_reader(self) -> None:
        """Waits until nothing that the silent engine sent is unread.

        Raises:
            cancellation.CallerDisconnectedError: The preparation was stopped.
        """
        while self.exchange.has_unread_bytes():
            self.pause(READER_S)
        self.cancellation.check()

    def ask(self, replacement: silence_watch.Replacement) -> bool:
        """Sends the request to an engine and moves the stream if it accepts.

        Until the answer, the reader of the silent engine waits in `settle` with
        what it gets, so that no event of that engine is relayed after the move.

        Returns:
            Whether the stream has moved.

        Raises:
            cancellation.CallerDisconnectedError: The preparation was stopped.
        """
        self.acceptance = engine_acceptance.EngineAcceptance(
            self.context, self.stage, self.own, replacement
        )
        call = self.generation.call
        try:
            accepted = self.acceptance.ask()
            if accepted:
                self.move(replacement)
        finally:
            exchange = replacement.exchange
            if exchange.sent:
                call.attempts += 1
                call.tried.append(replacement.placement.decode.id)
                answer = exchange.accepted
                call.may_have_run |= answer is None or not answer.not_run
            self.acceptance.close()
        self.cancellation.check()
        return accepted

    def move(self, replacement: silence_watch.Replacement) -> None:
        """Ends the exchange with the silent engine."""
        self.moved = self.taken = True
        logger.info(
            "silent stream moved to another engine",
            request_id=self.generation.call.request.id,
            upstream=self.engine.id,
            replacement=replacement.placement.decode.id,
            reserved=bool(replacement.reservation),
            tries=self.tries + 1,
        )
        self.exchange.close()
