"""Shard directory: sessions and shard holders of all availability zones."""

from __future__ import annotations

import contextlib
import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch import errors
from coltsfootarch.protocol import messages
from coltsfootarch.storage import tables
from coltsfootarch.zone import interfaces
from coltsfootarch.zone import records
from coltsfootarch.zone import timing

if TYPE_CHECKING:
    from collections.abc import Sequence

    from coltsfootarch import clock


class ShardRow(NamedTuple):
    """A shard's record and the version of its row."""

    record: records.ShardRecord
    version: int


class ZoneView(NamedTuple):
    """Sessions and shards of an availability zone as last read.

    Attributes:
        revision: Directory revision.
        head_version: Version of the row that contains the revision.
        sessions: Session by host name. Renewals do not change the revision, so
            their fields may be out of date.
        shards: Row by shard number.
    """

    revision: int
    head_version: int
    sessions: dict[str, records.SessionRecord]
    shards: dict[int, ShardRow]

    def is_live(self, host: str, incarnation: int) -> bool:
        """Returns whether this incarnation has a session."""
        session = self.sessions.get(host)
        return session is not None and session.incarnation == incarnation


EMPTY_VIEW = ZoneView(0, 0, {}, {})


class Directory:
    """Reads the shard directory and writes this host's changes to it.

    Implements `interfaces.Holders`. While the store is unavailable, the last
    view stays in use.

    Args:
        availability_zone: This host's zone.
        tables: The table service.
        clock: Source of time.

    Attributes:
        views: Last view of each zone.
        newest_config_version: Newest committed configuration version observed
            in the store or reported by a peer.
        conflicts: Number of this host's changes that failed because another
            host changed the directory first.
        next_poll_at: Instant from which the next poll is due.
        last_poll_at: Instant of the last poll.
        last_success_at: Instant of the last successful poll.
    """

    def __init__(
        self,
        availability_zone: str,
        tables: tables.TableService,
        clock: clock.Clock,
    ) -> None:
        self.availability_zone = availability_zone
        self.tables = tables
        self.clock = clock
        self.views: dict[str, ZoneView] = {}
        self.newest_config_version = 0
        self.conflicts = 0
        self.next_poll_at = -math.inf
        self.last_poll_at = -math.inf
        self.last_success_at = -math.inf

    @property
    def own_view(self) -> ZoneView:
        """View of this host's zone."""
        return self.views.get(self.availability_zone, EMPTY_VIEW)

    def holder(
        self, availability_zone: str, shard: int
    ) -> interfaces.Holder | None:
        """Returns the holder as last read, or None if there is none."""
        view = self.views.get(availability_zone, EMPTY_VIEW)
        row = view.shards.get(shard)
        if row is None or not row.record.holder:
            return None
        record = row.record
        return interfaces.Holder(
            record.holder, record.incarnation, record.address, record.epoch
        )

    def live_hosts(self, availability_zone: str) -> int:
        """Returns the number of hosts with a session, at least 1."""
        view = self.views.get(availability_zone, EMPTY_VIEW)
        return max(1, len(view.sessions))

    def is_live(self, host: str, incarnation: int) -> bool:
        """Returns whether this incarnation still has a session."""
        return any(
            view.is_live(host, incarnation) for view in self.views.values()
        )

    def address_of(self, host: str, incarnation: int) -> str | None:
        """Returns the address ("ip:port") of a host's peer socket.

        Returns:
            The address, or None if this incarnation has no session.
        """
        for view in self.views.values():
            if view.is_live(host, incarnation):
                return view.sessions[host].address
        return None

    def has_hosts(self, availability_zone: str) -> bool:
        """Returns whether any host of a zone has a session."""
        return bool(self.views.get(availability_zone, EMPTY_VIEW).sessions)

    def view_age(self) -> float:
        """Returns the seconds since the last successful poll."""
        return self.clock.monotonic() - self.last_success_at

    def heads(self) -> messages.Heads:
        """Returns the newest configuration version and directory revisions."""
        revisions = {zone: view.revision for zone, view in self.views.items()}
        return messages.Heads(self.newest_config_version, revisions)

    def record_heads(self, heads: messages.Heads) -> None:
        """Records a peer's heads; a newer revision makes a poll due soon."""
        self.newest_config_version = max(
            self.newest_config_version, heads.config_version
        )
        for zone, revision in heads.directory.items():
            if revision > self.views.get(zone, EMPTY_VIEW).revision:
                # Rate-limited, since the store may be unreachable from here.
                next_poll_at = self.last_poll_at + timing.POLL_INTERVAL / 4
                self.next_poll_at = min(self.next_poll_at, next_poll_at)

    def poll_if_due(self) -> None:
        """Polls if the interval has passed or a newer revision is known.

        Raises:
            TableUnavailableError: The last view stays.
        """
        if self.clock.monotonic() >= self.next_poll_at:
            self.poll()

    def refresh(self) -> None:
        """Polls because an entry is missing in the view.

        These polls are limited to one per `REFRESH_INTERVAL`, since requests of
        callers trigger them. If the store is unavailable, the last view stays.
        """
        if self.clock.monotonic() - self.last_poll_at < timing.REFRESH_INTERVAL:
            return
        with contextlib.suppress(errors.TableUnavailableError):
            self.poll()

    def poll(self) -> None:
        """Reads the heads and the zones whose revision has changed.

        Raises:
            TableUnavailableError: The last view stays.
        """
        self.last_poll_at = self.clock.monotonic()
        self.next_poll_at = self.last_poll_at + timing.POLL_INTERVAL
        for row in self.tables.scan(records.HEADS, ""):
            if row.key == records.CONFIG_HEAD:
                version = records.decode_head(row.value)
                self.newest_config_version = max(
                    self.newest_config_version, version
                )
            if row.key.startswith(records.DIRECTORY_PREFIX):
                self.read_zone(row)
        self.last_success_at = self.last_poll_at

    def read_zone(self, head: tables.Row) -> None:
        """Reads a zone's rows if its revision has changed."""
        zone = head.key.removeprefix(records.DIRECTORY_PREFIX)
        view = self.views.get(zone)
        if view is not None and view.head_version == head.version:
            return
        sessions = [
            records.decode_session(row.value)
            for row in self.tables.scan(records.HOSTS, f"{zone}/")
        ]
        shards = {
            records.shard_number(row.key): ShardRow(
                records.decode_shard(row.value), row.version
            )
            for row in self.tables.scan(records.SHARDS, f"{zone}/")
        }
        self.views[zone] = ZoneView(
            records.decode_head(head.value),
            head.version,
            {session.host: session for session in sessions},
            shards,
        )

    def commit_changes(
        self, checks: Sequence[tables.Check], writes: Sequence[tables.Write]
    ) -> list[tables.Row]:
        """Changes this zone's directory and increments its revision.

        The check of the revision ensures that the directory has not changed
        since the view on which the change is based.

        Args:
            checks: Conditions in addition to the revision.
            writes: Rows of `hosts` and `shards` of this zone.

        Returns:
            The rows written, including the head.

        Raises:
            TransactionConflictError: Nothing was written.
            TableUnavailableError: Nothing was written.
            TableOutcomeUnknownError: The change may have been applied; the
                next poll shows it.
        """
        view = self.own_view
        key = records.directory_key(self.availability_zone)
        check = tables.Check(records.HEADS, key, view.head_version)
        head = records.encode_head(view.revision + 1)
        write = tables.Write(records.HEADS, key, head)
        try:
            rows = self.tables.transact([*checks, check], [*writes, write])
        except errors.TransactionConflictError:
            self.conflicts += 1
            self.next_poll_at = -math.inf
            raise
        except errors.TableOutcomeUnknownError:
            self.next_poll_at = -math.inf
            raise
        self.apply_changes(view, writes, rows)
        return rows

    def apply_changes(
        self,
        base: ZoneView,
        writes: Sequence[tables.Write],
        rows: Sequence[tables.Row],
    ) -> None:
        """Applies this host's committed change to the view.

        Args:
            base: View on which the change was based.
            writes: The writes of the change, without the head.
            rows: The rows written, with the head last.
        """
        view = self.own_view
        if view.head_version != base.head_version:
            self.next_poll_at = -math.inf
            return
        sessions = dict(view.sessions)
        shards = dict(view.shards)
        for write in writes:
            if write.table == records.HOSTS and write.value is None:
                sessions.pop(write.key.rpartition("/")[2], None)
        for row in rows:
            if row.table == records.HOSTS:
                session = records.decode_session(row.value)
                sessions[session.host] = session
            if row.table == records.SHARDS:
                shards[records.shard_number(row.key)] = ShardRow(
                    records.decode_shard(row.value), row.version
                )
        self.views[self.availability_zone] = ZoneView(
            view.revision + 1, rows[-1].version, sessions, shards
        )
