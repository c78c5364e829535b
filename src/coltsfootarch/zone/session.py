"""This host's session: the base of all its shard leases."""

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

    Validity counts from the moment a renewal was sent. Once it has ended, only
    a renewal through the store restores it, and `lapses` has grown.

    Args:
        sender: This host.
        directory: The directory, which takes part in opening.
        tables: The table service.
        clock: Source of time.
        config_version: Returns the configuration version in force here.

    Attributes:
        version: Version of the session row; 0 if no session is open.
        lapses: How often validity has ended.
        renewed: Renewals that succeeded.
        blocked_by: Session of an earlier incarnation that still stands.
        reported_version: Configuration version in the last confirmed row.
        closed: Whether the host is stopping; nothing is renewed any more.
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
        self.lapses = 0
        self.renewed = 0
        self.renewals = 0
        self.blocked_by: records.SessionRecord | None = None
        self.reported_version = -1
        self.closed = False
        self.sent: dict[int, float] = {}
        self.reports: dict[int, int] = {}
        self.valid_until = -math.inf
        self.store_valid_until = -math.inf
        self.ticked_at = -math.inf
        self.resumed_at = -math.inf
        self.may_extend = False

    def valid(self) -> bool:
        """Returns whether the session is valid at this instant."""
        if self.clock.monotonic() < self.valid_until:
            return True
        if self.valid_until > -math.inf:
            self.lapses += 1
            self.valid_until = -math.inf
            self.store_valid_until = -math.inf
        return False

    def store_valid(self) -> bool:
        """Returns whether the last renewal through the store still counts."""
        return self.valid() and self.clock.monotonic() < self.store_valid_until

    def remaining(self) -> float:
        """Returns the seconds for which the session is still valid."""
        if not self.valid():
            return 0.0
        return max(0.0, self.valid_until - self.clock.monotonic())

    def note_tick(self, now: float) -> None:
        """Records that the host runs; a gap ends the right to extend.

        A host that was paused may have left a probe unanswered.
        """
        if now - self.ticked_at > timing.CONTINUOUS_GAP:
            self.may_extend = False
            self.resumed_at = now
        self.ticked_at = now

    def extend(self, now: float, peers_agree: bool) -> None:
        """Extends the session without the store if the rules allow it.

        Args:
            now: Instant of the current tick.
            peers_agree: Whether a peer acknowledged a heartbeat or no peer is
                known to be alive.
        """
        if not self.valid() or not self.may_extend or not peers_agree:
            return
        if not self.closed:
            until = now + timing.EXTENSION
            self.valid_until = max(self.valid_until, until)

    def renew(self) -> None:
        """Opens or renews the session through the store.

        Raises:
            TableUnavailableError: Nothing was written, or the outcome can't be
                read back.
            TransactionConflictError: Another host changed the directory.
        """
        if self.closed:
            return
        if not self.version:
            self.directory.poll()
        self.renewals += 1
        now = self.clock.monotonic()
        version = self.config_version()
        self.sent[self.renewals] = now
        self.reports[self.renewals] = version
        self.forget_attempts(now)
        value = records.encode(self.record(version))
        write = tables.Write(records.HOSTS, self.key, value)
        check = tables.Check(records.HOSTS, self.key, self.version)
        try:
            if self.version:
                rows = self.tables.transact([check], [write])
            else:
                rows = self.directory.revise([check], [write])
        except (
            errors.TransactionConflictError,
            errors.TableOutcomeUnknownError,
        ):
            self.read_back()
            return
        self.confirm(rows[0].version, self.renewals)

    def record(self, config_version: int) -> records.SessionRecord:
        """Returns the value of the session row for this attempt."""
        return records.SessionRecord(
            self.sender.host,
            self.sender.incarnation,
            self.sender.availability_zone,
            self.sender.address,
            config_version,
            self.renewals,
            self.clock.now().isoformat(),
        )

    def forget_attempts(self, now: float) -> None:
        """Removes attempts that can't give validity any more."""
        oldest = now - timing.SESSION_VALIDITY
        for number in [n for n, at in self.sent.items() if at < oldest]:
            del self.sent[number]
            self.reports.pop(number, None)

    def read_back(self) -> None:
        """Reads the row to learn what became of an attempt.

        Raises:
            TableUnavailableError: The store did not answer.
        """
        row = self.tables.get(records.HOSTS, self.key)
        if row is None:
            self.lose()
            return
        record = records.decode_session(row.value)
        if record.incarnation != self.sender.incarnation:
            self.lose()
            self.blocked_by = record
            return
        self.confirm(row.version, record.renewals)

    def confirm(self, version: int, attempt: int) -> None:
        """Counts an attempt that took effect, from when it was sent."""
        self.valid()
        if self.closed:
            return
        self.version = version
        self.blocked_by = None
        self.renewed += 1
        sent = self.sent.get(attempt)
        if sent is None:
            return
        self.reported_version = self.reports[attempt]
        until = sent + timing.SESSION_VALIDITY
        self.valid_until = max(self.valid_until, until)
        self.store_valid_until = max(self.store_valid_until, until)
        if sent >= self.resumed_at:
            self.may_extend = True

    def lose(self) -> None:
        """Ends the session, since another host has deleted its row."""
        if self.version:
            log.warning("session lost", host=self.sender.host)
        self.version = 0
        self.blocked_by = None
        self.reported_version = -1
        self.may_extend = False
        self.end_validity()

    def close(self) -> None:
        """Ends the session for good; the row stays until it is deleted."""
        self.closed = True
        self.end_validity()

    def end_validity(self) -> None:
        """Makes the session invalid at once."""
        if self.valid_until > -math.inf:
            self.lapses += 1
        self.valid_until = -math.inf
        self.store_valid_until = -math.inf
