"""Background calls that never run twice at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import structlog

from coltsfootarch import errors

if TYPE_CHECKING:
    from collections.abc import Callable

log = structlog.get_logger(__name__)


class Activity:
    """A call that may wait for the store or for peers.

    Args:
        name: Name in the log.
        function: What is called.
        spawn: Runs a function, usually `gevent.spawn`.
        quiet: Whether errors of the platform are logged for debugging only,
            because another activity reports them too.

    Attributes:
        failures: Calls that ended with an error.
        failing: Whether the last call ended with an error.
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
        """Starts the call unless the last one is still running.

        Returns:
            Whether it was started.
        """
        if self.running:
            return False
        self.running = True
        self.spawn(self.run)
        return True

    def run(self) -> None:
        """Calls the function; logs when it starts and stops failing."""
        try:
            self.function()
        except errors.ColtsfootarchError as error:
            self.report(error)
            self.note_failure()
        except Exception:
            # The next tick starts the activity again.
            log.exception("activity failed", name=self.name)
            self.note_failure()
        else:
            if self.failing and not self.quiet:
                log.info("activity works again", name=self.name)
            self.failing = False
        finally:
            self.running = False

    def report(self, error: errors.ColtsfootarchError) -> None:
        """Logs the first of a series of errors."""
        if self.quiet:
            log.debug("activity failed", name=self.name, code=error.code.name)
        elif not self.failing:
            log.warning(
                "activity failing", name=self.name, code=error.code.name
            )

    def note_failure(self) -> None:
        """Counts a failed call."""
        self.failures += 1
        self.failing = True
