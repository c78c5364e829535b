"""State of store writes that are retried in the background."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootarch.idempotency import claims
    from coltsfootarch.idempotency import rows

# A claim whose write the store delayed may still appear within this time after
# the attempt was abandoned. The store is checked for it at growing intervals.
ABANDONED_CHECK_PERIOD = datetime.timedelta(minutes=10)
FIRST_RETRY_DELAY = datetime.timedelta(seconds=1)
MAX_RETRY_DELAY = datetime.timedelta(seconds=30)


class AbandonedClaim:
    """A claim to delete: nothing was sent under it, but it may be stored.

    Attributes:
        check_until: Monotonic seconds; the store is checked until then.
        retry_at: Monotonic seconds of the next check.
    """

    def __init__(self, row_key: str, now: float) -> None:
        self.row_key = row_key
        self.check_until = now + ABANDONED_CHECK_PERIOD.total_seconds()
        self.retry_delay = FIRST_RETRY_DELAY
        self.retry_at = now

    def postpone(self, now: float) -> None:
        """Schedules the next check, with a longer delay each time."""
        self.retry_at = now + self.retry_delay.total_seconds()
        self.retry_delay = min(self.retry_delay * 2, MAX_RETRY_DELAY)


class PendingOutcome:
    """An outcome whose write to the store is to be retried.

    Attributes:
        retry_at: Monotonic seconds of the next attempt.
    """

    def __init__(
        self, claim: claims.Claim, outcome: rows.Outcome, now: float
    ) -> None:
        self.claim = claim
        self.outcome = outcome
        self.retry_delay = FIRST_RETRY_DELAY
        self.retry_at = now + self.retry_delay.total_seconds()

    def postpone(self, now: float) -> None:
        """Schedules the next attempt, with a longer delay each time."""
        self.retry_delay = min(self.retry_delay * 2, MAX_RETRY_DELAY)
        self.retry_at = now + self.retry_delay.total_seconds()
