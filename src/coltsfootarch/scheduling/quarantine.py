"""Quarantine of requests that crash upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

CRASHES = 2
QUARANTINE_SECONDS = 600.0


class Quarantine:
    """Counts crashes by request digest.

    Args:
        clock: Clock for the time limits.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.crashes: dict[str, list[float]] = {}

    def crashed(self, digest: str) -> None:
        """Counts a crash of an upstream that ran this digest."""
        self._prune()
        if digest:
            times = self.crashes.setdefault(digest, [])
            times.append(self.clock.monotonic())

    def cleared(self, digest: str) -> None:
        """Forgets the crashes of a digest that ran to its end."""
        self.crashes.pop(digest, None)

    def remaining(self, digest: str) -> float:
        """Returns the seconds that the digest stays refused, 0 if it is not."""
        times = self.crashes.get(digest)
        if times is None or len(times) < CRASHES:
            return 0.0
        left = times[-1] + QUARANTINE_SECONDS - self.clock.monotonic()
        return max(left, 0.0)

    def suspected(self, digest: str) -> bool:
        """Returns whether an upstream crashed with this digest lately."""
        return digest in self.crashes

    def _prune(self) -> None:
        limit = self.clock.monotonic() - QUARANTINE_SECONDS
        old = [key for key, times in self.crashes.items() if times[-1] < limit]
        for key in old:
            del self.crashes[key]
