"""Reserves memory at decode engines for requests of large fleets."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import structlog

from coltsfootarch.forwarding import cancellation
from coltsfootarch.forwarding import reservation_calls
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.forwarding import context as contexts
    from coltsfootarch.forwarding import generations
    from coltsfootarch.forwarding import silent_engines
    from coltsfootarch.forwarding import upstream_exchange

# Engines respond to a reservation within milliseconds.
RESERVATION_TIMEOUT_S = 0.3
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


class Reservations:
    """Makes, renews and drops the reservations of requests.

    Args:
        context: Components that all pipelines of the host share.
        silent: Engines that are silent at present.
    """

    def __init__(
        self, context: contexts.Context, silent: silent_engines.SilentEngines
    ) -> None:
        self.context = context
        self.silent = silent

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self.context.clock

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
            self.request(generation, exchange, engine.reservation_s),
        )

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

    def request(
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
        try:
            with call.cancellation.attached(
                reservation.interrupt, reservation.exchange.abort
            ):
                ended = reservation.wait(RESERVATION_TIMEOUT_S)
            call.cancellation.check()
        except cancellation.CallerDisconnectedError:
            reservation.abandon()
            raise
        if reservation.name or reservation.refused:
            self.silent.reservations.end(upstream.id)
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
            self.silent.record(
                generation, upstream.id, self.silent.reservations
            )
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

    def renew(
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
        self.drop(generation)
        return self.request(generation, exchange, engine.reservation_s)

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

    def drop(self, generation: generations.Generation) -> None:
        """Drops a reservation with which no request was sent."""
        name, generation.reservation = generation.reservation, ""
        if name and generation.placement is not None:
            reservation_calls.send_drop(
                self.context, generation.placement.decode.address, name
            )
