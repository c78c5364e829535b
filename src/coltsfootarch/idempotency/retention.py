"""Deletion of expired claims."""

from __future__ import annotations

from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch.idempotency import rows
from coltsfootarch.storage import tables as platform_tables

if TYPE_CHECKING:
    import datetime


def sweep(
    tables: platform_tables.TableService,
    now: datetime.datetime,
    prefix: str = "",
    limit: int = 500,
) -> int:
    """Deletes expired claims but not their bodies in the object store.

    Args:
        tables: Table service.
        now: Current date and time.
        prefix: Hexadecimal prefix of the row keys to scan; several callers
            can divide the work by it.
        limit: Maximum number of deletions, which bounds the load on the table
            service.

    Returns:
        Number of claims deleted.

    Raises:
        TableUnavailableError: The table service did not answer.
        TableOutcomeUnknownError: The last deletion may have been applied.
    """
    deleted = 0
    for stored in tables.scan(rows.TABLE, prefix):
        if deleted >= limit:
            break
        if rows.decode(stored.value).expires_at > now.timestamp():
            continue
        check = platform_tables.Check(rows.TABLE, stored.key, stored.version)
        write = platform_tables.Write(rows.TABLE, stored.key, None)
        try:
            tables.transact([check], [write])
        except errors.TransactionConflictError:
            continue
        deleted += 1
    return deleted
