"""What other packages see of shard leases and their holders."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol


class Holder(NamedTuple):
    """A host that holds a shard, as last read.

    Attributes:
        host: Name of the host.
        incarnation: Its incarnation.
        address: Address ("ip:port") of its peer socket.
        epoch: Epoch of its lease on the shard.
    """

    host: str
    incarnation: int
    address: str
    epoch: int


class Leases(Protocol):
    """The shard leases of this host. Every method checks the clock first."""

    def epoch(self, shard: int) -> int | None:
        """Returns the lease's epoch, or None if not validly held now."""

    def remaining(self, shard: int) -> float:
        """Returns the seconds that the lease is still valid, 0 if not held."""

    def acquired_at(self, shard: int) -> float | None:
        """Returns the monotonic instant since when the lease is held."""

    def inherited(self, shard: int) -> bool:
        """Returns whether the lease was taken over from a dead host.

        Nothing that the dead host granted is in use then. A shard that was
        released, or never held, is not inherited.
        """


class Holders(Protocol):
    """Looks up who holds the shards of all availability zones."""

    def holder(self, availability_zone: str, shard: int) -> Holder | None:
        """Returns the holder last read, or None if there is none."""

    def live_hosts(self, availability_zone: str) -> int:
        """Returns the number of hosts with a session, at least 1."""

    def is_live(self, host: str, incarnation: int) -> bool:
        """Returns whether this incarnation still has a session."""
