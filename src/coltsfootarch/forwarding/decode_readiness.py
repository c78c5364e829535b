"""Keeps a decode engine ready to take a request while its prompt is prefilled.

The engine must be registered and connected, and its reservation must last. A
prefill engine that is silent is replaced only by a decode engine that is ready.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from coltsfootarch.http1 import client
from coltsfootarch.scheduling import outcomes

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.forwarding import context as contexts
    from coltsfootarch.forwarding import generations
    from coltsfootarch.forwarding import upstream_exchange

# A reservation that ends sooner is renewed before the request is sent.
MIN_RESERVATION_S = 0.1

logger = structlog.get_logger(__name__)


class DecodeReadiness:
    """Reserves memory at decode engines and restores what was lost meanwhile.

    Args:
        context: Components that all pipelines of the host share.
    """

    def __init__(self, context: contexts.Context) -> None:
        self.context = context

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
        if self.request_reservation(generation, exchange, engine.reservation_s):
            return True
        generation.reservation_refusals += 1
        return False

    def request_reservation(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
        seconds: float,
    ) -> bool:
        """Makes one reservation; returns whether the engine granted it."""
        call = generation.call
        upstream = exchange.delivery.upstream
        tokens = generation.demand.prompt_tokens
        reason = "no room"
        ends_at = self.clock.monotonic() + seconds
        generation.reservation = ""
        try:
            with call.cancellation.attached(exchange.abort):
                generation.reservation = exchange.reserve(tokens, seconds) or ""
        except (
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
        ) as error:
            reason = str(error) or type(error).__name__
            exchange.close()
        call.cancellation.check()
        if generation.reservation:
            generation.reservation_ends_at = ends_at
            return True
        self.context.outcome_tracker.record(
            upstream.id, outcomes.Outcome.REFUSED
        )
        logger.info(
            "reservation refused",
            request_id=call.request.id,
            upstream=upstream.id,
            tokens=tokens,
            reason=reason,
        )
        return False

    def restore(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> bool:
        """Connects and reserves again if needed, before the request is sent.

        A connection that can't be opened is left to the decode stage, which
        records it.

        Returns:
            Whether to continue with this engine.
        """
        if generation.call.ends_at <= self.clock.monotonic():
            return False
        connected = self.ensure_connected(generation, exchange)
        if connected and not self.ensure_reserved(generation, exchange):
            generation.reservation_refusals += 1
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
        if self.ensure_connected(generation, exchange) and self.ensure_reserved(
            generation, exchange
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
        connection = exchange.connection
        if connection is not None and connection.is_reusable():
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

    def ensure_reserved(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> bool:
        """Renews a reservation that is about to end.

        Returns:
            Whether the engine has memory for the request, as far as known.
        """
        engine = generation.service.engine
        left_s = generation.reservation_ends_at - self.clock.monotonic()
        if (
            engine is None
            or not generation.reservation_ends_at
            or left_s >= MIN_RESERVATION_S
        ):
            return True
        return self.request_reservation(
            generation, exchange, engine.reservation_s
        ) and self.ensure_connected(generation, exchange)
