"""Upstreams that belong to a pool."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from coltsfootarch.config import register

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from coltsfootarch import clock as clocks


# Interval at which reachability is checked again.
REACHABLE_SECONDS = 1.0


class Home(Protocol):
    """Shard whose holder schedules a pool."""

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
        scope: Name of an availability zone or region.
        leaving: Addresses that the host list reports as leaving; their
            upstreams count as draining.
        reachable: Returns whether an address is reachable; upstreams that are
            not are left out. None includes all upstreams.
    """
    upstreams = []
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
        upstreams.append(upstream)
    return upstreams


class PoolMembers:
    """Upstreams of one pool, recomputed when their sources change.

    Args:
        current: Returns the register in force.
        service: Model service.
        scope: Name of an availability zone or region.
        leaving: Returns the addresses that are leaving.
        clock: Clock for the reachability checks.
        reachable: As in `members`; checked once a second.
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
        self.last_register: register.Register | None = None
        self.last_leaving: frozenset[str] = frozenset()
        self.check_reachable_at = 0.0

    def changed(self) -> list[register.Upstream] | None:
        """Returns the upstreams if they may have changed, else None."""
        current = self.current()
        leaving = frozenset(self.leaving())
        now = self.clock.monotonic()
        stale = self.reachable is not None and now >= self.check_reachable_at
        if (
            current is self.last_register
            and leaving == self.last_leaving
            and not stale
        ):
            return None
        self.last_register = current
        self.last_leaving = leaving
        self.check_reachable_at = now + REACHABLE_SECONDS
        return members(
            current, self.service, self.scope, leaving, self.reachable
        )
