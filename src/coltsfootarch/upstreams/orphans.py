"""Cancels orphans: engine requests that no live entry host runs."""

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

# Times that the owner must have no session and the request no reader before it
# is an orphan. They leave callers of a stopped host the time to resume at
# another one.
NO_SESSION_SECONDS = 10.0
UNREAD_SECONDS = 10.0

# Time without a reader after which a request is cancelled whatever its owner.
ABANDONED_SECONDS = 60.0

# Maximum age of the view of sessions. In an older view a missing session does
# not mean that the host has stopped.
MAX_VIEW_AGE_SECONDS = 5.0

# Time after which owners without a session are forgotten; an incarnation never
# returns.
OWNER_RETENTION_SECONDS = 3600.0


class Owner(NamedTuple):
    """Entry host of an engine request."""

    host: str
    incarnation: int


def parse_owner(text: str) -> Owner | None:
    """Returns the owner in "host/incarnation", or None if it is malformed."""
    host, _, incarnation = text.rpartition("/")
    if not host or not incarnation.isdigit():
        return None
    return Owner(host, int(incarnation))


class OrphanCollector:
    """Frees engine memory of requests whose entry host no longer runs them.

    Args:
        clock: Source of time.
        engines: Calls to engines.
        current_register: Returns the register in force.
        is_live: Returns whether an incarnation of a host has a session.
        is_home: Returns whether this host holds an upstream's home shard.
        still_runs: Asks a live owner whether it still runs a request, given its
            id; returns None if the owner did not answer.
        view_age: Returns the age in seconds of the view that `is_live` uses.
        spawn: Starts the check of one engine in its own greenlet.

    Attributes:
        no_session_since: Monotonic time in seconds since which an owner has no
            session.
        running_checks: Names of engines whose check is in progress.
        cancelled: Number of cancelled orphans.
        failures: Number of failed checks.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        engines: engine.EngineClient,
        current_register: Callable[[], register.Register],
        is_live: Callable[[str, int], bool],
        is_home: Callable[[str], bool],
        still_runs: Callable[[Owner, str], bool | None],
        view_age: Callable[[], float],
        spawn: Callable[..., Any] = gevent.spawn,
    ) -> None:
        self.clock = clock
        self.engines = engines
        self.current_register = current_register
        self.is_live = is_live
        self.is_home = is_home
        self.still_runs = still_runs
        self.view_age = view_age
        self.spawn = spawn
        self.next_run = 0.0
        self.no_session_since: dict[Owner, float] = {}
        self.running_checks: set[str] = set()
        self.cancelled = 0
        self.failures = 0

    def tick(self) -> None:
        """Starts the checks of all engines of this home once a second."""
        now = self.clock.monotonic()
        if now < self.next_run:
            return
        self.next_run = now + INTERVAL_SECONDS
        self.forget_owners()
        for upstream in self.current_register().upstreams.values():
            if upstream.role is register.UpstreamRole.PLAIN:
                continue
            if upstream.name in self.running_checks or not self.is_home(
                upstream.name
            ):
                continue
            self.running_checks.add(upstream.name)
            self.spawn(self.check, upstream)

    def check(self, upstream: register.Upstream) -> None:
        """Cancels the orphans of one engine."""
        try:
            for entry in self.engines.requests(upstream.address):
                if self.is_orphan(entry) and self.is_home(upstream.name):
                    self.engines.cancel(upstream.address, entry.request_id)
                    self.cancelled += 1
        except errors.UpstreamError:
            self.failures += 1
        finally:
            self.running_checks.discard(upstream.name)

    def is_orphan(self, entry: engine.EngineEntry) -> bool:
        """Returns whether an engine request is an orphan to be cancelled."""
        owner = parse_owner(entry.owner)
        session_lost = owner is not None and self.has_lost_session(owner)
        if entry.idle >= ABANDONED_SECONDS:
            return True
        if entry.idle < UNREAD_SECONDS or owner is None:
            return False
        if session_lost:
            return True
        if owner in self.no_session_since:
            return False
        return self.still_runs(owner, entry.request_id) is False

    def has_lost_session(self, owner: Owner) -> bool:
        """Returns whether an owner had no session for `NO_SESSION_SECONDS`.

        The answer is False while the view of sessions is too old.
        """
        if self.view_age() > MAX_VIEW_AGE_SECONDS:
            return False
        if self.is_live(owner.host, owner.incarnation):
            self.no_session_since.pop(owner, None)
            return False
        now = self.clock.monotonic()
        since = self.no_session_since.setdefault(owner, now)
        return now - since >= NO_SESSION_SECONDS

    def forget_owners(self) -> None:
        """Forgets owners that have a session again or had none for too long."""
        limit = self.clock.monotonic() - OWNER_RETENTION_SECONDS
        for owner, since in list(self.no_session_since.items()):
            if since < limit or self.is_live(owner.host, owner.incarnation):
                del self.no_session_since[owner]
