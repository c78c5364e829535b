"""Upstreams that are known to have left, though a restored store lists them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from coltsfootarch import clock as clocks
    from coltsfootarch.fleet import upstreams

# Time for which a departure is remembered, in seconds. It exceeds the age of
# the copies from which a store is restored.
MEMORY_S = 60.0
# Time after a restoration in which departures are told to other hosts, which
# may have started and read the copy, and the largest number that is told.
TOLD_S = 10.0
MAX_TOLD = 100


def incarnation(upstream: upstreams.Upstream) -> str:
    """Returns the name of an incarnation; the id if its start isn't known."""
    return upstream.incarnation or upstream.id


class Departures:
    """Incarnations that drain or have left, and outdated rows about them.

    A restored store lists them as they were when the copy was made. Their rows
    count again once they were written after the restoration: an upstream that
    lives does so with its next heartbeat.

    Args:
        clock: Source of time.

    Attributes:
        departed: Instant of the departure by incarnation, in seconds.
        outdated: Revision of the outdated row by the id of the upstream.
        learned: Incarnations whose departure other hosts have told.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.clock = clock
        self.departed: dict[str, float] = {}
        self.outdated: dict[str, int] = {}
        self.learned: set[str] = set()

    def record(self, upstream: upstreams.Upstream) -> None:
        """Records that an upstream drains or has left."""
        now = self.clock.monotonic()
        self.departed[incarnation(upstream)] = now
        for name, at in tuple(self.departed.items()):
            if now - at > MEMORY_S:
                del self.departed[name]
                self.learned.discard(name)

    def forget(self, upstream: upstreams.Upstream) -> None:
        """Records that an upstream takes requests (again)."""
        self.departed.pop(incarnation(upstream), None)

    def has_left(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream, listed as ready, drains or has left."""
        return upstream.ready and incarnation(upstream) in self.departed

    def begin_epoch(self) -> None:
        """Forgets the outdated rows of a history that was replaced."""
        self.outdated.clear()

    def mark_outdated(self, upstream_id: str, revision: int) -> None:
        """Records that a row up to a revision is from before a departure."""
        self.outdated[upstream_id] = revision

    def is_outdated(self, upstream_id: str, revision: int) -> bool:
        """Returns whether a row was not written after the restoration."""
        known = self.outdated.get(upstream_id)
        if known is None:
            return False
        if revision > known:
            del self.outdated[upstream_id]
            return False
        return True

    def told(self) -> tuple[str, ...]:
        """Returns the latest departures, for other hosts."""
        latest = sorted(self.departed, key=self.departed.__getitem__)
        return tuple(latest[-MAX_TOLD:])

    def learn(self, names: Iterable[str]) -> set[str]:
        """Records incarnations whose departure another host knows.

        Returns:
            Those that were not told before. An incarnation that registered
            again since is told until the other host has read that.
        """
        new = set(names) - self.learned - self.departed.keys()
        now = self.clock.monotonic()
        self.departed.update(dict.fromkeys(new, now))
        self.learned |= new
        return new
