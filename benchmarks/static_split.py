"""Baseline of the limits benchmark: an equal split of rates over the hosts."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from coltsfootarch import errors
from coltsfootarch import results

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.config import register as registers

POLL_INTERVAL = datetime.timedelta(milliseconds=10)


class Bucket:
    """Exact token bucket, full at the start.

    Args:
        rate: Refill in tokens per second.
        burst: Capacity in tokens.
        now: Current instant in seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.refilled_at = now

    def add(self, tokens: float, now: float) -> None:
        """Refills up to `now` and adds `tokens`, which may be negative."""
        refill = (now - self.refilled_at) * self.rate
        self.refilled_at = now
        self.level = min(self.burst, self.level + refill)
        self.level = min(self.burst, self.level + tokens)


class StaticSplit:
    """Limiter of one host that doesn't communicate with other hosts.

    Args:
        clock: Source of time.
        hosts: Number of hosts in the register.
        register: Register in force.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        hosts: int,
        register: registers.Register,
    ) -> None:
        self.clock = clock
        self.queue_timeout = register.rules.queue_timeout.total_seconds()
        now = clock.monotonic()
        self.buckets = {
            name: Bucket(account.rate / hosts, account.burst / hosts, now)
            for name, account in register.client_accounts.items()
        }

    def reserve(self, account: str, tokens: int) -> None:
        """Reserves tokens, queueing up to the timeout like `limiter.Limiter`.

        Raises:
            RefusedError: RATE_EXCEEDED, if they aren't available in time.
        """
        bucket = self.buckets[account]
        deadline = self.clock.monotonic() + self.queue_timeout
        while True:
            now = self.clock.monotonic()
            bucket.add(0.0, now)
            if bucket.level >= tokens:
                bucket.level -= tokens
                return
            if now >= deadline:
                raise errors.RefusedError(results.RATE_EXCEEDED)
            self.clock.sleep(POLL_INTERVAL)

    def settle(self, account: str, unused: int) -> None:
        """Returns unused tokens of a request to the bucket."""
        self.buckets[account].add(unused, self.clock.monotonic())
