"""Limits for callers while hosts and callers learn of a change.

A caller may keep to the limits of the version before for as long as a version
takes to reach everybody. In that time the larger of both limits holds. A
version between them may have reached callers only, so that idle connections
aren't closed in that time at all.
"""

from __future__ import annotations

import collections
import math
from typing import TYPE_CHECKING

from coltsfootarch.fleet import policy

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks

# The users' `config_apply_ms`, 2 to 4 s, and 1 s for requests on their way.
OVERLAP_S = 5.0


class RecentLimits:
    """Combines the limits in force with those that they replaced.

    Args:
        read: Returns the limits in force; None while there is no policy.
        clock: Source of time.
    """

    def __init__(
        self,
        read: Callable[[], policy.CallerLimits | None],
        clock: clocks.Clock,
    ) -> None:
        self.read = read
        self.clock = clock
        self.latest: policy.CallerLimits | None = None
        self.changed_at = -math.inf
        self.replaced: collections.deque[tuple[float, policy.CallerLimits]] = (
            collections.deque()
        )

    def record_change(self) -> None:
        """Records that a newer policy has replaced another one."""
        if self.latest is not None:
            self.changed_at = self.clock.monotonic()
        self.current()

    def keep_idle_s(self) -> float:
        """Returns for how long idle connections must be kept, in seconds."""
        return max(self.changed_at + OVERLAP_S - self.clock.monotonic(), 0.0)

    def current(self) -> policy.CallerLimits:
        """Returns the largest value of each limit that may still be used."""
        latest = self.read()
        if latest is None:
            return policy.CallerLimits()
        if latest != self.latest:
            if self.latest is not None:
                self.replaced.append((self.clock.monotonic(), self.latest))
            self.latest = latest
        if not self.replaced:
            return latest
        oldest = self.clock.monotonic() - OVERLAP_S
        while self.replaced and self.replaced[0][0] <= oldest:
            self.replaced.popleft()
        limits = latest
        for _, earlier in self.replaced:
            limits = policy.CallerLimits(
                max(limits.header_bytes, earlier.header_bytes),
                max(limits.body_bytes, earlier.body_bytes),
                max(limits.header_timeout_s, earlier.header_timeout_s),
                max(limits.idle_timeout_s, earlier.idle_timeout_s),
            )
        return limits
