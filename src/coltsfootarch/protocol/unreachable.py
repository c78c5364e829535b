"""Peers that did not answer and are not asked for a while."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import datetime

    from coltsfootarch import clock as clocks


class UnreachablePeers:
    """Remembers time-outs, so that other requests don't wait for the same peer.

    Args:
        clock: Source of time.
        pause: Time after a time-out during which a peer is not asked.
    """

    def __init__(self, clock: clocks.Clock, pause: datetime.timedelta) -> None:
        self.clock = clock
        self.pause = pause
        self.until: dict[str, float] = {}

    def add(self, address: str) -> None:
        """Starts the pause of a peer ("ip:port")."""
        pause = self.pause.total_seconds()
        self.until[address] = self.clock.monotonic() + pause

    def remove(self, address: str) -> None:
        """Ends the pause of a peer that has answered."""
        self.until.pop(address, None)

    def is_paused(self, address: str) -> bool:
        """Returns whether a peer is not to be asked now."""
        return self.clock.monotonic() < self.until.get(address, 0.0)

    def prune(self) -> None:
        """Removes pauses that are over."""
        now = self.clock.monotonic()
        for address, until in list(self.until.items()):
            if until <= now:
                del self.until[address]
