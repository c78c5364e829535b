"""Shard leases that this host holds."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.zone import interfaces

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock
    from coltsfootarch.zone import directory
    from coltsfootarch.zone import session


class Lease(NamedTuple):
    """A shard as this host holds it.

    Attributes:
        epoch: Fencing number.
        acquired_at: Monotonic instant since when it is held.
        inherited: Whether it was taken over from a dead host. A shard that
            was released may have grants of its last holder in use.
        lapses: The session's count of lapses when it was acquired; the lease
            ends with the next lapse.
    """

    epoch: int
    acquired_at: float
    inherited: bool
    lapses: int


class ShardLeases:
    """Implements `interfaces.Leases`.

    Args:
        session: This host's session, on which all leases depend.
        directory: The directory.
        clock: Source of time.

    Attributes:
        held: Leases by shard; use `epoch` to learn whether one is valid.
        acquired_listeners: Called with shard and epoch.
        lost_listeners: Called with shard and epoch after a lease ended.
        ending_listeners: Called with shard while the lease is still held, to
            export its state and stop using it.
        hand_over_listeners: Called with shard, epoch and the successor or None
            after the lease ended and before the row is released.
    """

    def __init__(
        self,
        session: session.Session,
        directory: directory.Directory,
        clock: clock.Clock,
    ) -> None:
        self.session = session
        self.directory = directory
        self.clock = clock
        self.held: dict[int, Lease] = {}
        self.acquired_listeners: list[Callable[[int, int], None]] = []
        self.lost_listeners: list[Callable[[int, int], None]] = []
        self.ending_listeners: list[Callable[[int], None]] = []
        self.hand_over_listeners: list[
            Callable[[int, int, interfaces.Holder | None], None]
        ] = []

    def lease(self, shard: int) -> Lease | None:
        """Returns the lease if it is valid at this instant."""
        lease = self.held.get(shard)
        if lease is None or not self.session.valid():
            return None
        return lease if lease.lapses == self.session.lapses else None

    def epoch(self, shard: int) -> int | None:
        """Returns the lease's epoch, or None if not validly held now."""
        lease = self.lease(shard)
        return None if lease is None else lease.epoch

    def remaining(self, shard: int) -> float:
        """Returns the seconds that the lease is still valid, 0 if not held."""
        if self.lease(shard) is None:
            return 0.0
        return self.session.remaining()

    def acquired_at(self, shard: int) -> float | None:
        """Returns the monotonic instant since when the lease is held."""
        lease = self.lease(shard)
        return None if lease is None else lease.acquired_at

    def inherited(self, shard: int) -> bool:
        """Returns whether the held shard had an earlier holder."""
        lease = self.lease(shard)
        return lease is not None and lease.inherited

    def valid_shards(self) -> list[int]:
        """Returns the shards that are validly held at this instant."""
        return [shard for shard in self.held if self.lease(shard) is not None]

    def drop_lapsed(self) -> None:
        """Removes leases that have ended and notifies the listeners."""
        for shard in list(self.held):
            if self.lease(shard) is None:
                self.drop(shard)

    def drop(self, shard: int) -> None:
        """Removes a lease and notifies the listeners."""
        lease = self.held.pop(shard)
        for listener in self.lost_listeners:
            listener(shard, lease.epoch)

    def acquire(self, leases: dict[int, Lease]) -> None:
        """Holds shards whose rows name this host; notifies the listeners."""
        for shard, lease in leases.items():
            self.held[shard] = lease
            if self.lease(shard) is None:
                del self.held[shard]
                continue
            for listener in self.acquired_listeners:
                listener(shard, lease.epoch)

    def end_lease(self, shard: int, successor: str | None) -> None:
        """Stops using a shard, then lets its state move to the successor."""
        for ending in self.ending_listeners:
            ending(shard)
        lease = self.held.pop(shard)
        session = self.directory.own_view.sessions.get(successor or "")
        holder = session and interfaces.Holder(
            session.host, session.incarnation, session.address, lease.epoch
        )
        for hand_over in self.hand_over_listeners:
            hand_over(shard, lease.epoch, holder)
        for lost in self.lost_listeners:
            lost(shard, lease.epoch)
