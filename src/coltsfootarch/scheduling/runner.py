"""Runs a pool scheduler for callers that wait for its decisions."""

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
    from coltsfootarch.scheduling import pools


class PoolRunner:
    """Delivers the decisions of one scheduler to waiting greenlets.

    Args:
        scheduler: The scheduler.
        members: Upstreams of the pool.
    """

    def __init__(
        self,
        scheduler: pool.PoolScheduler,
        members: pools.PoolMembers,
    ) -> None:
        self.scheduler = scheduler
        self.members = members
        self.waiters: dict[items.AttemptKey, gevent_event.AsyncResult] = {}

    def decide(
        self, item: items.WorkItem, timeout: datetime.timedelta
    ) -> items.Decision:
        """Waits until the scheduler has decided about an attempt.

        Args:
            item: The attempt.
            timeout: Longest wait; the attempt is then refused as overloaded.
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
        """Applies steps and delivers the decisions that they allow."""
        for event in events:
            self.scheduler.apply(event)
        self.tick()

    def tick(self) -> None:
        """Takes over changed upstreams and delivers decisions that are due."""
        self.refresh()
        for decision in self.scheduler.poll():
            key = items.AttemptKey(decision.request_id, decision.attempt)
            waiter = self.waiters.pop(key, None)
            if waiter is not None:
                waiter.set(decision)

    def stop(self, code: results.ResultCode) -> None:
        """Refuses everything that waits."""
        waiters = self.waiters
        self.waiters = {}
        for key, waiter in waiters.items():
            waiter.set(items.Refusal(*key, code, 0.0))

    def refresh(self) -> None:
        """Passes changed upstreams to the scheduler."""
        changed = self.members.changed()
        if changed is not None:
            self.scheduler.set_upstreams(changed)
