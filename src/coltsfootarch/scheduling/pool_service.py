"""Scheduling service for the pools whose home shards this host holds."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import results
from coltsfootarch.protocol import messages
from coltsfootarch.scheduling import items
from coltsfootarch.scheduling import pool
from coltsfootarch.scheduling import pool_members
from coltsfootarch.scheduling import pool_runner

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from coltsfootarch import clock as clocks
    from coltsfootarch.config import register
    from coltsfootarch.protocol import network as networks
    from coltsfootarch.zone import interfaces

# The scheduler refuses a request at its deadline. The caller's wait ends this
# much later, in case the scheduler's poll loop has stopped.
TIMEOUT_MARGIN_SECONDS = 0.25


class PoolKey(NamedTuple):
    """Identifies a pool by model service and scope."""

    service: str
    scope: str


class HeldPool(NamedTuple):
    """A pool that this host schedules.

    Attributes:
        shard: Home shard of the pool.
        epoch: Epoch of the shard lease under which it was started.
        runner: Runs its scheduler.
    """

    shard: int
    epoch: int
    runner: pool_runner.PoolRunner


class PoolService:
    """Answers schedule requests for pools whose home shard is held here.

    The daemon must call `tick()` at `next_wakeup()`; messages are handled in
    between.

    Args:
        clock: Clock of all instants.
        network: Network between hosts.
        leases: Shard leases of this host.
        current: Returns the register in force.
        home: Returns a pool's home by service and scope.
        availability_zone: Zone of this host.
        leaving: Returns the addresses that the host list reports as leaving.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        network: networks.PeerNetwork,
        leases: interfaces.Leases,
        current: Callable[[], register.Register],
        home: Callable[[str, str], pool_members.Home],
        availability_zone: str,
        leaving: Callable[[], Collection[str]],
    ) -> None:
        self.clock = clock
        self.network = network
        self.leases = leases
        self.current = current
        self.home = home
        self.availability_zone = availability_zone
        self.leaving = leaving
        self.held: dict[PoolKey, HeldPool] = {}

    def start(self) -> None:
        """Registers the message handlers."""
        self.network.register(
            messages.ScheduleRequest, self.handle_request, blocking=True
        )
        self.network.register(messages.ScheduleUpdate, self.handle_update)

    def close(self) -> None:
        """Stops all pools; entry hosts then look up the home again."""
        for key in list(self.held):
            self.stop_pool(key)

    def schedulers(self) -> list[pool.PoolScheduler]:
        """Returns the schedulers of pools whose lease is valid."""
        return [
            held.runner.scheduler
            for held in self.held.values()
            if self.is_valid(held)
        ]

    def tick(self) -> None:
        """Delivers due decisions and stops pools whose lease has ended."""
        for key, held in list(self.held.items()):
            if self.is_valid(held):
                held.runner.tick()
            else:
                self.stop_pool(key)

    def waiting(self) -> bool:
        """Returns whether any request waits for a decision."""
        return any(held.runner.waiters for held in self.held.values())

    def next_wakeup(self) -> float | None:
        """Returns when `tick()` is due, or None without pools."""
        return min(
            (
                held.runner.scheduler.next_wakeup()
                for held in self.held.values()
            ),
            default=None,
        )

    def handle_request(
        self, sender: messages.Sender, message: messages.ScheduleRequest
    ) -> messages.ScheduleReply:
        """Waits for the decision about a request and returns it."""
        return self.schedule(message)

    def handle_update(
        self, sender: messages.Sender, message: messages.ScheduleUpdate
    ) -> None:
        """Applies state changes of scheduled requests."""
        held = self.find_or_start(message.service, message.scope, message.shard)
        if held is not None:
            held.runner.apply(message.events)

    def schedule(
        self, message: messages.ScheduleRequest
    ) -> messages.ScheduleReply:
        """Decides about a request of this or another host; may block."""
        held = self.find_or_start(message.service, message.scope, message.shard)
        if held is None:
            return refuse(message, results.NOT_HOME)
        item = self.work_item(message)
        timeout = datetime.timedelta(
            seconds=message.first_token_within + TIMEOUT_MARGIN_SECONDS
        )
        decision = held.runner.decide(item, timeout)
        # The host may have been paused while the request waited. An assignment
        # made after the lease expired would compete for capacity with those of
        # the new holder.
        if not self.is_valid(held):
            self.stop_pool(PoolKey(message.service, message.scope))
            return refuse(message, results.NOT_HOME)
        return reply(decision)

    def find_or_start(
        self, service: str, scope: str, shard: int
    ) -> HeldPool | None:
        """Returns a pool whose home shard is held here, or None.

        The pool is started if needed.
        """
        key = PoolKey(service, scope)
        held = self.held.get(key)
        if held is not None and held.shard == shard and self.is_valid(held):
            return held
        if held is not None:
            self.stop_pool(key)
        current = self.current()
        epoch = self.leases.epoch(shard)
        if epoch is None or service not in current.services:
            return None
        home = self.home(service, scope)
        if (home.availability_zone, home.shard) != (
            self.availability_zone,
            shard,
        ):
            return None
        started = HeldPool(shard, epoch, self.new_runner(key))
        self.held[key] = started
        return started

    def new_runner(self, key: PoolKey) -> pool_runner.PoolRunner:
        """Returns a runner for a pool that has no upstreams yet."""
        members = pool_members.PoolMembers(
            self.current, key.service, key.scope, self.leaving, self.clock
        )
        scheduler = pool.PoolScheduler(
            self.clock, self.current().services[key.service], ()
        )
        return pool_runner.PoolRunner(scheduler, members)

    def is_valid(self, held: HeldPool) -> bool:
        """Returns whether the lease of a pool is still held."""
        return self.leases.epoch(held.shard) == held.epoch

    def stop_pool(self, key: PoolKey) -> None:
        """Stops a pool; its waiting requests are refused with `NOT_HOME`."""
        held = self.held.pop(key, None)
        if held is not None:
            held.runner.stop(results.NOT_HOME)

    def work_item(self, message: messages.ScheduleRequest) -> items.WorkItem:
        """Returns the work item that a message describes."""
        account = self.current().client_accounts.get(message.account)
        return items.WorkItem(
            request_id=message.request_id,
            attempt=message.attempt,
            account=message.account,
            prompt_tokens=message.prompt_tokens,
            max_output_tokens=message.max_output_tokens,
            deadline=self.clock.monotonic() + message.first_token_within,
            prefix_digests=tuple(message.prefix_digests),
            digest=message.digest,
            priority=message.priority,
            excluded=frozenset(message.excluded),
            weight=account.weight if account is not None else 1.0,
        )


def reply(decision: items.Decision) -> messages.ScheduleReply:
    """Returns the message for a decision."""
    if isinstance(decision, items.Assignment):
        return messages.ScheduleReply(*decision, refusal=0, retry_after=0.0)
    return messages.ScheduleReply(
        decision.request_id,
        decision.attempt,
        prefill="",
        decode="",
        refusal=decision.code.number,
        retry_after=decision.retry_after,
    )


def refuse(
    message: messages.ScheduleRequest, code: results.ResultCode
) -> messages.ScheduleReply:
    """Returns a refusal of a request."""
    return reply(items.Refusal(message.request_id, message.attempt, code, 0.0))
