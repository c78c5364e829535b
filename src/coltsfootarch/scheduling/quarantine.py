"""Quarantine of requests that repeatedly crash upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootarch import clock as clocks

# Crashes after which a digest is isolated, and quarantined if it alone is
# suspected.
CRASHES_TO_QUARANTINE = 2
QUARANTINE_SECONDS = 600.0

# Reports of a crash within this time after the first one belong to the same
# crash: each entry host with a request on the upstream sends one.
SAME_CRASH_SECONDS = 2.0


class Crash(NamedTuple):
    """One crash of an upstream.

    Attributes:
        at: Monotonic instant of the first report.
        suspects: Those digests on the upstream that had the most crashes before
            this one.
    """

    at: float
    suspects: frozenset[str]


class Quarantine:
    """Counts crashes by request digest and identifies the request at fault.

    A crash of an upstream ends all requests on it. Only the request with the
    most crashes among them is held responsible, so that requests that merely
    ran on the same upstream can be retried. While several requests have the
    same count, none is: from `CRASHES_TO_QUARANTINE` crashes on they run on
    different engines, so that the next crash identifies the request at fault.

    Args:
        clock: Clock for the time limits.

    Attributes:
        crash_counts: Crashes by digest.
        last_counted_at: Monotonic instant of the latest crash by digest.
        quarantined_until: Monotonic instant at which the quarantine of a digest
            ends.
        last_crashes: Latest crash by upstream.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.crash_counts: dict[str, int] = {}
        self.last_counted_at: dict[str, float] = {}
        self.quarantined_until: dict[str, float] = {}
        self.last_crashes: dict[str, Crash] = {}

    def record_crash(
        self, upstream: str, digest: str, running: Iterable[str]
    ) -> None:
        """Counts a crash against a digest.

        Args:
            upstream: The upstream that crashed.
            digest: Digest of the request whose entry host reports the crash.
            running: Digests of all requests on the upstream.
        """
        now = self.clock.monotonic()
        self.prune(now)
        crash = self.last_crashes.get(upstream)
        if crash is None or now - crash.at > SAME_CRASH_SECONDS:
            crash = self.last_crashes[upstream] = self.new_crash(running, now)
        if not digest:
            return
        self.crash_counts[digest] = self.crash_counts.get(digest, 0) + 1
        self.last_counted_at[digest] = now
        is_responsible = crash.suspects == {digest}
        if (
            is_responsible
            and self.crash_counts[digest] >= CRASHES_TO_QUARANTINE
        ):
            self.quarantined_until[digest] = now + QUARANTINE_SECONDS

    def clear(self, digest: str) -> None:
        """Removes the crash count of a digest that completed."""
        self.crash_counts.pop(digest, None)
        self.last_counted_at.pop(digest, None)

    def remaining_seconds(self, digest: str) -> float:
        """Returns the remaining seconds of a quarantine; 0 without one."""
        quarantined_until = self.quarantined_until.get(digest, 0.0)
        return max(quarantined_until - self.clock.monotonic(), 0.0)

    def is_suspect(self, digest: str) -> bool:
        """Returns whether an upstream crashed while it ran this digest.

        Crashes expire after `QUARANTINE_SECONDS`.
        """
        return digest in self.crash_counts

    def is_isolated(self, digest: str) -> bool:
        """Returns whether a digest must not run beside another isolated one."""
        return self.crash_counts.get(digest, 0) >= CRASHES_TO_QUARANTINE

    def new_crash(self, running: Iterable[str], now: float) -> Crash:
        """Returns a crash with the digests suspected of having caused it."""
        digests = [digest for digest in running if digest]
        highest = max(
            (self.crash_counts.get(key, 0) for key in digests), default=0
        )
        return Crash(
            now,
            frozenset(
                key
                for key in digests
                if self.crash_counts.get(key, 0) == highest
            ),
        )

    def prune(self, now: float) -> None:
        """Removes expired crash counts and quarantines."""
        limit = now - QUARANTINE_SECONDS
        for key in [
            key for key, at in self.last_counted_at.items() if at < limit
        ]:
            self.clear(key)
        for key in [
            key
            for key, quarantined_until in self.quarantined_until.items()
            if quarantined_until < now
        ]:
            del self.quarantined_until[key]
