"""Cancels engine requests that no live host waits for."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import gevent

from coltsfootarch import errors
from coltsfootarch.config import register

if TYPE_CHECKING:
    from collections.abc import Callable

    from coltsfootarch import clock as clocks
    from coltsfootarch.upstreams import engine

INTERVAL_SECONDS = 1.0

# Time without a session and without a reader. It leaves callers of a dead host
# the time to resume at another one.
GONE_SECONDS = 10.0
UNREAD_SECONDS = 10.0

# Without a reader for this long a request is cancelled whoever owns it.
ABANDONED_SECONDS = 60.0

# Oldest view of the sessions from which a missing session says anything.
FRESH_VIEW_SECONDS = 5.0


# Owners are forgotten after this time, since their names never come back.
FORGET_SECONDS = 3600.0


class Owner(NamedTuple):
    """Entry host of an engine request."""

    host: str
    incarnation: int


def parse_owner(text: str) -> Owner | None:
    """Returns the owner named by "host/incarnation", or None."""
    host, _, incarnation = text.rpartition("/")
    if not host or not incarnation.isdigit():
        return None
    return Owner(host, int(incarnation))


class OrphanCollector:
    """Frees engine memory held by requests that no longer exist.

    Args:
        clock: Clock of the intervals.
        engines: Calls to engines.
        current: Returns the register in force.
        is_live: Returns whether an incarnation of a host has a session.
        owns: Returns whether this host holds an upstream's home shard.
        still_runs: Asks a live owner whether it still runs a request, by owner
            and request id; None if it did not answer.
        view_age: Returns the age of the view behind `is_live`, in seconds.
        spawn: Runs the check of one engine in a greenlet of its own.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        engines: engine.EngineClient,
        current: Callable[[], register.Register],
        is_live: Callable[[str, int], bool],
        owns: Callable[[str], bool],
        still_runs: Callable[[Owner, str], bool | None],
        view_age: Callable[[], float],
        spawn: Callable[..., Any] = gevent.spawn,
    ) -> None:
        self.clock = clock
        self.engines = engines
        self.current = current
        self.is_live = is_live
        self.owns = owns
        self.still_runs = still_runs
        self.view_age = view_age
        self.spawn = spawn
        self.next_run = 0.0
        self.gone_since: dict[Owner, float] = {}
        self.busy: set[str] = set()
        self.cancelled = 0
        self.failures = 0

    def tick(self) -> None:
        """Checks all engines once a second."""
        now = self.clock.monotonic()
        if now < self.next_run:
            return
        self.next_run = now + INTERVAL_SECONDS
        self.forget_owners()
        for upstream in self.current().upstreams.values():
            if upstream.role is register.UpstreamRole.PLAIN:
                continue
            if upstream.name in self.busy or not self.owns(upstream.name):
                continue
            self.busy.add(upstream.name)
            self.spawn(self.check, upstream)

    def check(self, upstream: register.Upstream) -> None:
        """Cancels the orphans of one engine."""
        try:
            for entry in self.engines.requests(upstream.address):
                if self.is_orphan(entry) and self.owns(upstream.name):
                    self.engines.cancel(upstream.address, entry.request_id)
                    self.cancelled += 1
        except errors.UpstreamError:
            self.failures += 1
        finally:
            self.busy.discard(upstream.name)

    def is_orphan(self, entry: engine.EngineEntry) -> bool:
        """Returns whether an engine request may be cancelled."""
        owner = parse_owner(entry.owner)
        gone = owner is not None and self.is_gone(owner)
        if entry.idle >= ABANDONED_SECONDS:
            return True
        if entry.idle < UNREAD_SECONDS or owner is None:
            return False
        if gone:
            return True
        if owner in self.gone_since:
            return False
        return self.still_runs(owner, entry.request_id) is False

    def is_gone(self, owner: Owner) -> bool:
        """Returns whether an owner has had no session for `GONE_SECONDS`."""
        if self.view_age() > FRESH_VIEW_SECONDS:
            return False
        if self.is_live(owner.host, owner.incarnation):
            self.gone_since.pop(owner, None)
            return False
        now = self.clock.monotonic()
        since = self.gone_since.setdefault(owner, now)
        return now - since >= GONE_SECONDS

    def forget_owners(self) -> None:
        """Removes owners that are live again or gone for very long."""
        limit = self.clock.monotonic() - FORGET_SECONDS
        for owner, since in list(self.gone_since.items()):
            if since < limit or self.is_live(owner.host, owner.incarnation):
                del self.gone_since[owner]
