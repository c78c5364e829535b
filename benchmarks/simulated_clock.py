"""Simulated clock for single-threaded simulations with many greenlets."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

import greenlet  # type: ignore[import-untyped]

from coltsfootarch import clock

if TYPE_CHECKING:
    import datetime
    from collections.abc import Callable


class SimulatedClock(clock.ManualClock):
    """Manual clock that resumes sleeping greenlets in order of wake-up time.

    Attributes:
        sleepers: Heap of wake-up time in elapsed seconds, tie-breaker and
            greenlet.
        driver: Greenlet that calls `run`.
    """

    def __init__(self) -> None:
        super().__init__()
        self.sequence = itertools.count()
        self.sleepers: list[tuple[float, int, greenlet.greenlet]] = []
        self.driver = greenlet.getcurrent()

    def sleep(self, duration: datetime.timedelta) -> None:
        """Lets other greenlets run until `duration` has passed."""
        self.wake_at(
            self.elapsed + duration.total_seconds(), greenlet.getcurrent()
        )
        self.driver.switch()

    def wake_at(self, elapsed: float, sleeper: greenlet.greenlet) -> None:
        """Schedules the resumption of a greenlet, in elapsed seconds."""
        heapq.heappush(self.sleepers, (elapsed, next(self.sequence), sleeper))

    def spawn(self, elapsed: float, call: Callable[[], None]) -> None:
        """Schedules `call` in a new greenlet, in elapsed seconds."""
        self.wake_at(elapsed, greenlet.greenlet(call, self.driver))

    def run(self, until: float) -> None:
        """Resumes all greenlets due up to an instant in elapsed seconds."""
        while self.sleepers and self.sleepers[0][0] <= until:
            elapsed, _, sleeper = heapq.heappop(self.sleepers)
            self.elapsed = max(self.elapsed, elapsed)
            sleeper.switch()
        self.elapsed = until
