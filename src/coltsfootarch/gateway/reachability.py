"""Which engines this host could lately reach."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootarch import clock

# An engine counts as reachable until a call fails, and again this long after.
RETRY_AFTER = datetime.timedelta(seconds=2)


class Reachability:
    """Remembers which engines refused a connection from this host.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clock.Clock) -> None:
        self.clock = clock
        self.failed_at: dict[str, float] = {}

    def reachable(self, address: str) -> bool:
        """Returns whether an engine may be tried from here."""
        failed_at = self.failed_at.get(address)
        if failed_at is None:
            return True
        waited = self.clock.monotonic() - failed_at
        return waited >= RETRY_AFTER.total_seconds()

    def note_failure(self, address: str) -> None:
        """Records that an engine did not answer this host."""
        self.failed_at[address] = self.clock.monotonic()

    def note_success(self, address: str) -> None:
        """Records that an engine answered this host."""
        self.failed_at.pop(address, None)
