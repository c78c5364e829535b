"""Holds requests back at a host that has just started.

A host that doesn't know the others would use the whole of each limit, and one
that hasn't heard them yet doesn't know what has crashed upstreams. Both take
some milliseconds while the store answers.
"""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import active_policy
    from coltsfootarch.fleet import hosts
    from coltsfootarch.fleet import policy

# Longest wait for the reports of the hosts that the list names, in seconds.
# They send several within it; some may have gone.
MAX_REPORT_WAIT_S = 0.3
# Longest time for which a host that has a policy waits for the list, in
# seconds. Then it serves with the parts of limits of `hosts.UNKNOWN_COUNT`.
MAX_LIST_WAIT_S = 5.0
# Longest wait of a request, in seconds, and the interval of its checks.
MAX_REQUEST_WAIT_S = 0.3
CHECK_INTERVAL = datetime.timedelta(milliseconds=20)

logger = structlog.get_logger(__name__)


class FleetJoin:
    """Tells whether a host that has started may serve requests.

    Args:
        directory: Directory of the other hosts.
        policy_tracker: Holds the active policy.
        clock: Source of time.

    Attributes:
        completed: Whether it may; it then stays so.
        policy_at: Instant at which the first policy came into force, in
            seconds; None before.
    """

    def __init__(
        self,
        directory: hosts.HostDirectory,
        policy_tracker: active_policy.PolicyTracker,
        clock: clocks.Clock,
    ) -> None:
        self.directory = directory
        self.clock = clock
        self.completed = False
        self.policy_at: float | None = None
        policy_tracker.on_change.append(self.note_policy)

    def note_policy(self, _: policy.Policy) -> None:
        """Notes when this host got a policy."""
        if self.policy_at is None:
            self.policy_at = self.clock.monotonic()

    def is_complete(self) -> bool:
        """Returns whether this host may serve requests."""
        if not self.completed and self.knows_enough():
            self.completed = True
            logger.info(
                "host joined",
                hosts_known=self.directory.known,
                reached=self.directory.reached(),
                expected=self.directory.count(),
            )
        return self.completed

    def knows_enough(self) -> bool:
        """Returns whether the others were heard, or no longer waited for."""
        now = self.clock.monotonic()
        if self.directory.known:
            return (
                self.directory.all_reachable()
                or now - self.directory.known_at >= MAX_REPORT_WAIT_S
            )
        return (
            self.policy_at is not None
            and now - self.policy_at >= MAX_LIST_WAIT_S
        )

    def wait(self) -> bool:
        """Waits until this host may serve requests; returns whether it may."""
        ends_at = self.clock.monotonic() + MAX_REQUEST_WAIT_S
        while not self.is_complete():
            if self.clock.monotonic() >= ends_at:
                return False
            self.clock.sleep(CHECK_INTERVAL)
        return True
