"""Retry budget of a service over all hosts, split without messages."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks

# Part of the allowance that hosts spend; the rest covers hosts that join
# before all others know them.
SPENDABLE_FRACTION = 0.8


class Window:
    """Events of one service in a sliding window.

    Attributes:
        requests: Instants of requests, in seconds.
        retries: Instants of retries, in seconds.
    """

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def expire(self, oldest: float) -> None:
        """Drops events before an instant."""
        for events in (self.requests, self.retries):
            while events and events[0] < oldest:
                events.popleft()


class SharedRetryBudget:
    """Allows retries in proportion to requests, plus a part of a fixed number.

    Each host uses the ratio of its own requests and an equal part of the fixed
    number, so the sum over all hosts holds even if they can't talk.

    Args:
        clock: Source of time.
        hosts: Returns how many hosts may be serving.
        ratio: Retries allowed per request.
        minimum: Retries allowed over all hosts in a window without requests.
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
        """Counts a request for a service."""
        self.window(service).requests.append(self.clock.monotonic())

    def spend(self, service: str) -> bool:
        """Takes one retry; returns False if the budget is used up."""
        window = self.window(service)
        allowed = self.ratio * len(window.requests)
        allowed += self.minimum / max(self.hosts(), 1)
        if len(window.retries) + 1 > allowed * SPENDABLE_FRACTION:
            return False
        window.retries.append(self.clock.monotonic())
        return True

    def window(self, service: str) -> Window:
        """Returns a service's window as of now."""
        window = self.windows.setdefault(service, Window())
        window.expire(self.clock.monotonic() - self.window_s)
        return window
