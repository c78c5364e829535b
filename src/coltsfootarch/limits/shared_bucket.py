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
        base: The same before the first admission that is still reported.
        used_at: Instant of the last change of `admitted`.
    """

    def __init__(self, started_at: float) -> None:
        self.level = 0.0
        self.updated_at = started_at
        self.admitted = 0
        self.base = 0
        self.used_at = float("-inf")


class SharedBuckets:
    """Buckets of all accounts; a `reports.Participant`.

    A new process starts with empty buckets that refill from its start, since
    it doesn't know what was admitted before.

    Args:
        clock: Source of time.
        share: Returns the part of a limit that the reached hosts have.
        find_account: Returns an account of the policy in force by its name.
        overdraft: Returns the tokens by which a bucket may go below zero. They
            make up for differences between copies; users of the platform allow
            a larger excess.
        on_take: Called after an admission, which the other hosts must know.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        share: Callable[[], float],
        find_account: Callable[[str], policy.ClientAccount | None],
        overdraft: Callable[[], float] = lambda: 0.0,
        on_take: Callable[[], object] = lambda: None,
    ) -> None:
        self.find_account = find_account
        self.on_take = on_take
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
        missing = tokens - bucket.level - self.overdraft() * part
        if missing > 0:
            return missing / (account.rate * part)
        bucket.level -= tokens
        self.count(bucket, tokens)
        self.on_take()
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
        now = self.clock.monotonic()
        if now - bucket.used_at > REPORTED_S:
            bucket.base = bucket.admitted
        bucket.admitted += tokens
        bucket.used_at = now

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
            (name, bucket.base, bucket.admitted)
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
        for name, base, admitted in report.usage:
            # An account that wasn't reported before was last used before
            # `base` was noted.
            before = known.get(name, base)
            known[name] = admitted
            account = self.find_account(name)
            if continuous and account is not None:
                # Refilled first: what a full bucket can't take is lost before
                # the use, not after it.
                self.refill(account, self.share()).level -= admitted - before
        reported = {name for name, _, _ in report.usage}
        for name in [name for name in known if name not in reported]:
            del known[name]
