"""Shares a process's descriptors between callers and upstreams.

A connection of a caller is of no use if none is left for an upstream, and the
request that was read on it has to be refused.
"""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

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
# Connections beyond the bound that are accepted at a time, to refuse their
# requests, as a fraction of the bound.
SURPLUS_FRACTION = 0.125
# Used where the system gives no limit.
UNLIMITED = 1 << 20
# Interval of reading the process's limit, in seconds.
REFRESH_S = 1.0

logger = structlog.get_logger(__name__)


def process_limit() -> int:
    """Returns the number of descriptors that the process may open."""
    try:
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    except OSError as error:
        logger.warning("limit of descriptors unknown", reason=str(error))
        return UNLIMITED
    return UNLIMITED if limit == resource.RLIM_INFINITY else limit


class DescriptorBudget:
    """Bounds the connections of callers.

    Args:
        clock: Source of time.
        read_limit: Returns the process's limit of descriptors.

    Attributes:
        max_callers: Number of connections of callers that may be open.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        read_limit: Callable[[], int] = process_limit,
    ) -> None:
        self.clock = clock
        self.read_limit = read_limit
        self.highest = 0
        # Limit that an error showed; the system needn't tell it.
        self.observed: int | None = None
        self.refreshed_at = clock.monotonic()
        self.max_callers = 0
        self.refresh()

    @property
    def max_surplus(self) -> int:
        """Number of connections to accept beyond `max_callers`."""
        return max(1, int(self.max_callers * SURPLUS_FRACTION))

    def record(self, descriptor: int) -> None:
        """Records the descriptor of a new connection."""
        self.highest = max(self.highest, descriptor)
        if self.clock.monotonic() - self.refreshed_at >= REFRESH_S:
            self.refresh()

    def record_shortage(self) -> None:
        """Records that no descriptor could be had.

        Numbers are given out from the lowest, so that all up to the highest
        one are in use.
        """
        if self.highest:
            self.observed = self.highest + 1
        self.refresh()

    def refresh(self) -> None:
        """Computes the bound from the present limit."""
        self.refreshed_at = self.clock.monotonic()
        limit = self.read_limit()
        if self.observed is not None:
            limit = min(limit, self.observed)
        reserved = min(RESERVED, int(limit * MAX_RESERVED_FRACTION))
        self.max_callers = max(
            MIN_CALLERS, int((limit - reserved) * CALLER_FRACTION)
        )
