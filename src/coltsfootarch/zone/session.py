"""Session of this host, on which all its shard leases depend."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog

from coltsfootarch import errors
from coltsfootarch.storage import tables
from coltsfootarch.zone import records
from coltsfootarch.zone import timing

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock
    from coltsfootarch.protocol import messages
    from coltsfootarch.zone import directory

log = structlog.get_logger(__name__)


class Session:
    """Opens, renews and extends a session and tracks whether it is valid.

    Validity is counted from the instant at which a renewal was sent. Once it
    has ended, `invalidations` is incremented and only a renewal through the
    store makes the session valid again.

    Args:
        sender: This host.
        directory: The shard directory; opening a session raises its revision.
        tables: The table service.
        clock: Source of time.
        config_version: Returns the configuration version in force here.

    Attributes:
        version: Version of the session row; 0 if no session is open.
        invalidations: How often the session has become invalid.
        confirmed_renewals: Number of renewals that are known to have succeeded.
        renewal_attempts: Number of renewals attempted.
        blocked_by: Session of an earlier incarnation of this host that is still
            in the store, or None.
        reported_version: Configuration version in the last confirmed row; -1
            if there is none.
        closed: Whether the session was closed; it is not renewed any more.
        attempt_sent_at: Instants at which recent renewals were sent, by
            attempt.
        attempt_config_versions: Configuration versions that they reported, by
            attempt.
        valid_until: Instant until which the session is valid.
        store_valid_until: The same without self-extensions.
        resumed_at: Instant of the first tick after the last pause.
        extension_allowed: Whether the host may extend the session itself.
    """

    def __init__(
        self,
        sender: messages.Sender,
        directory: directory.Directory,
        tables: tables.TableService,
        clock: clock.Clock,
        config_version: Callable[[], int],
    ) -> None:
        self.sender = sender
        self.directory = directory
        self.tables = tables
        self.clock = clock
        self.config_version = config_version
        self.key = records.session_key(sender.availability_zone, sender.host)
        self.version = 0
        self.invalidations = 0
        self.confirmed_renewals = 0
        self.renewal_attempts = 0
        self.blocked_by: records.SessionRecord | None = None
        self.reported_version = -1
        self.closed = False
        self.attempt_sent_at: dict[int, float] = {}
        self.attempt_config_versions: dict[int, int] = {}
        self.valid_until = -math.inf
        self.store_valid_until = -math.inf
        self.last_tick_at = -math.inf
        self.resumed_at = -math.inf
        self.extension_allowed = False

    def valid(self) -> bool:
        """Returns whether the session is currently valid."""
        if self.clock.monotonic() < self.valid_until:
            return True
        if self.valid_until > -math.inf:
            self.invalidations += 1
            self.valid_until = -math.inf
            self.store_valid_until = -math.inf
        return False

    def store_valid(self) -> bool:
        """Returns whether the session is valid without self-extensions."""
        return self.valid() and self.clock.monotonic() < self.store_valid_until

    def remaining(self) -> float:
        """Returns the seconds for which the session is still valid."""
        if not self.valid():
            return 0.0
        return max(0.0, self.valid_until - self.clock.monotonic())

    def record_tick(self, now: float) -> None:
        """Records a tick; after a gap the host must not extend its session.

        A host that was paused may have left a probe unanswered. It may extend
        its session again after a renewal that it sent since it resumed.

        Args:
            now: Instant of the current tick.
        """
        if now - self.last_tick_at > timing.MAX_TICK_GAP:
            self.extension_allowed = False
            self.resumed_at = now
        self.last_tick_at = now

    def extend(self, now: float, peers_permit: bool) -> None:
        """Extends the session without the store, if that is allowed.

        Args:
            now: Instant of the current tick.
            peers_permit: Whether a peer acknowledged a heartbeat or no peer is
                known to be alive.
        """
        if not self.valid() or not self.extension_allowed or not peers_permit:
            return
        if not self.closed:
            until = now + timing.SELF_EXTENSION
            self.valid_until = max(self.valid_until, until)

    def renew(self) -> None:
        """Opens or renews the session through the store.

        Raises:
            TableUnavailableError: Nothing was written, or the outcome could not
                be read back.
            TransactionConflictError: Another host changed the directory.
        """
        if self.closed:
            return
        if not self.version:
            self.directory.poll()
        self.renewal_attempts += 1
        now = self.clock.monotonic()
        version = self.config_version()
        self.attempt_sent_at[self.renewal_attempts] = now
        self.attempt_config_versions[self.renewal_attempts] = version
        self.prune_attempts(now)
        value = records.encode(self.record(version))
        write = tables.Write(records.HOSTS, self.key, value)
        check = tables.Check(records.HOSTS, self.key, self.version)
        try:
            if self.version:
                rows = self.tables.transact([check], [write])
            else:
                rows = self.directory.commit_changes([check], [write])
        except (
            errors.TransactionConflictError,
            errors.TableOutcomeUnknownError,
        ):
            self.read_back()
            return
        self.confirm(rows[0].version, self.renewal_attempts)

    def record(self, config_version: int) -> records.SessionRecord:
        """Returns the session row for the current attempt."""
        return records.SessionRecord(
            self.sender.host,
            self.sender.incarnation,
            self.sender.availability_zone,
            self.sender.address,
            config_version,
            self.renewal_attempts,
            self.clock.now().isoformat(),
        )

    def prune_attempts(self, now: float) -> None:
        """Removes attempts that are too old to make the session valid."""
        oldest = now - timing.SESSION_VALIDITY
        for number in [
            number
            for number, sent_at in self.attempt_sent_at.items()
            if sent_at < oldest
        ]:
            del self.attempt_sent_at[number]
            self.attempt_config_versions.pop(number, None)

    def read_back(self) -> None:
        """Reads the session row to find out which attempt took effect.

        Raises:
            TableUnavailableError: The store did not answer.
        """
        row = self.tables.get(records.HOSTS, self.key)
        if row is None:
            self.mark_lost()
            return
        record = records.decode_session(row.value)
        if record.incarnation != self.sender.incarnation:
            self.mark_lost()
            self.blocked_by = record
            return
        self.confirm(row.version, record.renewals)

    def confirm(self, version: int, attempt: int) -> None:
        """Extends the validity by an attempt that took effect.

        Args:
            version: Version of the session row.
            attempt: Number of the attempt that wrote it.
        """
        self.valid()
        if self.closed:
            return
        self.version = version
        self.blocked_by = None
        self.confirmed_renewals += 1
        sent_at = self.attempt_sent_at.get(attempt)
        if sent_at is None:
            return
        self.reported_version = self.attempt_config_versions[attempt]
        until = sent_at + timing.SESSION_VALIDITY
        self.valid_until = max(self.valid_until, until)
        self.store_valid_until = max(self.store_valid_until, until)
        if sent_at >= self.resumed_at:
            self.extension_allowed = True

    def mark_lost(self) -> None:
        """Invalidates the session after another host has deleted its row."""
        if self.version:
            log.warning("session lost", host=self.sender.host)
        self.version = 0
        self.blocked_by = None
        self.reported_version = -1
        self.extension_allowed = False
        self.end_validity()

    def close(self) -> None:
        """Closes the session on this host; its row stays until deleted."""
        self.closed = True
        self.end_validity()

    def end_validity(self) -> None:
        """Makes the session invalid immediately."""
        if self.valid_until > -math.inf:
            self.invalidations += 1
        self.valid_until = -math.inf
        self.store_valid_until = -math.inf
