"""Rows of the store by which hosts discover each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from coltsfootarch import errors
from coltsfootarch.fleet import hosts

if TYPE_CHECKING:
    from coltsfootarch.platform import store

HOST_TABLE = "coltsfootarch-hosts"
# Tries to write a row whose revision isn't known.
MAX_WRITES = 3

logger = structlog.get_logger(__name__)


class HostTable:
    """Implements `hosts.HostRegistry`.

    A write without an answer may be done seconds later. Rows are written and
    removed only at the revision that is known, so that a late write of an
    earlier start or a late removal doesn't undo what was written since.

    Args:
        client: Client of the store.

    Attributes:
        revisions: Known revisions of rows, by host.
    """

    def __init__(self, client: store.StoreClient) -> None:
        self.client = client
        self.revisions: dict[str, int] = {}

    def write(self, record: hosts.HostRecord) -> None:
        """Writes this host's row."""
        name = record.name
        value = msgspec.json.encode(record)
        for _ in range(MAX_WRITES):
            outcome = self.client.replace_rows(
                HOST_TABLE, {name: value}, {name: self.revisions.get(name, 0)}
            )
            if outcome.is_done:
                self.revisions[name] = outcome.revision
                return
            revisions = {row.key: row.revision for row in outcome.rows}
            self.revisions[name] = revisions.get(name, 0)
        raise errors.TableUnavailableError(
            f"the row of {name} was changed {MAX_WRITES} times meanwhile"
        )

    def remove(self, name: str) -> None:
        """Removes a host's row unless it has changed since it was read."""
        outcome = self.client.replace_rows(
            HOST_TABLE, {}, {name: self.revisions.get(name, 0)}, (name,)
        )
        if not outcome.is_done:
            logger.info(
                "row of a host not removed, as it has changed", peer=name
            )

    def read(self) -> list[hosts.HostRecord]:
        """Returns the records of all hosts; invalid ones are only logged."""
        records = []
        rows = self.client.read_table(HOST_TABLE).rows
        self.revisions = {row.key: row.revision for row in rows}
        for row in rows:
            try:
                records.append(
                    msgspec.json.decode(row.value or b"", type=hosts.HostRecord)
                )
            except msgspec.DecodeError as error:
                logger.warning(
                    "invalid host row ignored", row=row.key, reason=str(error)
                )
        return records
