"""Retry budgets of services over all hosts, divided without messages."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks

# Fraction of its allowance that a host spends. The rest covers hosts that
# joined but are not yet known to all others.
SPENDABLE_FRACTION = 0.8


class Window:
    """Requests and retries of one service in a sliding window.

    Attributes:
        requests: Instants of requests, in seconds.
        retries: Instants of retries, in seconds.
    """

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def expire(self, oldest: float) -> None:
        """Drops events before an instant, given in seconds."""
        for events in (self.requests, self.retries):
            while events and events[0] < oldest:
                events.popleft()


class SharedRetryBudget:
    """Limits retries to a ratio of requests plus a fixed number over all hosts.

    Each host applies the ratio to its own requests and uses an equal share of
    the fixed number, so that the total over all hosts stays within the budget
    even if they can't communicate.

    Args:
        clock: Source of time.
        hosts: Returns the number of hosts that may be serving.
        ratio: Retries allowed per request.
        minimum: Retries allowed in a window over all hosts in addition to the
            ratio.
        window_s: Length of the window in seconds.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        hosts: Callable[[], int],
        ratio: float,
        minimum: float,
        window_s: float,
    ) -> None:
        self.clock = clock
        self.hosts = hosts
        self.ratio = ratio
        self.minimum = minimum
        self.window_s = window_s
        self.windows: dict[str, Window] = {}

    def record(self, service: str) -> None:
        """Counts the first attempt of a request for a service."""
        self.window(service).requests.append(self.clock.monotonic())

    def spend(self, service: str) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        if not self.may_spend(service):
            return False
        self.window(service).retries.append(self.clock.monotonic())
        return True

    def may_spend(self, service: str) -> bool:
        """Returns whether there is a retry left to spend."""
        window = self.window(service)
        allowed = self.ratio * len(window.requests)
        allowed += self.minimum / max(self.hosts(), 1)
        return len(window.retries) + 1 <= allowed * SPENDABLE_FRACTION

    def window(self, service: str) -> Window:
        """Returns the window of a service without expired events."""
        window = self.windows.setdefault(service, Window())
        window.expire(self.clock.monotonic() - self.window_s)
        return window
