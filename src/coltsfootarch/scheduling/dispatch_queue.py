"""Queue of requests that wait for room at decode engines.

Answers bursts above the engines' capacity. A request that can still meet its
objective goes first; the others follow in order of arrival, as their answers
are worth the same whenever they come. A request that comes back after a
refusal is late already, and takes room only while no newer one waits for it on
any host.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent.event

from coltsfootarch.scheduling import engine_placement

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.scheduling import backlog as backlogs
    from coltsfootarch.scheduling import load_view

# Time from a placement to the first event on an idle fleet: reading the prompt,
# moving its KV cache and generating the first tokens, in seconds.
SERVICE_TIME_S = 0.25
# Interval at which a request looks for room though no change was reported: what
# a silent peer reported last is forgotten after a second.
RECHECK_S = 0.25


class Waiter:
    """A request that waits.

    Args:
        service: Its service.
        demand: What it needs.
        excluded: Engines that failed it.
        priority: Rank; 0 is the most urgent.
        arrived_at: Instant of its arrival, in seconds.
        due_at: Instant at which its first event is due, in seconds.
        returned: Whether it comes back after a refusal.
    """

    def __init__(
        self,
        service: policy.Service,
        demand: engine_placement.Demand,
        excluded: frozenset[str],
        priority: int,
        arrived_at: float,
        due_at: float,
        returned: bool = False,
    ) -> None:
        self.service = service
        self.returned = returned
        self.demand = demand
        self.excluded = excluded
        self.priority = priority
        self.arrived_at = arrived_at
        self.due_at = due_at
        self.placement: engine_placement.Placement | None = None
        self.woken = gevent.event.Event()

    def rank(self, now: float) -> tuple[bool, int, float]:
        """Returns the place in the queue; lower goes first."""
        late = self.returned or now + SERVICE_TIME_S > self.due_at
        return (late, self.priority, self.arrived_at)


class DispatchQueue:
    """Places requests on engines, in order while there's no room.

    Args:
        placer: Chooses engines.
        loads: Work in progress; a change of it may make room.
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
        """Returns engines with reserved room, None if there's none in time.

        The caller releases the room with `release`.

        Args:
            waiter: The request.
            timeout_s: Longest wait in seconds.
        """
        self.waiters.append(waiter)
        self.place_waiting()
        if waiter.placement is not None or timeout_s <= 0:
            self.withdraw(waiter)
            return waiter.placement
        deadline = self.clock.monotonic() + timeout_s
        if not waiter.returned:
            self.backlog.enter(waiter.service.name)
        try:
            while not waiter.woken.is_set():
                left = deadline - self.clock.monotonic()
                if left <= 0:
                    break
                if not waiter.woken.wait(min(left, RECHECK_S)):
                    self.place_waiting()
        finally:
            if not waiter.returned:
                self.backlog.leave(waiter.service.name)
            self.withdraw(waiter)
        return waiter.placement

    def withdraw(self, waiter: Waiter) -> None:
        """Takes a request out of the queue."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def expected_wait(self, service: str) -> float:
        """Returns the seconds that a request which arrives now waits."""
        return self.backlog.expected_wait(service, self.running(service))

    def running(self, service: str) -> int:
        """Returns how many requests run at decode engines, over all hosts."""
        return sum(
            self.loads.load(engine.id).requests
            for engine in self.placer.decode_engines(service)
        )

    def demand(self, service: str) -> int:
        """Returns how many requests run or wait, over all hosts."""
        return self.running(service) + self.backlog.total(service)

    def reserve(self, placement: engine_placement.Placement) -> None:
        """Takes the room of a request."""
        self.loads.add(placement.decode.id, placement.demand.memory_tokens)
        if placement.prefill is None:
            key = engine_placement.reading_key(placement.decode)
            self.loads.add(key, placement.demand.prompt_tokens)

    def release(
        self, placement: engine_placement.Placement, prompt_read: bool
    ) -> None:
        """Frees the room of a request.

        Args:
            placement: Where it ran.
            prompt_read: Whether `note_prompt_read` was called.
        """
        if not prompt_read:
            self.note_prompt_read(placement)
        self.loads.remove(placement.decode.id, placement.demand.memory_tokens)

    def note_prompt_read(self, placement: engine_placement.Placement) -> None:
        """Lets the decode engine read the prompt of another request."""
        if placement.prefill is None:
            key = engine_placement.reading_key(placement.decode)
            self.loads.remove(key, placement.demand.prompt_tokens)

    def place_waiting(self) -> None:
        """Places waiting requests as far as there's room."""
        if not self.waiters:
            return
        now = self.clock.monotonic()
        self.waiters.sort(key=lambda waiter: waiter.rank(now))
        for waiter in tuple(self.waiters):
            if waiter.returned and self.backlog.total(waiter.service.name):
                continue
            placement = self.placer.place(
                waiter.service, waiter.demand, waiter.excluded
            )
            if placement is None:
                continue
            self.reserve(placement)
            waiter.placement = placement
            self.waiters.remove(waiter)
            waiter.woken.set()

    def waiting(self, service: str) -> int:
        """Returns how many requests wait for a service."""
        return sum(each.service.name == service for each in self.waiters)
