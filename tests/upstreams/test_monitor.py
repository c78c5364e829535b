"""Tests that engine reports reach the schedulers at their intervals.

An engine that fails or hangs must not delay the reports of others.
"""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch.scheduling import pool
from coltsfootarch.upstreams import engine
from coltsfootarch.upstreams import monitor
from tests.fakes import pools


@pytest.fixture
def engines():
    fake = pools.FakeEngines()
    for upstream in pools.make_pool():
        fake.loads[upstream.address] = engine.LoadReport(2, 0, 50, 0, 0.5)
    return fake


def make_monitor(clock, engines, spawn=pools.run_synchronously):
    scheduler = pool.PoolScheduler(clock, pools.SERVICE, pools.make_pool())
    return scheduler, monitor.EngineMonitor(
        clock, engines, lambda: [scheduler], spawn
    )


def test_reports_and_cache_events_reach_the_scheduler(manual_clock, engines):
    engines.events["127.0.0.1:7001"] = [engine.CacheEvent(1, (5,), ())]
    scheduler, engine_monitor = make_monitor(manual_clock, engines)

    engine_monitor.tick()

    assert scheduler.decodes["d1"].foreign_slots == 2
    assert scheduler.prefills["p1"].cache.digests == {5}


def test_reports_are_fetched_at_their_intervals(manual_clock, engines):
    _, engine_monitor = make_monitor(manual_clock, engines)
    for _ in range(200):
        engine_monitor.tick()
        manual_clock.advance(datetime.timedelta(milliseconds=10))

    kinds = [kind for kind, _ in engines.calls]
    assert kinds.count("load") == 2 * 4
    assert kinds.count("cache") == 8 * 2


def test_failure_is_counted_and_others_are_still_fetched(manual_clock, engines):
    engines.down = {"127.0.0.1:7003"}
    scheduler, engine_monitor = make_monitor(manual_clock, engines)

    engine_monitor.tick()

    assert engine_monitor.failures == 1
    assert scheduler.decodes["d2"].foreign_slots == 2


def test_fetch_is_not_repeated_while_one_is_running(manual_clock, engines):
    started = []
    _, engine_monitor = make_monitor(
        manual_clock, engines, lambda *call: started.append(call)
    )
    engine_monitor.tick()
    first = len(started)
    manual_clock.advance(datetime.timedelta(seconds=2))
    engine_monitor.tick()

    assert len(started) == first
