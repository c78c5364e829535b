"""Requests that were refused lately for want of room, over all hosts.

Answers overload: a caller that was told when to come back comes to any host,
with the same content. It must not be refused by the same rule again, while
newer requests take the room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports

# Callers are told to come back within a third of the time that they have left,
# which is five seconds for the longest routes.
MEMORY_S = 6.0
# Entries that a report carries at most.
MAX_REPORTED = 100


class RecentRefusals:
    """Digests of refused requests; a `reports.Participant`.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.own: dict[str, float] = {}
        self.peers: dict[str, float] = {}

    def note(self, digest: str) -> None:
        """Remembers a request that this host refused."""
        self.expire(self.own)
        self.own.pop(digest, None)  # The newest one goes to the end.
        self.own[digest] = self.clock.monotonic()

    def is_known(self, digest: str) -> bool:
        """Returns whether a request was refused before, by any host."""
        at = max(
            self.own.get(digest, float("-inf")),
            self.peers.get(digest, float("-inf")),
        )
        return self.clock.monotonic() - at < MEMORY_S

    def expire(self, table: dict[str, float]) -> None:
        """Drops old entries; the oldest come first."""
        oldest = self.clock.monotonic() - MEMORY_S
        for digest in list(table):
            if table[digest] > oldest:
                break
            del table[digest]

    def contribute(self, report: reports.Report) -> reports.Report:
        """Adds the latest refusals; see `reports.Participant`."""
        self.expire(self.own)
        return report._replace(refused=tuple(self.own)[-MAX_REPORTED:])

    def absorb(self, report: reports.Report, continuous: bool) -> None:
        """Takes a peer's refusals; see `reports.Participant`."""
        del continuous  # Reports of refusals are complete.
        now = self.clock.monotonic()
        self.expire(self.peers)
        for digest in report.refused:
            # A known one is reported again until the peer forgets it.
            self.peers.setdefault(digest, now)
