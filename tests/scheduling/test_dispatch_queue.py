"""Tests against late answers to requests that could have been in time."""

from __future__ import annotations

import datetime
import random

import gevent
import pytest

from coltsfootarch.fleet import reports
from coltsfootarch.scheduling import backlog
from coltsfootarch.scheduling import dispatch_queue
from coltsfootarch.scheduling import engine_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import local_prefill
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import sampling
from tests.fleet import builders

OBJECTIVE_S = 0.9

COMPARE_ALL = sampling.Sampler(lambda: 1, random.Random(1))


@pytest.fixture
def loads(manual_clock):
    return load_view.LoadView(manual_clock)


@pytest.fixture
def queue(manual_clock, loads):
    directory = builders.directory(
        manual_clock, builders.decode("d-1"), builders.prefill("p-1")
    )
    placer = engine_placement.EnginePlacer(
        directory,
        loads,
        outcomes.OutcomeTracker(manual_clock),
        "north",
        COMPARE_ALL,
        local_prefill.PrefillTimes(),
    )
    waiting = backlog.Backlog(manual_clock)
    return dispatch_queue.DispatchQueue(placer, loads, waiting, manual_clock)


def make_waiter(clock, tokens=3000, priority=1, age_s=0.0, is_retry=False):
    arrived = clock.monotonic() - age_s
    return dispatch_queue.Waiter(
        builders.LLM,
        engine_placement.Demand(1000, tokens),
        frozenset(),
        priority,
        arrived,
        arrived + OBJECTIVE_S,
        is_retry,
    )


def report_peer_backlog(queue, waiting):
    """Applies a peer's report of waiting requests."""
    report = reports.Report(1, "h2", 1, 1, [], [], [], [], [], waiting)
    queue.backlog.apply_report(report, True)


def enqueue(queue, *waiters):
    """Queues requests in order; returns the greenlets that wait for them."""
    greenlets = []
    for each in waiters:
        greenlets.append(gevent.spawn(queue.acquire, each, 5.0))
        gevent.sleep(0)
    return greenlets


def test_capacity_is_reserved_immediately(queue, loads, manual_clock):
    placement = queue.acquire(make_waiter(manual_clock), 0)

    assert loads.load("d-1") == load_view.Load(1, 3000)
    queue.release(placement, prompt_prefilled=False)
    assert loads.load("d-1") == load_view.NO_LOAD


def test_request_without_a_wait_leaves_the_queue(queue, loads, manual_clock):
    loads.add("d-1", 9000)

    assert queue.acquire(make_waiter(manual_clock), 0) is None
    assert not queue.waiters
    assert queue.demand("llm") == 1


def test_request_in_time_precedes_an_older_late_one(queue, loads, manual_clock):
    loads.add("d-1", 9000)
    late = make_waiter(manual_clock, tokens=6000, age_s=2.0)
    in_time = make_waiter(manual_clock, tokens=6000)
    greenlets = enqueue(queue, late, in_time)

    loads.remove("d-1", 9000)
    gevent.sleep(0)

    assert in_time.placement is not None
    assert late.placement is None
    gevent.killall(greenlets)


def test_requests_in_time_are_ordered_by_priority_and_arrival(
    queue, loads, manual_clock
):
    loads.add("d-1", 9000)
    second = make_waiter(manual_clock, tokens=4000, age_s=0.1)
    third = make_waiter(manual_clock, tokens=4000)
    first = make_waiter(manual_clock, tokens=4000, priority=0)
    greenlets = enqueue(queue, third, second, first)

    loads.remove("d-1", 9000)
    gevent.sleep(0)

    assert first.placement is not None
    assert second.placement is not None
    assert third.placement is None
    gevent.killall(greenlets)


def test_request_becomes_late_while_it_waits(queue, loads, manual_clock):
    loads.add("d-1", 9000)
    old = make_waiter(manual_clock, tokens=6000)
    greenlets = enqueue(queue, old)
    manual_clock.advance(datetime.timedelta(seconds=0.8))
    new = make_waiter(manual_clock, tokens=6000)
    greenlets += enqueue(queue, new)

    loads.remove("d-1", 9000)
    gevent.sleep(0)

    assert new.placement is not None
    assert old.placement is None
    gevent.killall(greenlets)


def test_interrupted_wait_leaves_the_queue(queue, loads, manual_clock):
    loads.add("d-1", 9000)
    gevent.killall(enqueue(queue, make_waiter(manual_clock)))

    assert not queue.waiters
    assert queue.demand("llm") == 1


def test_expected_wait_includes_waiting_requests(queue, loads, manual_clock):
    assert queue.expected_wait("llm") == 0.0
    for _ in range(4):
        loads.add("d-1", 2300)
    greenlets = enqueue(queue, make_waiter(manual_clock))

    # Four running requests of about 3 s each: one ends every 0.75 s.
    assert queue.expected_wait("llm") == pytest.approx(1.5)
    gevent.killall(greenlets)


def test_decode_engine_prefills_one_prompt_at_a_time(
    queue, loads, manual_clock
):
    """Two consecutive prefills would pause the streams for too long."""
    queue.placer.directory.update([], ["p-1"])
    first = queue.acquire(make_waiter(manual_clock, tokens=1000), 0)
    assert first.prefill is None
    assert queue.acquire(make_waiter(manual_clock, tokens=1000), 0) is None

    queue.finish_local_prefill(first)

    assert queue.acquire(make_waiter(manual_clock, tokens=1000), 0) is not None
    queue.release(first, prompt_prefilled=True)


def test_retry_yields_to_newer_requests_of_other_hosts(
    queue, loads, manual_clock
):
    """A retry is already late and would make the newer requests late too."""
    report_peer_backlog(queue, [("llm", 1)])
    (retry,) = enqueue(queue, make_waiter(manual_clock, is_retry=True))
    loads.add("d-1", 1000)
    loads.remove("d-1", 1000)
    gevent.sleep(0)
    assert not retry.ready()
    # A retry doesn't count towards the backlog.
    assert queue.backlog.total("llm") == 1

    report_peer_backlog(queue, [])

    assert retry.get(timeout=1).decode.id == "d-1"


def test_retry_does_not_wait_for_a_stopped_host(
    queue, manual_clock, monkeypatch
):
    monkeypatch.setattr(dispatch_queue, "RECHECK_S", 0.01)
    report_peer_backlog(queue, [("llm", 1)])
    (retry,) = enqueue(queue, make_waiter(manual_clock, is_retry=True))

    manual_clock.advance(
        datetime.timedelta(seconds=backlog.PEER_REPORT_VALIDITY_S + 0.1)
    )

    assert retry.get(timeout=1).decode.id == "d-1"


def test_newer_request_precedes_a_retry(queue, loads, manual_clock):
    loads.add("d-1", 9000)
    retry, new = enqueue(
        queue,
        make_waiter(manual_clock, is_retry=True),
        make_waiter(manual_clock),
    )

    loads.remove("d-1", 4000)

    assert new.get(timeout=1).decode.id == "d-1"
    assert not retry.ready()
    loads.remove("d-1", 5000)
    assert retry.get(timeout=1).decode.id == "d-1"
