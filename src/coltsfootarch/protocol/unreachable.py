"""Peers that are not contacted for a while after a timeout."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import datetime

    from coltsfootarch import clock as clocks


class UnreachablePeers:
    """Records timeouts, so that other requests don't wait for the same peer.

    Args:
        clock: Source of time.
        pause: Time after a timeout during which a peer is not contacted.

    Attributes:
        until: Instant at which the pause of a peer ends, by address.
    """

    def __init__(self, clock: clocks.Clock, pause: datetime.timedelta) -> None:
        self.clock = clock
        self.pause = pause
        self.until: dict[str, float] = {}

    def add(self, address: str) -> None:
        """Starts or restarts the pause of a peer.

        Args:
            address: Address ("ip:port") of the peer.
        """
        pause = self.pause.total_seconds()
        self.until[address] = self.clock.monotonic() + pause

    def remove(self, address: str) -> None:
        """Ends the pause of a peer that has answered."""
        self.until.pop(address, None)

    def is_paused(self, address: str) -> bool:
        """Returns whether a peer must not be contacted now."""
        return self.clock.monotonic() < self.until.get(address, 0.0)

    def prune(self) -> None:
        """Removes pauses that have ended."""
        now = self.clock.monotonic()
        for address, until in list(self.until.items()):
            if until <= now:
                del self.until[address]
