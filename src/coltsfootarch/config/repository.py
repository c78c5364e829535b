"""Reads and commits configuration versions in the table service."""

from __future__ import annotations

import datetime
import secrets
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.audit import trail
from coltsfootarch.config import checker
from coltsfootarch.config import parser
from coltsfootarch.config import status as statuses
from coltsfootarch.config import transitions
from coltsfootarch.config import versions
from coltsfootarch.storage import tables
from coltsfootarch.zone import records

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.config import register as registers

COMMIT_ATTEMPTS = 5
RETRY_DELAY = datetime.timedelta(milliseconds=200)
COMMIT_ACTION = "config.commit"
FORGET_ACTION = "config.forget-hosts"


class Head(NamedTuple):
    """Content and row version of the row `config/head`.

    Attributes:
        version: Newest configuration version; 0 before the first commit.
        row_version: Version of the row in the table service; 0 if there is no
            row.
    """

    version: int
    row_version: int


class ConfigRepository:
    """Reads and commits configuration versions.

    Args:
        service: Table service.
        clock: Clock that dates commits and waits between attempts.
    """

    def __init__(
        self, service: tables.TableService, clock: clocks.Clock
    ) -> None:
        self.service = service
        self.clock = clock
        self.audit = trail.AuditTrail(service, clock)

    def head(self) -> int:
        """Returns the newest version, 0 before the first commit.

        Raises:
            TableUnavailableError: The table service did not answer.
        """
        return self.read_head().version

    def read_head(self) -> Head:
        """Returns the head row.

        Raises:
            TableUnavailableError: The table service did not answer.
        """
        row = self.service.get(versions.TABLE, versions.HEAD_KEY)
        if row is None:
            return Head(0, 0)
        return Head(versions.decode_head(row.value), row.version)

    def read(self, version: int) -> versions.StoredVersion:
        """Returns a committed version.

        Raises:
            ConfigurationError: There is no such version, or it is damaged.
            TableUnavailableError: The table service did not answer.
        """
        if version < 1:
            raise errors.ConfigurationError(
                "no version is committed yet; commit one with `config apply "
                "FILE --base 0`",
                results.NO_CONFIGURATION,
            )
        stored = self.find(version)
        if stored is None:
            raise errors.ConfigurationError(
                f"there is no version {version}; see `config history`"
            )
        return stored

    def find(self, version: int) -> versions.StoredVersion | None:
        """Returns a committed version, or None where there is none."""
        key = versions.version_key(version)
        row = self.service.get(versions.TABLE, key)
        return None if row is None else versions.decode_version(row.value)

    def history(self, limit: int = 20) -> list[versions.StoredVersion]:
        """Returns the newest versions, newest first.

        Raises:
            TableUnavailableError: The table service did not answer.
        """
        head = self.head()
        oldest = max(head - limit, 0)
        return [self.read(version) for version in range(head, oldest, -1)]

    def commit(
        self,
        document: str,
        author: str,
        comment: str,
        expected_version: int,
        action: str = COMMIT_ACTION,
    ) -> versions.StoredVersion:
        """Commits a document on top of `expected_version`.

        Args:
            document: TOML text of the register.
            author: Who commits it.
            comment: Reason for the change, for the history.
            expected_version: Version that the edit is based on; 0 for the
                first commit.
            action: Action in the audit trail.

        Returns:
            The committed version.

        Raises:
            InvalidDocumentError: The document is not a valid register.
            ConfigurationError: The edit can't take effect while hosts run.
            VersionConflictError: Another commit was first.
            TableUnavailableError: Nothing was committed.
            TableOutcomeUnknownError: The commit may have been applied; read
                the history before repeating it.
        """
        register = parser.parse(document)
        head = self.read_head()
        if head.version != expected_version:
            raise self.conflict_error(expected_version)
        self.check_transition(expected_version, register)
        stored = versions.StoredVersion(
            version=expected_version + 1,
            document=document,
            author=author,
            comment=comment,
            committed_at=trail.format_time(self.clock.now()),
            digest=versions.digest_of(document),
            commit_id=secrets.token_hex(16),
        )
        return self.write(stored, head, action)

    def check_transition(
        self, version: int, edited: registers.Register
    ) -> None:
        """Refuses an edit that can't replace a version while hosts run.

        A version that this release can't parse is not checked: it is not in
        force on hosts of this release either, and it must be possible to
        replace it.

        Raises:
            ConfigurationError: The edit can't take effect while hosts run.
        """
        if not version:
            return
        try:
            before = parser.parse(self.read(version).document)
        except checker.InvalidDocumentError:
            return
        transitions.check(before, edited)

    def write(
        self, stored: versions.StoredVersion, head: Head, action: str
    ) -> versions.StoredVersion:
        """Writes a version; repeats the transaction if its outcome is unknown.

        The transaction checks the head row, so it can take effect only once
        and repeating it is safe.
        """
        key = versions.version_key(stored.version)
        checks = [
            tables.Check(versions.TABLE, versions.HEAD_KEY, head.row_version),
            tables.Check(versions.TABLE, key, 0),
        ]
        writes = self.commit_writes(stored, key, action)
        in_doubt = False
        for _ in range(COMMIT_ATTEMPTS):
            try:
                self.service.transact(checks, writes)
            except errors.TransactionConflictError:
                return self.resolve_conflict(stored, in_doubt)
            except errors.TableOutcomeUnknownError:
                in_doubt = True
                if self.is_written(stored):
                    return stored
            except errors.TableUnavailableError:
                if not in_doubt:
                    raise
            else:
                return stored
            self.clock.sleep(RETRY_DELAY)
        raise outcome_unknown_error(stored)

    def commit_writes(
        self, stored: versions.StoredVersion, key: str, action: str
    ) -> list[tables.Write]:
        """Returns all writes of a commit."""
        entry = self.audit.build_entry(
            stored.author,
            action,
            "register",
            stored.version,
            stored.comment,
        )
        head = versions.encode_head(stored.version)
        return [
            tables.Write(versions.TABLE, key, versions.encode_version(stored)),
            tables.Write(versions.TABLE, versions.HEAD_KEY, head),
            tables.Write(versions.HEADS_TABLE, versions.HEADS_KEY, head),
            self.audit.build_write(entry),
        ]

    def is_written(self, stored: versions.StoredVersion) -> bool:
        """Returns whether the version's row is known to be this commit's.

        False can also mean that the row could not be read.
        """
        try:
            found = self.find(stored.version)
        except errors.TableUnavailableError:
            return False
        return found is not None and found.commit_id == stored.commit_id

    def resolve_conflict(
        self, stored: versions.StoredVersion, in_doubt: bool
    ) -> versions.StoredVersion:
        """Returns the version if an earlier attempt wrote it.

        Called when a check of the transaction failed: either another commit
        was first, or an earlier attempt of this commit without an answer was
        applied.

        Raises:
            VersionConflictError: Another commit was first.
            TableOutcomeUnknownError: The row can't be read, and an earlier
                attempt had no answer.
            TableUnavailableError: The row can't be read; nothing was
                committed.
        """
        try:
            found = self.find(stored.version)
            if found is not None and found.commit_id == stored.commit_id:
                return stored
            raise self.conflict_error(stored.version - 1)
        except errors.TableUnavailableError:
            if in_doubt:
                raise outcome_unknown_error(stored) from None
            raise

    def conflict_error(self, expected: int) -> versions.VersionConflictError:
        """Returns the error that names the version committed first."""
        winner = self.find(expected + 1)
        return versions.VersionConflictError(expected, winner, self.head())

    def status(
        self, register: registers.Register, version: int | None = None
    ) -> statuses.ConfigStatus:
        """Returns which hosts have a version in force.

        Args:
            register: Register whose hosts are expected.
            version: Version to report on; the head when not given.

        Raises:
            TableUnavailableError: The table service did not answer.
        """
        # The head is read before the sessions, so that a session with this
        # version or a newer one proves that its host has applied the head.
        target = self.head() if version is None else version
        rows = self.service.scan(records.HOSTS, "")
        return statuses.build_status(register, target, rows, self.clock.now())

    def forget_hosts(self, availability_zone: str, author: str) -> list[str]:
        """Deletes the sessions of a zone whose hosts no longer run.

        Args:
            availability_zone: Zone whose hosts are known not to run.
            author: Operator who has made sure of that.

        Returns:
            Names of the hosts whose sessions were deleted; empty if there
            were none.

        Raises:
            TransactionConflictError: A session was renewed meanwhile, so its
                host still runs; nothing was deleted.
            TableUnavailableError: Nothing was deleted.
            TableOutcomeUnknownError: The sessions may have been deleted.
        """
        prefix = records.session_key(availability_zone, "")
        rows = self.service.scan(records.HOSTS, prefix)
        if not rows:
            return []
        hosts = [row.key.removeprefix(prefix) for row in rows]
        entry = self.audit.build_entry(
            author,
            FORGET_ACTION,
            availability_zone,
            detail=f"hosts {', '.join(hosts)}",
        )
        audit_write = self.audit.build_write(entry)
        check, revision = self.revision_increment(availability_zone)
        checks = [tables.Check(row.table, row.key, row.version) for row in rows]
        writes = [tables.Write(row.table, row.key, None) for row in rows]
        try:
            self.service.transact(
                [*checks, check], [*writes, revision, audit_write]
            )
        except errors.TransactionConflictError:
            raise errors.TransactionConflictError(
                f"a host of zone {availability_zone} renewed its session "
                "meanwhile, so it still runs; stop it first"
            ) from None
        except errors.TableOutcomeUnknownError:
            if not self.is_audited(audit_write):
                raise
        return hosts

    def revision_increment(
        self, availability_zone: str
    ) -> tuple[tables.Check, tables.Write]:
        """Returns the check and the write that increment a directory revision.

        Other hosts read a zone's sessions again only when the zone's revision
        has changed.
        """
        key = records.directory_key(availability_zone)
        row = self.service.get(records.HEADS, key)
        revision = records.decode_head(row.value) if row else 0
        version = row.version if row else 0
        return (
            tables.Check(records.HEADS, key, version),
            tables.Write(records.HEADS, key, records.encode_head(revision + 1)),
        )

    def is_audited(self, audit_write: tables.Write) -> bool:
        """Returns whether an audit entry is known to have been written.

        False can also mean that its row could not be read.
        """
        try:
            return (
                self.service.get(audit_write.table, audit_write.key) is not None
            )
        except errors.TableUnavailableError:
            return False


def outcome_unknown_error(
    stored: versions.StoredVersion,
) -> errors.TableOutcomeUnknownError:
    """Returns the error for a commit whose outcome could not be found out."""
    return errors.TableOutcomeUnknownError(
        f"the commit of version {stored.version} may have been applied; look "
        f"for commit id {stored.commit_id} in `config history` before "
        "repeating it"
    )
