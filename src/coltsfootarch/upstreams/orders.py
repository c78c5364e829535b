"""Orders to engines, fenced by shard epochs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.upstreams import engine

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.config import register
    from coltsfootarch.zone import interfaces

# Validity of a session, and so of the leases of a former holder.
LEASE_SECONDS = 6.0
LONGEST_ORDER_SECONDS = 10.0


class OrderIssuer:
    """Issues orders for upstreams whose home shard this host holds.

    An upstream that checks fencing numbers rejects the orders of a former
    holder by itself. For one that does not, a new holder waits until no order
    of a former holder can still be under way.

    Args:
        clock: Clock of the waiting time.
        leases: Shard leases of this host.
        engines: Calls to engines.
        current: Returns the register in force.
        home_shard: Returns the home shard of an upstream, in the zone of this
            host, or None if its home is in another zone.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        leases: interfaces.Leases,
        engines: engine.EngineClient,
        current: Callable[[], register.Register],
        home_shard: Callable[[str], int | None],
    ) -> None:
        self.clock = clock
        self.leases = leases
        self.engines = engines
        self.current = current
        self.home_shard = home_shard
        self.stopped: dict[int, int] = {}

    def issue(self, name: str, kind: str, argument: str) -> None:
        """Gives one order.

        Args:
            name: Upstream.
            kind: As in `engine.Order`.
            argument: As in `engine.Order`.

        Raises:
            NotHomeError: The home shard of the upstream is not held here.
            RefusedError: Too early after a change of holder; with retry time.
            StaleOrderError: A newer holder has given an order; this host gives
                no more orders for the shard under its present epoch.
            UpstreamError: The engine failed; the order may have been carried
                out.
        """
        upstream = self.current().upstreams.get(name)
        if upstream is None:
            raise errors.RefusedError(results.NO_UPSTREAM)
        shard = self.home_shard(name)
        epoch = self.leases.epoch(shard) if shard is not None else None
        if shard is None or epoch is None:
            raise errors.NotHomeError(f"the home of {name} is not held here")
        if self.stopped.get(shard) == epoch:
            raise errors.StaleOrderError(
                f"a newer holder gives the orders for {name}"
            )
        self.check_wait(upstream, shard)
        try:
            self.engines.order(
                upstream.address, engine.Order(kind, argument, epoch)
            )
        except errors.StaleOrderError:
            self.stopped[shard] = epoch
            raise

    def check_wait(self, upstream: register.Upstream, shard: int) -> None:
        """Refuses an order while one of a former holder may still run.

        Raises:
            NotHomeError: This host does not hold the shard.
            RefusedError: The wait is not over.
        """
        if upstream.checks_fencing:
            return
        acquired = self.leases.acquired_at(shard)
        if acquired is None:
            raise errors.NotHomeError(f"shard {shard} is not held here")
        free_at = acquired + LEASE_SECONDS + LONGEST_ORDER_SECONDS
        left = free_at - self.clock.monotonic()
        if left > 0:
            raise errors.RefusedError(
                results.OVERLOADED,
                f"orders to {upstream.name} wait for those of a former holder",
                retry_after=left,
            )
