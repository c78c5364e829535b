"""Requests during which upstreams broke off, as observed by all hosts.

A request that crashes every upstream that runs it is retried with the same
content, at any host. After several breaks it is refused before it reaches
another upstream. Every host keeps and passes on what one of them observed,
since the observer may restart.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog
import xxhash

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports

# Breaks after which a request is refused.
MAX_BREAKS = 3
# Breaks of a request that are kept, the number by which refusals get longer.
MAX_KEPT_BREAKS = 6
# Time in seconds after the latest break for which a request is refused, and
# fewer breaks are remembered. It doubles with each break beyond `MAX_BREAKS`.
RETENTION_S = 60.0
# Requests whose breaks are remembered, and those whose breaks were cleared.
MAX_REQUESTS = 500
# Every report has the breaks and successes of this time. Some reports have
# earlier breaks too, from which a restarted host learns.
RECENT_S = 3.0
REPORTS_PER_FULL_REPORT = 10
# Maximum number of entries of each kind in a report, and of those entries of a
# full report that are chosen in turn.
MAX_REPORTED = 8
MAX_REPORTED_IN_TURN = 4

logger = structlog.get_logger(__name__)


class Breaks(NamedTuple):
    """Breaks of one request content.

    Attributes:
        causes: Digests of what broke; several observers of one crash use the
            same one.
        last_at: Monotonic instant of the latest break, in seconds.
    """

    causes: frozenset[str]
    last_at: float

    @property
    def is_refusable(self) -> bool:
        """Whether there are enough breaks to refuse the request."""
        return len(self.causes) >= MAX_BREAKS

    @property
    def refusal_s(self) -> float:
        """Time after the latest break for which they count, in seconds."""
        excess = max(len(self.causes) - MAX_BREAKS, 0)
        return float(RETENTION_S * 2**excess)

    @property
    def weight(self) -> tuple[int, float]:
        """Sort key by which breaks are kept and reported, least first."""
        return len(self.causes), self.last_at


class BreakCounts:
    """Counts breaks by request digest; a `reports.Participant`.

    Args:
        clock: Source of time.
        origin: Name of this process, unique in the fleet.
        report_soon: Called after each break, to report it early.

    Attributes:
        breaks: Breaks observed by any host by request digest.
        cleared_at: Instant at which a request that has breaks, or may have one,
            completed, by its digest.
        suspected: Number of failures of a request for which it isn't known yet
            whether they are breaks, by its digest.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        origin: str = "",
        report_soon: Callable[[], object] = lambda: None,
    ) -> None:
        self.clock = clock
        self.origin = origin
        self.report_soon = report_soon
        self.breaks: dict[str, Breaks] = {}
        self.cleared_at: dict[str, float] = {}
        self.suspected: collections.Counter[str] = collections.Counter()
        self.recorded = 0
        self.report_count = 0
        self.next_in_turn = 0

    def record(self, digest: str, upstream: str = "") -> None:
        """Records a break of a request.

        Args:
            digest: Digest of the request.
            upstream: Name of the upstream's incarnation that went down, so
                that its crash counts once for requests that were on it
                together; empty if only the connection is known to have broken.
        """
        self.recorded += 1
        cause = cause_digest(upstream or f"{self.origin}#{self.recorded}")
        self.add(digest, Breaks(frozenset({cause}), self.clock.monotonic()))
        self.report_soon()

    def add(self, digest: str, breaks: Breaks) -> None:
        """Adds breaks; those that are known already change nothing."""
        known = self.breaks.get(digest)
        if known is None:
            known = Breaks(frozenset(), float("-inf"))
        elif breaks.causes <= known.causes:
            return
        causes = sorted(known.causes) + sorted(breaks.causes - known.causes)
        merged = Breaks(
            frozenset(causes[:MAX_KEPT_BREAKS]),
            max(breaks.last_at, known.last_at),
        )
        self.breaks[digest] = merged
        if merged.is_refusable and not known.is_refusable:
            logger.warning(
                "request content refused",
                digest=digest,
                breaks=len(merged.causes),
                seconds=merged.refusal_s,
            )
        if len(self.breaks) > MAX_REQUESTS:
            del self.breaks[min(self.breaks, key=self.weight)]

    def weight(self, digest: str) -> tuple[int, float]:
        """Returns the sort key of a request's breaks, least first."""
        return self.breaks[digest].weight

    def suspect(self, digest: str) -> None:
        """Notes a failure of a request that may turn out to be a break."""
        self.suspected[digest] += 1

    def end_suspicion(self, digest: str) -> None:
        """Notes that it is known whether a failure was a break."""
        self.suspected[digest] -= 1
        if self.suspected[digest] <= 0:
            del self.suspected[digest]

    def clear(self, digest: str) -> None:
        """Removes the breaks of a request that completed."""
        if digest in self.breaks or digest in self.suspected:
            self.note_cleared(digest, self.clock.monotonic())

    def note_cleared(self, digest: str, at: float) -> None:
        """Removes the breaks of a request up to an instant, in seconds."""
        self.cleared_at[digest] = max(at, self.cleared_at.get(digest, at))
        if len(self.cleared_at) > MAX_REQUESTS:
            del self.cleared_at[
                min(self.cleared_at, key=self.cleared_at.__getitem__)
            ]
        known = self.breaks.get(digest)
        if known is not None and known.last_at <= at:
            del self.breaks[digest]

    def count(self, digest: str) -> int:
        """Returns the number of known breaks of a request over all hosts."""
        known = self.breaks.get(digest)
        return len(known.causes) if known is not None else 0

    def is_refused(self, digest: str) -> bool:
        """Returns whether a request must not be sent to an upstream again."""
        known = self.breaks.get(digest)
        if known is None or not known.is_refusable:
            return False
        return self.clock.monotonic() - known.last_at < known.refusal_s

    def refused(self) -> int:
        """Returns the number of requests that are refused at present."""
        return sum(map(self.is_refused, self.breaks))

    def expire(self) -> None:
        """Removes expired entries.

        Breaks for which a request was refused are kept as long again, so that
        one more break extends the refusal.
        """
        now = self.clock.monotonic()
        for digest, known in list(self.breaks.items()):
            retained = 2 if known.is_refusable else 1
            if now - known.last_at > retained * known.refusal_s:
                del self.breaks[digest]
        oldest = now - RETENTION_S
        for digest in [d for d, at in self.cleared_at.items() if at < oldest]:
            del self.cleared_at[digest]

    def add_to_report(self, report: reports.Report) -> reports.Report:
        """Adds breaks and successes; see `reports.Participant`."""
        if not self.breaks and not self.cleared_at:
            return report
        now = self.clock.monotonic()
        cleared = sorted(
            (int((now - at) * 1000), digest)
            for digest, at in self.cleared_at.items()
            if now - at < RECENT_S
        )
        return report._replace(
            broken_requests=tuple(
                (
                    digest,
                    tuple(sorted(self.breaks[digest].causes)),
                    int((now - self.breaks[digest].last_at) * 1000),
                )
                for digest in self.reported_digests(now)
            ),
            completed_requests=tuple(
                (digest, age_ms) for age_ms, digest in cleared[:MAX_REPORTED]
            ),
        )

    def reported_digests(self, now: float) -> Iterable[str]:
        """Returns the digests whose breaks the next report has."""
        ranked = sorted(self.breaks, key=self.weight, reverse=True)
        recent = [
            digest
            for digest in ranked
            if now - self.breaks[digest].last_at < RECENT_S
        ]
        chosen = recent[:MAX_REPORTED]
        self.report_count += 1
        if ranked and self.report_count % REPORTS_PER_FULL_REPORT == 0:
            chosen += ranked[:MAX_REPORTED]
            start = self.next_in_turn % len(ranked)
            chosen += ranked[start : start + MAX_REPORTED_IN_TURN]
            self.next_in_turn = start + MAX_REPORTED_IN_TURN
        return dict.fromkeys(chosen)

    def apply_report(self, report: reports.Report, continuous: bool) -> None:
        """Adds a peer's breaks and successes; see `reports.Participant`."""
        del continuous  # Breaks that are known already change nothing.
        now = self.clock.monotonic()
        for digest, age_ms in report.completed_requests:
            self.note_cleared(digest, now - age_ms / 1000)
        for digest, causes, age_ms in report.broken_requests:
            at = now - age_ms / 1000
            if at > self.cleared_at.get(digest, float("-inf")):
                self.add(digest, Breaks(frozenset(causes), at))
        # Hosts of earlier builds report the number of their own breaks.
        for digest, count in report.breaks:
            names = (
                f"{report.host}#{number}"
                for number in range(min(count, MAX_BREAKS))
            )
            self.add(digest, Breaks(frozenset(map(cause_digest, names)), now))


def cause_digest(name: str) -> str:
    """Returns the short form in which the cause of a break is passed on."""
    return xxhash.xxh32_hexdigest(name.encode())
