"""Periodic deletion of expired claims."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from coltsfootarch.idempotency import retention

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.storage import tables as platform_tables

INTERVAL = datetime.timedelta(seconds=10)
# Row keys are hexadecimal digests. Each run scans the keys with one prefix of
# three digits, which keeps the scan small. A pass over all 4,096 prefixes takes
# 11.4 hours, far less than the retention of claims.
PREFIX_DIGITS = 3
PREFIXES = 16**PREFIX_DIGITS


class ClaimSweeper:
    """Deletes expired claims, one row key prefix per run.

    Args:
        clock: Source of time.
        tables: Table service.
        is_home: Returns whether this host holds the home shard of the sweep.
            Two hosts that sweep at the same time do no harm.

    Attributes:
        deleted: Number of claims deleted by this host.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        tables: platform_tables.TableService,
        is_home: Callable[[], bool],
    ) -> None:
        self.clock = clock
        self.tables = tables
        self.is_home = is_home
        self.next_prefix = 0
        self.next_run = 0.0
        self.deleted = 0

    def tick(self) -> None:
        """Sweeps the next prefix if the interval has passed.

        Raises:
            PlatformError: The table service failed; the next run continues
                with the prefix after this one.
        """
        now = self.clock.monotonic()
        if now < self.next_run or not self.is_home():
            return
        self.next_run = now + INTERVAL.total_seconds()
        prefix = f"{self.next_prefix:0{PREFIX_DIGITS}x}"
        self.next_prefix = (self.next_prefix + 1) % PREFIXES
        self.deleted += retention.sweep(
            self.tables, self.clock.now(), prefix=prefix
        )
