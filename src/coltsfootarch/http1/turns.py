"""Limits what one connection takes of the process while others wait.

It answers this load: a peer sends bytes as fast as they are read. A read that
finds bytes returns without a switch to another greenlet, so that a greenlet
that reads from such a peer would keep all others from running, and so would one
that accepts connections.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

# Bytes that a connection may read, and the time in seconds that it may take for
# them, before others have a turn.
MAX_BYTES = 128 * 1024
MAX_S = 0.002
# Pause between two turns in seconds. `gevent.sleep(0)` would not do: greenlets
# that wait for a socket or a timer run only after an iteration of the loop.
PAUSE_S = 0.001


class ReadTurn:
    """Turn of one connection.

    A turn lasts for one iteration of the event loop, after which all greenlets
    that could run have run.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.loop = gevent.get_hub().loop
        self.iteration = -1
        self.started_at = 0.0
        self.size = 0

    def record(self, size: int) -> None:
        """Counts bytes that were read."""
        self.size += size

    def is_over(self) -> bool:
        """Returns whether others have to run; may begin a new turn."""
        iteration: int = self.loop.iteration
        now = self.clock.monotonic()
        if iteration != self.iteration:
            self.iteration = iteration
            self.started_at = now
            self.size = 0
            return False
        return self.size >= MAX_BYTES or now - self.started_at >= MAX_S

    def share(self) -> None:
        """Lets other greenlets run if the turn is over."""
        if self.is_over():
            gevent.sleep(PAUSE_S)
