"""Batches usage reports on grants, by the home shard of their account.

Not to be confused with `fleet.reports`, in which hosts report their load.
"""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.protocol import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.limits import account_grants

# Limits the reports to one home shard to 4 messages a second.
REPORT_INTERVAL = datetime.timedelta(milliseconds=250)

# Reports to a shard without a known holder are retried until their grant is
# this old.
REPORT_RETENTION = datetime.timedelta(seconds=10)

GrantsById = dict[str, "account_grants.Grant"]


class HomeShard(NamedTuple):
    """Home shard of an account in one availability zone."""

    availability_zone: str
    shard: int


class GrantReportQueue:
    """Collects the grants whose totals have not been reported yet.

    Args:
        send: Sends a report to the holder of a home shard; returns False if
            no holder is known.

    Attributes:
        pending: Grants to report, by home shard, account and grant id.
        sent_at: Instant of the last batch, by home shard.
    """

    def __init__(
        self, send: Callable[[HomeShard, messages.GrantReport], bool]
    ) -> None:
        self.send = send
        self.pending: dict[HomeShard, dict[str, GrantsById]] = {}
        self.sent_at: dict[HomeShard, float] = {}

    def add(self, grant: account_grants.Grant) -> None:
        """Adds a grant to the next batch for its home shard."""
        home = HomeShard(grant.availability_zone, grant.shard)
        accounts = self.pending.setdefault(home, {})
        accounts.setdefault(grant.account, {})[grant.grant_id] = grant

    def pop(self, home: HomeShard, account: str) -> list[account_grants.Grant]:
        """Removes and returns an account's grants that are to be reported."""
        accounts = self.pending.get(home)
        if accounts is None:
            return []
        grants = list(accounts.pop(account, {}).values())
        if not accounts:
            del self.pending[home]
        return grants

    def flush(self, now: float, force: bool = False) -> None:
        """Sends the batches that are due.

        Args:
            now: Current instant.
            force: Whether to send all batches regardless of the interval.
        """
        for home in list(self.pending):
            next_flush_at = (
                self.sent_at.get(home, 0.0) + REPORT_INTERVAL.total_seconds()
            )
            if force or now >= next_flush_at:
                self.send_batch(home, now)

    def send_batch(self, home: HomeShard, now: float) -> None:
        """Sends the batch for one home shard."""
        self.sent_at[home] = now
        accounts = self.pending.pop(home)
        grants = [
            grant for grants in accounts.values() for grant in grants.values()
        ]
        usage = [grant.report() for grant in grants]
        if self.send(home, messages.GrantReport("", home.shard, usage)):
            return
        for grant in grants:
            if now < grant.granted_at + REPORT_RETENTION.total_seconds():
                self.add(grant)
