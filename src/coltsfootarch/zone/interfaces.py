"""Interfaces of shard leases and holders for other packages."""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol


class Holder(NamedTuple):
    """A host that holds a shard, as last read from the store.

    Attributes:
        host: Name of the host.
        incarnation: Incarnation of the host.
        address: Address ("ip:port") of its peer socket.
        epoch: Epoch of its lease on the shard.
    """

    host: str
    incarnation: int
    address: str
    epoch: int


class Leases(Protocol):
    """Shard leases of this host.

    Every method checks first whether the lease is still valid.
    """

    def epoch(self, shard: int) -> int | None:
        """Returns the lease's epoch, or None without a valid lease."""

    def remaining(self, shard: int) -> float:
        """Returns the remaining validity in seconds, 0 if there is none."""

    def acquired_at(self, shard: int) -> float | None:
        """Returns the monotonic instant of acquisition, None if not held."""

    def acquired_by_takeover(self, shard: int) -> bool:
        """Returns whether the lease was taken over from a dead host.

        If it was, no grant of the dead host is in use any more. A shard that
        was released, or never held before, was not acquired by a takeover.
        """


class Holders(Protocol):
    """Looks up the shard holders and hosts of all availability zones."""

    def holder(self, availability_zone: str, shard: int) -> Holder | None:
        """Returns the holder as last read, or None if there is none."""

    def live_hosts(self, availability_zone: str) -> int:
        """Returns the number of hosts with a session, at least 1."""

    def is_live(self, host: str, incarnation: int) -> bool:
        """Returns whether this incarnation still has a session."""
