"""Stores outcomes of claimed requests and reads them back.

Outcomes are part of the claim's row in the table service; bodies that are too
large for a row are in the object store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import structlog

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.idempotency import background
from coltsfootarch.idempotency import rows
from coltsfootarch.storage import tables as platform_tables

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.idempotency import claims
    from coltsfootarch.storage import objects as platform_objects

# Limit for the bodies of outcomes that wait in memory for a write. Above it the
# oldest outcome is dropped, and a retry of its request is then told that the
# request may have run.
MAX_PENDING_BYTES = 4 * 1024 * 1024


class OutcomeRecorder:
    """Writes outcomes, retries failed writes, and reads outcomes back.

    Args:
        tables: Table service.
        objects: Object store, for bodies that are too large for a row.
        clock: Source of time.

    Attributes:
        pending: Outcomes still to be written, by attempt id.
    """

    def __init__(
        self,
        tables: platform_tables.TableService,
        objects: platform_objects.ObjectStore,
        clock: clocks.Clock,
    ) -> None:
        self.tables = tables
        self.objects = objects
        self.clock = clock
        self.pending: dict[str, background.PendingOutcome] = {}
        self.log: Any = structlog.get_logger(__name__)

    def load(self, row: rows.ClaimRow) -> rows.Outcome:
        """Returns a recorded outcome with its body.

        Raises:
            RefusedError: IN_PROGRESS if the body can't be read from the
                object store, so that the caller retries.
        """
        outcome = row.outcome
        if outcome is not None and not row.object_key:
            return outcome
        body: bytes | None = None
        try:
            body = self.objects.get(row.object_key)
        except errors.ObjectStoreUnavailableError:
            self.log.warning("outcome_unreadable", attempt=row.attempt)
        if outcome is None or body is None:
            raise errors.RefusedError(
                results.IN_PROGRESS,
                "The outcome is recorded but can't be read now; retry with "
                "the same key.",
            )
        return outcome._replace(body=body)

    def record(self, claim: claims.Claim, outcome: rows.Outcome) -> bool:
        """Records an outcome; retries a failed write in the background.

        Args:
            claim: Claim under which the request was sent.
            outcome: The upstream's answer.

        Returns:
            Whether the outcome is already stored.
        """
        try:
            written = self.write(claim, outcome)
        except BaseException:
            # The caller disconnected or its key was withdrawn during the
            # write, which may not have been applied.
            self.record_later(claim, outcome)
            raise
        if not written:
            self.record_later(claim, outcome)
        return written

    def record_later(self, claim: claims.Claim, outcome: rows.Outcome) -> None:
        """Schedules a background write of an outcome."""
        self.pending[claim.row.attempt] = background.PendingOutcome(
            claim, outcome, self.clock.monotonic()
        )
        self.limit_pending()

    def limit_pending(self) -> None:
        """Drops the oldest outcomes above `MAX_PENDING_BYTES`."""
        pending_bytes = sum(
            len(item.outcome.body) for item in self.pending.values()
        )
        while pending_bytes > MAX_PENDING_BYTES:
            attempt = next(iter(self.pending))
            pending_bytes -= len(self.pending.pop(attempt).outcome.body)
            self.log.error("outcome_not_recorded", attempt=attempt)

    def tick(self, now: float) -> None:
        """Writes pending outcomes that are due, up to the first failure."""
        for attempt, pending in list(self.pending.items()):
            if pending.retry_at > now:
                continue
            if not self.write(pending.claim, pending.outcome):
                pending.postpone(now)
                break
            self.pending.pop(attempt, None)

    def write(self, claim: claims.Claim, outcome: rows.Outcome) -> bool:
        """Writes an outcome to the claim's row.

        Returns:
            False if the write must be tried again.
        """
        object_key = ""
        row_outcome = outcome
        if len(outcome.body) > rows.MAX_ROW_BODY:
            object_key = f"{rows.TABLE}/{claim.row_key}/{claim.row.attempt}"
            row_outcome = outcome._replace(body=b"")
        row = claim.row._replace(
            state=rows.DONE, outcome=row_outcome, object_key=object_key
        )
        check = platform_tables.Check(rows.TABLE, claim.row_key, claim.version)
        write = platform_tables.Write(
            rows.TABLE, claim.row_key, rows.encode(row)
        )
        try:
            if object_key:
                self.objects.put(object_key, outcome.body)
            self.tables.transact([check], [write])
        except errors.TransactionConflictError:
            return self.is_resolved(claim)
        except errors.PlatformError:
            return False
        return True

    def is_resolved(self, claim: claims.Claim) -> bool:
        """Returns whether a version conflict makes another write needless.

        The usual cause is an earlier write of the same outcome that was
        applied although its answer was lost. Without a row, or with a row of
        another attempt, the outcome can't be recorded any more. Only a failed
        read returns False, so that the write is tried again.
        """
        try:
            stored = self.tables.get(rows.TABLE, claim.row_key)
        except errors.TableUnavailableError:
            return False
        if stored is None or not rows.is_written_by(stored, claim.row.attempt):
            self.log.error("claim_lost", attempt=claim.row.attempt)
        return True
