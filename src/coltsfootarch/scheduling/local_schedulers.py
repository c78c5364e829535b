"""Fallback schedulers of an entry host for pools whose home is unreachable."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from coltsfootarch import results
from coltsfootarch.scheduling import items
from coltsfootarch.scheduling import pool
from coltsfootarch.scheduling import pool_members
from coltsfootarch.scheduling import pool_runner
from coltsfootarch.scheduling import pool_service

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from coltsfootarch import clock as clocks
    from coltsfootarch.config import register
    from coltsfootarch.protocol import messages

# A scheduler without work for this time is removed, since its view of the pool
# is stale.
IDLE_SECONDS = 60.0


class LocalSchedulers:
    """Pool schedulers limited to upstreams that this host can reach.

    Args:
        clock: Clock of all instants.
        current: Returns the register in force.
        leaving: Returns the addresses that the host list reports as leaving.
        reachable: Returns whether an address was reachable from this host
            recently.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        current: Callable[[], register.Register],
        leaving: Callable[[], Collection[str]],
        reachable: Callable[[str], bool],
    ) -> None:
        self.clock = clock
        self.current = current
        self.leaving = leaving
        self.reachable = reachable
        self.runners: dict[pool_service.PoolKey, pool_runner.PoolRunner] = {}
        self.last_used_at: dict[pool_service.PoolKey, float] = {}

    def schedulers(self) -> list[pool.PoolScheduler]:
        """Returns the current schedulers."""
        return [entry.scheduler for entry in self.runners.values()]

    def schedule(
        self, service: str, scope: str, item: items.WorkItem
    ) -> messages.ScheduleReply:
        """Decides about an attempt; may block until its deadline."""
        if service not in self.current().services:
            refusal = items.Refusal(*item.key, results.NO_UPSTREAM, 0.0)
            return pool_service.reply(refusal)
        account = self.current().client_accounts.get(item.account)
        if account is not None:
            item = item._replace(weight=account.weight)
        now = self.clock.monotonic()
        timeout = max(0.0, item.deadline - now)
        decision = self.get_or_create_runner(service, scope).decide(
            item,
            datetime.timedelta(
                seconds=timeout + pool_service.TIMEOUT_MARGIN_SECONDS
            ),
        )
        return pool_service.reply(decision)

    def apply(
        self, service: str, scope: str, events: list[messages.ScheduleEvent]
    ) -> None:
        """Applies state changes of attempts that were assigned here."""
        entry = self.runners.get(pool_service.PoolKey(service, scope))
        if entry is not None:
            entry.apply(events)

    def tick(self) -> None:
        """Delivers the decisions that are due and removes idle schedulers."""
        now = self.clock.monotonic()
        for key, entry in list(self.runners.items()):
            entry.tick()
            busy = entry.scheduler.assigned or entry.waiters
            if busy:
                self.last_used_at[key] = now
            elif now - self.last_used_at[key] > IDLE_SECONDS:
                del self.runners[key]
                del self.last_used_at[key]

    def next_wakeup(self) -> float | None:
        """Returns when `tick()` is due, or None without schedulers."""
        return min(
            (entry.scheduler.next_wakeup() for entry in self.runners.values()),
            default=None,
        )

    def get_or_create_runner(
        self, service: str, scope: str
    ) -> pool_runner.PoolRunner:
        """Returns the runner of a pool and creates it if needed."""
        key = pool_service.PoolKey(service, scope)
        self.last_used_at[key] = self.clock.monotonic()
        entry = self.runners.get(key)
        if entry is not None:
            return entry
        members = pool_members.PoolMembers(
            self.current,
            service,
            scope,
            self.leaving,
            self.clock,
            self.reachable,
        )
        scheduler = pool.PoolScheduler(
            self.clock, self.current().services[service], ()
        )
        entry = self.runners[key] = pool_runner.PoolRunner(scheduler, members)
        return entry
