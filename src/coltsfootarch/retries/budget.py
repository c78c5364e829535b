"""Retry budget of one host: limits retries to a fraction of its requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

WINDOW_SECONDS = 10

# Retries per second that are allowed in addition to the ratio, so that a host
# with few requests can retry at all.
MINIMUM_RATE = 0.2


class RetryBudget:
    """Limits retries to a ratio of the requests of the last 10 s.

    Args:
        clock: Source of time for the sliding window.
        ratio: Retries allowed per request.
    """

    def __init__(self, clock: clocks.Clock, ratio: float) -> None:
        self.clock = clock
        self.ratio = ratio
        self.requests: dict[int, int] = {}
        self.retries: dict[int, int] = {}

    def record(self) -> None:
        """Counts the first attempt of a request."""
        second = self.advance()
        self.requests[second] = self.requests.get(second, 0) + 1

    def available(self) -> float:
        """Returns the number of retries that may start now."""
        self.advance()
        allowed = self.ratio * sum(self.requests.values())
        allowed += MINIMUM_RATE * WINDOW_SECONDS
        return allowed - sum(self.retries.values())

    def spend(self) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""
        if self.available() < 1.0:
            return False
        second = self.advance()
        self.retries[second] = self.retries.get(second, 0) + 1
        return True

    def advance(self) -> int:
        """Drops counts outside the window and returns the current second."""
        second = int(self.clock.monotonic())
        oldest = second - WINDOW_SECONDS
        for counts in (self.requests, self.retries):
            for key in [key for key in counts if key <= oldest]:
                del counts[key]
        return second
