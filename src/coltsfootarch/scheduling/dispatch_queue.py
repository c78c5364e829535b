"""Queue of requests that wait for capacity on decode engines.

It handles bursts above the engines' capacity. Requests that can still meet
their objective are placed first. The others follow in order of arrival, since
further delay does not reduce the value of their answers. A retry after a
refusal has already missed its objective; it is placed only while no newer
request waits for the service on any host.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent.event

from coltsfootarch.scheduling import engine_placement

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.scheduling import backlog as backlogs
    from coltsfootarch.scheduling import load_view

# Time from a placement to the first event on an idle fleet, in seconds: prefill
# of the prompt, transfer of its KV cache and generation of the first tokens.
UNLOADED_FIRST_EVENT_S = 0.25
# Interval at which a waiting request tries placement again even without a
# reported change: the last report of a silent peer expires after a second.
RECHECK_S = 0.25


class Waiter:
    """A waiting request.

    Args:
        service: Its service.
        demand: Resources that it needs.
        excluded: Ids of engines on which it failed.
        priority: Priority; 0 is the most urgent.
        arrived_at: Instant of its arrival, in seconds.
        due_at: Instant at which its first event is due, in seconds.
        is_retry: Whether it is a retry after a refusal.

    Attributes:
        placement: Engines reserved for it, None until then.
        wake_event: Set when it was placed or its wait is to be interrupted.
    """

    def __init__(
        self,
        service: policy.Service,
        demand: engine_placement.Demand,
        excluded: frozenset[str],
        priority: int,
        arrived_at: float,
        due_at: float,
        is_retry: bool = False,
    ) -> None:
        self.service = service
        self.is_retry = is_retry
        self.demand = demand
        self.excluded = excluded
        self.priority = priority
        self.arrived_at = arrived_at
        self.due_at = due_at
        self.placement: engine_placement.Placement | None = None
        self.wake_event = gevent.event.Event()

    @property
    def is_counted(self) -> bool:
        """Whether it counts as waiting for all hosts."""
        return not self.is_retry

    def exclusions(self) -> Collection[str]:
        """Returns the ids of engines on which it can't be placed now."""
        return self.excluded

    def rank(self, now: float) -> tuple[bool, int, float]:
        """Returns the sort key in the queue; lower values go first."""
        is_late = self.is_retry or now + UNLOADED_FIRST_EVENT_S > self.due_at
        return (is_late, self.priority, self.arrived_at)


class RunningWaiter(Waiter):
    """A request that runs at an engine and waits for another one.

    It isn't counted as waiting, since it is part of its engine's load.

    Args:
        service: Its service.
        demand: Resources that it needs.
        find_exclusions: Returns the ids of engines on which it can't be placed
            at present.
        priority: Priority; 0 is the most urgent.
        arrived_at: Instant of its arrival, in seconds.
        due_at: Instant at which its first event was due, in seconds.
    """

    def __init__(
        self,
        service: policy.Service,
        demand: engine_placement.Demand,
        find_exclusions: Callable[[], Collection[str]],
        priority: int,
        arrived_at: float,
        due_at: float,
    ) -> None:
        super().__init__(
            service, demand, frozenset(), priority, arrived_at, due_at
        )
        self.find_exclusions = find_exclusions

    @property
    def is_counted(self) -> bool:
        """Whether it counts as waiting for all hosts."""
        return False

    def exclusions(self) -> Collection[str]:
        """Returns the ids of engines on which it can't be placed now."""
        return self.find_exclusions()


