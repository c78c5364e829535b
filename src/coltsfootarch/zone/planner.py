"""Even distribution of an availability zone's shards over its hosts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from coltsfootarch.zone import homes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from coltsfootarch.zone import directory


class ShardPlanner:
    """Computes from the directory which host should hold which shard.

    Args:
        directory: The directory.
        shard_count: Returns the number of shards of the zone; 0 while there is
            no configuration.
    """

    def __init__(
        self,
        directory: directory.Directory,
        shard_count: Callable[[], int],
    ) -> None:
        self.directory = directory
        self.shard_count = shard_count

    def target(self, stopping: set[str]) -> int:
        """Returns the number of shards that each host aims at."""
        sessions = self.directory.own_view.sessions
        live = max(1, len(sessions.keys() - stopping))
        return math.ceil(self.shard_count() / live)

    def counts(self) -> dict[str, int]:
        """Returns the number of shards by host with a session."""
        view = self.directory.own_view
        counts = dict.fromkeys(view.sessions, 0)
        for row in view.shards.values():
            record = row.record
            if view.is_live(record.holder, record.incarnation):
                counts[record.holder] += 1
        return counts

    def plan(self, free: Iterable[int], stopping: set[str]) -> dict[int, str]:
        """Returns the host that should claim each free shard.

        Hosts with the same view make the same plan, and it stays the same
        while they carry it out one after another.

        Args:
            free: Shards that are free or about to be.
            stopping: Hosts that get none.

        Returns:
            Host by shard, without the shards for which no host has room.
        """
        target = self.target(stopping)
        counts = self.counts()
        chosen: dict[int, str] = {}
        for shard in sorted(free):
            candidates = [
                host
                for host, count in counts.items()
                if count < target and host not in stopping
            ]
            if not candidates:
                break
            host = max(
                candidates,
                key=lambda name: homes.weigh("claim", str(shard), name),
            )
            chosen[shard] = host
            counts[host] += 1
        return chosen

    def free_shards(self) -> list[int]:
        """Returns the shards without a holder that has a session."""
        view = self.directory.own_view
        return [
            shard
            for shard in range(self.shard_count())
            if shard not in view.shards
            or not view.is_live(
                view.shards[shard].record.holder,
                view.shards[shard].record.incarnation,
            )
        ]

    def rows_naming(self, host: str, incarnation: int) -> list[int]:
        """Returns the shards whose rows name a host."""
        return [
            shard
            for shard, row in self.directory.own_view.shards.items()
            if (row.record.holder, row.record.incarnation)
            == (host, incarnation)
        ]
