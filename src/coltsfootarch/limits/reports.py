"""Batches of reports on grants, by home shard."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING
from typing import NamedTuple

from coltsfootarch.protocol import messages

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch.limits import wallet

# At most 4 messages a second go to one home shard.
REPORT_INTERVAL = datetime.timedelta(milliseconds=250)

# Reports to a shard without a known holder are kept this long.
REPORT_MEMORY = datetime.timedelta(seconds=10)

GrantsById = dict[str, "wallet.Grant"]


class Home(NamedTuple):
    """Home shard of an account in one availability zone."""

    availability_zone: str
    shard: int


class Reports:
    """Collects the grants whose totals the ledgers don't know yet.

    Args:
        send: Sends a report to the holder of a home; returns False if no
            holder is known.
    """

    def __init__(
        self, send: Callable[[Home, messages.GrantReport], bool]
    ) -> None:
        self.send = send
        self.pending: dict[Home, dict[str, GrantsById]] = {}
        self.sent_at: dict[Home, float] = {}

    def add(self, grant: wallet.Grant) -> None:
        """Schedules a report on a grant."""
        home = Home(grant.availability_zone, grant.shard)
        accounts = self.pending.setdefault(home, {})
        accounts.setdefault(grant.account, {})[grant.grant_id] = grant

    def take(self, home: Home, account: str) -> list[wallet.Grant]:
        """Returns an account's grants that are due and forgets them."""
        accounts = self.pending.get(home)
        if accounts is None:
            return []
        grants = list(accounts.pop(account, {}).values())
        if not accounts:
            del self.pending[home]
        return grants

    def flush(self, now: float, everything: bool = False) -> None:
        """Sends the batches that are due.

        Args:
            now: Current instant.
            everything: Whether to send without regard to the interval.
        """
        for home in list(self.pending):
            due = self.sent_at.get(home, 0.0) + REPORT_INTERVAL.total_seconds()
            if everything or now >= due:
                self.flush_home(home, now)

    def flush_home(self, home: Home, now: float) -> None:
        """Sends one batch."""
        self.sent_at[home] = now
        accounts = self.pending.pop(home)
        grants = [
            grant for grants in accounts.values() for grant in grants.values()
        ]
        usage = [grant.report() for grant in grants]
        if self.send(home, messages.GrantReport("", home.shard, usage)):
            return
        for grant in grants:
            if now < grant.granted_at + REPORT_MEMORY.total_seconds():
                self.add(grant)
