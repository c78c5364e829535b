"""Recent outcomes of requests by upstream, and ejection of failing upstreams.

Upstreams are rated by the outcomes of real requests, not by health checks.

A host of a large fleet hears of all failures, but sees a small part of the
answers. A sound upstream with a few slow calls would be ejected by all hosts at
once, so that the others get more calls than they have slots for. Hosts
therefore also report that an upstream with failures has just answered.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import structlog

from coltsfootarch.scheduling import engine_activity
from coltsfootarch.scheduling import upstream_health

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports
    from coltsfootarch.fleet import upstreams

# The weight of an outcome halves in this time.
HALF_LIFE_S = 4.0
# Successes that every upstream starts with, so that a single failure among few
# requests has little effect.
PRIOR_SUCCESSES = 2.0
# Weight of a failure observed by a peer. It is below 1 because peers don't
# report their successes.
PEER_FAILURE_WEIGHT = 0.3
# A service has few engines; a recovered one must not stay unused for long.
MAX_EJECTION_S = 4.0
# An upstream that refused a request gets none for this time, which doubles with
# each consecutive refusal: every refusal wastes the prefill of a prompt.
REFUSAL_BACKOFF_S = 0.25
# Time without requests to an upstream after a peer reported its refusal.
PEER_BACKOFF_S = 0.3
# Time for which failures are reported to peers; it covers several lost reports.
FAILURE_REPORT_S = 3.0
# After an answer to any host, failures at other hosts eject an upstream only
# when this time has passed, in seconds. It spans two reports.
ANSWER_VALIDITY_S = 0.3
# Time after a failure for which answers of an upstream are reported to peers.
ANSWER_REPORT_S = 4.0
# End of the id under which an answer is reported beside the failures. Hosts of
# earlier builds take it for an unknown upstream.
ANSWERED_SUFFIX = "+"

logger = structlog.get_logger(__name__)


class Outcome(enum.Enum):
    """Outcome of a request at an upstream.

    `BROKEN` means that the answer was incomplete, `UNREACHABLE` that no
    connection could be established.
    """

    SUCCESS = "success"
    REFUSED = "refused"
    ERROR = "error"
    BROKEN = "broken"
    UNREACHABLE = "absent"


class UpstreamRecord:
    """Recent outcomes of one upstream; instants are monotonic seconds.

    Attributes:
        successes: Decayed number of successes.
        failures: Decayed number of failures.
        latency: Mean time to an answer in seconds, 0 if unknown.
        updated_at: Instant of the latest decay.
        refusals: Consecutive refusals.
        backoff_until: Instant before which this host sends no requests.
        peer_backoff_until: The same, because of refusals that peers reported.
        answered_at: Instant of the latest success on this host.
        peer_answered_at: Instant of the latest report that a peer had one.
        failed_at: Instant of the latest failure on any host.
        health: Ejection of the upstream.
    """

    def __init__(self) -> None:
        self.successes = 0.0
        self.failures = 0.0
        self.latency = 0.0
        self.updated_at = 0.0
        self.refusals = 0
        self.backoff_until = float("-inf")
        self.peer_backoff_until = float("-inf")
        self.answered_at = float("-inf")
        self.peer_answered_at = float("-inf")
        self.failed_at = float("-inf")
        self.health = upstream_health.Health(
            max_ejection_seconds=MAX_EJECTION_S
        )

    def decay(self, now: float) -> None:
        """Applies the decay since the last update."""
        elapsed = max(now - self.updated_at, 0.0)
        factor = math.pow(0.5, elapsed / HALF_LIFE_S)
        self.successes *= factor
        self.failures *= factor
        self.updated_at = now


class OutcomeTracker:
    """Tracks success rates, refusals and ejections of upstreams.

    Args:
        clock: Source of time.

    Attributes:
        records: Outcomes by upstream id.
        failure_counts: Total broken or unreachable outcomes on this host by
            upstream id.
        last_failure_at: Monotonic instant of the latest of them by upstream id.
        peer_failure_counts: Latest totals reported by each peer.
        activity: When engines last sent something.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.records: dict[str, UpstreamRecord] = {}
        self.failure_counts: dict[str, int] = {}
        self.last_failure_at: dict[str, float] = {}
        self.peer_failure_counts: dict[str, dict[str, int]] = {}
        self.activity = engine_activity.EngineActivity(clock)

    def record(
        self, upstream: str, outcome: Outcome, latency_s: float = 0.0
    ) -> None:
        """Records an outcome.

        Args:
            upstream: Id of the upstream.
            outcome: Outcome of the request.
            latency_s: Time to the answer in seconds, for successes.
        """
        now = self.clock.monotonic()
        entry = self.records.setdefault(upstream, UpstreamRecord())
        entry.decay(now)
        if outcome is Outcome.SUCCESS:
            entry.successes += 1
            entry.answered_at = now
            entry.refusals = 0
            entry.health.record_success(now)
            weight = 0.2 if entry.latency else 1.0
            entry.latency += weight * (latency_s - entry.latency)
            return
        if outcome is Outcome.REFUSED:
            # The upstream is full or is changing its stage, which says nothing
            # about its health.
            entry.refusals += 1
            backoff = REFUSAL_BACKOFF_S * 2 ** min(entry.refusals - 1, 3)
            entry.backoff_until = max(entry.backoff_until, now + backoff)
            return
        entry.failures += 1
        if outcome is Outcome.ERROR:
            return
        self.failure_counts[upstream] = self.failure_counts.get(upstream, 0) + 1
        self.last_failure_at[upstream] = entry.failed_at = now
        self.record_failure(
            upstream, entry, eject_immediately=outcome is Outcome.UNREACHABLE
        )

    def record_failure(
        self, upstream: str, entry: UpstreamRecord, eject_immediately: bool
    ) -> None:
        """Counts a failure towards an ejection.

        Args:
            upstream: Id of the upstream.
            entry: Its record.
            eject_immediately: Whether a single failure ejects the upstream.
        """
        now = self.clock.monotonic()
        was_usable = entry.health.usable(now)
        entry.health.record_failure(now)
        if eject_immediately:
            entry.health.eject(now)
        if was_usable and not entry.health.usable(now):
            logger.info("upstream ejected", upstream=upstream)

    def record_progress(self, upstream: str) -> None:
        """Records that a long answer has started, which completes a probe."""
        entry = self.records.get(upstream)
        if entry is not None:
            entry.answered_at = self.clock.monotonic()
            entry.health.record_success(entry.answered_at)

    def back_off(self, upstream: str, seconds: float) -> None:
        """Starts a backoff during which an upstream gets no requests."""
        entry = self.records.setdefault(upstream, UpstreamRecord())
        until = self.clock.monotonic() + seconds
        entry.backoff_until = max(entry.backoff_until, until)

    def is_backing_off(self, upstream: str) -> bool:
        """Returns whether an upstream gets no requests because of a backoff."""
        entry = self.records.get(upstream)
        if entry is None:
            return False
        now = self.clock.monotonic()
        return now < max(entry.backoff_until, entry.peer_backoff_until)

    def add_to_report(self, report: reports.Report) -> reports.Report:
        """Adds recent failures and refusals; see `reports.Participant`."""
        now = self.clock.monotonic()
        report.refusing.extend(
            upstream
            for upstream, entry in self.records.items()
            if now < entry.backoff_until
        )
        oldest = now - FAILURE_REPORT_S
        report.failures.extend(
            (upstream, count)
            for upstream, count in self.failure_counts.items()
            if self.last_failure_at[upstream] >= oldest
        )
        report.failures.extend(
            (upstream + ANSWERED_SUFFIX, 1)
            for upstream, entry in self.records.items()
            if entry.failed_at >= now - ANSWER_REPORT_S
            and self.own_answer_at(upstream, entry) >= now - ANSWER_VALIDITY_S
        )
        return report

    def own_answer_at(self, upstream: str, entry: UpstreamRecord) -> float:
        """Returns the instant at which this host last heard of an upstream."""
        heard_at = self.activity.heard_at.get(upstream, float("-inf"))
        return max(entry.answered_at, heard_at)

    def is_answering(self, upstream: str, entry: UpstreamRecord) -> bool:
        """Returns whether any host has just had an answer."""
        answered_at = max(
            self.own_answer_at(upstream, entry), entry.peer_answered_at
        )
        return self.clock.monotonic() - answered_at <= ANSWER_VALIDITY_S

    def apply_report(self, report: reports.Report, continuous: bool) -> None:
        """Applies a peer's failures and refusals; see `reports.Participant`."""
        now = self.clock.monotonic()
        for upstream in report.refusing:
            entry = self.records.setdefault(upstream, UpstreamRecord())
            entry.peer_backoff_until = now + PEER_BACKOFF_S
        current = {}
        for key, count in report.failures:
            upstream = key.removesuffix(ANSWERED_SUFFIX)
            if upstream == key:
                current[upstream] = count
            elif upstream in self.records:
                self.records[upstream].peer_answered_at = now
        previous = self.peer_failure_counts.get(report.host, {})
        self.peer_failure_counts[report.host] = current
        if not continuous:
            return
        for upstream, count in current.items():
            if count > previous.get(upstream, 0):
                self.record_peer_failure(upstream)

    def record_peer_failure(self, upstream: str) -> None:
        """Records a failure that a peer has reported."""
        now = self.clock.monotonic()
        entry = self.records.setdefault(upstream, UpstreamRecord())
        entry.decay(now)
        entry.failures += PEER_FAILURE_WEIGHT
        entry.failed_at = now
        if self.is_answering(upstream, entry):
            return
        # A failure from before an ejection must not extend the ejection.
        if entry.health.usable(now):
            self.record_failure(upstream, entry, eject_immediately=False)

    def record_dispatch(self, upstream: str) -> float:
        """Records that a request is sent; after an ejection it is the probe.

        Returns:
            The instant, in seconds.
        """
        now = self.clock.monotonic()
        entry = self.records.get(upstream)
        if entry is not None:
            entry.health.record_dispatch(now)
        return now

    def withdraw_probe(self, upstream: str, sent_at: float) -> None:
        """Allows another probe if a request was one and told nothing.

        Args:
            upstream: Id of the upstream.
            sent_at: What `record_dispatch` returned for the request.
        """
        entry = self.records.get(upstream)
        if entry is not None and entry.health.probe_started == sent_at:
            entry.health.probe_started = None

    def withdraw_dispatch(self, upstream: str) -> None:
        """Records that a request recorded with `record_dispatch` isn't sent."""
        entry = self.records.get(upstream)
        if entry is not None:
            entry.health.withdraw_dispatch()

    def is_usable(self, upstream: str) -> bool:
        """Returns whether an upstream is neither ejected nor silent."""
        if self.activity.is_silent(upstream):
            return False
        entry = self.records.get(upstream)
        return entry is None or entry.health.usable(self.clock.monotonic())

    def prefer_usable(
        self, candidates: Sequence[upstreams.Upstream]
    ) -> Sequence[upstreams.Upstream]:
        """Returns the usable candidates, or all if none is."""
        usable = [each for each in candidates if self.is_usable(each.id)]
        return usable or candidates

    def success_rate(self, upstream: str) -> float:
        """Returns the estimated fraction of requests that succeed."""
        entry = self.records.get(upstream)
        if entry is None:
            return 1.0
        entry.decay(self.clock.monotonic())
        weighted_successes = entry.successes + PRIOR_SUCCESSES
        return weighted_successes / (weighted_successes + entry.failures)

    def latency(self, upstream: str) -> float:
        """Returns the mean time to an answer in seconds, 0 if unknown."""
        entry = self.records.get(upstream)
        return entry.latency if entry is not None else 0.0

    def retain_only(self, ids: Iterable[str]) -> None:
        """Removes the records of all upstreams except the given ones."""
        ids_to_keep = set(ids)
        for table in (self.records, self.failure_counts, self.last_failure_at):
            for key in [key for key in table if key not in ids_to_keep]:
                del table[key]
        self.activity.retain_only(ids_to_keep)