class DispatchQueue:
    """Places requests on engines and queues them while there is no capacity.

    Args:
        placer: Chooses engines.
        loads: Load of the engines; a change may free capacity.
        backlog: Waiting requests of all hosts.
        clock: Source of time.
    """

    def __init__(
        self,
        placer: engine_placement.EnginePlacer,
        loads: load_view.LoadView,
        backlog: backlogs.Backlog,
        clock: clocks.Clock,
    ) -> None:
        self.placer = placer
        self.loads = loads
        self.backlog = backlog
        self.clock = clock
        self.waiters: list[Waiter] = []
        loads.on_change.append(self.place_waiting)
        backlog.on_change.append(self.place_waiting)

    def acquire(
        self, waiter: Waiter, timeout_s: float
    ) -> engine_placement.Placement | None:
        """Returns engines with reserved capacity, None if none is free in time.

        The caller must free the capacity with `release`.

        Args:
            waiter: The request.
            timeout_s: Maximum wait in seconds.
        """
        self.waiters.append(waiter)
        self.place_waiting()
        if waiter.placement is not None or timeout_s <= 0:
            self.withdraw(waiter)
            return waiter.placement
        deadline = self.clock.monotonic() + timeout_s
        if waiter.is_counted:
            self.backlog.add_waiting(waiter.service.name)
        try:
            while not waiter.wake_event.is_set():
                remaining_s = deadline - self.clock.monotonic()
                if remaining_s <= 0:
                    break
                if not waiter.wake_event.wait(min(remaining_s, RECHECK_S)):
                    self.place_waiting()
        finally:
            if waiter.is_counted:
                self.backlog.remove_waiting(waiter.service.name)
            self.withdraw(waiter)
        return waiter.placement

    def withdraw(self, waiter: Waiter) -> None:
        """Removes a request from the queue."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def expected_wait(self, service: str) -> float:
        """Returns the expected wait of a request arriving now, in seconds."""
        return self.backlog.expected_wait(service, self.running(service))

    def running(self, service: str) -> int:
        """Returns how many requests of all hosts run on decode engines."""
        return sum(
            self.loads.load(engine.id).requests
            for engine in self.placer.decode_engines(service)
        )

    def demand(self, service: str) -> int:
        """Returns how many requests of all hosts run or wait."""
        return self.running(service) + self.backlog.total(service)

    def reserve(self, placement: engine_placement.Placement) -> None:
        """Reserves the capacity for a request."""
        self.loads.add(placement.decode.id, placement.demand.memory_tokens)
        if placement.prefill is None:
            key = engine_placement.local_prefill_key(placement.decode)
            self.loads.add(key, placement.demand.prompt_tokens)

    def prefill_locally(
        self, placement: engine_placement.Placement
    ) -> engine_placement.Placement:
        """Lets the decode engine of a placement prefill the prompt as well.

        Returns:
            The placement to release instead of this one.
        """
        key = engine_placement.local_prefill_key(placement.decode)
        self.loads.add(key, placement.demand.prompt_tokens)
        return placement._replace(prefill=None)

    def release(
        self, placement: engine_placement.Placement, prompt_prefilled: bool
    ) -> None:
        """Releases the capacity of a request.

        Args:
            placement: Its placement.
            prompt_prefilled: Whether `finish_local_prefill` was called for it.
        """
        if not prompt_prefilled:
            self.finish_local_prefill(placement)
        self.loads.remove(placement.decode.id, placement.demand.memory_tokens)

    def finish_local_prefill(
        self, placement: engine_placement.Placement
    ) -> None:
        """Records that the prompt was prefilled.

        A decode engine that did so may then prefill another prompt.
        """
        if placement.prefill is None:
            key = engine_placement.local_prefill_key(placement.decode)
            self.loads.remove(key, placement.demand.prompt_tokens)

    def place_waiting(self) -> None:
        """Places waiting requests as far as there is capacity."""
        if not self.waiters:
            return
        now = self.clock.monotonic()
        self.waiters.sort(key=lambda waiter: waiter.rank(now))
        for waiter in tuple(self.waiters):
            if waiter.is_retry and self.backlog.total(waiter.service.name):
                continue
            placement = self.placer.place(
                waiter.service, waiter.demand, waiter.exclusions()
            )
            if placement is None:
                continue
            self.reserve(placement)
            waiter.placement = placement
            self.waiters.remove(waiter)
            waiter.wake_event.set()

    def waiting(self, service: str) -> int:
        """Returns how many requests of this host wait for a service."""
        return sum(each.service.name == service for each in self.waiters)
