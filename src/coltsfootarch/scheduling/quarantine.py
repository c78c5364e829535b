"""Quarantine of requests that crash upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootarch import clock as clocks

CRASHES = 2
QUARANTINE_SECONDS = 600.0

# Entry hosts report one crash of an upstream within this time.
SAME_CRASH_SECONDS = 2.0


class Crash(NamedTuple):
    """One crash of an upstream.

    Attributes:
        at: Monotonic instant of the first report.
        candidates: Digests on the upstream with the most crashes before this
            one.
    """

    at: float
    candidates: frozenset[str]


class Quarantine:
    """Counts crashes by request digest and finds the request to blame.

    A crash of an upstream ends all requests on it. Only the request with
    the most crashes among them is blamed, so those that merely ran beside it
    go on. While several have the same number, none is blamed: from `CRASHES`
    on they run on different engines, so that the next crash tells them apart.

    Args:
        clock: Clock for the time limits.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.counts: dict[str, int] = {}
        self.counted_at: dict[str, float] = {}
        self.until: dict[str, float] = {}
        self.last: dict[str, Crash] = {}

    def record_crash(
        self, upstream: str, digest: str, running: Iterable[str]
    ) -> None:
        """Counts a crash against a digest.

        Args:
            upstream: The upstream that crashed.
            digest: Digest of the request whose host reports it.
            running: Digests of all requests on the upstream.
        """
        now = self.clock.monotonic()
        self.prune(now)
        crash = self.last.get(upstream)
        if crash is None or now - crash.at > SAME_CRASH_SECONDS:
            crash = self.last[upstream] = self.new_crash(running, now)
        if not digest:
            return
        self.counts[digest] = self.counts.get(digest, 0) + 1
        self.counted_at[digest] = now
        blamed = crash.candidates == {digest}
        if blamed and self.counts[digest] >= CRASHES:
            self.until[digest] = now + QUARANTINE_SECONDS

    def clear(self, digest: str) -> None:
        """Removes the crashes of a digest that ran to its end."""
        self.counts.pop(digest, None)
        self.counted_at.pop(digest, None)

    def remaining(self, digest: str) -> float:
        """Returns the seconds that the digest stays refused, 0 if it is not."""
        until = self.until.get(digest, 0.0)
        return max(until - self.clock.monotonic(), 0.0)

    def suspected(self, digest: str) -> bool:
        """Returns whether an upstream crashed with this digest lately."""
        return digest in self.counts

    def isolated(self, digest: str) -> bool:
        """Returns whether it must not run beside another isolated digest."""
        return self.counts.get(digest, 0) >= CRASHES

    def new_crash(self, running: Iterable[str], now: float) -> Crash:
        """Returns a crash with the digests that may have caused it."""
        digests = [digest for digest in running if digest]
        most = max((self.counts.get(key, 0) for key in digests), default=0)
        return Crash(
            now,
            frozenset(
                key for key in digests if self.counts.get(key, 0) == most
            ),
        )

    def prune(self, now: float) -> None:
        """Removes crashes and quarantines that have expired."""
        limit = now - QUARANTINE_SECONDS
        for key in [key for key, at in self.counted_at.items() if at < limit]:
            self.clear(key)
        for key in [key for key, until in self.until.items() if until < now]:
            del self.until[key]
