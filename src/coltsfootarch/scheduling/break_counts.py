"""Requests whose upstreams broke off while they ran, over all hosts.

A request that crashes each upstream that runs it comes again with the same
content. After a few breaks it is refused before it reaches another one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports

# Breaks after which a request is refused.
MAX_BREAKS = 3
# Time without a break after which a request is forgotten, in seconds.
MEMORY_S = 60.0
# Entries that a report carries at most.
MAX_REPORTED = 20


class Breaks(NamedTuple):
    """Breaks of one request content on one host.

    Attributes:
        number: How many.
        at: Instant of the last one, in seconds.
    """

    number: int
    at: float


class BreakCounts:
    """Counts breaks by request digest; a `reports.Participant`.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.own: dict[str, Breaks] = {}
        self.peers: dict[str, dict[str, Breaks]] = {}

    def record(self, digest: str) -> None:
        """Counts a break."""
        self.expire()
        before = self.own.get(digest, Breaks(0, 0.0))
        self.own[digest] = Breaks(before.number + 1, self.clock.monotonic())

    def clear(self, digest: str) -> None:
        """Forgets a request that ran to its end."""
        if self.own:
            self.own.pop(digest, None)

    def is_refused(self, digest: str) -> bool:
        """Returns whether a request must not be sent any more."""
        if not self.own and not self.peers:
            return False
        oldest = self.clock.monotonic() - MEMORY_S
        tables = (self.own, *self.peers.values())
        total = sum(
            table[digest].number
            for table in tables
            if digest in table and table[digest].at >= oldest
        )
        return total >= MAX_BREAKS

    def expire(self) -> None:
        """Drops old entries."""
        oldest = self.clock.monotonic() - MEMORY_S
        for digest in [d for d, each in self.own.items() if each.at < oldest]:
            del self.own[digest]

    def contribute(self, report: reports.Report) -> reports.Report:
        """Adds the latest breaks; see `reports.Participant`."""
        latest = sorted(self.own.items(), key=lambda item: -item[1].at)
        report.breaks.extend(
            (digest, breaks.number) for digest, breaks in latest[:MAX_REPORTED]
        )
        return report

    def absorb(self, report: reports.Report, continuous: bool) -> None:
        """Takes a peer's breaks; see `reports.Participant`."""
        del continuous  # Reports of breaks carry totals.
        if not report.breaks:
            self.peers.pop(report.host, None)
            return
        now = self.clock.monotonic()
        known = self.peers.get(report.host, {})
        self.peers[report.host] = {
            digest: known[digest]
            if digest in known and known[digest].number == count
            else Breaks(count, now)
            for digest, count in report.breaks
        }
