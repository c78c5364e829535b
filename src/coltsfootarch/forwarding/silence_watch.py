"""Reads a stream; while it is silent, another engine is prepared beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple
from typing import Protocol

import structlog

from coltsfootarch.http1 import client

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.forwarding import context
    from coltsfootarch.forwarding import generations
    from coltsfootarch.forwarding import upstream_exchange
    from coltsfootarch.http1 import messages
    from coltsfootarch.scheduling import engine_placement

logger = structlog.get_logger(__name__)


class Replacement(NamedTuple):
    """Another engine that is connected and ready for a silent stream.

    Attributes:
        placement: Its capacity.
        exchange: Its connection.
        reservation: Name of the memory reservation; empty for none.
        reservation_ends_at: Instant until which it lasts, in seconds.
    """

    placement: engine_placement.Placement
    exchange: upstream_exchange.UpstreamExchange
    reservation: str
    reservation_ends_at: float = 0.0


class Preparation(Protocol):
    """Search for another engine, which goes on until it is stopped.

    Attributes:
        moved: Whether the stream goes on at another engine, so that the
            exchange with the silent one was closed.
    """

    moved: bool

    def start(self) -> None:
        """Starts the search."""

    def stop(self) -> None:
        """Ends the search and releases what it has prepared."""

    def settle(self) -> bool:
        """Waits until no engine has the request without having answered.

        Returns:
            Whether the stream has moved.

        Raises:
            cancellation.CallerDisconnectedError: The caller disconnected.
        """

    def take(self) -> Replacement | None:
        """Returns what is ready, if anything, and stops; the taker frees it."""


class SilenceWatch:
    """Reads from an engine and watches for its silence.

    Args:
        context: Components that all pipelines of the host share.
        generation: The request.
        exchange: Exchange with the engine.
        limit_s: Returns the silence after which another engine is prepared, in
            seconds.
        prepare: Creates the search for another engine.

    Attributes:
        preparation: The present search; None while the engine isn't silent.
        replacement: Engine at which the stream goes on; None if there is none.
        moved: Whether the stream has left the engine because of its silence.
        was_silent: Whether the stream was silent at its end.
    """

    def __init__(
        self,
        context: context.Context,
        generation: generations.Generation,
        exchange: upstream_exchange.UpstreamExchange,
        limit_s: Callable[[], float],
        prepare: Callable[[], Preparation],
    ) -> None:
        self.clock = context.clock
        self.activity = context.outcome_tracker.activity
        self.generation = generation
        self.engine_id = exchange.delivery.upstream.id
        self.limit_s = limit_s
        self.prepare = prepare
        self.preparation: Preparation | None = None
        self.replacement: Replacement | None = None
        self.moved = False
        self.was_silent = False
        self.has_body = False

    def read(
        self, connection: client.Connection, deadline: float
    ) -> messages.ResponseHead | bytes | None:
        """Returns the next part; see `client.Connection.read_part`.

        Args:
            connection: Connection to the engine.
            deadline: Instant until which to wait, in seconds.

        Raises:
            client.ResponseTimeoutError: No part arrived in time.
            client.BrokenConnectionError: The response can't be completed, or
                the stream has moved.
        """
        now = self.clock.monotonic()
        limit = self.limit_s()
        if now + limit >= deadline:
            part = connection.read_part(deadline - now)
        else:
            try:
                part = connection.read_part(limit)
            except client.ResponseTimeoutError:
                part = self.read_on(connection, deadline, now)
        self.activity.hear(self.engine_id)
        if isinstance(part, bytes) and not self.has_body:
            self.has_body = True
            self.activity.start(self.engine_id)
        return part

    def read_on(
        self, connection: client.Connection, deadline: float, since: float
    ) -> messages.ResponseHead | bytes | None:
        """Reads from a silent engine while another one is prepared."""
        call = self.generation.call
        logger.info(
            "stream silent; another engine is prepared",
            request_id=call.request.id,
            upstream=self.engine_id,
            attempt=call.attempts,
            events=self.generation.event_count,
            silent_ms=round((self.clock.monotonic() - since) * 1000),
        )
        self.was_silent = True
        self.activity.start_silence(self.engine_id)
        self.preparation = self.prepare()
        self.preparation.start()
        try:
            part = connection.read_part(deadline - self.clock.monotonic())
            # Once another engine has the request, this one may go on only if
            # the other one doesn't run it.
            if part is not None and self.preparation.settle():
                raise client.BrokenConnectionError("the stream has moved")
        except (client.BrokenConnectionError, client.ResponseTimeoutError):
            self.replacement = self.preparation.take()
            self.moved = self.preparation.moved
            raise
        finally:
            self.activity.end_silence(self.engine_id)
            self.preparation.stop()
            self.preparation = None
        self.was_silent = False
        logger.info(
            "silent stream goes on at its engine",
            request_id=call.request.id,
            upstream=self.engine_id,
            silent_ms=round((self.clock.monotonic() - since) * 1000),
        )
        return part

    def close(self) -> None:
        """Ends the watch."""
        if self.has_body:
            self.has_body = False
            self.activity.end(self.engine_id)
