"""Work on claims that is left for the background."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootarch.idempotency import claims
    from coltsfootarch.idempotency import rows

# A write that the store delays may still appear within this time; it is
# checked for at growing intervals.
ABANDONED_RETENTION = datetime.timedelta(minutes=10)
FIRST_RETRY = datetime.timedelta(seconds=1)
LAST_RETRY = datetime.timedelta(seconds=30)


class Abandoned:
    """A claim of this host that sent nothing and may be in the store."""

    def __init__(self, row_key: str, now: float) -> None:
        self.row_key = row_key
        self.until = now + ABANDONED_RETENTION.total_seconds()
        self.pause = FIRST_RETRY
        self.retry_at = now

    def postpone(self, now: float) -> None:
        """Sets the next check, later each time."""
        self.retry_at = now + self.pause.total_seconds()
        self.pause = min(self.pause * 2, LAST_RETRY)


class Pending:
    """An outcome that could not be recorded yet."""

    def __init__(
        self, claim: claims.Claim, outcome: rows.Outcome, now: float
    ) -> None:
        self.claim = claim
        self.outcome = outcome
        self.pause = FIRST_RETRY
        self.retry_at = now + self.pause.total_seconds()

    def postpone(self, now: float) -> None:
        """Sets the next attempt, later each time."""
        self.pause = min(self.pause * 2, LAST_RETRY)
        self.retry_at = now + self.pause.total_seconds()
