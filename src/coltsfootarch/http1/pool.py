"""Idle connections to upstreams, kept for the next request."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from coltsfootarch.http1 import client

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

# Idle connections are used up to this age when the peer announces no limit.
DEFAULT_IDLE_S = 4.0
# Share of an announced idle timeout after which a connection isn't reused, so
# that a request doesn't cross the peer's close.
IDLE_SHARE = 0.6
# A request that must not be sent twice only takes a connection that was in use
# this recently, since a connection can be dropped without notice.
FRESH_IDLE_S = 1.0
MAX_IDLE_PER_ADDRESS = 8


class ConnectionPool:
    """Keeps idle connections by address.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.idle: dict[str, collections.deque[client.Connection]] = {}
        self.opened = 0

    def take(
        self, address: str, timeout: float, fresh: bool
    ) -> client.Connection:
        """Returns an idle connection or opens one.

        Args:
            address: "ip:port" of the peer.
            timeout: Longest wait for a new connection, in seconds.
            fresh: Whether only a recently used connection will do.

        Raises:
            client.ConnectError: No connection; nothing was sent.
        """
        waiting = self.idle.get(address)
        now = self.clock.monotonic()
        while waiting:
            connection = waiting.pop()
            limit = usable_s(connection)
            if fresh:
                limit = min(limit, FRESH_IDLE_S)
            if now - connection.idle_since < limit and connection.is_reusable():
                return connection
            connection.close()
        connection = client.Connection(address, self.clock)
        self.opened += 1
        connection.start(timeout)
        return connection

    def release(self, connection: client.Connection) -> None:
        """Keeps a connection whose last response was complete."""
        waiting = self.idle.setdefault(connection.address, collections.deque())
        waiting.append(connection)
        if len(waiting) > MAX_IDLE_PER_ADDRESS:
            waiting.popleft().close()

    def drop(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for connection in self.idle.pop(address, ()):
            connection.close()

    def prune(self) -> None:
        """Closes connections that are too old to be used."""
        now = self.clock.monotonic()
        for address, waiting in list(self.idle.items()):
            while waiting:
                oldest = waiting[0]
                if now - oldest.idle_since < usable_s(oldest):
                    break
                waiting.popleft().close()
            if not waiting:
                del self.idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self.idle):
            self.drop(address)


def usable_s(connection: client.Connection) -> float:
    """Returns how long a connection may be idle and still be used."""
    return connection.idle_limit_s * IDLE_SHARE or DEFAULT_IDLE_S
