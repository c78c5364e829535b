"""Tests what many requests that wait for a silent engine cost their host."""

from __future__ import annotations

import time

import gevent

from coltsfootarch.scheduling import dispatch_queue
from coltsfootarch.scheduling import engine_placement

WAITING = 100
SECONDS = 1.0


def test_waiting_requests_do_not_each_look_again_for_all_others(
    engines, monkeypatch
):
    """Guards against a host that is kept busy by requests that wait."""
    context = engines.daemon.context
    for name in ("p-1", "d-1", "d-2"):
        context.loads.add(name, 9000)
    service = engines.daemon.policy_tracker.policy.services["llm"]
    demand = engine_placement.estimate(1000, 500, 0, 0.3)
    now = time.monotonic()
    waiting = [
        gevent.spawn(
            context.queue.acquire,
            dispatch_queue.Waiter(
                service, demand, frozenset(), 1, now, now + 60.0
            ),
            5 * SECONDS,
        )
        for _ in range(WAITING)
    ]
    engines.wait(lambda: len(context.queue.waiters) == WAITING)
    place = context.queue.placer.place
    looks = []

    def count(*arguments):
        looks.append(arguments)
        return place(*arguments)

    monkeypatch.setattr(context.queue.placer, "place", count)
    gevent.sleep(SECONDS)
    gevent.killall(waiting)

    rechecks = SECONDS / dispatch_queue.RECHECK_S + 2
    assert len(looks) <= WAITING * rechecks
