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
        suspects: Digests aboard with the most crashes before this one.
    """

    at: float
    suspects: frozenset[str]


class Quarantine:
    """Counts crashes by request digest and finds the request to blame.

    An upstream takes all requests aboard down with it. Only the request with
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

    def crashed(
        self, upstream: str, digest: str, aboard: Iterable[str]
    ) -> None:
        """Counts a crash against a digest.

        Args:
            upstream: The upstream that crashed.
            digest: Digest of the request whose host reports it.
            aboard: Digests of all requests on the upstream.
        """
        now = self.clock.monotonic()
        self._prune(now)
        crash = self.last.get(upstream)
        if crash is None or now - crash.at > SAME_CRASH_SECONDS:
            crash = self.last[upstream] = self._crash(aboard, now)
        if not digest:
            return
        self.counts[digest] = self.counts.get(digest, 0) + 1
        self.counted_at[digest] = now
        blamed = crash.suspects == {digest}
        if blamed and self.counts[digest] >= CRASHES:
            self.until[digest] = now + QUARANTINE_SECONDS

    def cleared(self, digest: str) -> None:
        """Forgets the crashes of a digest that ran to its end."""
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
        """Returns whether the digest must not share an engine with its like."""
        return self.counts.get(digest, 0) >= CRASHES

    def _crash(self, aboard: Iterable[str], now: float) -> Crash:
        digests = [digest for digest in aboard if digest]
        most = max((self.counts.get(key, 0) for key in digests), default=0)
        return Crash(
            now,
            frozenset(
                key for key in digests if self.counts.get(key, 0) == most
            ),
        )

    def _prune(self, now: float) -> None:
        limit = now - QUARANTINE_SECONDS
        for key in [key for key, at in self.counted_at.items() if at < limit]:
            self.cleared(key)
        for key in [key for key, until in self.until.items() if until < now]:
            del self.until[key]
