"""Accepts the connections of callers."""

from __future__ import annotations

import contextlib
import errno
import socket
from typing import TYPE_CHECKING
from typing import Protocol

import gevent
import structlog
from gevent import socket as gevent_socket

from coltsfootarch.forwarding import caller_connection
from coltsfootarch.forwarding import caller_socket
from coltsfootarch.forwarding import close_reasons
from coltsfootarch.http1 import client
from coltsfootarch.http1 import request_memory
from coltsfootarch.http1 import turns

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.forwarding import cancellation as cancellations
    from coltsfootarch.forwarding import descriptors
    from coltsfootarch.forwarding import responder as responders
    from coltsfootarch.http1 import messages

BACKLOG = 1024
# Pause after a failure to accept a connection, in seconds.
ACCEPT_RETRY_S = 0.05
# Failures to accept after which a host that ends gives up the rest.
MAX_LAST_FAILURES = 20
# Idle time from which a connection may be closed for a new one, in seconds.
MIN_REPLACED_IDLE_S = 1.0

logger = structlog.get_logger(__name__)


class Handler(Protocol):
    """Handles requests of one listener."""

    def handle(
        self,
        raw: messages.Request,
        responder: responders.ConnectionResponder,
        cancellation: cancellations.Cancellation,
    ) -> None:
        """Responds to a request; a failure ends in a refusal or an abort."""


def no_request_id(fields: messages.Fields) -> str:
    """Returns no id, for listeners whose requests have none."""
    del fields
    return ""


def ignore_close(reason: str) -> None:
    """Doesn't count a closed connection."""


def keep_nothing() -> float:
    """Keeps no idle connection, for listeners whose limits never change."""
    return 0.0


def await_nothing() -> None:
    """Doesn't wait, for listeners whose limits never change."""


