"""Limits that upstreams name for the requests of all hosts together.

All hosts keep a replica of one token bucket for each limited upstream, as for
the rate limits of client accounts: a host subtracts what it sends and what the
others report. Whichever host has requests for an upstream can use its limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import structlog

from coltsfootarch.fleet import policy
from coltsfootarch.limits import shared_bucket

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Container

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import reports
    from coltsfootarch.fleet import upstreams

# Part of a second's requests that may be sent at once.
BURST_S = 0.5
# Rate in requests per second at which an upstream is still asked if it names a
# lower limit, since only a response can tell that the limit has ended.
MIN_PER_S = 0.1
# Usual upper bound of the time from a response to the arrival of the report on
# it, in seconds. A statement that seems newer by less may be older.
DELIVERY_S = 0.3
# Time for which the end of a limit is reported, in seconds.
END_REPORTED_S = 3.0
# Prefix of the names under which usage is reported beside that of accounts.
USAGE_PREFIX = "upstream:"
# Limit in a report for an upstream that names none any more.
NO_LIMIT = -1
MILLI = 1000

logger = structlog.get_logger(__name__)


class Statement(NamedTuple):
    """Latest statement of an upstream.

    Attributes:
        started_ms: Start of its incarnation, 0 if unknown.
        per_s: Requests per second; None if it has no limit any more.
        stated_at: Monotonic instant of the response, in seconds.
    """

    started_ms: int
    per_s: float | None
    stated_at: float


class UpstreamLimits:
    """Limits of upstreams over all hosts; a `reports.Participant`.

    Args:
        clock: Source of time.
        reachable_fraction: Returns the fraction of a limit that the reachable
            hosts may use, at most 1.
        report_soon: Called when something must be reported early.

    Attributes:
        statements: Latest statements of upstreams that have or had a limit.
        buckets: Replicas of the buckets.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        reachable_fraction: Callable[[], float],
        report_soon: Callable[[], object] = lambda: None,
    ) -> None:
        self.clock = clock
        self.reachable_fraction = reachable_fraction
        self.report_soon = report_soon
        self.statements: dict[str, Statement] = {}
        self.buckets = shared_bucket.SharedBuckets(
            clock,
            reachable_fraction,
            self.find_account,
            on_admission=report_soon,
        )

    def find_account(self, name: str) -> policy.ClientAccount | None:
        """Returns the limit that is reported under a name, as an account."""
        upstream = name.removeprefix(USAGE_PREFIX)
        statement = self.statements.get(upstream)
        if upstream == name or statement is None or statement.per_s is None:
            return None
        rate = max(statement.per_s, MIN_PER_S)
        # A separated group of hosts has a part of the burst, and needs a whole
        # request.
        burst = max(rate * BURST_S, 1 / self.reachable_fraction())
        return policy.ClientAccount(name, frozenset(), rate, burst, None, 1)

    def state(self, upstream: upstreams.Upstream, per_s: float | None) -> None:
        """Records the limit in an upstream's response.

        Args:
            upstream: The upstream.
            per_s: Requests per second; None if it names no limit.
        """
        if per_s is None and upstream.id not in self.statements:
            return
        statement = Statement(
            upstream.started_ms, per_s, self.clock.monotonic()
        )
        if self.put(upstream.id, statement):
            self.report_soon()

    def put(self, upstream: str, statement: Statement) -> bool:
        """Replaces a statement; returns whether the limit has changed."""
        known = self.statements.get(upstream)
        name = USAGE_PREFIX + upstream
        previous = self.find_account(name)
        if previous is not None:
            self.buckets.refill(previous, self.reachable_fraction())
        self.statements[upstream] = statement
        is_other = known is None or known.started_ms != statement.started_ms
        if is_other or statement.per_s is None:
            self.buckets.buckets.pop(name, None)
        if statement.per_s is not None and name not in self.buckets.buckets:
            # An upstream names a limit when it has too many requests already.
            self.buckets.buckets[name] = shared_bucket.Bucket(
                self.clock.monotonic()
            )
        if not is_other and known and known.per_s == statement.per_s:
            return False
        logger.info(
            "upstream limit changed",
            upstream=upstream,
            limit=statement.per_s,
            age_ms=round(
                (self.clock.monotonic() - statement.stated_at) * MILLI
            ),
        )
        return True

    def wait_s(self, upstream: upstreams.Upstream) -> float:
        """Returns the seconds until an upstream may get one more request."""
        account = self.account_of(upstream)
        return self.buckets.wait_s(account, 1) if account else 0.0

    def take(self, upstream: upstreams.Upstream) -> None:
        """Subtracts a request that is sent to an upstream."""
        account = self.account_of(upstream)
        if account is not None:
            self.buckets.subtract(account, 1)

    def give_back(self, upstream: upstreams.Upstream) -> None:
        """Adds a request that was not sent after all."""
        account = self.account_of(upstream)
        if account is not None:
            self.buckets.refund(account, 1)

    def account_of(
        self, upstream: upstreams.Upstream
    ) -> policy.ClientAccount | None:
        """Returns the limit of an upstream's incarnation, None for none."""
        statement = self.statements.get(upstream.id)
        if statement is None or statement.started_ms != upstream.started_ms:
            return None
        return self.find_account(USAGE_PREFIX + upstream.id)

    def limited(self) -> dict[str, float]:
        """Returns the limits in force, by upstream id."""
        return {
            upstream: statement.per_s
            for upstream, statement in self.statements.items()
            if statement.per_s is not None
        }

    def retain_only(self, ids: Container[str]) -> None:
        """Removes what is known of all upstreams except the given ones."""
        for upstream in [key for key in self.statements if key not in ids]:
            del self.statements[upstream]
            self.buckets.buckets.pop(USAGE_PREFIX + upstream, None)

    def add_to_report(self, report: reports.Report) -> reports.Report:
        """Adds limits and their use; see `reports.Participant`."""
        if not self.statements:
            return report
        now = self.clock.monotonic()
        report = self.buckets.add_to_report(report)
        return report._replace(
            upstream_limits=tuple(
                (
                    upstream,
                    statement.started_ms,
                    NO_LIMIT
                    if statement.per_s is None
                    else round(statement.per_s * MILLI),
                    round((now - statement.stated_at) * MILLI),
                )
                for upstream, statement in sorted(self.statements.items())
                if statement.per_s is not None
                or now - statement.stated_at < END_REPORTED_S
            )
        )

    def apply_report(self, report: reports.Report, continuous: bool) -> None:
        """Merges a peer's limits and their use; see `reports.Participant`."""
        now = self.clock.monotonic()
        for upstream, started_ms, limit, age_ms in report.upstream_limits:
            at = now - age_ms / MILLI
            known = self.statements.get(upstream)
            if known is not None and (
                started_ms < known.started_ms
                or (
                    started_ms == known.started_ms
                    and at <= known.stated_at + DELIVERY_S
                )
            ):
                continue
            per_s = None if limit < 0 else limit / MILLI
            if known is not None or per_s is not None:
                self.put(upstream, Statement(started_ms, per_s, at))
        self.buckets.apply_report(report, continuous)
