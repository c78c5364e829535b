"""Fetches load reports and cache events of engines for their schedulers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

import gevent

from coltsfootarch import errors
from coltsfootarch.config import register

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from coltsfootarch import clock as clocks
    from coltsfootarch.scheduling import pool
    from coltsfootarch.upstreams import engine

LOAD_SECONDS = 1.0
CACHE_SECONDS = 0.25


class MonitoredEngine(NamedTuple):
    """An engine together with the schedulers that use it."""

    upstream: register.Upstream
    schedulers: list[pool.PoolScheduler]


class EngineMonitor:
    """Feeds the schedulers of this host with what their engines report.

    Args:
        clock: Clock of the intervals.
        engines: Calls to engines.
        schedulers: Returns the schedulers to feed.
        spawn: Runs a fetch; each fetch gets a greenlet of its own, so that an
            engine that hangs delays no other.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        engines: engine.EngineClient,
        schedulers: Callable[[], Iterable[pool.PoolScheduler]],
        spawn: Callable[..., Any] = gevent.spawn,
    ) -> None:
        self.clock = clock
        self.engines = engines
        self.schedulers = schedulers
        self.spawn = spawn
        self.load_due: dict[str, float] = {}
        self.cache_due: dict[str, float] = {}
        self.sequences: dict[str, int] = {}
        self.busy: set[tuple[str, str]] = set()
        self.failures = 0

    def tick(self) -> None:
        """Starts the fetches that are due."""
        now = self.clock.monotonic()
        monitored = self.monitored()
        for name, entry in monitored.items():
            if self.load_due.get(name, 0.0) <= now:
                self.load_due[name] = now + LOAD_SECONDS
                self.start_fetch("load", entry, self.fetch_load)
            if entry.upstream.role is not register.UpstreamRole.PREFILL:
                continue
            if self.cache_due.get(name, 0.0) <= now:
                self.cache_due[name] = now + CACHE_SECONDS
                self.start_fetch("cache", entry, self.fetch_cache)
        for name in [name for name in self.load_due if name not in monitored]:
            del self.load_due[name]
            self.cache_due.pop(name, None)
            self.sequences.pop(name, None)

    def monitored(self) -> dict[str, MonitoredEngine]:
        """Returns the engines to fetch from, by name."""
        monitored: dict[str, MonitoredEngine] = {}
        for scheduler in self.schedulers():
            for upstream in scheduler.upstreams():
                entry = monitored.setdefault(
                    upstream.name, MonitoredEngine(upstream, [])
                )
                entry.schedulers.append(scheduler)
        return monitored

    def start_fetch(
        self,
        kind: str,
        entry: MonitoredEngine,
        fetch: Callable[[MonitoredEngine], None],
    ) -> None:
        """Starts a fetch unless the same one is still running."""
        mark = (kind, entry.upstream.name)
        if mark in self.busy:
            return
        self.busy.add(mark)
        self.spawn(self.run_fetch, mark, entry, fetch)

    def run_fetch(
        self,
        mark: tuple[str, str],
        entry: MonitoredEngine,
        fetch: Callable[[MonitoredEngine], None],
    ) -> None:
        """Runs a fetch and counts its failure."""
        try:
            fetch(entry)
        except errors.UpstreamError:
            self.failures += 1
        finally:
            self.busy.discard(mark)

    def fetch_load(self, entry: MonitoredEngine) -> None:
        """Passes the load report of an engine to its schedulers."""
        load = self.engines.load(entry.upstream.address)
        for scheduler in entry.schedulers:
            scheduler.report(entry.upstream.name, load)

    def fetch_cache(self, entry: MonitoredEngine) -> None:
        """Passes the cache events of an engine to its schedulers."""
        name = entry.upstream.name
        # A scheduler that is new here has seen nothing yet, so the events are
        # asked for from the one that is furthest behind.
        after = min(
            scheduler.prefills[name].cache.sequence
            for scheduler in entry.schedulers
            if name in scheduler.prefills
        )
        for event in self.engines.cache_events(entry.upstream.address, after):
            for scheduler in entry.schedulers:
                scheduler.cache_event(name, event)
