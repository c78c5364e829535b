"""Clock interface and its implementations."""

from __future__ import annotations

import datetime
import time
from typing import Protocol

import gevent


class Clock(Protocol):
    """Source of time; components receive one and read no other clock."""

    def monotonic(self) -> float:
        """Returns an instant in seconds; suspended time counts."""

    def now(self) -> datetime.datetime:
        """Returns the timezone-aware UTC date and time."""

    def sleep(self, duration: datetime.timedelta) -> None:
        """Blocks the calling greenlet for `duration`."""


class SystemClock:
    """Clock of the operating system.

    Reads CLOCK_BOOTTIME, so that a suspended machine sees its leases as lapsed
    when it resumes.
    """

    def monotonic(self) -> float:
        """Returns seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        """Returns the timezone-aware UTC date and time."""
        return datetime.datetime.now(datetime.UTC)

    def sleep(self, duration: datetime.timedelta) -> None:
        """Blocks the calling greenlet for `duration`; others run meanwhile."""
        gevent.sleep(duration.total_seconds())


class ManualClock:
    """Clock that moves only when told to; for tests and benchmarks.

    Args:
        start: First date and time; a fixed one when not given.
    """

    def __init__(self, start: datetime.datetime | None = None) -> None:
        self.started_at = start or datetime.datetime(
            2026, 1, 1, tzinfo=datetime.UTC
        )
        self.elapsed = 0.0

    def monotonic(self) -> float:
        """Returns seconds advanced so far, from an origin of 1000."""
        return 1000.0 + self.elapsed

    def now(self) -> datetime.datetime:
        """Returns the start date plus the time advanced so far."""
        return self.started_at + datetime.timedelta(seconds=self.elapsed)

    def sleep(self, duration: datetime.timedelta) -> None:
        """Advances the clock by `duration` and yields to other greenlets."""
        self.advance(duration)
        gevent.sleep(0)

    def advance(self, duration: datetime.timedelta) -> None:
        """Moves the clock forward.

        Args:
            duration: How far; must not be negative.

        Raises:
            ValueError: The duration is negative.
        """
        if duration < datetime.timedelta(0):
            raise ValueError("a clock can't go back")
        self.elapsed += duration.total_seconds()
