"""Watches a caller's connection while a request on it is handled."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import gevent
import structlog

from coltsfootarch.forwarding import caller_socket
from coltsfootarch.http1 import client
from coltsfootarch.http1 import shortages

if TYPE_CHECKING:
    from coltsfootarch.forwarding import caller_connection
    from coltsfootarch.forwarding import cancellation as cancellations

# Bytes of pipelined requests that are buffered while one is handled. The rest
# stays in the socket, so that the caller has to wait.
MAX_PIPELINED_BYTES = 16384
# Interval at which a disconnect behind that is looked for, in seconds.
END_POLL_S = 0.1

logger = structlog.get_logger(__name__)


class DisconnectWatch:
    """Cancels a request whose caller disconnects; buffers the next requests.

    Args:
        connection: Connection of the caller.
        cancellation: Signals that the caller has disconnected.
    """

    def __init__(
        self,
        connection: caller_connection.CallerConnection,
        cancellation: cancellations.Cancellation,
    ) -> None:
        self.connection = connection
        self.cancellation = cancellation
        self.ended = False
        self.watcher: Any = None

    def start(self) -> None:
        """Starts to watch; a failure is logged and leaves it out."""
        if self.is_full():
            self.poll_end()
            return
        try:
            descriptor = self.connection.sock.fileno()
            self.watcher = gevent.get_hub().loop.io(descriptor, 1)
            self.watcher.start(self.on_readable)
        except Exception:
            # The request is handled anyway.
            logger.exception("caller connection failed")

    def close(self) -> None:
        """Stops to watch."""
        self.ended = True
        watcher, self.watcher = self.watcher, None
        if watcher is not None:
            watcher.stop()
            watcher.close()

    def is_full(self) -> bool:
        """Returns whether bytes behind the request stay in the socket."""
        return (
            len(self.connection.pipelined) >= MAX_PIPELINED_BYTES
            or not self.connection.listener.memory.has_room
        )

    def on_readable(self) -> None:
        """Detects a disconnected caller; buffers pipelined requests."""
        connection = self.connection
        if connection.closed:
            return
        if self.is_full():
            self.poll_end()
            return
        room = MAX_PIPELINED_BYTES - len(connection.pipelined)
        try:
            data = client.read_arrived(connection.sock, room)
        except OSError as error:
            if shortages.is_shortage(error):
                self.pause()
                return
            data = b""
        if data is None:
            return
        if not data:
            self.watcher.stop()
            self.cancellation.cancel()
            return
        connection.buffer(data)
        if self.is_full():
            self.poll_end()

    def poll_end(self) -> None:
        """Looks for a disconnect behind bytes that stay in the socket."""
        if self.watcher is not None:
            self.watcher.stop()
        gevent.spawn(self.poll)

    def poll(self) -> None:
        """Polls the connection until the request or the connection ends."""
        while not (self.ended or self.connection.closed):
            if caller_socket.has_hung_up(self.connection.sock):
                self.cancellation.cancel()
                return
            gevent.sleep(END_POLL_S)

    def pause(self) -> None:
        """Stops to watch for a moment, since the bytes stay readable."""
        self.watcher.stop()

        def resume() -> None:
            if self.watcher is not None:
                self.watcher.start(self.on_readable)

        gevent.spawn_later(shortages.RETRY_S, resume)
