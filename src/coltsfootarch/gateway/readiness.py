"""When a host that has started may serve."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch import results

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.config import tracker

RETRY_SECONDS = 1.0


class Readiness:
    """Keeps a host from serving with an outdated configuration at its start.

    An edit counts as accepted when every host with a session has it. A host
    that read its configuration before its session was written could miss an
    edit that was accepted in between, so it confirms once more afterwards.

    Args:
        config_tracker: Configuration in force on this host.
        is_announced: Returns whether the session is written, or can't be
            written because the table service is unreachable.
    """

    def __init__(
        self,
        config_tracker: tracker.ConfigTracker,
        is_announced: Callable[[], bool],
    ) -> None:
        self.config_tracker = config_tracker
        self.is_announced = is_announced
        self.ready = False

    def tick(self) -> None:
        """Confirms the configuration once the session is announced."""
        if self.ready or not self.is_announced():
            return
        # The tracker gets the first version; a poll here would put off its
        # question to zone peers.
        if self.config_tracker.version == 0:
            return
        confirmed = self.config_tracker.confirm()
        # Without the table service no edit can be committed from here; a
        # version of a zone peer is the newest that this host can know.
        unreachable = not confirmed and self.config_tracker.failed_polls > 0
        self.ready = confirmed or unreachable

    def check(self) -> None:
        """Raises a refusal while the host may not serve.

        Raises:
            RefusedError: Code NO_CONFIGURATION.
        """
        if not self.ready:
            raise errors.RefusedError(
                results.NO_CONFIGURATION, retry_after=RETRY_SECONDS
            )
