"""Home placement: which shard is responsible for what.

Rendezvous hashing over fixed shard numbers: hosts that come and go never change
the mapping, and a zone that is added moves only what it wins.
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


def weigh(*parts: str) -> int:
    """Returns a 64-bit hash of the parts, equal on every host."""
    return int(xxhash.xxh3_64_intdigest("\x00".join(parts).encode()))


def home_shard(kind: str, key: str, shards: int) -> int:
    """Returns the shard of a zone that an object hashes to.

    Args:
        kind: What the object is, such as "account" or "upstream".
        key: Its name.
        shards: Number of shards of the zone, at least 1.

    Raises:
        ValueError: There is no shard.
    """
    if shards < 1:
        raise ValueError("a zone needs at least one shard")
    return max(
        range(shards), key=lambda shard: weigh("shard", str(shard), kind, key)
    )


def scope_home(
    kind: str,
    key: str,
    availability_zones: Iterable[register.AvailabilityZone],
) -> Home:
    """Returns the shard over several zones that an object hashes to.

    Args:
        kind: What the object is.
        key: Its name.
        availability_zones: Zones of the scope, in any order, at least one.

    Raises:
        ValueError: There is no zone.
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
        key=lambda home: weigh(
            home.availability_zone, str(home.shard), kind, key
        ),
    )
