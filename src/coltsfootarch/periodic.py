"""Functions that are called again and again."""

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
    """Calls a function again and again; an error in it is logged.

    Args:
        name: Name in logs.
        interval: Pause between two calls.
        function: What to call.
        clock: Source of time.
        on_failure: Called with the name after a failure, to count it.
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
            self.on_failure(self.name)
            logger.exception("periodic task failed", task=self.name)