class CallerListener:
    """Accepts callers' connections.

    Args:
        address: "ip:port" to listen on.
        handler: Handles the requests.
        clock: Source of time.
        limits: Returns the limits of the active policy.
        request_id: Returns a request's id from its header fields; empty if it
            has none.
        count_close: Counts a closed connection by its reason.
        await_policy: Waits for a newer policy or the confirmation that there is
            none; see `limited_reader.LimitedReader`.
        budget: Bounds the number of connections; None for no bound.
        keep_idle_s: Returns for how long idle connections must be kept beyond
            their timeout, in seconds.
        memory: Bounds the memory of requests; one of its own if not given.

    Attributes:
        draining: Whether each connection closes after its next response.
        surplus: Number of connections beyond the bound, whose requests are
            refused.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        clock: clocks.Clock,
        limits: Callable[[], policy.CallerLimits],
        request_id: Callable[[messages.Fields], str] = no_request_id,
        count_close: Callable[[str], object] = ignore_close,
        await_policy: Callable[[], object] = await_nothing,
        budget: descriptors.DescriptorBudget | None = None,
        keep_idle_s: Callable[[], float] = keep_nothing,
        memory: request_memory.RequestMemory | None = None,
    ) -> None:
        self.address = address
        self.handler = handler
        self.clock = clock
        self.limits = limits
        self.request_id = request_id
        self.count_close = count_close
        self.await_policy = await_policy
        self.budget = budget
        self.keep_idle_s = keep_idle_s
        self.memory = memory or request_memory.RequestMemory()
        self.draining = False
        self.surplus = 0
        # Accepted connections whose greenlet hasn't run yet.
        self.starting = 0
        self.connections: set[caller_connection.CallerConnection] = set()
        self.sock: gevent_socket.socket | None = None
        self.acceptor: gevent.Greenlet | None = None

    def start(self) -> None:
        """Binds the socket and starts to accept connections."""
        sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(client.split_address(self.address))
        # Connections take it over. The system would let it grow to megabytes.
        sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            request_memory.RECEIVE_BUFFER_BYTES,
        )
        sock.listen(BACKLOG)
        host, port = sock.getsockname()
        self.address = f"{host}:{port}"
        self.sock = sock
        self.acceptor = gevent.spawn(self.accept_all, sock)

    def accept_all(self, sock: gevent_socket.socket) -> None:
        """Accepts connections until the greenlet is killed."""
        turn = turns.ReadTurn(self.clock)
        while True:
            turn.share()
            try:
                if self.is_surplus_full():
                    gevent.sleep(ACCEPT_RETRY_S)
                    continue
                accepted, _ = sock.accept()
                gevent.spawn(self.serve, accepted)
                self.starting += 1
            except Exception as error:
                self.handle_accept_error(error)
                gevent.sleep(ACCEPT_RETRY_S)

    def is_surplus_full(self) -> bool:
        """Returns whether more connections wait until others have ended."""
        return (
            self.budget is not None
            and self.surplus + self.starting >= self.budget.max_surplus
        )

    def handle_accept_error(self, error: Exception) -> None:
        """Logs an error; makes room if no descriptor was left."""
        max_callers = None
        if (
            self.budget is not None
            and isinstance(error, OSError)
            and error.errno == errno.EMFILE
        ):
            self.budget.record_shortage()
            self.close_longest_idle()
            max_callers = self.budget.max_callers
        logger.warning(
            "connection not accepted",
            reason=str(error) or type(error).__name__,
            connections=len(self.connections),
            max_connections=max_callers,
        )

    @property
    def overfull(self) -> bool:
        """Whether there are more connections than the bound."""
        return (
            self.budget is not None
            and len(self.connections) - self.surplus > self.budget.max_callers
        )

    @property
    def receiving(self) -> bool:
        """Whether a request has been read that isn't handled yet."""
        return any(
            each.reader.has_requests and not each.closed
            for each in self.connections
        )

    def has_room(self) -> bool:
        """Returns whether another connection is within the bound."""
        return (
            self.budget is None
            or len(self.connections) - self.surplus < self.budget.max_callers
        )

    def make_room(self, connection: caller_connection.CallerConnection) -> None:
        """Keeps the number of connections within the bound.

        A new connection beyond it replaces the one that has been idle longest.
        If none has, its requests are refused.
        """
        if self.budget is None:
            return
        self.budget.record(connection.sock.fileno())
        if self.overfull and not self.close_longest_idle():
            connection.set_surplus(True)

    def close_longest_idle(self) -> bool:
        """Closes the connection that is idle longest; returns if there is one.

        One that was used within `MIN_REPLACED_IDLE_S` is kept, since its next
        request may be on the way.
        """
        latest = self.clock.monotonic() - MIN_REPLACED_IDLE_S
        idle = [
            each
            for each in self.connections
            if each.idle and not each.closed and each.idle_since <= latest
        ]
        idle.sort(key=lambda each: each.idle_since)
        return any(
            each.close_unless_used(close_reasons.CloseReason.REPLACED)
            for each in idle
        )

    def serve(self, sock: gevent_socket.socket) -> None:
        """Serves one connection until it ends."""
        self.starting -= 1
        try:
            connection = caller_connection.CallerConnection(sock, self)
        except Exception:
            logger.exception("caller connection failed")
            sock.close()
            return
        self.connections.add(connection)
        try:
            self.make_room(connection)
            with contextlib.suppress(OSError):
                # The caller may have closed the connection already.
                client.set_socket_options(
                    sock, round(caller_socket.SEND_TIMEOUT_S * 1000)
                )
            connection.run()
        finally:
            connection.close(close_reasons.CloseReason.ERROR)
            connection.set_surplus(False)
            self.connections.discard(connection)

    def drain(self) -> None:
        """Makes each connection close after its next response."""
        self.draining = True

    def close_idle(self, idle_s: float) -> None:
        """Closes connections that have been idle for some time.

        Args:
            idle_s: Idle time in seconds from which a connection is closed. The
                caller may already be sending the next request on a connection
                that was used more recently; that one closes after its next
                response instead.
        """
        oldest = self.clock.monotonic() - idle_s
        for connection in tuple(self.connections):
            if (
                connection.idle
                and not connection.closed
                and connection.idle_since <= oldest
            ):
                connection.close_unless_used(
                    close_reasons.CloseReason.DRAINED_IDLE
                )

    def stop_accepting(self) -> None:
        """Accepts the connections that have been made, and no more."""
        if self.acceptor is not None:
            self.acceptor.kill()
            self.acceptor = None
        sock, self.sock = self.sock, None
        if sock is None:
            return
        sock.settimeout(0.0)
        failures = 0
        while failures < MAX_LAST_FAILURES:
            try:
                accepted, _ = sock.accept()
            except BlockingIOError:
                # There are no more.
                break
            except Exception as error:
                failures += 1
                self.handle_accept_error(error)
            else:
                gevent.spawn(self.serve, accepted)
                self.starting += 1
        sock.close()

    def close(self) -> None:
        """Stops accepting and closes all connections."""
        self.stop_accepting()
        for connection in tuple(self.connections):
            connection.close(close_reasons.CloseReason.SHUTDOWN)
