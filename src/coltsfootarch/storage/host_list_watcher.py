"""Polls the platform's list of leaving hosts and upstreams."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

import structlog

from coltsfootarch import errors

if TYPE_CHECKING:
    from coltsfootarch import clock
    from coltsfootarch.storage import host_list

POLL_INTERVAL = datetime.timedelta(seconds=2)
# Age of the list from which it is fetched again before new work starts. While
# the platform answers, a leaving upstream so gets no new work after this time,
# not even from a host that was paused meanwhile.
MAX_LIST_AGE = datetime.timedelta(seconds=5)

logger = structlog.get_logger(__name__)


class HostListWatcher:
    """Keeps the platform's latest list.

    While the platform does not answer, the last list stays in use.

    Args:
        clock: Source of time.
        service: The platform's list.

    Attributes:
        last_leaving: Leaving addresses of the last list; empty before it.
        fetched_at: Monotonic instant of the last successful request.
        asked_at: Monotonic instant of the last request.
        failures: Number of failed requests.
    """

    def __init__(self, clock: clock.Clock, service: host_list.HostList) -> None:
        self.clock = clock
        self.service = service
        self.last_leaving: frozenset[str] = frozenset()
        self.fetched_at: float | None = None
        self.asked_at: float | None = None
        self.failures = 0

    def tick(self) -> None:
        """Fetches the list when the poll interval has passed."""
        if self.seconds_since(self.asked_at) >= POLL_INTERVAL.total_seconds():
            self.fetch()

    def leaving_hosts(self) -> frozenset[str]:
        """Returns the leaving addresses of the last list."""
        return self.last_leaving

    def ensure_fresh(self) -> None:
        """Fetches the list if it is outdated.

        After a request the next one is made only when the poll interval has
        passed, so that new work doesn't wait for an unreachable platform.
        """
        limit = MAX_LIST_AGE.total_seconds()
        retry = POLL_INTERVAL.total_seconds()
        outdated = self.seconds_since(self.fetched_at) > limit
        if outdated and self.seconds_since(self.asked_at) >= retry:
            self.fetch()

    def fetch(self) -> None:
        """Requests the list and keeps it; a failure is counted and logged."""
        asked_at = self.clock.monotonic()
        self.asked_at = asked_at
        try:
            snapshot = self.service.fetch()
        except errors.HostListUnavailableError as error:
            self.failures += 1
            logger.warning("host list unavailable", reason=error.message)
            return
        self.last_leaving = snapshot.leaving
        self.fetched_at = asked_at

    def seconds_since(self, instant: float | None) -> float:
        """Returns the seconds since a monotonic instant; infinite for None."""
        if instant is None:
            return float("inf")
        return self.clock.monotonic() - instant
