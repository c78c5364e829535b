"""Keeps a decode engine ready to take a request while its prompt is prefilled.

The engine must be registered and connected, and its reservation must last. A
prefill engine that is silent is replaced only by a decode engine that is ready.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import structlog

from coltsfootarch.forwarding import reservation_calls
from coltsfootarch.forwarding import silences
from coltsfootarch.http1 import client
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.forwarding import context as contexts
    from coltsfootarch.forwarding import generations
    from coltsfootarch.forwarding import upstream_exchange

# Engines respond to a reservation within milliseconds.
RESERVATION_TIMEOUT_S = 0.3
# Time for which this host sends no requests to an engine that was silent.
SILENCE_BACKOFF_S = 0.3
# A reservation that ends sooner is renewed before the request is sent.
MIN_RESERVATION_S = 0.1

logger = structlog.get_logger(__name__)


class ReservationResult(enum.Enum):
    """Result of a reservation.

    `SILENT` means that there is no answer yet, `BROKEN` that there will be
    none.
    """

    GRANTED = "granted"
    REFUSED = "refused"
    SILENT = "silent"
    BROKEN = "broken"


class DecodeReadiness:
    """Reserves memory at decode engines and restores what was lost meanwhile.

    Args:
        context: Components that all pipelines of the host share.

    Attributes:
        connections: Engines that accepted no connection in time.
        reservations: Engines that answered no reservation in time.
    """

    def __init__(self, context: contexts.Context) -> None:
        self.context = context
        self.connections = silences.Silences(context.clock)
        self.reservations = silences.Silences(context.clock)

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.context.clock

    def connect(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
        recently_used: bool = False,
    ) -> bool:
        """Connects to the decode engine and counts a failure.

        An engine that accepts no connection in time may be silent for a moment.
        It counts as down if that lasts or if it refuses the connection.

        Args:
            generation: The request.
            exchange: Unconnected exchange with the engine.
            recently_used: See `UpstreamExchange.connect`.

        Returns:
            Whether the engine is connected.
        """
        call = generation.call
        engine = exchange.delivery.upstream
        tracker = self.context.outcome_tracker
        tracker.record_dispatch(engine.id)
        try:
            with call.cancellation.attached(exchange.abort):
                exchange.connect(recently_used)
        except client.ConnectError as error:
            call.cancellation.check()
            tracker.record(engine.id, outcomes.Outcome.UNREACHABLE)
            timed_out = isinstance(error.__cause__, TimeoutError)
            if timed_out and self.connections.is_short(engine.id):
                self.record_silence(generation, engine.id, self.connections)
            else:
                generation.connect_failures += 1
                call.tried.append(engine.id)
            logger.info(
                "connection to decode engine failed",
                request_id=call.request.id,
                upstream=engine.id,
                reason=str(error),
            )
            return False
        self.connections.end(engine.id)
        return True

    def reserve(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> bool:
        """Reserves memory for a prompt before its prefill, on large fleets.

        With many hosts, others may have used the capacity that this host's view
        of loads still shows; only the engine knows. With few hosts the view is
        recent enough, and reservations would only add refusals: an engine
        refuses more than necessary, since it can't tell which requests end
        soon.

        Returns:
            Whether to continue with this engine.
        """
        engine = generation.service.engine
        many_hosts = self.context.engine_placer.sampler.many_hosts
        if engine is None or engine.reservation_s <= 0 or not many_hosts:
            return True
        return self.is_granted(
            generation,
            self.request_reservation(
                generation, exchange, engine.reservation_s
            ),
        )

    def awaits_silent_engines(self, generation: generations.Generation) -> bool:
        """Returns whether a request may need an engine that is silent.

        It has found one, or all engines are silent.
        """
        if generation.met_silence or not self.silences_known:
            return generation.met_silence
        engines = self.context.engine_placer.decode_engines(
            generation.call.service
        )
        return bool(engines) and all(
            self.is_silent(engine.id) for engine in engines
        )

    @property
    def silences_known(self) -> bool:
        """Whether any engine was silent recently."""
        return bool(self.connections.entries or self.reservations.entries)

    def is_silent(self, engine_id: str) -> bool:
        """Returns whether an engine is silent and may still be sound."""
        return self.reservations.is_silent(engine_id) or (
            self.connections.is_silent(engine_id)
            and self.connections.is_short(engine_id)
        )

    def record_silence(
        self,
        generation: generations.Generation,
        engine_id: str,
        known: silences.Silences,
    ) -> None:
        """Records that an engine was silent; it is asked again a little later.

        Args:
            generation: The request that found it silent.
            engine_id: Id of the engine.
            known: Where to record it.
        """
        known.record(engine_id)
        generation.met_silence = True
        self.context.outcome_tracker.back_off(engine_id, SILENCE_BACKOFF_S)

    def is_granted(
        self, generation: generations.Generation, result: ReservationResult
    ) -> bool:
        """Counts a failed reservation; returns whether it was granted.

        Only what an engine says is a refusal. One that is silent may come back
        and doesn't count.
        """
        if result is ReservationResult.REFUSED:
            generation.reservation_refusals += 1
        elif result is ReservationResult.BROKEN:
            generation.connect_failures += 1
        return result is ReservationResult.GRANTED

    def request_reservation(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
        seconds: float,
    ) -> ReservationResult:
        """Makes one reservation, or waits for one that wasn't answered yet.

        Args:
            generation: The request.
            exchange: Connected exchange with the engine.
            seconds: Time for which to reserve.

        Raises:
            cancellation.CallerDisconnectedError: The caller disconnected.
        """
        call = generation.call
        upstream = exchange.delivery.upstream
        reservation = self.late_reservation(generation, upstream.id)
        if reservation is None:
            reservation = reservation_calls.ReservationCall(
                self.context,
                call,
                exchange,
                generation.demand.prompt_tokens,
                seconds,
            )
            reservation.start()
        ended = reservation.wait(RESERVATION_TIMEOUT_S)
        if call.cancellation.cancelled:
            reservation.abandon()
            call.cancellation.check()
        if reservation.name or reservation.refused:
            self.reservations.end(upstream.id)
        if reservation.name:
            reservation.exchange.move_connection(exchange)
            generation.reservation = reservation.name
            generation.reservation_ends_at = reservation.ends_at
            self.abandon_late(generation)
            return ReservationResult.GRANTED
        tracker = self.context.outcome_tracker
        result = ReservationResult.BROKEN
        if not ended:
            result = ReservationResult.SILENT
            generation.late_reservations[upstream.id] = reservation
            self.record_silence(generation, upstream.id, self.reservations)
        elif reservation.refused:
            result = ReservationResult.REFUSED
            tracker.record(upstream.id, outcomes.Outcome.REFUSED)
        elif not reservation.exchange.aborted:
            tracker.record(upstream.id, outcomes.Outcome.BROKEN)
        logger.info(
            "reservation refused"
            if reservation.refused
            else "reservation not answered",
            request_id=call.request.id,
            upstream=upstream.id,
            tokens=reservation.tokens,
            reason=reservation.reason,
        )
        return result

    def late_reservation(
        self, generation: generations.Generation, upstream_id: str
    ) -> reservation_calls.ReservationCall | None:
        """Returns a reservation of the request that may still be granted."""
        reservation = generation.late_reservations.pop(upstream_id, None)
        if reservation is None or not reservation.ended:
            return reservation
        left_s = reservation.ends_at - self.clock.monotonic()
        if reservation.name and left_s >= MIN_RESERVATION_S:
            return reservation
        reservation.abandon()
        return None

    def abandon_late(self, generation: generations.Generation) -> None:
        """Drops the reservations that weren't answered in time."""
        while generation.late_reservations:
            _, reservation = generation.late_reservations.popitem()
            reservation.abandon()

    def drop_reservation(self, generation: generations.Generation) -> None:
        """Drops a reservation with which no request was sent."""
        name, generation.reservation = generation.reservation, ""
        if name and generation.placement is not None:
            reservation_calls.send_drop(
                self.context, generation.placement.decode.address, name
            )

    def restore(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> bool:
        """Connects and reserves again if needed, before the request is sent.

        Returns:
            Whether to continue with this engine.
        """
        if generation.call.ends_at <= self.clock.monotonic():
            return False
        if not is_connected(exchange):
            exchange.close()
            if not self.connect(generation, exchange, recently_used=True):
                return False
        if not self.is_granted(
            generation, self.renew_reservation(generation, exchange)
        ):
            return False
        if generation.prefill_result is None:
            self.add_local_prefill(generation)
        return True

    def take_over(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> bool:
        """Lets the decode engine prefill the prompt if it is certain to do so.

        It prefills one prompt at a time, as if it had been placed like that.

        Returns:
            Whether the engine is connected and has room.
        """
        placement = generation.placement
        if placement is None or placement.prefill is None:
            return False
        engine = placement.decode
        if not self.context.directory.is_serving(engine.id):
            return False
        placer = self.context.engine_placer
        if engine.stage is not None and placer.is_running_local_prefill(engine):
            return False
        local = self.context.queue.prefill_locally(placement)
        generation.placement = local
        if (
            self.ensure_connected(generation, exchange)
            and self.renew_reservation(generation, exchange)
            is ReservationResult.GRANTED
        ):
            return True
        self.context.queue.finish_local_prefill(local)
        generation.placement = placement
        return False

    def add_local_prefill(self, generation: generations.Generation) -> None:
        """Counts the prompt as one that the decode engine prefills itself."""
        placement = generation.placement
        if placement is not None and placement.prefill is not None:
            generation.placement = self.context.queue.prefill_locally(placement)

    def ensure_connected(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> bool:
        """Reconnects if the engine has closed the connection.

        Returns:
            Whether the engine is connected.
        """
        if is_connected(exchange):
            return True
        exchange.close()
        try:
            with generation.call.cancellation.attached(exchange.abort):
                exchange.connect(recently_used=True)
        except client.ConnectError as error:
            generation.call.cancellation.check()
            logger.info(
                "decode engine not connected again",
                request_id=generation.call.request.id,
                upstream=exchange.delivery.upstream.id,
                reason=str(error),
            )
            return False
        return True

    def renew_reservation(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> ReservationResult:
        """Renews a reservation that is about to end.

        Returns:
            `GRANTED` also if the request needs none or the one that it has
            lasts.
        """
        engine = generation.service.engine
        left_s = generation.reservation_ends_at - self.clock.monotonic()
        if (
            engine is None
            or not generation.reservation_ends_at
            or left_s >= MIN_RESERVATION_S
        ):
            return ReservationResult.GRANTED
        self.drop_reservation(generation)
        result = self.request_reservation(
            generation, exchange, engine.reservation_s
        )
        if result is ReservationResult.GRANTED and not self.ensure_connected(
            generation, exchange
        ):
            return ReservationResult.BROKEN
        return result


def is_connected(exchange: upstream_exchange.UpstreamExchange) -> bool:
    """Returns whether a request can be sent on the exchange's connection."""
    connection = exchange.connection
    return connection is not None and connection.is_reusable()
