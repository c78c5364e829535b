"""Blocking interface to a pool scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent import event as gevent_event

from coltsfootarch import results
from coltsfootarch.scheduling import items

if TYPE_CHECKING:
    import datetime
    from collections.abc import Iterable

    from coltsfootarch.protocol import messages
    from coltsfootarch.scheduling import pool
    from coltsfootarch.scheduling import pool_members


class PoolRunner:
    """Delivers the decisions of one scheduler to the greenlets that wait.

    Args:
        scheduler: The scheduler.
        members: Current upstreams of the pool.
    """

    def __init__(
        self,
        scheduler: pool.PoolScheduler,
        members: pool_members.PoolMembers,
    ) -> None:
        self.scheduler = scheduler
        self.members = members
        self.waiters: dict[items.AttemptKey, gevent_event.AsyncResult] = {}

    def decide(
        self, item: items.WorkItem, timeout: datetime.timedelta
    ) -> items.Decision:
        """Blocks until the scheduler has decided about an attempt.

        An attempt that is already assigned gets the same assignment again.

        Args:
            item: The attempt.
            timeout: Maximum wait; the attempt is then refused as overloaded.
        """
        assigned = self.scheduler.assigned.get(item.key)
        if assigned is not None:
            return items.Assignment(
                *item.key, assigned.prefill, assigned.decode
            )
        waiter = self.waiters.get(item.key)
        if waiter is None:
            waiter = self.waiters[item.key] = gevent_event.AsyncResult()
            self.refresh()
            self.scheduler.submit(item)
        self.tick()
        try:
            decision: items.Decision = waiter.get(
                timeout=timeout.total_seconds()
            )
        except gevent.Timeout:
            self.scheduler.withdraw(item.key)
            self.waiters.pop(item.key, None)
            return items.Refusal(*item.key, results.OVERLOADED, 1.0)
        return decision

    def apply(self, events: Iterable[messages.ScheduleEvent]) -> None:
        """Applies state changes and delivers the decisions that result."""
        for event in events:
            self.scheduler.apply(event)
        self.tick()

    def tick(self) -> None:
        """Applies changed upstreams and delivers the decisions that are due."""
        self.refresh()
        for decision in self.scheduler.poll():
            key = items.AttemptKey(decision.request_id, decision.attempt)
            waiter = self.waiters.pop(key, None)
            if waiter is not None:
                waiter.set(decision)

    def stop(self, code: results.ResultCode) -> None:
        """Refuses all waiting attempts with the given code."""
        waiters = self.waiters
        self.waiters = {}
        for key, waiter in waiters.items():
            waiter.set(items.Refusal(*key, code, 0.0))

    def refresh(self) -> None:
        """Passes the upstreams to the scheduler if they may have changed."""
        changed = self.members.changed()
        if changed is not None:
            self.scheduler.set_upstreams(changed)
