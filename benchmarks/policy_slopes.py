"""Processor time and memory of a pool scheduler by pool size."""

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
DECISIONS = 3000
ACCOUNTS = 200
LOAD = 0.8


class SlopeRow(NamedTuple):
    """Cost of one pool.

    Attributes:
        engines: Engines in the pool.
        microseconds: Processor time per request with all of its events.
        kilobytes: Memory of the scheduler at the end of the run.
    """

    engines: int
    microseconds: float
    kilobytes: float


class Drive:
    """Sends requests through a scheduler and ends them on time."""

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

    def run(self, decisions: int) -> None:
        """Runs a number of requests."""
        for number in range(decisions):
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
        found = self.scheduler.poll()
        for decision in found:
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
        if found:
            self.events.sort(key=lambda entry: -entry[0])


def measure(engines: int) -> SlopeRow:
    """Returns the cost of a pool with this many engines."""
    drive = Drive(engines)
    started = time.process_time()
    drive.run(DECISIONS)
    seconds = time.process_time() - started
    gc.collect()
    tracemalloc.start()
    drive = Drive(engines)
    drive.run(DECISIONS)
    drive.events.clear()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return SlopeRow(engines, seconds / DECISIONS * 1e6, size / 1024)


def run(sizes: Sequence[int] = POOL_SIZES) -> list[SlopeRow]:
    """Returns the cost at each pool size."""
    return [measure(size) for size in sizes]


def print_rows(rows: Sequence[SlopeRow]) -> None:
    """Prints the table of slopes."""
    print("engines  us/request  memory KB")
    for row in rows:
        print(f"{row.engines:7} {row.microseconds:11.0f} {row.kilobytes:10.0f}")
