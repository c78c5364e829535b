"""Clock for single-threaded simulations of many waiting greenlets."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

import greenlet  # type: ignore[import-untyped]

from coltsfootarch import clock

if TYPE_CHECKING:
    import datetime
    from collections.abc import Callable


class SteppedClock(clock.ManualClock):
    """Manual clock whose sleepers run in the order of their wake-up times."""

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
        """Has a greenlet resumed at an instant."""
        heapq.heappush(self.sleepers, (elapsed, next(self.sequence), sleeper))

    def spawn(self, elapsed: float, call: Callable[[], None]) -> None:
        """Has `call` run in a greenlet of its own at an instant."""
        self.wake_at(elapsed, greenlet.greenlet(call, self.driver))

    def run(self, until: float) -> None:
        """Runs all greenlets up to an instant in elapsed seconds."""
        while self.sleepers and self.sleepers[0][0] <= until:
            elapsed, _, sleeper = heapq.heappop(self.sleepers)
            self.elapsed = max(self.elapsed, elapsed)
            sleeper.switch()
        self.elapsed = until
