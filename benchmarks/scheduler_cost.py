"""Measures processor time and memory of a pool scheduler by pool size."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from typing import TYPE_CHECKING
from typing import NamedTuple

from benchmarks import policy_workload
from coltsfootarch import clock as clocks
from coltsfootarch.protocol import messages
from coltsfootarch.scheduling import items
from coltsfootarch.scheduling import pool

if TYPE_CHECKING:
    from collections.abc import Sequence

POOL_SIZES = (8, 24, 72)
PREFILL_SHARE = 0.4
REQUESTS = 3000
ACCOUNTS = 200
LOAD = 0.8


class SchedulerCost(NamedTuple):
    """Cost of the scheduler of one pool.

    Attributes:
        engines: Engines in the pool.
        microseconds: Processor time per request, with its schedule events.
        kilobytes: Memory of the scheduler at the end of the run.
    """

    engines: int
    microseconds: float
    kilobytes: float


class SchedulerLoad:
    """Submits requests to a scheduler and reports their progress to it.

    Args:
        engines: Engines in the pool.

    Attributes:
        interval: Seconds between two requests.
        events: Instant and event of the progress to report, latest first.
    """

    def __init__(self, engines: int) -> None:
        self.clock = clocks.ManualClock()
        prefills = max(1, round(engines * PREFILL_SHARE))
        upstreams = policy_workload.upstreams(prefills, engines - prefills, 3)
        self.scheduler = pool.PoolScheduler(
            self.clock, policy_workload.SERVICE, upstreams
        )
        site = policy_workload.PRAIRIE._replace(
            prefills=prefills, decodes=engines - prefills
        )
        self.interval = 1 / (LOAD * policy_workload.capacity(site))
        self.generator = random.Random(engines)
        self.events: list[tuple[float, messages.ScheduleEvent]] = []

    def run(self, requests: int) -> None:
        """Submits so many requests."""
        for number in range(requests):
            self.clock.elapsed += self.interval
            self._apply_due()
            prompt, _ = policy_workload.draw_sizes(
                policy_workload.PRAIRIE, self.generator
            )
            item = items.WorkItem(
                request_id=f"{number}",
                attempt=1,
                account=f"account-{number % ACCOUNTS}",
                prompt_tokens=prompt,
                max_output_tokens=policy_workload.LONGEST_OUTPUT,
                deadline=self.clock.monotonic() + 1.4,
            )
            self.scheduler.submit(item)
            self._poll()

    def _apply_due(self) -> None:
        now = self.clock.monotonic()
        while self.events and self.events[-1][0] <= now:
            self.scheduler.apply(self.events.pop()[1])
            self._poll()

    def _poll(self) -> None:
        now = self.clock.monotonic()
        decisions = self.scheduler.poll()
        for decision in decisions:
            if isinstance(decision, items.Refusal):
                continue
            steps = (
                ("prefilled", decision.prefill, 0.16, 0),
                ("transferred", decision.decode, 0.3, 1),
                ("finished", decision.decode, 4.5, 100),
            )
            for step, upstream, delay, tokens in steps:
                event = messages.ScheduleEvent(
                    decision.request_id, 1, step, upstream, tokens
                )
                self.events.append((now + delay, event))
        if decisions:
            self.events.sort(key=lambda entry: -entry[0])


def measure(engines: int) -> SchedulerCost:
    """Returns the cost of the scheduler of a pool with so many engines."""
    load = SchedulerLoad(engines)
    started = time.process_time()
    load.run(REQUESTS)
    seconds = time.process_time() - started
    gc.collect()
    tracemalloc.start()
    load = SchedulerLoad(engines)
    load.run(REQUESTS)
    load.events.clear()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return SchedulerCost(engines, seconds / REQUESTS * 1e6, size / 1024)


def run(sizes: Sequence[int] = POOL_SIZES) -> list[SchedulerCost]:
    """Returns the cost at each pool size."""
    return [measure(size) for size in sizes]


def print_rows(rows: Sequence[SchedulerCost]) -> None:
    """Prints the rows as a table."""
    print("engines  us/request  memory KB")
    for row in rows:
        print(f"{row.engines:7} {row.microseconds:11.0f} {row.kilobytes:10.0f}")
