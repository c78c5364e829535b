"""Claims, takeovers and releases of shards in the table service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import structlog

from coltsfootarch import errors
from coltsfootarch.storage import tables
from coltsfootarch.zone import planner
from coltsfootarch.zone import records
from coltsfootarch.zone import shards
from coltsfootarch.zone import timing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from coltsfootarch import clock
    from coltsfootarch.protocol import messages
    from coltsfootarch.zone import directory
    from coltsfootarch.zone import session

HAND_OVER_ATTEMPTS = 5

log = structlog.get_logger(__name__)


class ShardClaims:
    """Writes the zone's shard rows for this host.

    Args:
        sender: This host.
        session: Its session.
        directory: The directory.
        leases: The leases that follow from the rows.
        clock: Source of time.
        shard_count: Returns the number of shards of the zone; 0 while there is
            no configuration.

    Attributes:
        unconfirmed: Leases of claims whose answer was lost, by shard.
        free_since: When a shard was first seen free, by shard.
    """

    def __init__(
        self,
        sender: messages.Sender,
        session: session.Session,
        directory: directory.Directory,
        leases: shards.ShardLeases,
        clock: clock.Clock,
        shard_count: Callable[[], int],
    ) -> None:
        self.sender = sender
        self.session = session
        self.directory = directory
        self.leases = leases
        self.clock = clock
        self.planner = planner.ShardPlanner(directory, shard_count)
        self.unconfirmed: dict[int, shards.Lease] = {}
        self.free_since: dict[int, float] = {}
        self.released_at = -math.inf

    def balance(self, stopping: Iterable[str]) -> None:
        """Claims free shards and releases surplus ones.

        Args:
            stopping: Zone peers that are shutting down.

        Raises:
            PlatformError: The store did not answer or another host was faster.
        """
        self.leases.drop_lapsed()
        if not self.session.store_valid() or not self.planner.shard_count():
            return
        self.regain()
        self.claim_free(set(stopping))
        self.release_surplus(set(stopping))

    def regain(self) -> None:
        """Claims shards whose rows name this host but that it lost.

        A claim whose answer was lost is recognised by its epoch, which no
        other attempt can have written under this host's name.
        """
        lost: list[int] = []
        view = self.directory.own_view
        for shard in self.planner.rows_naming(
            self.sender.host, self.sender.incarnation
        ):
            if shard in self.leases.held:
                continue
            attempt = self.unconfirmed.pop(shard, None)
            if attempt is not None and (attempt.epoch, attempt.lapses) == (
                view.shards[shard].record.epoch,
                self.session.lapses,
            ):
                self.leases.acquire({shard: attempt})
            else:
                lost.append(shard)
        if lost:
            self.claim(lost, [], [])

    def claim_free(self, stopping: set[str]) -> None:
        """Claims free shards up to the target."""
        free = self.planner.free_shards()
        self.free_since = {
            shard: self.free_since.get(shard, self.clock.monotonic())
            for shard in free
        }
        room = self.planner.target(stopping) - len(self.leases.held)
        if room <= 0 or not free:
            return
        plan = self.planner.plan(free, stopping)
        latest = self.clock.monotonic() - timing.PREFERENCE
        wanted = [
            shard
            for shard in free
            if plan.get(shard) == self.sender.host
            or self.free_since[shard] <= latest
        ]
        if wanted:
            checks = self.absence_checks(wanted[:room])
            if checks is not None:
                self.claim(wanted[:room], checks, [])

    def absence_checks(self, numbers: list[int]) -> list[tables.Check] | None:
        """Returns checks that the last holders' sessions stay gone.

        Returns:
            None if one of them has a session after all.

        Raises:
            TableUnavailableError: The store did not answer.
        """
        view = self.directory.own_view
        checks: dict[str, tables.Check] = {}
        for shard in numbers:
            row = view.shards.get(shard)
            if row is None or not row.record.holder:
                continue
            host = row.record.holder
            if host in checks or host == self.sender.host:
                continue
            key = records.session_key(self.sender.availability_zone, host)
            found = self.directory.tables.get(records.HOSTS, key)
            if found is not None:
                record = records.decode_session(found.value)
                if record.incarnation == row.record.incarnation:
                    return None
            version = 0 if found is None else found.version
            checks[host] = tables.Check(records.HOSTS, key, version)
        return list(checks.values())

    def take_over(self, old: records.SessionRecord, version: int) -> None:
        """Deletes a dead host's session and takes its shards.

        The caller has made sure of the conditions of a takeover.

        Args:
            old: The dead host's session.
            version: Version of its row when it was observed.

        Raises:
            PlatformError: The store did not answer or a row has changed.
        """
        key = records.session_key(old.availability_zone, old.host)
        check = tables.Check(records.HOSTS, key, version)
        delete = tables.Write(records.HOSTS, key, None)
        if old.host == self.sender.host:
            self.directory.revise([check], [delete])
            return
        named = self.planner.rows_naming(old.host, old.incarnation)
        self.claim(named, [check], [delete], inherited=True)
        log.warning("host taken over", host=old.host, shards=len(named))

    def claim(
        self,
        numbers: list[int],
        checks: list[tables.Check],
        writes: list[tables.Write],
        inherited: bool = False,
    ) -> None:
        """Writes this host into shard rows, with the next epochs.

        Args:
            numbers: Shards to claim.
            checks: Further conditions.
            writes: Further writes.
            inherited: Whether this is the takeover of a dead host, after which
                nothing of what the host granted is in use.
        """
        view = self.directory.own_view
        now = self.clock.monotonic()
        checks = [*checks, self.own_session_check()]
        writes = list(writes)
        leases: dict[int, shards.Lease] = {}
        for shard in numbers:
            row = view.shards.get(shard)
            epoch = 1 if row is None else row.record.epoch + 1
            leases[shard] = shards.Lease(
                epoch, now, inherited, self.session.lapses
            )
            record = records.ShardRecord(
                self.sender.host,
                self.sender.incarnation,
                self.sender.address,
                epoch,
            )
            checks.append(self.shard_check(shard))
            writes.append(self.shard_write(shard, record))
        try:
            self.directory.revise(checks, writes)
        except errors.TableOutcomeUnknownError:
            self.unconfirmed.update(leases)
            raise
        for shard in numbers:
            self.unconfirmed.pop(shard, None)
            self.free_since.pop(shard, None)
        self.leases.acquire(leases)

    def own_session_check(self) -> tables.Check:
        """Returns the check that this host's session row is unchanged."""
        return tables.Check(
            records.HOSTS, self.session.key, self.session.version
        )

    def shard_check(self, shard: int) -> tables.Check:
        """Returns the check that a shard's row is as in the view."""
        row = self.directory.own_view.shards.get(shard)
        key = records.shard_key(self.sender.availability_zone, shard)
        version = 0 if row is None else row.version
        return tables.Check(records.SHARDS, key, version)

    def shard_write(
        self, shard: int, record: records.ShardRecord
    ) -> tables.Write:
        """Returns the write of a shard's row."""
        key = records.shard_key(self.sender.availability_zone, shard)
        return tables.Write(records.SHARDS, key, records.encode(record))

    def release_surplus(self, stopping: set[str]) -> None:
        """Releases one shard above the target if another host has room."""
        now = self.clock.monotonic()
        if now - self.released_at < timing.SURPLUS_INTERVAL:
            return
        if len(self.leases.held) <= self.planner.target(stopping):
            return
        if not self.planner.plan([max(self.leases.held)], stopping):
            return
        # A release from an outdated view fails after the lease has ended, and
        # the shard's state is lost for nothing.
        self.directory.poll()
        if len(self.leases.held) <= self.planner.target(stopping):
            return
        shard = max(self.leases.held)
        successor = self.planner.plan([shard], stopping).get(shard)
        if successor is None:
            return
        self.released_at = now
        self.leases.end_lease(shard, successor)
        checks, writes = self.release_changes([shard])
        self.directory.revise(checks, writes)

    def release_changes(
        self, numbers: Iterable[int]
    ) -> tuple[list[tables.Check], list[tables.Write]]:
        """Returns checks and writes that release shards of this host."""
        checks: list[tables.Check] = []
        writes: list[tables.Write] = []
        for shard in numbers:
            row = self.directory.own_view.shards[shard]
            record = records.ShardRecord("", 0, "", row.record.epoch)
            checks.append(self.shard_check(shard))
            writes.append(self.shard_write(shard, record))
        return checks, writes

    def hand_over(self, stopping: set[str]) -> None:
        """Ends all leases, then releases the rows and deletes the session.

        Args:
            stopping: Hosts that get no shards, this one included.

        Raises:
            PlatformError: The rows could not be released; the session expires
                and zone peers take the shards over.
        """
        self.end_leases(stopping)
        self.session.close()
        self.leases.drop_lapsed()
        self.retry_conflicts(self.release_all)

    def release_shards(self, stopping: set[str]) -> None:
        """Ends all leases and releases the rows; the session goes on.

        Args:
            stopping: Hosts that get no shards, this one included.

        Raises:
            PlatformError: The rows could not be released; `hand_over` tries
                again.
        """
        self.end_leases(stopping)
        self.retry_conflicts(self.release_rows)

    def end_leases(self, stopping: set[str]) -> None:
        """Ends all leases and lets their state move to the successors."""
        held = self.leases.valid_shards()
        plan = self.planner.plan(held, stopping)
        for shard in held:
            self.leases.end_lease(shard, plan.get(shard))

    def retry_conflicts(self, change: Callable[[], None]) -> None:
        """Makes a change, again after a conflict with another host's change."""
        for attempt in range(1, HAND_OVER_ATTEMPTS + 1):
            try:
                change()
                return
            except errors.TransactionConflictError:
                if attempt == HAND_OVER_ATTEMPTS:
                    raise

    def release_rows(self) -> None:
        """Releases every shard row that names this host."""
        self.directory.poll()
        named = self.planner.rows_naming(
            self.sender.host, self.sender.incarnation
        )
        checks, writes = self.release_changes(named)
        if writes:
            self.directory.revise(checks, writes)

    def release_all(self) -> None:
        """Releases every row of this host and deletes its session."""
        self.directory.poll()
        found = self.directory.tables.get(records.HOSTS, self.session.key)
        if found is None:
            return
        own = records.decode_session(found.value)
        if own.incarnation != self.sender.incarnation:
            return
        named = self.planner.rows_naming(
            self.sender.host, self.sender.incarnation
        )
        checks, writes = self.release_changes(named)
        key = self.session.key
        checks.append(tables.Check(records.HOSTS, key, found.version))
        writes.append(tables.Write(records.HOSTS, key, None))
        self.directory.revise(checks, writes)
