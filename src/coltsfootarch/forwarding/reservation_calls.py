"""One reservation of memory at a decode engine, read by its own greenlet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import gevent.event
import structlog

from coltsfootarch.forwarding import upstream_exchange
from coltsfootarch.http1 import client

if TYPE_CHECKING:
    from coltsfootarch.forwarding import calls
    from coltsfootarch.forwarding import context as contexts

# Time for which the response to an abandoned call is awaited, in seconds, to
# drop the reservation.
LATE_RESPONSE_S = 3.0
# Timeout of each step of dropping a reservation, in seconds.
DROP_TIMEOUT_S = 0.5

logger = structlog.get_logger(__name__)


class ReservationCall:
    """Reserves memory on the connection of an exchange, which it takes over.

    Args:
        context: Components that all pipelines of the host share.
        call: The caller's request.
        exchange: Connected exchange with the engine.
        tokens: Memory to reserve, in tokens.
        seconds: Time for which it is reserved.

    Attributes:
        name: Name of the reservation; empty if there is none.
        ends_at: Instant until which a reservation is certain to last, in
            seconds.
        refused: Whether the engine has refused it.
        reason: Reason for which there is none, for the log.
    """

    def __init__(
        self,
        context: contexts.Context,
        call: calls.Call,
        exchange: upstream_exchange.UpstreamExchange,
        tokens: int,
        seconds: float,
    ) -> None:
        self.context = context
        self.call = call
        self.tokens = tokens
        self.seconds = seconds
        self.engine = exchange.delivery.upstream
        self.exchange = upstream_exchange.UpstreamExchange(
            context.connections,
            context.wire,
            context.clock,
            call.request,
            exchange.delivery,
            context.notices,
            context.response_memory,
        )
        exchange.move_connection(self.exchange)
        self.name = ""
        self.ends_at = context.clock.monotonic() + seconds
        self.refused = False
        self.reason = "silent"
        self.abandoned = False
        self.wake_event = gevent.event.Event()
        self.reader: gevent.Greenlet[[], None] = gevent.Greenlet(self.run)
        self.reader.rawlink(lambda _: self.wake_event.set())

    @property
    def ended(self) -> bool:
        """Whether the engine has responded or the call has failed."""
        return bool(self.reader.ready())

    def start(self) -> None:
        """Starts the call."""
        self.reader.start()

    def wait(self, timeout_s: float) -> bool:
        """Waits for the end of the call; returns whether it has ended.

        `interrupt` ends the wait; the call goes on.
        """
        self.wake_event.wait(max(timeout_s, 0.0))
        return self.ended

    def interrupt(self) -> None:
        """Ends a wait for the call."""
        self.wake_event.set()

    def run(self) -> None:
        """Makes the call and reads its response.

        It goes on after the request has ended, since the engine grants what it
        has read also if the connection is closed.
        """
        timeout_s = self.call.ends_at - self.context.clock.monotonic()
        try:
            name = self.exchange.reserve(self.tokens, self.seconds, timeout_s)
            self.name = name or ""
            self.refused = not name
            self.reason = "no room" if self.refused else "done"
        except (
            client.LocalConnectError,
            client.BrokenConnectionError,
            client.ResponseTimeoutError,
            OSError,
        ) as error:
            self.reason = str(error) or type(error).__name__
            self.exchange.close()
        if self.abandoned:
            self.drop()

    def abandon(self) -> None:
        """Leaves a reservation that isn't used; it is dropped, also if late."""
        self.abandoned = True
        if self.ended:
            self.drop()
        else:
            gevent.spawn_later(LATE_RESPONSE_S, self.exchange.abort)

    def drop(self) -> None:
        """Closes the connection and drops the reservation, if there is one."""
        self.exchange.close()
        name, self.name = self.name, ""
        if name:
            send_drop(self.context, self.engine.address, name)


def send_drop(context: contexts.Context, address: str, name: str) -> None:
    """Drops a reservation in the background.

    A failure is only logged, since reservations expire by themselves.

    Args:
        context: Components that all pipelines of the host share.
        address: "ip:port" of the engine.
        name: Name of the reservation.
    """
    head = context.wire.encode_drop(address, name)
    gevent.spawn(run_drop, context, address, head)


def run_drop(context: contexts.Context, address: str, head: bytes) -> None:
    """Sends the request that drops a reservation."""
    connection = client.Connection(address, context.clock)
    try:
        connection.start(DROP_TIMEOUT_S)
        connection.send(head, b"", DROP_TIMEOUT_S)
        connection.read_part(DROP_TIMEOUT_S)
    except (
        client.ConnectError,
        client.BrokenConnectionError,
        client.ResponseTimeoutError,
    ) as error:
        logger.info(
            "reservation not dropped", upstream=address, reason=str(error)
        )
    finally:
        connection.close()
