"""What the platform's store says about policy, upstreams and hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from coltsfootarch.fleet import followers
from coltsfootarch.fleet import hosts
from coltsfootarch.platform import configuration
from coltsfootarch.platform import decoding
from coltsfootarch.platform import registrations

if TYPE_CHECKING:
    from coltsfootarch.fleet import policy
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.platform import store

# Tables of the store. The operator and the runners write to the first two.
OPERATOR_TABLE = "op"
RUNNER_TABLE = "servers"
HOST_TABLE = "coltsfootarch-hosts"
CONFIGURATION_KEY = "config"

logger = structlog.get_logger(__name__)


class PolicyFeed:
    """Policies of the operator; see `followers.PolicySource`.

    Args:
        client: Client of the store.
    """

    def __init__(self, client: store.StoreClient) -> None:
        self.client = client

    def read(self) -> followers.PolicyReading:
        """Returns the newest policy."""
        return self.decode(self.client.read_table(OPERATOR_TABLE))

    def read_changes(
        self, revision: int, wait_s: float
    ) -> followers.PolicyReading:
        """Returns the newest policy after a revision, if there is one."""
        return self.decode(
            self.client.read_changes(OPERATOR_TABLE, revision, wait_s)
        )

    def decode(self, rows: store.Rows) -> followers.PolicyReading:
        """Returns the policy among rows; an unreadable one is logged."""
        newest: policy.Policy | None = None
        readable = True
        for row in rows.rows:
            if row.key != CONFIGURATION_KEY or row.value is None:
                continue
            try:
                newest = configuration.decode(row.value)
                readable = True
            except decoding.UnreadableDocumentError as error:
                readable = False
                logger.error(
                    "configuration can't be read; the one in force stays",
                    revision=rows.revision,
                    reason=str(error),
                )
        return followers.PolicyReading(
            newest, rows.revision, rows.sent_at, readable
        )


class UpstreamFeed:
    """Registered runners; see `followers.UpstreamSource`.

    Args:
        client: Client of the store.
    """

    def __init__(self, client: store.StoreClient) -> None:
        self.client = client

    def read(self) -> followers.UpstreamReading:
        """Returns all registered upstreams."""
        return self.decode(self.client.read_table(RUNNER_TABLE))

    def read_changes(
        self, revision: int, wait_s: float
    ) -> followers.UpstreamReading:
        """Returns the registrations that changed after a revision."""
        return self.decode(
            self.client.read_changes(RUNNER_TABLE, revision, wait_s)
        )

    def decode(self, rows: store.Rows) -> followers.UpstreamReading:
        """Returns the upstreams of rows; unreadable rows name none."""
        found: dict[str, upstreams.Upstream] = {}
        removed: set[str] = set()
        for row in rows.rows:
            found.pop(row.key, None)
            removed.discard(row.key)
            if row.value is None:
                removed.add(row.key)
                continue
            try:
                found[row.key] = registrations.decode(row.key, row.value)
            except decoding.UnreadableDocumentError as error:
                removed.add(row.key)
                logger.warning(
                    "registration can't be read",
                    upstream=row.key,
                    reason=str(error),
                )
        return followers.UpstreamReading(
            found, tuple(removed), rows.revision, rows.sent_at
        )


class HostTable:
    """Rows by which hosts find each other; see `hosts.HostRegistry`.

    Args:
        client: Client of the store.
    """

    def __init__(self, client: store.StoreClient) -> None:
        self.client = client

    def write(self, record: hosts.HostRecord) -> None:
        """Writes this host's row."""
        self.client.write_row(
            HOST_TABLE, record.name, msgspec.json.encode(record)
        )

    def remove(self, name: str) -> None:
        """Removes a host's row."""
        self.client.remove_row(HOST_TABLE, name)

    def read(self) -> list[hosts.HostRecord]:
        """Returns the rows of all hosts; unreadable ones are logged."""
        records = []
        for row in self.client.read_table(HOST_TABLE).rows:
            try:
                records.append(
                    msgspec.json.decode(row.value or b"", type=hosts.HostRecord)
                )
            except msgspec.DecodeError as error:
                logger.warning(
                    "host row can't be read", row=row.key, reason=str(error)
                )
        return records
