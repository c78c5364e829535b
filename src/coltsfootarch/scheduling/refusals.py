"""Requests that any host refused recently for lack of capacity.

Under overload a caller is told when to retry and sends the same content again,
possibly to another host. The retry must not be refused by the same rule again
while newer requests take the capacity.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports

# Time for which a refusal is remembered. Callers are told to retry within a
# third of their remaining time, which is five seconds for the routes with the
# longest time limit.
RETENTION_S = 6.0
# Maximum number of refusals in a report.
MAX_REPORTED_REFUSALS = 100


class RecentRefusals:
    """Digests of refused requests; a `reports.Participant`.

    Args:
        clock: Source of time.

    Attributes:
        own: Instant of this host's refusals by request digest, oldest first.
        peers: Instant at which a peer first reported a refusal, by digest.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.own: dict[str, float] = {}
        self.peers: dict[str, float] = {}

    def record(self, digest: str) -> None:
        """Records a request that this host refused."""
        self.expire(self.own)
        self.own.pop(digest, None)  # Moves it to the end.
        self.own[digest] = self.clock.monotonic()

    def was_refused(self, digest: str) -> bool:
        """Returns whether any host refused the request recently."""
        refused_at = max(
            self.own.get(digest, float("-inf")),
            self.peers.get(digest, float("-inf")),
        )
        return self.clock.monotonic() - refused_at < RETENTION_S

    def expire(self, table: dict[str, float]) -> None:
        """Removes expired entries from a table ordered by age, oldest first."""
        oldest = self.clock.monotonic() - RETENTION_S
        for digest in list(table):
            if table[digest] > oldest:
                break
            del table[digest]

    def add_to_report(self, report: reports.Report) -> reports.Report:
        """Adds the latest refusals; see `reports.Participant`."""
        self.expire(self.own)
        return report._replace(refused=tuple(self.own)[-MAX_REPORTED_REFUSALS:])

    def apply_report(self, report: reports.Report, continuous: bool) -> None:
        """Adds a peer's refusals; see `reports.Participant`."""
        del continuous  # Each report is complete in itself.
        now = self.clock.monotonic()
        self.expire(self.peers)
        for digest in report.refused:
            # The peer reports a refusal until it expires there; only the first
            # report sets the instant.
            self.peers.setdefault(digest, now)
