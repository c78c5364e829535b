"""Forecast of the wait for an engine, over all hosts.

Answers bursts above the engines' capacity: a request that would wait beyond
its objective is told at once when to come back, instead of being held while
newer requests that can still be in time take the room. Requests that have come
back aren't counted, since nobody waits for them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports

# A peer's count of waiting requests is used for this long, in seconds.
PEER_VALIDITY_S = 1.0
# Weight of the newest duration in the mean.
DURATION_WEIGHT = 0.1
# Duration of a generation before any was seen, in seconds.
DEFAULT_DURATION_S = 3.0


class PeerWaiting(NamedTuple):
    """Requests that wait at a peer.

    Attributes:
        at: Instant of the report, in seconds.
        counts: Waiting requests by service.
    """

    at: float
    counts: dict[str, int]


class Backlog:
    """Waiting requests of all hosts and the rate at which engines free room.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.waiting: dict[str, int] = {}
        self.peers: dict[str, PeerWaiting] = {}
        self.durations: dict[str, float] = {}
        self.on_change: list[Callable[[], object]] = []

    def enter(self, service: str) -> None:
        """Counts a request that waits here."""
        self.waiting[service] = self.waiting.get(service, 0) + 1

    def leave(self, service: str) -> None:
        """Takes back a request that no longer waits."""
        left = self.waiting.get(service, 0) - 1
        if left > 0:
            self.waiting[service] = left
        else:
            self.waiting.pop(service, None)

    def note_duration(self, service: str, seconds: float) -> None:
        """Counts the duration of a generation."""
        mean = self.durations.get(service, DEFAULT_DURATION_S)
        self.durations[service] = mean + DURATION_WEIGHT * (seconds - mean)

    def total(self, service: str) -> int:
        """Returns how many requests wait for a service on all hosts."""
        oldest = self.clock.monotonic() - PEER_VALIDITY_S
        return self.waiting.get(service, 0) + sum(
            peer.counts.get(service, 0)
            for peer in self.peers.values()
            if peer.at >= oldest
        )

    def expected_wait(self, service: str, running: int) -> float:
        """Returns the seconds until a request that arrives now is placed.

        Args:
            service: Name of the service.
            running: Requests in progress at its decode engines.
        """
        ahead = self.total(service)
        if not ahead:
            return 0.0
        duration = self.durations.get(service, DEFAULT_DURATION_S)
        return (ahead + 1) * duration / max(running, 1)

    def contribute(self, report: reports.Report) -> reports.Report:
        """Adds waiting requests; see `reports.Participant`."""
        report.waiting.extend(self.waiting.items())
        return report

    def absorb(self, report: reports.Report, continuous: bool) -> None:
        """Takes a peer's waiting requests; see `reports.Participant`."""
        del continuous  # Reports of waiting requests are complete.
        counts = dict(report.waiting)
        before = self.peers.get(report.host)
        self.peers[report.host] = PeerWaiting(self.clock.monotonic(), counts)
        if before is not None and before.counts != counts:
            for listener in self.on_change:
                listener()
