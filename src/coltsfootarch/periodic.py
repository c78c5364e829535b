"""Periodic background tasks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
import structlog

if TYPE_CHECKING:
    import datetime
    from collections.abc import Callable

    from coltsfootarch import clock

logger = structlog.get_logger(__name__)


class PeriodicTask:
    """Calls a function repeatedly; logs its errors and continues.

    Args:
        name: Name of the task in logs.
        interval: Time from the end of a call to the start of the next one.
        function: Function to call.
        clock: Clock to sleep on.
        on_failure: Called with the task's name when the function raised an
            error, to count failures.

    Attributes:
        pause: Returns the time to wait before the next call; `interval`
            unless it is replaced.
    """

    def __init__(
        self,
        name: str,
        interval: datetime.timedelta,
        function: Callable[[], object],
        clock: clock.Clock,
        on_failure: Callable[[str], object] = lambda name: None,
    ) -> None:
        self.name = name
        self.interval = interval
        self.function = function
        self.clock = clock
        self.on_failure = on_failure
        self.pause: Callable[[], datetime.timedelta] = lambda: interval
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the task in a new greenlet."""
        self.greenlet = gevent.spawn(self.run)

    def close(self) -> None:
        """Stops the task when it next waits."""
        if self.greenlet is not None:
            self.greenlet.kill()
            self.greenlet = None

    def run(self) -> None:
        """Calls the function periodically until the task is closed."""
        while True:
            self.call()
            self.clock.sleep(self.pause())

    def call(self) -> None:
        """Calls the function once; logs and reports an error in it."""
        try:
            self.function()
        except Exception:
            self.on_failure(self.name)
            logger.exception("periodic task failed", task=self.name)
