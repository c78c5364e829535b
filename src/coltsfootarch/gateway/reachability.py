"""Records which engines this host could recently connect to."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootarch import clock

# Time after a failed call during which an engine counts as unreachable.
RETRY_AFTER = datetime.timedelta(seconds=2)


class Reachability:
    """Tracks the engines that recently did not answer this host.

    Args:
        clock: Source of time.

    Attributes:
        failed_at: Monotonic time in seconds of the last failure, by address.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.failed_at: dict[str, float] = {}

    def is_reachable(self, address: str) -> bool:
        """Returns whether this host may send requests to an engine."""
        failed_at = self.failed_at.get(address)
        if failed_at is None:
            return True
        waited = self.clock.monotonic() - failed_at
        return waited >= RETRY_AFTER.total_seconds()

    def record_failure(self, address: str) -> None:
        """Records that an engine did not answer this host."""
        self.failed_at[address] = self.clock.monotonic()

    def record_success(self, address: str) -> None:
        """Records that an engine answered this host."""
        self.failed_at.pop(address, None)
