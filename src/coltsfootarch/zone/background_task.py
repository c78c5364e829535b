"""Background tasks of which at most one run is active at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import structlog

from coltsfootarch import errors

if TYPE_CHECKING:
    from collections.abc import Callable

log = structlog.get_logger(__name__)


class BackgroundTask:
    """A repeated call that may wait for the store or for peers.

    Args:
        name: Name in the log.
        function: Function to call.
        spawn: Runs a function in the background, usually `gevent.spawn`.
        quiet: Whether platform errors are logged at debug level only, because
            another task logs them too.

    Attributes:
        running: Whether a run is active.
        failures: Number of runs that ended with an error.
        failing: Whether the last run ended with an error.
    """

    def __init__(
        self,
        name: str,
        function: Callable[[], None],
        spawn: Callable[[Callable[[], None]], Any],
        quiet: bool = False,
    ) -> None:
        self.name = name
        self.function = function
        self.spawn = spawn
        self.quiet = quiet
        self.running = False
        self.failures = 0
        self.failing = False

    def start(self) -> bool:
        """Starts a run unless one is still active.

        Returns:
            Whether a run was started.
        """
        if self.running:
            return False
        self.running = True
        self.spawn(self.run)
        return True

    def run(self) -> None:
        """Calls the function; logs its first failure and its recovery."""
        try:
            self.function()
        except errors.ColtsfootarchError as error:
            self.report(error)
            self.record_failure()
        except Exception:
            # Not raised: the next tick starts the task again.
            log.exception("background task failed", name=self.name)
            self.record_failure()
        else:
            if self.failing and not self.quiet:
                log.info("background task recovered", name=self.name)
            self.failing = False
        finally:
            self.running = False

    def report(self, error: errors.ColtsfootarchError) -> None:
        """Logs the first of consecutive errors."""
        if self.quiet:
            log.debug(
                "background task failed", name=self.name, code=error.code.name
            )
        elif not self.failing:
            log.warning(
                "background task failing", name=self.name, code=error.code.name
            )

    def record_failure(self) -> None:
        """Records a failed run."""
        self.failures += 1
        self.failing = True
