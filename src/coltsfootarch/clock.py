"""Clock interface, system clock and manual clock."""

from __future__ import annotations

import datetime
import time
from typing import Protocol

import gevent


class Clock(Protocol):
    """Source of time; components read only the clock that they are given."""

    def monotonic(self) -> float:
        """Returns a monotonic time in seconds that includes suspended time."""

    def now(self) -> datetime.datetime:
        """Returns the current UTC date and time, timezone-aware."""

    def sleep(self, duration: datetime.timedelta) -> None:
        """Blocks the calling greenlet for `duration`."""


class SystemClock:
    """Clock of the operating system.

    Reads CLOCK_BOOTTIME, which advances while the machine is suspended, so that
    leases which expired meanwhile count as expired after a resume.
    """

    def monotonic(self) -> float:
        """Returns seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Returns the current UTC date and time, timezone-aware."""
        return datetime.datetime.now(datetime.UTC)

    def sleep(self, duration: datetime.timedelta) -> None:
        """Blocks the calling greenlet for `duration`; other greenlets run."""
        gevent.sleep(duration.total_seconds())


class ManualClock:
    """Clock for tests and benchmarks; only `advance` and `sleep` move it.

    Args:
        start: Initial date and time; 2026-01-01 UTC when omitted.
    """

    def __init__(self, start: datetime.datetime | None = None) -> None:
        self.started_at = start or datetime.datetime(
            2026, 1, 1, tzinfo=datetime.UTC
        )
        self.elapsed = 0.0

    def monotonic(self) -> float:
        """Returns 1000 plus the seconds advanced so far."""
        return 1000.0 + self.elapsed

    def now(self) -> datetime.datetime:
        """Returns the start date plus the time advanced so far."""
        return self.started_at + datetime.timedelta(seconds=self.elapsed)

    def sleep(self, duration: datetime.timedelta) -> None:
        """Advances the clock by `duration` and yields to other greenlets."""
        self.advance(duration)
        gevent.sleep(0)

    def advance(self, duration: datetime.timedelta) -> None:
        """Moves the clock forward by `duration`.

        Raises:
            ValueError: `duration` is negative.
        """
        if duration < datetime.timedelta(0):
            raise ValueError("a clock can't be advanced by a negative duration")
        self.elapsed += duration.total_seconds()
