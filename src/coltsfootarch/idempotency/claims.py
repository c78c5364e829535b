"""At-most-once execution of non-idempotent requests."""

from __future__ import annotations

import datetime
import secrets
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import structlog

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.idempotency import background
from coltsfootarch.idempotency import outcomes
from coltsfootarch.idempotency import rows
from coltsfootarch.storage import tables as platform_tables

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.storage import objects as platform_objects

RETENTION = datetime.timedelta(days=7)

# How long a retry waits for the outcome of an attempt under way.
OUTCOME_WAIT = datetime.timedelta(seconds=2)
OUTCOME_STEP = datetime.timedelta(milliseconds=100)

# Attempts to write a claim whose row other hosts remove in the meantime.
CLAIM_ATTEMPTS = 3


class Claim(NamedTuple):
    """The right to send a request once.

    Attributes:
        row_key: Key of the row.
        row: Content of the row.
        version: Version of the row.
    """

    row_key: str
    row: rows.ClaimRow
    version: int


class RecordedOutcome(NamedTuple):
    """The answer of an earlier attempt with the same key."""

    outcome: rows.Outcome


class Existing(NamedTuple):
    """A claim of another attempt.

    Attributes:
        version: Version of its row.
        attempt_abandoned: Whether this host made it and gave it up.
    """

    version: int
    attempt_abandoned: bool


