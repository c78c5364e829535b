"""Requests whose upstream connection broke while they ran, over all hosts.

A request that crashes every upstream that runs it is retried with the same
content. After several breaks it is refused before it reaches another upstream.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports

# Breaks after which a request is refused.
MAX_BREAKS = 3
# Time after the latest break for which breaks are remembered, in seconds.
RETENTION_S = 60.0
# Maximum number of requests in a report.
MAX_REPORTED_BREAKS = 20


class BreakRecord(NamedTuple):
    """Breaks of one request content on one host.

    Attributes:
        total: Number of breaks.
        last_at: Monotonic instant of the latest one, in seconds.
    """

    total: int
    last_at: float


class BreakCounts:
    """Counts breaks by request digest; a `reports.Participant`.

    Args:
        clock: Source of time.

    Attributes:
        own: Breaks on this host by request digest.
        peers: Breaks on each peer by request digest.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.own: dict[str, BreakRecord] = {}
        self.peers: dict[str, dict[str, BreakRecord]] = {}

    def record(self, digest: str) -> None:
        """Records a break of a request."""
        self.expire()
        previous = self.own.get(digest, BreakRecord(0, 0.0))
        self.own[digest] = BreakRecord(
            previous.total + 1, self.clock.monotonic()
        )

    def clear(self, digest: str) -> None:
        """Removes the breaks of a request that completed."""
        if self.own:
            self.own.pop(digest, None)

    def is_refused(self, digest: str) -> bool:
        """Returns whether a request must not be sent to an upstream again."""
        return self.count(digest) >= MAX_BREAKS

    def count(self, digest: str) -> int:
        """Returns the number of recent breaks of a request over all hosts."""
        if not self.own and not self.peers:
            return 0
        oldest = self.clock.monotonic() - RETENTION_S
        tables = (self.own, *self.peers.values())
        return sum(
            table[digest].total
            for table in tables
            if digest in table and table[digest].last_at >= oldest
        )

    def expire(self) -> None:
        """Removes expired entries."""
        oldest = self.clock.monotonic() - RETENTION_S
        for digest in [
            d for d, record in self.own.items() if record.last_at < oldest
        ]:
            del self.own[digest]

    def add_to_report(self, report: reports.Report) -> reports.Report:
        """Adds the latest breaks; see `reports.Participant`."""
        latest = sorted(self.own.items(), key=lambda item: -item[1].last_at)
        report.breaks.extend(
            (digest, breaks.total)
            for digest, breaks in latest[:MAX_REPORTED_BREAKS]
        )
        return report

    def apply_report(self, report: reports.Report, continuous: bool) -> None:
        """Replaces a peer's breaks; see `reports.Participant`."""
        del continuous  # Each report carries totals.
        if not report.breaks:
            self.peers.pop(report.host, None)
            return
        now = self.clock.monotonic()
        previous = self.peers.get(report.host, {})
        self.peers[report.host] = {
            digest: previous[digest]
            if digest in previous and previous[digest].total == count
            else BreakRecord(count, now)
            for digest, count in report.breaks
        }
