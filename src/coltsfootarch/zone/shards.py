"""Shard leases of this host."""

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
    """This host's lease on a shard.

    Attributes:
        epoch: Fencing token; grows with each claim of the shard.
        acquired_at: Monotonic instant from which the shard is held.
        acquired_by_takeover: Whether it was taken over from a dead host. If it
            was released instead, grants of its last holder may still be in use.
        invalidations: Value of `Session.invalidations` when the lease was
            acquired; the lease ends with the session's next invalidation.
    """

    epoch: int
    acquired_at: float
    acquired_by_takeover: bool
    invalidations: int


class ShardLeases:
    """Implements `interfaces.Leases`.

    Args:
        session: This host's session, on which all leases depend.
        directory: The shard directory.
        clock: Source of time.

    Attributes:
        held: Leases by shard; they may have become invalid, see `lease`.
        acquired_listeners: Called with shard and epoch after a lease was
            acquired.
        lost_listeners: Called with shard and epoch after a lease ended.
        ending_listeners: Called with the shard while its lease is still held,
            to export its state and stop using it.
        hand_over_listeners: Called with shard, epoch and the successor (None
            if there is none) after the lease ended and before the row is
            released.
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
        """Returns the lease if it is currently valid, else None."""
        lease = self.held.get(shard)
        if lease is None or not self.session.valid():
            return None
        return (
            lease if lease.invalidations == self.session.invalidations else None
        )

    def epoch(self, shard: int) -> int | None:
        """Returns the lease's epoch, or None without a valid lease."""
        lease = self.lease(shard)
        return None if lease is None else lease.epoch

    def remaining(self, shard: int) -> float:
        """Returns the remaining validity in seconds, 0 if there is none."""
        if self.lease(shard) is None:
            return 0.0
        return self.session.remaining()

    def acquired_at(self, shard: int) -> float | None:
        """Returns the monotonic instant of acquisition, None if not held."""
        lease = self.lease(shard)
        return None if lease is None else lease.acquired_at

    def acquired_by_takeover(self, shard: int) -> bool:
        """Returns whether the held shard was taken over from a dead host."""
        lease = self.lease(shard)
        return lease is not None and lease.acquired_by_takeover

    def valid_shards(self) -> list[int]:
        """Returns the shards with a currently valid lease."""
        return [shard for shard in self.held if self.lease(shard) is not None]

    def drop_invalid(self) -> None:
        """Removes leases that are no longer valid; notifies the listeners."""
        for shard in list(self.held):
            if self.lease(shard) is None:
                self.drop(shard)

    def drop(self, shard: int) -> None:
        """Removes a lease and notifies the listeners."""
        lease = self.held.pop(shard)
        for listener in self.lost_listeners:
            listener(shard, lease.epoch)

    def acquire(self, leases: dict[int, Lease]) -> None:
        """Adds leases on shards whose rows name this host.

        A lease that is already invalid is not added. Listeners are notified of
        the others.
        """
        for shard, lease in leases.items():
            self.held[shard] = lease
            if self.lease(shard) is None:
                del self.held[shard]
                continue
            for listener in self.acquired_listeners:
                listener(shard, lease.epoch)

    def end_lease(self, shard: int, successor: str | None) -> None:
        """Ends a lease and hands the shard's state over to its successor.

        Args:
            shard: A held shard.
            successor: Name of the host that should claim it next, or None.
        """
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
