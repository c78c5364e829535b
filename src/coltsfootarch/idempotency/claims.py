"""Claims on idempotency keys: only a claim's holder may send the request.

The first attempt with a key writes a claim to the table service before it
sends anything. Later attempts with the key get the recorded outcome instead.
"""

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

# How long a retry waits for the outcome of an attempt that is in progress.
OUTCOME_WAIT = datetime.timedelta(seconds=2)
OUTCOME_POLL_INTERVAL = datetime.timedelta(milliseconds=100)

# Another host can delete the row between a failed write and the read that
# follows it; the write is then tried again, this many times in total.
MAX_CLAIM_ATTEMPTS = 3


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
    """The recorded answer of an earlier attempt with the same key."""

    outcome: rows.Outcome


class ExistingClaim(NamedTuple):
    """The stored claim of another attempt.

    Attributes:
        version: Version of its row.
        attempt_abandoned: Whether this host wrote the claim and abandoned its
            attempt, so that the claim may be replaced.
    """

    version: int
    attempt_abandoned: bool


class ClaimStore:
    """Claims idempotency keys in the table service and records outcomes.

    Args:
        tables: Table service.
        objects: Object store, for bodies that are too large for a row.
        clock: Source of time.
        host: Name of this host.
        incarnation: Incarnation of this host.
        is_live: Returns whether an incarnation of a host still has a session.
        retention: Time after which a claim expires.

    Attributes:
        abandoned: Claims to delete, by attempt id.
        pending: Outcomes still to be written, by attempt id.
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
        self.abandoned: dict[str, background.AbandonedClaim] = {}
        self.outcomes = outcomes.OutcomeRecorder(tables, objects, clock)
        self.pending = self.outcomes.pending
        self.log: Any = structlog.get_logger(__name__)

    def claim(
        self, account: str, key: str, body_digest: str
    ) -> Claim | RecordedOutcome:
        """Claims a key; a returned `Claim` is the right to send the request.

        Args:
            account: Client account.
            key: Idempotency key as the caller sent it.
            body_digest: Digest of the request body.

        Returns:
            The claim, or the outcome of an earlier attempt.

        Raises:
            RefusedError: CLAIM_UNAVAILABLE if the claim could not be written
                and this attempt is not run, IDEMPOTENCY_KEY_REUSED if the key
                was used with another body, IN_PROGRESS if another attempt has
                no outcome yet, or OUTCOME_UNKNOWN if its host has no session.
        """
        row_key = rows.row_key(account, key)
        deadline = self.clock.monotonic() + OUTCOME_WAIT.total_seconds()
        replaced_version = 0
        for _ in range(MAX_CLAIM_ATTEMPTS):
            result = self.write_claim(row_key, body_digest, replaced_version)
            if isinstance(result, Claim):
                return result
            replaced_version = 0
            if result is None:
                continue
            if result.attempt_abandoned:
                replaced_version = result.version
                continue
            outcome = self.await_outcome(row_key, body_digest, deadline)
            if outcome is not None:
                return outcome
        raise errors.RefusedError(results.CLAIM_UNAVAILABLE)

    def write_claim(
        self, row_key: str, body_digest: str, replaced_version: int
    ) -> Claim | ExistingClaim | None:
        """Makes one attempt to write a new claim.

        Args:
            row_key: Key of the row.
            body_digest: Digest of the request body.
            replaced_version: Row version of an abandoned claim to replace, 0
                for none.

        Returns:
            The new claim if it is known to be stored, else the stored claim
            of another attempt, or None if there is no row any more.
        """
        row = self.new_row(body_digest)
        check = platform_tables.Check(rows.TABLE, row_key, replaced_version)
        write = platform_tables.Write(rows.TABLE, row_key, rows.encode(row))
        try:
            (stored,) = self.tables.transact([check], [write])
        except errors.TransactionConflictError:
            return self.read_claim(row_key, row)
        except errors.TableUnavailableError as error:
            raise errors.RefusedError(results.CLAIM_UNAVAILABLE) from error
        except errors.TableOutcomeUnknownError:
            return self.read_back(row_key, row)
        except BaseException:
            # The caller disconnected or its key was withdrawn during the
            # write, which may have been applied.
            self.abandon(row_key, row.attempt)
            raise
        return Claim(row_key, row, stored.version)

    def new_row(self, body_digest: str) -> rows.ClaimRow:
        """Returns the claim row of a new attempt with a random id."""
        expires_at = (self.clock.now() + self.retention).timestamp()
        return rows.ClaimRow(
            rows.SENT,
            body_digest,
            self.host,
            self.incarnation,
            secrets.token_hex(16),
            expires_at,
        )

    def read_back(
        self, row_key: str, row: rows.ClaimRow
    ) -> Claim | ExistingClaim | None:
        """Reads the row again after a write whose outcome is unknown.

        A write that is not visible yet may still be applied later. This
        attempt is therefore abandoned, so that no request is sent under a
        claim that appears late.

        Returns:
            The claim if it was written, else the claim of another attempt.

        Raises:
            RefusedError: CLAIM_UNAVAILABLE.
        """
        try:
            stored_claim = self.read_claim(row_key, row)
        except errors.RefusedError:
            self.abandon(row_key, row.attempt)
            raise
        if isinstance(stored_claim, Claim):
            return stored_claim
        self.abandon(row_key, row.attempt)
        if stored_claim is None:
            raise errors.RefusedError(results.CLAIM_UNAVAILABLE)
        return stored_claim

    def read_claim(
        self, row_key: str, own_row: rows.ClaimRow
    ) -> Claim | ExistingClaim | None:
        """Returns the claim stored under a row key, or None without a row."""
        stored = self.read(row_key)
        if stored is None:
            return None
        row = rows.decode(stored.value)
        if row.attempt == own_row.attempt:
            return Claim(row_key, own_row, stored.version)
        return ExistingClaim(stored.version, row.attempt in self.abandoned)

    def read(self, row_key: str) -> platform_tables.Row | None:
        """Returns the stored row, or None; used before anything is sent.

        Raises:
            RefusedError: CLAIM_UNAVAILABLE.
        """
        try:
            return self.tables.get(rows.TABLE, row_key)
        except errors.TableUnavailableError as error:
            raise errors.RefusedError(results.CLAIM_UNAVAILABLE) from error

    def abandon(self, row_key: str, attempt: str) -> None:
        """Schedules the deletion of a claim; nothing may be sent under it."""
        self.abandoned[attempt] = background.AbandonedClaim(
            row_key, self.clock.monotonic()
        )

    def await_outcome(
        self, row_key: str, body_digest: str, deadline: float
    ) -> RecordedOutcome | None:
        """Waits for the outcome of another attempt.

        Returns:
            The outcome, or None if the claim was deleted in the meantime.

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
            self.clock.sleep(OUTCOME_POLL_INTERVAL)

    def record(self, claim: Claim, outcome: rows.Outcome) -> bool:
        """Records an outcome; retries a failed write in the background.

        Args:
            claim: Claim under which the request was sent.
            outcome: The upstream's answer.

        Returns:
            Whether the outcome is already stored.
        """
        return self.outcomes.record(claim, outcome)

    def release(self, claim: Claim) -> None:
        """Deletes a claim; call only if nothing was sent under it.

        If the table service fails, the deletion is retried in the background.
        """
        attempt = claim.row.attempt
        self.abandon(claim.row_key, attempt)
        self.remove(attempt, self.abandoned[attempt])

    def tick(self) -> None:
        """Writes pending outcomes and deletes abandoned claims that are due.

        Each of the two passes ends at the first failure, so that an
        unreachable store costs one timeout per pass and not one per row.
        """
        now = self.clock.monotonic()
        self.outcomes.tick(now)
        for attempt, abandoned in list(self.abandoned.items()):
            if abandoned.retry_at > now:
                continue
            if not self.remove(attempt, abandoned):
                break

    def remove(
        self, attempt: str, abandoned: background.AbandonedClaim
    ) -> bool:
        """Deletes an abandoned claim if it is in the store.

        A claim that is not there stays scheduled until `check_until`, because
        its write may still be applied.

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
        if now >= abandoned.check_until:
            self.abandoned.pop(attempt, None)
        return True

    def delete(self, stored: platform_tables.Row) -> None:
        """Deletes a row on condition that its version is still the same."""
        check = platform_tables.Check(rows.TABLE, stored.key, stored.version)
        write = platform_tables.Write(rows.TABLE, stored.key, None)
        self.tables.transact([check], [write])
