"""Home placement: maps objects to the shards responsible for them.

It uses rendezvous hashing over fixed shard numbers. Hosts that join or leave
never change the mapping, and an added zone moves only the objects that hash to
it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from coltsfootarch.config import register


class Home(NamedTuple):
    """A shard of an availability zone."""

    availability_zone: str
    shard: int


def stable_hash(*parts: str) -> int:
    """Returns a 64-bit hash of the parts that is the same on every host."""
    return int(xxhash.xxh3_64_intdigest("\x00".join(parts).encode()))


def home_shard(kind: str, key: str, shards: int) -> int:
    """Returns the home shard of an object within one zone.

    Args:
        kind: Kind of the object, such as "account" or "upstream".
        key: Name of the object.
        shards: Number of shards of the zone, at least 1.

    Raises:
        ValueError: The number of shards is less than 1.
    """
    if shards < 1:
        raise ValueError("a zone needs at least one shard")
    return max(
        range(shards),
        key=lambda shard: stable_hash("shard", str(shard), kind, key),
    )


def scope_home(
    kind: str,
    key: str,
    availability_zones: Iterable[register.AvailabilityZone],
) -> Home:
    """Returns the home shard of an object among all zones of a scope.

    Args:
        kind: Kind of the object.
        key: Name of the object.
        availability_zones: Zones of the scope, in any order, at least one.

    Raises:
        ValueError: The scope has no zone.
    """
    zones: Sequence[register.AvailabilityZone] = sorted(
        availability_zones, key=lambda zone: zone.name
    )
    if not zones:
        raise ValueError("a scope needs at least one availability zone")
    homes = [
        Home(zone.name, shard) for zone in zones for shard in range(zone.shards)
    ]
    return max(
        homes,
        key=lambda home: stable_hash(
            home.availability_zone, str(home.shard), kind, key
        ),
    )
