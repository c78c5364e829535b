"""Determines when a host that has started may serve requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch import results

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.config import tracker

RETRY_SECONDS = 1.0


class Readiness:
    """Prevents a starting host from serving with an outdated configuration.

    An edit counts as accepted when every host with a session has it. A host
    that read its configuration before its session was written could miss an
    edit that was accepted in between. It therefore confirms the configuration
    once more after its session is written.

    Args:
        config_tracker: Configuration in force on this host.
        is_awaited_by_edits: Returns whether this host's session is written, or
            can't be written because the table service is unreachable.

    Attributes:
        ready: Whether this host may serve requests.
    """

    def __init__(
        self,
        config_tracker: tracker.ConfigTracker,
        is_awaited_by_edits: Callable[[], bool],
    ) -> None:
        self.config_tracker = config_tracker
        self.is_awaited_by_edits = is_awaited_by_edits
        self.ready = False

    def tick(self) -> None:
        """Confirms the configuration once the session is written."""
        if self.ready or not self.is_awaited_by_edits():
            return
        # The tracker loads the first version. A poll here would postpone its
        # next poll, after which it queries zone peers.
        if self.config_tracker.version == 0:
            return
        confirmed = self.config_tracker.confirm()
        # While the table service is unreachable, no edit can be committed from
        # here, and the version of a zone peer is the newest that this host can
        # get.
        unreachable = not confirmed and self.config_tracker.failed_polls > 0
        self.ready = confirmed or unreachable

    def check(self) -> None:
        """Checks that this host may serve requests.

        Raises:
            RefusedError: NO_CONFIGURATION; it may not serve yet.
        """
        if not self.ready:
            raise errors.RefusedError(
                results.NO_CONFIGURATION, retry_after=RETRY_SECONDS
            )
