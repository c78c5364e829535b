"""Issues orders to engines, fenced by the epochs of shard leases."""

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

# Validity of a session, and therefore of the leases of a former holder.
LEASE_SECONDS = 6.0
# Longest time for which an order can be in progress.
MAX_ORDER_SECONDS = 10.0


class OrderIssuer:
    """Issues orders for upstreams whose home shard this host holds.

    An upstream that checks fencing numbers rejects orders of a former holder.
    For an upstream that does not, a new holder waits until no order of a former
    holder can still be in progress.

    Args:
        clock: Source of time.
        leases: Shard leases of this host.
        engines: Calls to engines.
        current_register: Returns the register in force.
        home_shard: Returns the home shard of an upstream, or None if its home
            is in another zone than this host.

    Attributes:
        superseded_epochs: Epoch under which an order was refused as stale, by
            shard.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        leases: interfaces.Leases,
        engines: engine.EngineClient,
        current_register: Callable[[], register.Register],
        home_shard: Callable[[str], int | None],
    ) -> None:
        self.clock = clock
        self.leases = leases
        self.engines = engines
        self.current_register = current_register
        self.home_shard = home_shard
        self.superseded_epochs: dict[int, int] = {}

    def issue(self, name: str, kind: str, argument: str) -> None:
        """Issues one order.

        Args:
            name: Name of the upstream.
            kind: As in `engine.Order`.
            argument: As in `engine.Order`.

        Raises:
            NotHomeError: This host does not hold the upstream's home shard.
            RefusedError: The upstream is not registered, or an order of a
                former holder may still run; the latter has a retry time.
            StaleOrderError: A newer holder has issued an order; this host
                issues no more orders for the shard under its current epoch.
            UpstreamError: The engine failed; the order may have been carried
                out.
        """
        upstream = self.current_register().upstreams.get(name)
        if upstream is None:
            raise errors.RefusedError(results.NO_UPSTREAM)
        shard = self.home_shard(name)
        epoch = self.leases.epoch(shard) if shard is not None else None
        if shard is None or epoch is None:
            raise errors.NotHomeError(
                f"this host does not hold the home shard of {name}"
            )
        if self.superseded_epochs.get(shard) == epoch:
            raise errors.StaleOrderError(
                f"a newer holder issues the orders for {name}"
            )
        self.check_wait(upstream, shard)
        try:
            self.engines.order(
                upstream.address, engine.Order(kind, argument, epoch)
            )
        except errors.StaleOrderError:
            self.superseded_epochs[shard] = epoch
            raise

    def check_wait(self, upstream: register.Upstream, shard: int) -> None:
        """Refuses an order while one of a former holder may still run.

        Raises:
            NotHomeError: This host does not hold the shard.
            RefusedError: The wait is not over; with the remaining seconds.
        """
        if upstream.checks_fencing:
            return
        acquired = self.leases.acquired_at(shard)
        if acquired is None:
            raise errors.NotHomeError(f"this host does not hold shard {shard}")
        allowed_at = acquired + LEASE_SECONDS + MAX_ORDER_SECONDS
        remaining = allowed_at - self.clock.monotonic()
        if remaining > 0:
            raise errors.RefusedError(
                results.OVERLOADED,
                f"an order of a former holder to {upstream.name} may still run",
                retry_after=remaining,
            )
