"""Upstreams that don't answer, as far as this host knows."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from coltsfootarch import clock as clocks

# A sound upstream may be silent for so long and go on.
MAX_SILENCE_S = 3.0
# Time for which an upstream counts as silent after a timeout; it is tried again
# within this time.
SILENT_S = 1.0
# Time without a timeout after which a silence is forgotten. An ejected upstream
# is tried again every 4 s.
MEMORY_S = 6.0


class Silence(NamedTuple):
    """A silence of an upstream; instants are monotonic seconds.

    Attributes:
        since: Instant of its first timeout.
        latest: Instant of its latest timeout.
    """

    since: float
    latest: float


class Silences:
    """Records the silences of upstreams by their id.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.entries: dict[str, Silence] = {}

    def record(self, upstream: str) -> None:
        """Records that an upstream has not answered in time."""
        now = self.clock.monotonic()
        for each, entry in tuple(self.entries.items()):
            if now - entry.latest > MEMORY_S:
                del self.entries[each]
        entry = self.entries.get(upstream, Silence(now, now))
        self.entries[upstream] = entry._replace(latest=now)

    def end(self, upstream: str) -> None:
        """Records that an upstream has answered."""
        self.entries.pop(upstream, None)

    def is_silent(self, upstream: str) -> bool:
        """Returns whether an upstream was silent a moment ago."""
        entry = self.entries.get(upstream)
        if entry is None:
            return False
        return self.clock.monotonic() - entry.latest < SILENT_S

    def is_short(self, upstream: str) -> bool:
        """Returns whether a silent upstream may still be sound."""
        entry = self.entries.get(upstream)
        if entry is None:
            return True
        if self.clock.monotonic() - entry.latest > MEMORY_S:
            return True
        return self.clock.monotonic() - entry.since < MAX_SILENCE_S
