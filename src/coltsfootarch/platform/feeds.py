"""Reads policy and upstreams from the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
import xxhash

from coltsfootarch import errors
from coltsfootarch.fleet import active_policy
from coltsfootarch.fleet import followers
from coltsfootarch.platform import configuration
from coltsfootarch.platform import decoding
from coltsfootarch.platform import registrations

if TYPE_CHECKING:
    from coltsfootarch.fleet import policy
    from coltsfootarch.fleet import store_epochs
    from coltsfootarch.fleet import upstreams
    from coltsfootarch.platform import answers
    from coltsfootarch.platform import store

# Tables of the store. The operator writes to the first, the runners write to
# the second.
OPERATOR_TABLE = "op"
RUNNER_TABLE = "servers"
CONFIGURATION_KEY = "config"
# An answer about changes holds each version since the last read, one about the
# whole table only the newest. An answer about changes may hold several large
# versions if it exceeds the last answer with a policy by this factor and this
# number of bytes.
SEVERAL_VERSIONS_FACTOR = 1.5
SEVERAL_VERSIONS_MARGIN = 65536

logger = structlog.get_logger(__name__)


class PolicyFeed:
    """Reads the operator's policy; implements `followers.PolicySource`.

    Args:
        client: Client of the store.

    Attributes:
        policy_bytes: Size of the last answer that held a policy.
    """

    def __init__(self, client: store.StoreClient) -> None:
        self.client = client
        self.policy_bytes = 0

    def read(self) -> active_policy.PolicyReadResult:
        """Returns the newest policy."""
        result = self.decode(self.client.read_table(OPERATOR_TABLE))
        return result._replace(complete=True)

    def read_changes(
        self, position: store_epochs.Position, wait_s: float
    ) -> active_policy.PolicyReadResult:
        """Waits for a policy that was written after a position.

        Args:
            position: Position of the last read.
            wait_s: Longest wait for a change, in seconds.

        Returns:
            A result without a policy if none was written in that time.
        """
        max_bytes = int(
            SEVERAL_VERSIONS_FACTOR * self.policy_bytes
            + SEVERAL_VERSIONS_MARGIN
        )
        try:
            rows = self.client.read_changes(
                OPERATOR_TABLE, position, wait_s, max_bytes
            )
        except errors.TableAnswerTooLargeError as error:
            logger.info(
                "several configurations were written; reading the newest",
                revision=position.revision,
                reason=error.message,
            )
            return self.read()
        return self.decode(rows)

    def abandon_silent_read(self) -> bool:
        """Ends a read whose answer has not begun; see `PolicySource`."""
        return self.client.abandon_silent_call()

    def decode(self, rows: answers.Rows) -> active_policy.PolicyReadResult:
        """Returns the last valid policy among rows in order of change.

        An invalid one is logged. If the last one is invalid, the result is
        marked as not readable.
        """
        newest: policy.Policy | None = None
        digest = 0
        row_revision = 0
        readable = True
        started = self.client.clock.monotonic()
        for row in rows.rows:
            if row.key != CONFIGURATION_KEY or row.value is None:
                continue
            try:
                newest = configuration.decode(row.value)
                digest = xxhash.xxh64_intdigest(row.value)
                row_revision = row.revision
                readable = True
            except decoding.UnreadableDocumentError as error:
                readable = False
                logger.error(
                    "invalid configuration ignored; the one in force stays",
                    revision=rows.revision,
                    reason=str(error),
                )
        if newest is not None:
            self.policy_bytes = rows.transfer.size_bytes
        return active_policy.PolicyReadResult(
            newest,
            rows.revision,
            rows.sent_at,
            readable,
            rows.transfer,
            len(rows.rows),
            self.client.clock.monotonic() - started,
            rows.epoch,
            digest,
            row_revision=row_revision,
        )


class UpstreamFeed:
    """Reads registrations; implements `followers.UpstreamSource`.

    Args:
        client: Client of the store.
    """

    def __init__(self, client: store.StoreClient) -> None:
        self.client = client

    def read(self) -> followers.UpstreamReadResult:
        """Returns all registered upstreams."""
        return self.decode(self.client.read_table(RUNNER_TABLE))

    def read_changes(
        self, position: store_epochs.Position, wait_s: float
    ) -> followers.UpstreamReadResult:
        """Waits for changes after a position and returns them.

        Args:
            position: Position of the last read.
            wait_s: Longest wait for a change, in seconds.
        """
        return self.decode(
            self.client.read_changes(RUNNER_TABLE, position, wait_s)
        )

    def decode(self, rows: answers.Rows) -> followers.UpstreamReadResult:
        """Returns the upstreams of rows in order of change.

        A row whose last value is invalid is logged and counts as removed.
        """
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
                    "invalid registration counts as removed",
                    upstream=row.key,
                    reason=str(error),
                )
        return followers.UpstreamReadResult(
            found,
            tuple(removed),
            rows.revision,
            rows.sent_at,
            rows.epoch,
            {row.key: row.revision for row in rows.rows if row.key in found},
        )