class ClaimBook:
    """Claims idempotency keys in the table service and records outcomes.

    Args:
        tables: Table service.
        objects: Object store, for large bodies.
        clock: Source of time.
        host: Name of this host.
        incarnation: Its incarnation.
        is_live: Returns whether an incarnation of a host still has a session.
        retention: How long a claim is kept.
    """

    def __init__(
        self,
        tables: platform_tables.TableService,
        objects: platform_objects.ObjectStore,
        clock: clocks.Clock,
        host: str,
        incarnation: int,
        is_live: Callable[[str, int], bool],
        retention: datetime.timedelta = RETENTION,
    ) -> None:
        self.tables = tables
        self.clock = clock
        self.host = host
        self.incarnation = incarnation
        self.is_live = is_live
        self.retention = retention
        self.abandoned: dict[str, background.Abandoned] = {}
        self.outcomes = outcomes.OutcomeRecorder(tables, objects, clock)
        self.pending = self.outcomes.pending
        self.log: Any = structlog.get_logger(__name__)

    def claim(
        self, account: str, key: str, body_digest: str
    ) -> Claim | RecordedOutcome:
        """Claims a key; only the caller of this method may send the request.

        Args:
            account: Client account.
            key: Idempotency key as the caller sent it.
            body_digest: Digest of the request body.

        Returns:
            The claim, or the outcome of an earlier attempt.

        Raises:
            RefusedError: CLAIM_UNAVAILABLE (this attempt is not run),
                IDEMPOTENCY_KEY_REUSED, IN_PROGRESS or OUTCOME_UNKNOWN.
        """
        row_key = rows.row_key(account, key)
        deadline = self.clock.monotonic() + OUTCOME_WAIT.total_seconds()
        replaced = 0
        for _ in range(CLAIM_ATTEMPTS):
            result = self.write_claim(row_key, body_digest, replaced)
            if isinstance(result, Claim):
                return result
            replaced = 0
            if result is None:
                continue
            if result.attempt_abandoned:
                replaced = result.version
                continue
            outcome = self.await_outcome(row_key, body_digest, deadline)
            if outcome is not None:
                return outcome
        raise errors.RefusedError(results.CLAIM_UNAVAILABLE)

    def write_claim(
        self, row_key: str, body_digest: str, replaced: int
    ) -> Claim | Existing | None:
        """Tries to write a new claim once.

        Args:
            row_key: Key of the row.
            body_digest: Digest of the request body.
            replaced: Version of an abandoned claim to replace, 0 for none.

        Returns:
            The claim if it is known to be in the store, else the row that is
            there, or None if there is none any more.
        """
        row = self.new_row(body_digest)
        check = platform_tables.Check(rows.TABLE, row_key, replaced)
        write = platform_tables.Write(rows.TABLE, row_key, rows.encode(row))
        try:
            (stored,) = self.tables.transact([check], [write])
        except errors.TransactionConflictError:
            return self.read_claim(row_key, row)
        except errors.TableUnavailableError as error:
            raise errors.RefusedError(results.CLAIM_UNAVAILABLE) from error
        except errors.TableOutcomeUnknownError:
            return self.recognise(row_key, row)
        except BaseException:
            # The caller left or lost its key while the write was under way.
            self.abandon(row_key, row.attempt)
            raise
        return Claim(row_key, row, stored.version)

    def new_row(self, body_digest: str) -> rows.ClaimRow:
        """Returns a row for a new attempt."""
        expires_at = (self.clock.now() + self.retention).timestamp()
        return rows.ClaimRow(
            rows.SENT,
            body_digest,
            self.host,
            self.incarnation,
            secrets.token_hex(16),
            expires_at,
        )

    def recognise(
        self, row_key: str, row: rows.ClaimRow
    ) -> Claim | Existing | None:
        """Reads back after a lost answer.

        A write that is not there yet may land later. This attempt is then
        given up for good, so that a late claim never leads to a send.
        """
        try:
            found = self.read_claim(row_key, row)
        except errors.RefusedError:
            self.abandon(row_key, row.attempt)
            raise
        if isinstance(found, Claim):
            return found
        self.abandon(row_key, row.attempt)
        if found is None:
            raise errors.RefusedError(results.CLAIM_UNAVAILABLE)
        return found

    def read_claim(
        self, row_key: str, own: rows.ClaimRow
    ) -> Claim | Existing | None:
        """Returns the claim in the row of a key, or None without a row."""
        stored = self.read(row_key)
        if stored is None:
            return None
        row = rows.decode(stored.value)
        if row.attempt == own.attempt:
            return Claim(row_key, own, stored.version)
        return Existing(stored.version, row.attempt in self.abandoned)

    def read(self, row_key: str) -> platform_tables.Row | None:
        """Returns the stored row; nothing of this attempt has been sent.

        Raises:
            RefusedError: CLAIM_UNAVAILABLE.
        """
        try:
            return self.tables.get(rows.TABLE, row_key)
        except errors.TableUnavailableError as error:
            raise errors.RefusedError(results.CLAIM_UNAVAILABLE) from error

    def abandon(self, row_key: str, attempt: str) -> None:
        """Schedules the removal of a claim under which nothing is sent."""
        self.abandoned[attempt] = background.Abandoned(
            row_key, self.clock.monotonic()
        )

    def await_outcome(
        self, row_key: str, body_digest: str, deadline: float
    ) -> RecordedOutcome | None:
        """Waits for the outcome of another attempt.

        Returns:
            The outcome, or None if the claim was removed meanwhile.

        Raises:
            RefusedError: As in `claim`.
        """
        while True:
            stored = self.read(row_key)
            if stored is None:
                return None
            row = rows.decode(stored.value)
            if row.body_digest != body_digest:
                raise errors.RefusedError(results.IDEMPOTENCY_KEY_REUSED)
            if row.state == rows.DONE:
                return RecordedOutcome(self.outcomes.load(row))
            if not self.is_live(row.host, row.incarnation):
                raise errors.RefusedError(results.OUTCOME_UNKNOWN)
            if self.clock.monotonic() >= deadline:
                raise errors.RefusedError(results.IN_PROGRESS)
            self.clock.sleep(OUTCOME_STEP)

    def record(self, claim: Claim, outcome: rows.Outcome) -> bool:
        """Records an outcome, now or in the background.

        Args:
            claim: Claim under which the request was sent.
            outcome: The upstream's answer.

        Returns:
            Whether it is recorded now.
        """
        return self.outcomes.record(claim, outcome)

    def release(self, claim: Claim) -> None:
        """Gives up a claim; call only if nothing was sent under it.

        What can't be removed now is removed in the background.
        """
        attempt = claim.row.attempt
        self.abandon(claim.row_key, attempt)
        self.remove(attempt, self.abandoned[attempt])

    def tick(self) -> None:
        """Records pending outcomes and removes abandoned claims.

        Each of the two passes ends at the first failure, so that a store that
        is down costs one time-out and not one per row.
        """
        now = self.clock.monotonic()
        self.outcomes.tick(now)
        for attempt, abandoned in list(self.abandoned.items()):
            if abandoned.retry_at > now:
                continue
            if not self.remove(attempt, abandoned):
                break

    def remove(self, attempt: str, abandoned: background.Abandoned) -> bool:
        """Removes an abandoned claim if it is in the store.

        Returns:
            False if the store failed.
        """
        now = self.clock.monotonic()
        abandoned.postpone(now)
        try:
            stored = self.tables.get(rows.TABLE, abandoned.row_key)
            if stored is not None and rows.is_written_by(stored, attempt):
                self.delete(stored)
                self.abandoned.pop(attempt, None)
        except errors.PlatformError:
            return False
        if now >= abandoned.until:
            self.abandoned.pop(attempt, None)
        return True

    def delete(self, stored: platform_tables.Row) -> None:
        """Deletes a row that has not changed since it was read."""
        check = platform_tables.Check(rows.TABLE, stored.key, stored.version)
        write = platform_tables.Write(rows.TABLE, stored.key, None)
        self.tables.transact([check], [write])
