"""Claims, takes over and releases shards in the table service."""

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

MAX_RELEASE_ATTEMPTS = 5

log = structlog.get_logger(__name__)


class ShardClaims:
    """Writes the zone's shard rows for this host.

    Args:
        sender: This host.
        session: Session of this host.
        directory: The shard directory.
        leases: Leases of this host, updated after a change of its rows.
        clock: Source of time.
        shard_count: Returns the number of shards of the zone; 0 while there is
            no configuration.

    Attributes:
        unconfirmed: Leases of claims whose outcome is unknown because the
            answer was lost, by shard.
        free_since: Instant at which a shard was first observed free, by shard.
        released_at: Instant of the last release of a surplus shard.
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
            PlatformError: The store did not answer, or another host changed a
                row first.
        """
        self.leases.drop_invalid()
        if not self.session.store_valid() or not self.planner.shard_count():
            return
        self.reclaim_lost()
        self.claim_free(set(stopping))
        self.release_surplus(set(stopping))

    def reclaim_lost(self) -> None:
        """Regains shards whose rows name this host without a valid lease.

        A claim whose answer was lost took effect if the row has its epoch: no
        other attempt can have written this epoch with this host as holder.
        """
        lost: list[int] = []
        view = self.directory.own_view
        for shard in self.planner.shards_assigned_to(
            self.sender.host, self.sender.incarnation
        ):
            if shard in self.leases.held:
                continue
            attempt = self.unconfirmed.pop(shard, None)
            if attempt is not None and (
                attempt.epoch,
                attempt.invalidations,
            ) == (
                view.shards[shard].record.epoch,
                self.session.invalidations,
            ):
                self.leases.acquire({shard: attempt})
            else:
                lost.append(shard)
        if lost:
            self.claim(lost, [], [])

    def claim_free(self, stopping: set[str]) -> None:
        """Claims free shards until this host holds its target number.

        A shard that another host is preferred for is claimed only after it was
        free for `PREFERRED_CLAIM_DELAY`.
        """
        free = self.planner.free_shards()
        self.free_since = {
            shard: self.free_since.get(shard, self.clock.monotonic())
            for shard in free
        }
        capacity = self.planner.target(stopping) - len(self.leases.held)
        if capacity <= 0 or not free:
            return
        plan = self.planner.plan(free, stopping)
        latest_free_since = (
            self.clock.monotonic() - timing.PREFERRED_CLAIM_DELAY
        )
        claimable = [
            shard
            for shard in free
            if plan.get(shard) == self.sender.host
            or self.free_since[shard] <= latest_free_since
        ]
        if claimable:
            checks = self.absence_checks(claimable[:capacity])
            if checks is not None:
                self.claim(claimable[:capacity], checks, [])

    def absence_checks(self, numbers: list[int]) -> list[tables.Check] | None:
        """Returns checks that the last holders still have no session.

        Args:
            numbers: Free shards.

        Returns:
            The checks, or None if one of the holders has a session after all.

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
        """Deletes a dead host's session and claims its shards.

        The caller must have verified the conditions of a takeover. An earlier
        session of this host itself is only deleted.

        Args:
            old: Session of the dead host.
            version: Version of its row when it was observed.

        Raises:
            PlatformError: The store did not answer or a row has changed.
        """
        key = records.session_key(old.availability_zone, old.host)
        check = tables.Check(records.HOSTS, key, version)
        delete = tables.Write(records.HOSTS, key, None)
        if old.host == self.sender.host:
            self.directory.commit_changes([check], [delete])
            return
        assigned = self.planner.shards_assigned_to(old.host, old.incarnation)
        self.claim(assigned, [check], [delete], acquired_by_takeover=True)
        log.warning("host taken over", host=old.host, shards=len(assigned))

    def claim(
        self,
        numbers: list[int],
        checks: list[tables.Check],
        writes: list[tables.Write],
        acquired_by_takeover: bool = False,
    ) -> None:
        """Writes this host into shard rows, with the next epochs.

        Args:
            numbers: Shards to claim.
            checks: Further conditions of the transaction.
            writes: Further writes of the transaction.
            acquired_by_takeover: Whether this is the takeover of a dead host,
                whose grants have all expired by then.

        Raises:
            PlatformError: The store did not answer or a row has changed.
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
                epoch, now, acquired_by_takeover, self.session.invalidations
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
            self.directory.commit_changes(checks, writes)
        except errors.TableOutcomeUnknownError:
            self.unconfirmed.update(leases)
            raise
        for shard in numbers:
            self.unconfirmed.pop(shard, None)
            self.free_since.pop(shard, None)
        self.leases.acquire(leases)

    def own_session_check(self) -> tables.Check:
        """Returns a check that this host's session row is unchanged."""
        return tables.Check(
            records.HOSTS, self.session.key, self.session.version
        )

    def shard_check(self, shard: int) -> tables.Check:
        """Returns a check that a shard's row is unchanged since the view."""
        row = self.directory.own_view.shards.get(shard)
        key = records.shard_key(self.sender.availability_zone, shard)
        version = 0 if row is None else row.version
        return tables.Check(records.SHARDS, key, version)

    def shard_write(
        self, shard: int, record: records.ShardRecord
    ) -> tables.Write:
        """Returns a write of a shard's row."""
        key = records.shard_key(self.sender.availability_zone, shard)
        return tables.Write(records.SHARDS, key, records.encode(record))

    def release_surplus(self, stopping: set[str]) -> None:
        """Releases one shard above the target if another host has capacity.

        At most one shard per `SURPLUS_RELEASE_INTERVAL` is released.
        """
        now = self.clock.monotonic()
        if now - self.released_at < timing.SURPLUS_RELEASE_INTERVAL:
            return
        if len(self.leases.held) <= self.planner.target(stopping):
            return
        if not self.planner.plan([max(self.leases.held)], stopping):
            return
        # A release based on an outdated view fails only after the lease has
        # ended, so that the shard's state would be lost without need.
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
        self.directory.commit_changes(checks, writes)

    def release_changes(
        self, numbers: Iterable[int]
    ) -> tuple[list[tables.Check], list[tables.Write]]:
        """Returns checks and writes that release shards of this host.

        The rows keep their epochs, so that the next claim raises them.
        """
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
            stopping: Hosts that get no shards, including this one.

        Raises:
            PlatformError: The rows could not be released; the session will
                expire and zone peers will take over the shards.
        """
        self.end_leases(stopping)
        self.session.close()
        self.leases.drop_invalid()
        self.retry_conflicts(self.release_all)

    def release_shards(self, stopping: set[str]) -> None:
        """Ends all leases and releases the rows; the session stays open.

        Args:
            stopping: Hosts that get no shards, including this one.

        Raises:
            PlatformError: The rows could not be released; `hand_over` retries.
        """
        self.end_leases(stopping)
        self.retry_conflicts(self.release_rows)

    def end_leases(self, stopping: set[str]) -> None:
        """Ends all leases and hands their state over to the successors."""
        held = self.leases.valid_shards()
        plan = self.planner.plan(held, stopping)
        for shard in held:
            self.leases.end_lease(shard, plan.get(shard))

    def retry_conflicts(self, change: Callable[[], None]) -> None:
        """Makes a change; retries it after a conflict with another host's."""
        for attempt in range(1, MAX_RELEASE_ATTEMPTS + 1):
            try:
                change()
                return
            except errors.TransactionConflictError:
                if attempt == MAX_RELEASE_ATTEMPTS:
                    raise

    def release_rows(self) -> None:
        """Releases every shard row that names this host."""
        self.directory.poll()
        assigned = self.planner.shards_assigned_to(
            self.sender.host, self.sender.incarnation
        )
        checks, writes = self.release_changes(assigned)
        if writes:
            self.directory.commit_changes(checks, writes)

    def release_all(self) -> None:
        """Releases every row of this host and deletes its session."""
        self.directory.poll()
        found = self.directory.tables.get(records.HOSTS, self.session.key)
        if found is None:
            return
        own = records.decode_session(found.value)
        if own.incarnation != self.sender.incarnation:
            return
        assigned = self.planner.shards_assigned_to(
            self.sender.host, self.sender.incarnation
        )
        checks, writes = self.release_changes(assigned)
        key = self.session.key
        checks.append(tables.Check(records.HOSTS, key, found.version))
        writes.append(tables.Write(records.HOSTS, key, None))
        self.directory.commit_changes(checks, writes)
