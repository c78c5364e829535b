"""How upstreams have answered lately, and which ones to avoid.

Upstreams are judged by what requests meet, not by health checks.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import structlog

from coltsfootarch.scheduling import health

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports
    from coltsfootarch.fleet import upstreams

# Older outcomes count half as much after this time.
HALF_LIFE_S = 4.0
# Outcomes that every upstream is credited with, so that one failure among few
# doesn't decide.
PRIOR_SUCCESSES = 2.0
# A failure that a peer met counts less, since its successes aren't reported.
PEER_WEIGHT = 0.3
# Engines are few; one that is back must not stay unused for long.
LONGEST_EJECTION_S = 4.0
# After a refusal an upstream gets nothing for this time, which doubles with
# each further one; a prompt that was read for it is lost each time.
REFUSAL_REST_S = 0.25
# A refusal that a peer met holds for this time here.
PEER_REFUSAL_S = 0.3
# Failures are reported for this time; it covers several lost reports.
REPORTED_S = 3.0

logger = structlog.get_logger(__name__)


class Outcome(enum.Enum):
    """How an upstream treated a request.

    `BROKEN` means that no whole answer came, `ABSENT` that there was no
    connection.
    """

    SUCCESS = "success"
    REFUSED = "refused"
    ERROR = "error"
    BROKEN = "broken"
    ABSENT = "absent"


class Record:
    """Recent outcomes of one upstream."""

    def __init__(self) -> None:
        self.successes = 0.0
        self.failures = 0.0
        self.latency = 0.0
        self.updated_at = 0.0
        self.refusals = 0
        self.refuses_until = float("-inf")
        self.peers_refused_until = float("-inf")
        self.health = health.Health(max_ejection_seconds=LONGEST_EJECTION_S)

    def decay(self, now: float) -> None:
        """Lets older outcomes count less."""
        elapsed = max(now - self.updated_at, 0.0)
        factor = math.pow(0.5, elapsed / HALF_LIFE_S)
        self.successes *= factor
        self.failures *= factor
        self.updated_at = now


class OutcomeTracker:
    """Success rates and ejections of upstreams.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.records: dict[str, Record] = {}
        self.reported: dict[str, int] = {}
        self.reported_at: dict[str, float] = {}
        self.peers: dict[str, dict[str, int]] = {}

    def record(
        self, upstream: str, outcome: Outcome, latency_s: float = 0.0
    ) -> None:
        """Counts an outcome.

        Args:
            upstream: Id of the upstream.
            outcome: How it treated a request.
            latency_s: Time to the answer in seconds, for successes.
        """
        now = self.clock.monotonic()
        entry = self.records.setdefault(upstream, Record())
        entry.decay(now)
        if outcome is Outcome.SUCCESS:
            entry.successes += 1
            entry.refusals = 0
            entry.health.succeeded(now)
            weight = 0.2 if entry.latency else 1.0
            entry.latency += weight * (latency_s - entry.latency)
            return
        if outcome is Outcome.REFUSED:
            # It is full or changes its stage; that says nothing of its health.
            entry.refusals += 1
            rest = REFUSAL_REST_S * 2 ** min(entry.refusals - 1, 3)
            entry.refuses_until = max(entry.refuses_until, now + rest)
            return
        entry.failures += 1
        if outcome is Outcome.ERROR:
            return
        self.reported[upstream] = self.reported.get(upstream, 0) + 1
        self.reported_at[upstream] = now
        self.fail(upstream, entry, certain=outcome is Outcome.ABSENT)

    def fail(self, upstream: str, entry: Record, certain: bool) -> None:
        """Counts a failure towards an ejection.

        Args:
            upstream: Id of the upstream.
            entry: Its record.
            certain: Whether one failure is enough.
        """
        now = self.clock.monotonic()
        usable = entry.health.usable(now)
        entry.health.failed(now)
        if certain:
            entry.health.eject(now)
        if usable and not entry.health.usable(now):
            logger.info("upstream ejected", upstream=upstream)

    def note_progress(self, upstream: str) -> None:
        """Notes that a long answer has begun, which ends a probe."""
        entry = self.records.get(upstream)
        if entry is not None:
            entry.health.succeeded(self.clock.monotonic())

    def rest(self, upstream: str, seconds: float) -> None:
        """Keeps an upstream from getting requests for a time."""
        entry = self.records.setdefault(upstream, Record())
        until = self.clock.monotonic() + seconds
        entry.refuses_until = max(entry.refuses_until, until)

    def is_refusing(self, upstream: str) -> bool:
        """Returns whether an upstream refused a request just now."""
        entry = self.records.get(upstream)
        if entry is None:
            return False
        now = self.clock.monotonic()
        return now < max(entry.refuses_until, entry.peers_refused_until)

    def contribute(self, report: reports.Report) -> reports.Report:
        """Adds failures of the last seconds; see `reports.Participant`."""
        now = self.clock.monotonic()
        report.refusing.extend(
            upstream
            for upstream, entry in self.records.items()
            if now < entry.refuses_until
        )
        oldest = now - REPORTED_S
        report.failures.extend(
            (upstream, count)
            for upstream, count in self.reported.items()
            if self.reported_at[upstream] >= oldest
        )
        return report

    def absorb(self, report: reports.Report, continuous: bool) -> None:
        """Takes failures that a peer met; see `reports.Participant`."""
        now = self.clock.monotonic()
        for upstream in report.refusing:
            entry = self.records.setdefault(upstream, Record())
            entry.peers_refused_until = now + PEER_REFUSAL_S
        known = self.peers.get(report.host, {})
        current = dict(report.failures)
        self.peers[report.host] = current
        if not continuous:
            return
        for upstream, count in report.failures:
            if count <= known.get(upstream, 0):
                continue
            entry = self.records.setdefault(upstream, Record())
            entry.decay(self.clock.monotonic())
            entry.failures += PEER_WEIGHT
            # A report of a failure from before the ejection doesn't extend it.
            if entry.health.usable(self.clock.monotonic()):
                self.fail(upstream, entry, certain=False)

    def note_dispatch(self, upstream: str) -> None:
        """Notes a request; after an ejection it is the probe."""
        entry = self.records.get(upstream)
        if entry is not None:
            entry.health.dispatched(self.clock.monotonic())

    def is_usable(self, upstream: str) -> bool:
        """Returns whether an upstream is not ejected."""
        entry = self.records.get(upstream)
        return entry is None or entry.health.usable(self.clock.monotonic())

    def preferred(
        self, candidates: Sequence[upstreams.Upstream]
    ) -> Sequence[upstreams.Upstream]:
        """Returns those that aren't ejected; all of them if every one is."""
        usable = [each for each in candidates if self.is_usable(each.id)]
        return usable or candidates

    def success_rate(self, upstream: str) -> float:
        """Returns the estimated share of requests that succeed."""
        entry = self.records.get(upstream)
        if entry is None:
            return 1.0
        entry.decay(self.clock.monotonic())
        good = entry.successes + PRIOR_SUCCESSES
        return good / (good + entry.failures)

    def latency(self, upstream: str) -> float:
        """Returns the mean time to an answer in seconds, 0 if unknown."""
        entry = self.records.get(upstream)
        return entry.latency if entry is not None else 0.0

    def forget_except(self, ids: Iterable[str]) -> None:
        """Drops the records of upstreams that are gone."""
        kept = set(ids)
        for table in (self.records, self.reported, self.reported_at):
            for key in [key for key in table if key not in kept]:
                del table[key]
