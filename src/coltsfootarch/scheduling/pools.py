"""Which upstreams form a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from coltsfootarch.config import register

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from coltsfootarch import clock as clocks


REACHABLE_SECONDS = 1.0


class Home(Protocol):
    """Home shard of a pool."""

    @property
    def availability_zone(self) -> str:
        """Zone of the shard."""

    @property
    def shard(self) -> int:
        """Number of the shard in its zone."""


def scope_of(current: register.Register, availability_zone: str) -> str:
    """Returns the scope of the pools that hosts of a zone use."""
    if current.rules.scheduling_scope == "zone":
        return availability_zone
    return current.availability_zones[availability_zone].region


def members(
    current: register.Register,
    service: str,
    scope: str,
    leaving: Collection[str],
    reachable: Callable[[str], bool] | None = None,
) -> list[register.Upstream]:
    """Returns the upstreams of a pool.

    Args:
        current: Register in force.
        service: Model service.
        scope: Availability zone or region.
        leaving: Addresses that the host list reports as leaving; their
            upstreams count as draining.
        reachable: Called with an address; upstreams that it denies are left
            out. None leaves all in.
    """
    found = []
    for upstream in current.upstreams.values():
        if upstream.service != service:
            continue
        zone = current.availability_zones[upstream.availability_zone]
        if scope not in (zone.name, zone.region):
            continue
        if reachable is not None and not reachable(upstream.address):
            continue
        if upstream.address in leaving:
            upstream = upstream._replace(state=register.UpstreamState.DRAINING)
        found.append(upstream)
    return found


class PoolMembers:
    """Upstreams of one pool, recomputed when their sources change.

    Args:
        current: Returns the register in force.
        service: Model service.
        scope: Availability zone or region.
        leaving: Returns the addresses that are leaving.
        reachable: As in `members`; asked again once a second of `clock`.
        clock: Clock of that interval.
    """

    def __init__(
        self,
        current: Callable[[], register.Register],
        service: str,
        scope: str,
        leaving: Callable[[], Collection[str]],
        clock: clocks.Clock,
        reachable: Callable[[str], bool] | None = None,
    ) -> None:
        self.current = current
        self.service = service
        self.scope = scope
        self.leaving = leaving
        self.clock = clock
        self.reachable = reachable
        self.seen: register.Register | None = None
        self.seen_leaving: frozenset[str] = frozenset()
        self.reread_at = 0.0

    def changed(self) -> list[register.Upstream] | None:
        """Returns the upstreams if they may have changed, else None."""
        current = self.current()
        leaving = frozenset(self.leaving())
        now = self.clock.monotonic()
        stale = self.reachable is not None and now >= self.reread_at
        if current is self.seen and leaving == self.seen_leaving and not stale:
            return None
        self.seen = current
        self.seen_leaving = leaving
        self.reread_at = now + REACHABLE_SECONDS
        return members(
            current, self.service, self.scope, leaving, self.reachable
        )
