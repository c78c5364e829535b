"""Expected wait for an engine, computed from the backlog of all hosts.

During bursts above the engines' capacity, a request that would wait beyond its
objective is refused immediately with a retry time. It would otherwise be queued
while newer requests that can still meet their objective take the capacity.
Retries after a refusal aren't counted, since no other request is queued behind
them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports

# Time after which a peer's report is stale, in seconds.
PEER_REPORT_VALIDITY_S = 1.0
# Weight of the newest duration in the mean.
NEW_SAMPLE_WEIGHT = 0.1
# Duration of a generation until one was measured, in seconds.
DEFAULT_DURATION_S = 3.0


class PeerBacklog(NamedTuple):
    """Latest report of a peer's waiting requests.

    Attributes:
        received_at: Monotonic instant at which it arrived, in seconds.
        counts: Waiting requests by service.
    """

    received_at: float
    counts: dict[str, int]


class Backlog:
    """Waiting requests of all hosts and the mean duration of generations.

    Args:
        clock: Source of time.

    Attributes:
        waiting: Waiting requests of this host by service.
        peers: Latest report of each peer.
        mean_durations: Mean duration of a generation by service, in seconds.
        on_change: Called when the waiting requests of a peer have changed.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.waiting: dict[str, int] = {}
        self.peers: dict[str, PeerBacklog] = {}
        self.mean_durations: dict[str, float] = {}
        self.on_change: list[Callable[[], object]] = []

    def add_waiting(self, service: str) -> None:
        """Adds a request that waits on this host."""
        self.waiting[service] = self.waiting.get(service, 0) + 1

    def remove_waiting(self, service: str) -> None:
        """Removes a request that no longer waits."""
        remaining = self.waiting.get(service, 0) - 1
        if remaining > 0:
            self.waiting[service] = remaining
        else:
            self.waiting.pop(service, None)

    def record_duration(self, service: str, seconds: float) -> None:
        """Adds the duration of a generation to the mean."""
        mean = self.mean_durations.get(service, DEFAULT_DURATION_S)
        self.mean_durations[service] = mean + NEW_SAMPLE_WEIGHT * (
            seconds - mean
        )

    def total(self, service: str) -> int:
        """Returns how many requests wait for a service on all hosts."""
        oldest = self.clock.monotonic() - PEER_REPORT_VALIDITY_S
        return self.waiting.get(service, 0) + sum(
            peer.counts.get(service, 0)
            for peer in self.peers.values()
            if peer.received_at >= oldest
        )

    def expected_wait(self, service: str, running: int) -> float:
        """Returns the expected wait of a request that arrives now, in seconds.

        Args:
            service: Name of the service.
            running: Requests in progress on its decode engines.
        """
        ahead = self.total(service)
        if not ahead:
            return 0.0
        duration = self.mean_durations.get(service, DEFAULT_DURATION_S)
        return (ahead + 1) * duration / max(running, 1)

    def add_to_report(self, report: reports.Report) -> reports.Report:
        """Adds this host's waiting requests; see `reports.Participant`."""
        report.waiting.extend(self.waiting.items())
        return report

    def apply_report(self, report: reports.Report, continuous: bool) -> None:
        """Replaces a peer's waiting requests; see `reports.Participant`."""
        del continuous  # Each report is complete in itself.
        counts = dict(report.waiting)
        previous = self.peers.get(report.host)
        self.peers[report.host] = PeerBacklog(self.clock.monotonic(), counts)
        if previous is not None and previous.counts != counts:
            for listener in self.on_change:
                listener()
