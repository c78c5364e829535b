"""Pool of idle connections to upstreams."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import structlog

from coltsfootarch.http1 import client

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

# Longest idle time of a reused connection when the peer announces no timeout.
DEFAULT_MAX_IDLE_S = 4.0
# A connection is reused for this fraction of the announced idle timeout, so
# that a request isn't sent while the peer closes the connection.
REUSE_FRACTION = 0.6
# A request that must not be sent twice only reuses a connection that has been
# idle for less than this, since an idle connection can break unnoticed.
RECENTLY_USED_MAX_IDLE_S = 1.0
MAX_IDLE_PER_ADDRESS = 8

logger = structlog.get_logger(__name__)


class ConnectionPool:
    """Pool of idle connections by address.

    Args:
        clock: Clock for idle times and deadlines.

    Attributes:
        idle: Idle connections by address; the most recently used one is last.
        opened: Number of connections that the pool has opened.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.idle: dict[str, collections.deque[client.Connection]] = {}
        self.opened = 0

    def acquire(
        self, address: str, timeout: float, recently_used: bool
    ) -> client.Connection:
        """Returns an idle connection, or opens a new one.

        Args:
            address: Address "ip:port" of the server.
            timeout: Timeout in seconds for opening a connection.
            recently_used: Whether to reuse only a connection that has been
                idle for less than `RECENTLY_USED_MAX_IDLE_S`.

        Raises:
            client.ConnectError: No connection could be opened; nothing was
                sent.
        """
        idle_connections = self.idle.get(address)
        now = self.clock.monotonic()
        while idle_connections:
            connection = idle_connections.pop()
            limit = max_idle_s(connection)
            if recently_used:
                limit = min(limit, RECENTLY_USED_MAX_IDLE_S)
            if now - connection.idle_since < limit and connection.is_reusable():
                return connection
            connection.close()
        return self.open(address, timeout)

    def open(self, address: str, timeout: float) -> client.Connection:
        """Returns a new connection; see `acquire`.

        At the limit of descriptors the idle connections make room for it.
        """
        self.opened += 1
        connection = client.Connection(address, self.clock)
        try:
            connection.start(timeout)
        except client.LocalConnectError as error:
            logger.warning(
                "connection not opened",
                upstream=address,
                reason=str(error),
                idle_closed=sum(map(len, self.idle.values())),
            )
            if not self.idle:
                raise
            self.close()
            connection = client.Connection(address, self.clock)
            connection.start(timeout)
        return connection

    def release(self, connection: client.Connection) -> None:
        """Returns a connection to the pool after a complete response."""
        idle_connections = self.idle.setdefault(
            connection.address, collections.deque()
        )
        idle_connections.append(connection)
        if len(idle_connections) > MAX_IDLE_PER_ADDRESS:
            idle_connections.popleft().close()

    def drop(self, address: str) -> None:
        """Closes all idle connections to an address."""
        for connection in self.idle.pop(address, ()):
            connection.close()

    def prune(self) -> None:
        """Closes connections that have been idle for too long to be reused."""
        now = self.clock.monotonic()
        for address, idle_connections in list(self.idle.items()):
            while idle_connections:
                oldest = idle_connections[0]
                if now - oldest.idle_since < max_idle_s(oldest):
                    break
                idle_connections.popleft().close()
            if not idle_connections:
                del self.idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self.idle):
            self.drop(address)


def max_idle_s(connection: client.Connection) -> float:
    """Returns the longest idle time after which a connection is reused."""
    return connection.announced_idle_s * REUSE_FRACTION or DEFAULT_MAX_IDLE_S
