"""Periodic tasks of the daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import structlog

from coltsfootarch.observability import metrics

if TYPE_CHECKING:
    import datetime
    from collections.abc import Callable

    from coltsfootarch import clock

logger = structlog.get_logger(__name__)


class PeriodicTask:
    """Calls a function again and again; an error in it is logged and counted.

    Args:
        name: Name in logs.
        interval: Pause between two calls.
        function: What to call.
        clock: Source of time.
        metrics: Where failures are counted.
    """

    def __init__(
        self,
        name: str,
        interval: datetime.timedelta,
        function: Callable[[], object],
        clock: clock.Clock,
        metrics: metrics.Metrics,
    ) -> None:
        self.name = name
        self.interval = interval
        self.function = function
        self.clock = clock
        self.metrics = metrics
        self.pause: Callable[[], datetime.timedelta] = lambda: interval
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the task in a greenlet of its own."""
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Ends the task at its next wait."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.greenlet = None

    def run(self) -> None:
        """Calls the function until the task is closed."""
        while True:
            self.call()
            self.clock.sleep(self.pause())

    def call(self) -> None:
        """Calls the function once."""
        try:
            self.function()
        except Exception:
            self.metrics.increment(metrics.TICK_FAILURES, suffix=self.name)
            logger.exception("periodic task failed", task=self.name)
