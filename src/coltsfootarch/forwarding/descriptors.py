"""Bounds callers' connections by the memory and descriptors of a process.

A connection of a caller is of no use if none is left for an upstream, and the
request that was read on it has to be refused. The limit is known from the
failure to accept a connection only: what the system gives as the process's
limit needn't hold for sockets.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

# Descriptors for files and for connections to the platform and other hosts. The
# platform keeps 200 of a process's descriptors for files alone.
RESERVED = 264
# Largest part of the limit that is reserved.
MAX_RESERVED_FRACTION = 0.25
# A request needs its caller's connection and one to an upstream; generations
# with a prefill need a second one for a part of their time.
CALLER_FRACTION = 0.5
MIN_CALLERS = 8
# Connections of callers in any case. Each takes 14 KiB, also if it is idle.
MAX_CALLERS = 3000
# Connections beyond the bound that are accepted at a time, to refuse their
# requests, as a fraction of the bound.
SURPLUS_FRACTION = 0.125
# Time for which an observed limit holds, in seconds; it may be raised.
OBSERVATION_S = 60.0


class DescriptorBudget:
    """Bounds the connections of callers.

    Args:
        clock: Source of time.

    Attributes:
        max_callers: Number of connections of callers that may be open;
            `MAX_CALLERS` until a shortage of descriptors was observed.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.highest = 0
        self.observed_at = -math.inf
        self.max_callers = MAX_CALLERS

    @property
    def max_surplus(self) -> float:
        """Number of connections to accept beyond `max_callers`."""
        return max(1.0, self.max_callers * SURPLUS_FRACTION)

    def record(self, descriptor: int) -> None:
        """Records the descriptor of a new connection."""
        self.highest = max(self.highest, descriptor)
        if self.clock.monotonic() - self.observed_at >= OBSERVATION_S:
            self.max_callers = MAX_CALLERS

    def record_shortage(self) -> None:
        """Records that no descriptor could be had.

        Numbers are given out from the lowest, so that all up to the highest
        one are in use.
        """
        self.observed_at = self.clock.monotonic()
        limit = self.highest + 1
        reserved = min(RESERVED, int(limit * MAX_RESERVED_FRACTION))
        callers = int((limit - reserved) * CALLER_FRACTION)
        self.max_callers = min(MAX_CALLERS, max(MIN_CALLERS, callers))
