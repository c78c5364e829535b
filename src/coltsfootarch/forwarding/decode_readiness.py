"""Makes a decode engine ready to take a request, before and after its prefill.

The engine must be registered and connected, and its reservation must last. A
prefill engine that is silent is replaced only by a decode engine that is ready.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from coltsfootarch.forwarding import reservations
from coltsfootarch.http1 import client
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.forwarding import context as contexts
    from coltsfootarch.forwarding import generations
    from coltsfootarch.forwarding import silent_engines
    from coltsfootarch.forwarding import upstream_exchange

logger = structlog.get_logger(__name__)


class DecodeReadiness:
    """Connects to decode engines and restores what was lost meanwhile.

    Args:
        context: Components that all pipelines of the host share.
        silent: Engines that are silent at present.
        reservation_stage: Makes the reservations.
    """

    def __init__(
        self,
        context: contexts.Context,
        silent: silent_engines.SilentEngines,
        reservation_stage: reservations.Reservations,
    ) -> None:
        self.context = context
        self.silent = silent
        self.reservations = reservation_stage

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
        known = self.silent.connections
        tracker.record_dispatch(engine.id)
        try:
            with call.cancellation.attached(exchange.abort):
                exchange.connect(recently_used, call.route.repeatable)
        except client.ConnectError as error:
            call.cancellation.check()
            if not exchange.aborted:
                tracker.record(engine.id, outcomes.Outcome.UNREACHABLE)
            timed_out = isinstance(error.__cause__, TimeoutError)
            if timed_out and known.is_short(engine.id):
                self.silent.record(generation, engine.id, known)
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
        known.end(engine.id)
        return True

    def reconnect(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> bool:
        """Connects again if needed and counts a failure; see `connect`."""
        if is_connected(exchange):
            return True
        exchange.close()
        return self.connect(generation, exchange, recently_used=True)

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
        if not self.reconnect(generation, exchange):
            return False
        result = self.reservations.renew(generation, exchange)
        if not self.reservations.is_granted(generation, result):
            return False
        # An engine may close the connection after a reservation.
        if not self.reconnect(generation, exchange):
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
            and self.reservations.renew(generation, exchange)
            is reservations.ReservationResult.GRANTED
            and self.ensure_connected(generation, exchange)
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
                exchange.connect(
                    recently_used=True,
                    repeatable=generation.call.route.repeatable,
                )
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


def is_connected(exchange: upstream_exchange.UpstreamExchange) -> bool:
    """Returns whether a request can be sent on the exchange's connection."""
    connection = exchange.connection
    return connection is not None and connection.is_reusable()
