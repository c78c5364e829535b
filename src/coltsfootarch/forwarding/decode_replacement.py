"""Finds another decode engine while a prefill engine is silent.

The decode engine that was chosen may be draining, down or busy, so that it
can't take over the prefill while another one can.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import structlog

from coltsfootarch.forwarding import silence_watch
from coltsfootarch.scheduling import dispatch_queue

if TYPE_CHECKING:
    from coltsfootarch.forwarding import context as contexts
    from coltsfootarch.forwarding import decode_readiness
    from coltsfootarch.forwarding import generations
    from coltsfootarch.forwarding import upstream_exchange
    from coltsfootarch.scheduling import engine_placement

logger = structlog.get_logger(__name__)


class Attempts(Protocol):
    """Rules, queue and exchanges for the attempts of a request."""

    def may_attempt(self, generation: generations.Generation) -> bool:
        """Returns whether another attempt is allowed now."""

    def acquire(
        self,
        generation: generations.Generation,
        waiter: dispatch_queue.Waiter,
        timeout_s: float,
    ) -> engine_placement.Placement | None:
        """Waits for engines with capacity; returns None if there are none."""

    def create_exchange(
        self,
        generation: generations.Generation,
        placement: engine_placement.Placement,
    ) -> upstream_exchange.UpstreamExchange:
        """Returns an unconnected exchange; it counts towards limits."""


class DecodeReplacement:
    """Finds decode engines that prefill a prompt in place of the chosen one.

    Args:
        context: Components that all pipelines of the host share.
        readiness: Connects to decode engines.
        attempts: Rules, queue and exchanges for the attempts.
    """

    def __init__(
        self,
        context: contexts.Context,
        readiness: decode_readiness.DecodeReadiness,
        attempts: Attempts,
    ) -> None:
        self.context = context
        self.decode_readiness = readiness
        self.attempts = attempts

    def find(
        self,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
    ) -> bool:
        """Connects another decode engine that has room for the prompt now.

        It becomes the generation's replacement, at which the next attempt runs.

        Args:
            generation: The request.
            exchange: Exchange with the engine that can't take over.

        Returns:
            Whether there is one.

        Raises:
            cancellation.CallerDisconnectedError: The caller disconnected.
        """
        call = generation.call
        if not self.attempts.may_attempt(generation):
            return False
        chosen = exchange.delivery.upstream.id
        waiter = dispatch_queue.Waiter(
            generation.service,
            generation.demand._replace(may_use_prefill_engine=False),
            frozenset({chosen, *call.tried}),
            call.route.priority,
            call.request.received_at,
            call.request.received_at + call.route.objective_s,
        )
        placement = self.attempts.acquire(generation, waiter, 0.0)
        if placement is None:
            return False
        other = self.attempts.create_exchange(generation, placement)
        connected = False
        try:
            connected = self.decode_readiness.connect(generation, other)
        finally:
            if not connected:
                other.close()
                engine = placement.decode
                self.context.outcome_tracker.withdraw_dispatch(engine.id)
                self.context.notices.limits.give_back(engine)
                self.context.queue.release(placement, prompt_prefilled=False)
        if not connected:
            return False
        generation.replacement = silence_watch.Replacement(
            placement, other, "", 0.0
        )
        logger.info(
            "silent prefill taken over by another decode engine",
            request_id=call.request.id,
            upstream=chosen,
            replacement=placement.decode.id,
        )
        return True
