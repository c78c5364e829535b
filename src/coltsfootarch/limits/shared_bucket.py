"""Limits client accounts with a token bucket that is replicated to all hosts.

Each host has a replica of each account's bucket and subtracts what it admits
itself and what the other hosts report. Replicas differ by what was admitted
within the delay of a report. While some hosts are unreachable, the replica
refills at the fraction of the rate that belongs to the reachable hosts, so
that partitioned groups of hosts together stay within the limit.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import policy
    from coltsfootarch.fleet import reports

# Time in seconds for which an account is reported after its last admission or
# refund. It spans several reports, so that peers learn of the change even if
# some of them are lost.
REPORT_WINDOW_S = 5.0


class Bucket:
    """This host's replica of one account's bucket.

    Attributes:
        level: Tokens that can be admitted; negative if peers admitted more than
            this replica had left.
        updated_at: Instant of the last refill, in seconds.
        admitted: Tokens that this host admitted since its start, without
            refunded ones.
        admitted_before_window: Value of `admitted` before the changes that are
            reported at present. A peer that has no earlier total of the account
            subtracts the difference between the two.
        admitted_changed_at: Instant of the last change of `admitted`, in
            seconds.
    """

    def __init__(self, started_at: float) -> None:
        self.level = 0.0
        self.updated_at = started_at
        self.admitted = 0
        self.admitted_before_window = 0
        self.admitted_changed_at = float("-inf")


class SharedBuckets:
    """Buckets of all accounts; implements `reports.Participant`.

    A new process starts with empty buckets that refill from its start, since
    it doesn't know what was admitted before.

    Args:
        clock: Source of time.
        reachable_fraction: Returns the fraction of a limit that the reachable
            hosts may use, at most 1.
        find_account: Returns an account of the policy in force by its name.
        overdraft: Returns the tokens by which all hosts together may overdraw a
            bucket, so that small differences between replicas don't cause
            refusals. The platform's users allow a larger excess.
        on_admission: Called after an admission, which must be reported to the
            other hosts.
        take_up_overdraft: Returns the further tokens by which requests that
            take up a stream may overdraw a bucket. After a kill of all hosts
            they come together, and buckets are empty.

    Attributes:
        buckets: Replicas by client account.
        peer_totals: Last reported total of admitted tokens, by peer and client
            account.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        reachable_fraction: Callable[[], float],
        find_account: Callable[[str], policy.ClientAccount | None],
        overdraft: Callable[[], float] = lambda: 0.0,
        on_admission: Callable[[], object] = lambda: None,
        take_up_overdraft: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.take_up_overdraft = take_up_overdraft
        self.find_account = find_account
        self.on_admission = on_admission
        self.clock = clock
        self.reachable_fraction = reachable_fraction
        self.overdraft = overdraft
        self.started_at = clock.monotonic()
        self.buckets: dict[str, Bucket] = {}
        self.peer_totals: dict[str, dict[str, int]] = {}

    def admit(
        self,
        account: policy.ClientAccount,
        tokens: int,
        takes_up: bool = False,
    ) -> float:
        """Admits a request, or returns how long it would have to wait.

        The result is a time, not a truth value: 0.0 means admitted.

        Args:
            account: The client account.
            tokens: Size of the request.
            takes_up: Whether it takes up a stream; such requests may overdraw
                the bucket further.

        Returns:
            0.0 if the request was admitted and its tokens were subtracted, else
            the seconds until enough tokens are refilled.
        """
        if account.rate <= 0:
            return 0.0
        wait = self.wait_s(account, tokens, takes_up)
        if wait <= 0:
            self.subtract(account, tokens)
        return wait

    def wait_s(
        self,
        account: policy.ClientAccount,
        tokens: int,
        takes_up: bool = False,
    ) -> float:
        """Returns the seconds until so many tokens can be admitted, or 0.0."""
        fraction = self.reachable_fraction()
        bucket = self.refill(account, fraction)
        # Like the limit, the overdraft is divided among groups of hosts that
        # can't reach each other.
        allowed = self.overdraft()
        if takes_up:
            allowed += self.take_up_overdraft()
        missing = tokens - bucket.level - allowed * fraction
        return max(missing, 0.0) / (account.rate * fraction)

    def subtract(self, account: policy.ClientAccount, tokens: int) -> None:
        """Subtracts tokens that are used, even if there are too few."""
        bucket = self.bucket(account.name)
        bucket.level -= tokens
        self.record(bucket, tokens)
        self.on_admission()

    def refund(self, account: policy.ClientAccount, tokens: int) -> None:
        """Puts back the tokens of an admitted request that did not run."""
        bucket = self.buckets.get(account.name)
        if bucket is None or account.rate <= 0:
            return
        bucket.level += tokens
        self.record(bucket, -tokens)

    def record(self, bucket: Bucket, tokens: int) -> None:
        """Adds tokens to the reported total; a refund is negative."""
        now = self.clock.monotonic()
        if now - bucket.admitted_changed_at > REPORT_WINDOW_S:
            bucket.admitted_before_window = bucket.admitted
        bucket.admitted += tokens
        bucket.admitted_changed_at = now

    def refill(self, account: policy.ClientAccount, fraction: float) -> Bucket:
        """Refills the account's bucket up to now and returns it.

        Args:
            account: The client account.
            fraction: Fraction of rate and burst that the reachable hosts may
                use.
        """
        now = self.clock.monotonic()
        bucket = self.bucket(account.name)
        elapsed = max(now - bucket.updated_at, 0.0)
        bucket.updated_at = now
        bucket.level = min(
            bucket.level + elapsed * account.rate * fraction,
            account.burst * fraction,
        )
        return bucket

    def bucket(self, name: str) -> Bucket:
        """Returns an account's bucket without refilling it."""
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = Bucket(self.started_at)
        return bucket

    def add_to_report(self, report: reports.Report) -> reports.Report:
        """Adds this host's recent admissions; see `reports.Participant`."""
        oldest = self.clock.monotonic() - REPORT_WINDOW_S
        report.usage.extend(
            (name, bucket.admitted_before_window, bucket.admitted)
            for name, bucket in self.buckets.items()
            if bucket.admitted_changed_at >= oldest
        )
        return report

    def apply_report(self, report: reports.Report, continuous: bool) -> None:
        """Subtracts what a peer admitted; see `reports.Participant`.

        During a gap in its reports, the peer admitted requests from its own
        fraction of the limit, by which this replica refilled less. That use is
        not subtracted again.
        """
        totals = self.peer_totals.setdefault(report.host, {})
        if not continuous:
            totals.clear()
        for name, admitted_before_window, admitted in report.usage:
            # An account that was missing from the last report had not been used
            # for a whole window; only use within the present window is new.
            previous = totals.get(name, admitted_before_window)
            totals[name] = admitted
            account = self.find_account(name)
            if continuous and account is not None:
                # Refill first, so that tokens beyond the burst are discarded
                # before the use is subtracted.
                self.refill(account, self.reachable_fraction()).level -= (
                    admitted - previous
                )
        reported_names = {name for name, _, _ in report.usage}
        for name in [name for name in totals if name not in reported_names]:
            del totals[name]
