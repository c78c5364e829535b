"""Rows of the store about software versions and the streams that they began."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from coltsfootarch import errors
from coltsfootarch.fleet import store_epochs
from coltsfootarch.fleet import stream_records
from coltsfootarch.fleet import version_rows

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from coltsfootarch.platform import store

VERSION_TABLE = "coltsfootarch-versions"
STREAM_TABLE = "coltsfootarch-streams"
# Value of the row of a stream that may be of any version.
PLACEHOLDER = stream_records.NO_VERSION.encode()

logger = structlog.get_logger(__name__)


class VersionTable:
    """Implements `version_rows.VersionTable`.

    Args:
        client: Client of the store.
    """

    def __init__(self, client: store.StoreClient) -> None:
        self.client = client

    def read(self, service: str) -> version_rows.StoredVersions:
        """Returns the row of a service; an invalid one is only logged."""
        row, now_ms, epoch = self.client.read_row(VERSION_TABLE, service)
        if row is None:
            position = store_epochs.Position(epoch, 0)
            return version_rows.StoredVersions(None, position, now_ms)
        position = store_epochs.Position(epoch, row.revision)
        state = None
        try:
            state = msgspec.json.decode(
                row.value or b"", type=version_rows.VersionState
            )
        except msgspec.DecodeError as error:
            logger.warning(
                "invalid row of versions ignored",
                service=service,
                reason=str(error),
            )
        return version_rows.StoredVersions(state, position, now_ms)

    def replace(
        self,
        service: str,
        state: version_rows.VersionState,
        position: store_epochs.Position,
    ) -> bool:
        """Writes the row of a service if it is still at a position."""
        return self.client.replace_row(
            VERSION_TABLE, service, msgspec.json.encode(state), position
        )


class StreamTable:
    """Implements `stream_records.RecordTable`.

    Writes and lookups don't wait for each other.

    Args:
        writer: Client of the store for writes.
        reader: Client of the store for lookups.
    """

    def __init__(
        self, writer: store.StoreClient, reader: store.StoreClient
    ) -> None:
        self.writer = writer
        self.reader = reader

    def write(
        self,
        records: Mapping[str, str],
        placeholders: Collection[str],
        removed: Iterable[str],
    ) -> Collection[str]:
        """Writes records and removes others in one transaction."""
        values = {key: version.encode() for key, version in records.items()}
        values |= dict.fromkeys(placeholders, PLACEHOLDER)
        outcome = self.writer.replace_rows(
            STREAM_TABLE, values, dict.fromkeys(placeholders, 0), removed
        )
        if not outcome.is_done and not outcome.rows:
            raise errors.TableUnavailableError(
                "the store refused placeholders of which none exists"
            )
        return {row.key for row in outcome.rows}

    def find(self, key: str) -> stream_records.StoredRecord:
        """Looks up a stream."""
        row, _, epoch = self.reader.read_row(STREAM_TABLE, key)
        if row is None or row.value is None:
            return stream_records.StoredRecord(None, epoch)
        return stream_records.StoredRecord(
            row.value.decode(errors="replace"), epoch
        )

    def keys(self) -> list[str]:
        """Returns the keys of all records."""
        return [row.key for row in self.writer.read_table(STREAM_TABLE).rows]
