"""Rate and burst of client accounts as copies of one bucket on all hosts.

Each host holds a copy of each account's bucket and takes from it what it
admits itself and what the other hosts report. Copies differ by what was
admitted within the time of a report. While some hosts aren't heard, the copy
refills with the part of the reached hosts only, so that separated groups of
hosts together stay within the limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.fleet import reports

# Accounts with use in this time are reported, in seconds. It covers several
# lost reports.
REPORTED_S = 5.0


class Bucket:
    """Copy of one account's bucket.

    Attributes:
        level: Tokens that can be admitted.
        updated_at: Instant of the last refill, in seconds.
        admitted: Tokens that this host admitted since its start.
        used_at: Instant of the last change of `admitted`.
    """

    def __init__(self, started_at: float) -> None:
        self.level = 0.0
        self.updated_at = started_at
        self.admitted = 0
        self.used_at = float("-inf")


class SharedBuckets:
    """Buckets of all accounts; a `reports.Participant`.

    A new process starts with empty buckets that refill from its start, since
    it doesn't know what was admitted before.

    Args:
        clock: Source of time.
        share: Returns the part of a limit that the reached hosts have.
        overdraft: Tokens by which a bucket may go below zero. It makes up for
            differences between copies; users of the platform allow a larger
            excess.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        share: Callable[[], float],
        overdraft: float = 0.0,
    ) -> None:
        self.clock = clock
        self.share = share
        self.overdraft = overdraft
        self.started_at = clock.monotonic()
        self.buckets: dict[str, Bucket] = {}
        self.reported: dict[str, dict[str, int]] = {}

    def take(self, account: policy.ClientAccount, tokens: int) -> float:
        """Admits a request or says when it can be admitted.

        Args:
            account: The client account.
            tokens: Size of the request.

        Returns:
            0.0 if admitted, else the seconds until enough has been refilled.
        """
        if account.rate <= 0:
            return 0.0
        part = self.share()
        bucket = self.refill(account, part)
        missing = tokens - bucket.level - self.overdraft * part
        if missing > 0:
            return missing / (account.rate * part)
        bucket.level -= tokens
        self.count(bucket, tokens)
        return 0.0

    def give_back(self, account: policy.ClientAccount, tokens: int) -> None:
        """Returns the tokens of a request that was not run."""
        bucket = self.buckets.get(account.name)
        if bucket is None or account.rate <= 0:
            return
        bucket.level += tokens
        self.count(bucket, -tokens)

    def count(self, bucket: Bucket, tokens: int) -> None:
        """Adds to what this host reports."""
        bucket.admitted += tokens
        bucket.used_at = self.clock.monotonic()

    def refill(self, account: policy.ClientAccount, part: float) -> Bucket:
        """Returns the account's bucket as of now."""
        now = self.clock.monotonic()
        bucket = self.bucket(account.name)
        elapsed = max(now - bucket.updated_at, 0.0)
        bucket.updated_at = now
        bucket.level = min(
            bucket.level + elapsed * account.rate * part, account.burst * part
        )
        return bucket

    def bucket(self, name: str) -> Bucket:
        """Returns an account's bucket as it was last updated."""
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = Bucket(self.started_at)
        return bucket

    def contribute(self, report: reports.Report) -> reports.Report:
        """Adds what this host admitted lately; see `reports.Participant`."""
        oldest = self.clock.monotonic() - REPORTED_S
        report.usage.extend(
            (name, bucket.admitted)
            for name, bucket in self.buckets.items()
            if bucket.used_at >= oldest
        )
        return report

    def absorb(self, report: reports.Report, continuous: bool) -> None:
        """Takes what a peer admitted; see `reports.Participant`.

        After a gap the peer's use was covered by its own part of the limit,
        so that only what follows is counted.
        """
        known = self.reported.setdefault(report.host, {})
        if not continuous:
            known.clear()
        for name, admitted in report.usage:
            before = known.get(name)
            if before is None and continuous:
                # First use since the peer was last heard without it.
                before = 0 if not known else admitted
            known[name] = admitted
            if before is not None:
                self.bucket(name).level -= admitted - before
