"""Plans the even distribution of a zone's shards over its hosts."""

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
        directory: The shard directory.
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
        """Returns the largest number of shards that each host should hold.

        Args:
            stopping: Hosts that get none.
        """
        sessions = self.directory.own_view.sessions
        live = max(1, len(sessions.keys() - stopping))
        return math.ceil(self.shard_count() / live)

    def shard_counts(self) -> dict[str, int]:
        """Returns the number of shards held, by host with a session."""
        view = self.directory.own_view
        shard_counts = dict.fromkeys(view.sessions, 0)
        for row in view.shards.values():
            record = row.record
            if view.is_live(record.holder, record.incarnation):
                shard_counts[record.holder] += 1
        return shard_counts

    def plan(self, free: Iterable[int], stopping: set[str]) -> dict[int, str]:
        """Returns the host that should claim each free shard.

        Hosts with the same view compute the same plan. It stays the same while
        they claim their shards one after another.

        Args:
            free: Shards that are free or about to be released.
            stopping: Hosts that get none.

        Returns:
            Host by shard, without the shards for which no host is below its
            target.
        """
        target = self.target(stopping)
        shard_counts = self.shard_counts()
        assignment: dict[int, str] = {}
        for shard in sorted(free):
            candidates = [
                host
                for host, count in shard_counts.items()
                if count < target and host not in stopping
            ]
            if not candidates:
                break
            host = max(
                candidates,
                key=lambda name: homes.stable_hash("claim", str(shard), name),
            )
            assignment[shard] = host
            shard_counts[host] += 1
        return assignment

    def free_shards(self) -> list[int]:
        """Returns the shards that no host with a session holds."""
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

    def shards_assigned_to(self, host: str, incarnation: int) -> list[int]:
        """Returns the shards whose rows name this incarnation as holder."""
        return [
            shard
            for shard, row in self.directory.own_view.shards.items()
            if (row.record.holder, row.record.incarnation)
            == (host, incarnation)
        ]
