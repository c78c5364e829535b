"""Polls engines for load reports and cache events for their schedulers."""

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

LOAD_INTERVAL_SECONDS = 1.0
CACHE_INTERVAL_SECONDS = 0.25


class MonitoredEngine(NamedTuple):
    """An engine and the schedulers that place requests on it."""

    upstream: register.Upstream
    schedulers: list[pool.PoolScheduler]


class EngineMonitor:
    """Passes reports of engines to the schedulers of this host.

    Args:
        clock: Source of time.
        engines: Calls to engines.
        schedulers: Returns the schedulers of this host.
        spawn: Starts a fetch in its own greenlet, so that an engine that hangs
            does not delay the others.

    Attributes:
        load_due: Monotonic time in seconds of the next load fetch, by engine
            name.
        cache_due: The same for cache events.
        running_fetches: Kind and engine name of each fetch in progress.
        failures: Number of failed fetches.
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
        self.running_fetches: set[tuple[str, str]] = set()
        self.failures = 0

    def tick(self) -> None:
        """Starts the fetches that are due and forgets removed engines."""
        now = self.clock.monotonic()
        monitored_engines = self.monitored_engines()
        for name, entry in monitored_engines.items():
            if self.load_due.get(name, 0.0) <= now:
                self.load_due[name] = now + LOAD_INTERVAL_SECONDS
                self.start_fetch("load", entry, self.fetch_load)
            if entry.upstream.role is not register.UpstreamRole.PREFILL:
                continue
            if self.cache_due.get(name, 0.0) <= now:
                self.cache_due[name] = now + CACHE_INTERVAL_SECONDS
                self.start_fetch("cache", entry, self.fetch_cache)
        for name in [
            name for name in self.load_due if name not in monitored_engines
        ]:
            del self.load_due[name]
            self.cache_due.pop(name, None)
            self.sequences.pop(name, None)

    def monitored_engines(self) -> dict[str, MonitoredEngine]:
        """Returns the engines of all schedulers, by name."""
        monitored_engines: dict[str, MonitoredEngine] = {}
        for scheduler in self.schedulers():
            for upstream in scheduler.upstreams():
                entry = monitored_engines.setdefault(
                    upstream.name, MonitoredEngine(upstream, [])
                )
                entry.schedulers.append(scheduler)
        return monitored_engines

    def start_fetch(
        self,
        kind: str,
        entry: MonitoredEngine,
        fetch: Callable[[MonitoredEngine], None],
    ) -> None:
        """Starts a fetch unless the previous one of its kind still runs."""
        fetch_key = (kind, entry.upstream.name)
        if fetch_key in self.running_fetches:
            return
        self.running_fetches.add(fetch_key)
        self.spawn(self.run_fetch, fetch_key, entry, fetch)

    def run_fetch(
        self,
        fetch_key: tuple[str, str],
        entry: MonitoredEngine,
        fetch: Callable[[MonitoredEngine], None],
    ) -> None:
        """Runs a fetch and counts it if it fails."""
        try:
            fetch(entry)
        except errors.UpstreamError:
            self.failures += 1
        finally:
            self.running_fetches.discard(fetch_key)

    def fetch_load(self, entry: MonitoredEngine) -> None:
        """Passes the load report of an engine to its schedulers."""
        load = self.engines.load(entry.upstream.address)
        for scheduler in entry.schedulers:
            scheduler.apply_load_report(entry.upstream.name, load)

    def fetch_cache(self, entry: MonitoredEngine) -> None:
        """Passes the cache events of an engine to its schedulers."""
        name = entry.upstream.name
        # A new scheduler has received no events yet, so the fetch starts after
        # the lowest sequence number that any scheduler has.
        after = min(
            scheduler.prefills[name].cache.sequence
            for scheduler in entry.schedulers
            if name in scheduler.prefills
        )
        for event in self.engines.cache_events(entry.upstream.address, after):
            for scheduler in entry.schedulers:
                scheduler.cache_event(name, event)
