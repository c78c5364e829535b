"""Audit entries, written in the same transaction as the change they record."""

from __future__ import annotations

import datetime
import secrets
from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from coltsfootarch.storage import tables

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

TABLE = "audit"

# Entries are written by operators' machines, whose clocks may be ahead of that
# of the reader.
MAX_CLOCK_SKEW = datetime.timedelta(days=1)


class AuditEntry(NamedTuple):
    """One recorded change. No field may contain a key or text of a prompt.

    Attributes:
        at: Time of the change, ISO 8601 in UTC with microseconds.
        author: Who made the change.
        action: Type of the change, such as "config.commit".
        subject: What was changed, such as "register" or a zone's name.
        version: Configuration version that the change committed; 0 for none.
        detail: Comment or further details.
    """

    at: str
    author: str
    action: str
    subject: str
    version: int
    detail: str


class AuditTrail:
    """Builds and reads audit entries in the table service.

    Args:
        service: Table service.
        clock: Clock that dates the entries.
    """

    def __init__(
        self, service: tables.TableService, clock: clocks.Clock
    ) -> None:
        self.service = service
        self.clock = clock

    def build_entry(
        self,
        author: str,
        action: str,
        subject: str,
        version: int = 0,
        detail: str = "",
    ) -> AuditEntry:
        """Returns an entry with the current time."""
        at = format_time(self.clock.now())
        return AuditEntry(at, author, action, subject, version, detail)

    def build_write(self, entry: AuditEntry) -> tables.Write:
        """Returns the write that adds the entry in the change's transaction.

        The key starts with time and version, so that keys are ordered by them,
        and ends with a random part, so that no two entries have the same key.
        """
        key = f"{entry.at}-{entry.version:010d}-{secrets.token_hex(8)}"
        return tables.Write(TABLE, key, msgspec.msgpack.encode(entry))

    def read(
        self, since: datetime.datetime, limit: int = 100
    ) -> list[AuditEntry]:
        """Returns the newest entries, ordered from the oldest to the newest.

        Args:
            since: Entries before this time are left out.
            limit: Maximum number of entries.

        Raises:
            TableUnavailableError: The table service did not answer.
        """
        if limit < 1:
            return []
        first = format_time(since)
        last = format_time(self.clock.now() + MAX_CLOCK_SKEW)
        prefix = common_prefix(first, last)
        rows = [
            row for row in self.service.scan(TABLE, prefix) if row.key >= first
        ]
        return [
            msgspec.msgpack.decode(row.value, type=AuditEntry)
            for row in rows[-limit:]
        ]


def common_prefix(first: str, second: str) -> str:
    """Returns the longest common prefix of two strings."""
    for index, (left, right) in enumerate(zip(first, second, strict=False)):
        if left != right:
            return first[:index]
    return min(first, second, key=len)


def format_time(instant: datetime.datetime) -> str:
    """Returns the instant as ISO 8601 in UTC with microseconds.

    The width is fixed, so that strings are ordered by time.
    """
    utc = instant.astimezone(datetime.UTC)
    return utc.isoformat(timespec="microseconds")
