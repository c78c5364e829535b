"""Tests of the pool scheduler.

They guard against prefills without a decode slot, assignments to failing
engines, capacity that stays reserved for ended requests, and refusals after the
deadline.
"""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch import results
from coltsfootarch.config import register
from coltsfootarch.scheduling import items
from coltsfootarch.scheduling import pool
from coltsfootarch.upstreams import engine
from tests.fakes import pools


def seconds(amount):
    return datetime.timedelta(seconds=amount)


def make_scheduler(clock, upstreams=None):
    return pool.PoolScheduler(
        clock, pools.SERVICE, upstreams or pools.make_pool()
    )


def place(scheduler, item):
    """Submits an item; returns its decision, or None if there is none yet."""
    scheduler.submit(item)
    decisions = [entry for entry in scheduler.poll() if entry[:2] == item.key]
    return decisions[0] if decisions else None


def start(scheduler, clock, item, transferred=True):
    """Places an item and reports its prefill and, if asked, its transfer."""
    decision = place(scheduler, item)
    scheduler.apply(pools.make_event(decision, "prefilled", decision.prefill))
    if transferred:
        scheduler.apply(
            pools.make_event(decision, "transferred", decision.decode)
        )
    return decision


def make_small_pool(**values):
    return [
        pools.make_upstream("p1", "prefill", 1),
        pools.make_upstream("d1", "decode", 3, **values),
    ]


def test_prefill_waits_for_a_free_decode_slot(manual_clock):
    scheduler = make_scheduler(manual_clock, make_small_pool(slots=1))
    first = start(scheduler, manual_clock, pools.make_item(1, manual_clock))

    assert place(scheduler, pools.make_item(2, manual_clock)) is None

    scheduler.apply(pools.make_event(first, "finished", "d1", 50))
    assert [entry.request_id for entry in scheduler.poll()] == ["r2"]


def test_memory_pieces_are_reserved_before_the_prefill(manual_clock):
    scheduler = make_scheduler(manual_clock, make_small_pool(memory_pieces=3))
    large = {"prompt_tokens": 3500}

    assert place(scheduler, pools.make_item(1, manual_clock, **large))
    manual_clock.advance(seconds(0.2))

    assert place(scheduler, pools.make_item(2, manual_clock, **large)) is None


def test_prefill_starts_before_its_decode_slot_is_free(manual_clock):
    scheduler = make_scheduler(manual_clock, make_small_pool(slots=20))
    scheduler.residence = 2.0
    for number in range(20):
        start(scheduler, manual_clock, pools.make_item(number, manual_clock))

    assert place(scheduler, pools.make_item(20, manual_clock)) is not None


def test_request_that_cannot_meet_its_deadline_is_refused(manual_clock):
    scheduler = make_scheduler(manual_clock, make_small_pool(slots=1))
    start(scheduler, manual_clock, pools.make_item(1, manual_clock))
    scheduler.submit(pools.make_item(2, manual_clock))
    scheduler.poll()
    manual_clock.advance(seconds(1.25))

    (refusal,) = scheduler.poll()

    assert refusal.code is results.OVERLOADED
    assert refusal.retry_after > 0
    assert not scheduler.queue


def test_cached_prefix_is_preferred_until_an_event_is_missing(manual_clock):
    scheduler = make_scheduler(manual_clock)
    prefix = (11, 12, 13)
    scheduler.cache_event("p2", engine.CacheEvent(1, prefix, ()))
    cached = pools.make_item(1, manual_clock, prefix_digests=prefix)

    assert place(scheduler, cached).prefill == "p2"

    scheduler.cache_event("p2", engine.CacheEvent(3, (99,), ()))
    view = scheduler.prefills["p2"].cache
    assert view.cached_tokens(prefix, 2000) == 0
    assert view.gaps == 1


@pytest.mark.parametrize("fault", ["crash", "restart"])
def test_cache_events_of_a_restarted_engine_are_applied(manual_clock, fault):
    scheduler = make_scheduler(manual_clock)
    for sequence in (1, 2, 3):
        event = engine.CacheEvent(sequence, (sequence,), ())
        scheduler.cache_event("p1", event)
    if fault == "crash":
        decision = place(scheduler, pools.make_item(1, manual_clock))
        scheduler.apply(pools.make_event(decision, "crashed", "p1"))
    else:
        pool_, draining = pools.make_pool(), register.UpstreamState.DRAINING
        scheduler.set_upstreams([pool_[0]._replace(state=draining), *pool_[1:]])
        scheduler.set_upstreams(pool_)
    scheduler.cache_event("p1", engine.CacheEvent(1, (9,), ()))

    assert scheduler.prefills["p1"].cache.digests == {9}


def test_engine_with_a_busy_link_loses_to_a_fuller_engine(manual_clock):
    slow = {"link_rate": 2e8}
    scheduler = make_scheduler(manual_clock, pools.make_pool(**slow))
    scheduler.apply_load_report("d2", engine.LoadReport(14, 0, 50, 0, age=0.0))
    first = place(scheduler, pools.make_item(1, manual_clock))
    second = place(scheduler, pools.make_item(2, manual_clock))

    assert first.prefill != second.prefill
    assert (first.decode, second.decode) == ("d1", "d2")


def test_load_report_counts_only_requests_of_other_schedulers(manual_clock):
    scheduler = make_scheduler(manual_clock, make_small_pool(slots=4))
    manual_clock.advance(seconds(1))
    start(scheduler, manual_clock, pools.make_item(1, manual_clock))
    manual_clock.advance(seconds(1))
    scheduler.apply_load_report("d1", engine.LoadReport(3, 0, 60, 0, age=0.5))

    assert scheduler.decodes["d1"].foreign_slots == 2

    # The second request was dispatched after the instant that the report
    # describes.
    start(scheduler, manual_clock, pools.make_item(2, manual_clock))
    scheduler.apply_load_report("d1", engine.LoadReport(3, 0, 60, 0, age=0.5))

    assert scheduler.decodes["d1"].foreign_slots == 2


@pytest.mark.parametrize("upstream", ["p1", "d1"])
def test_failing_engine_gets_one_probe_after_its_ejection(
    manual_clock, upstream
):
    scheduler = make_scheduler(manual_clock)
    state = {**scheduler.prefills, **scheduler.decodes}[upstream]
    for number in (1, 2):
        others = frozenset({"p1", "p2", "d1", "d2"}) - {upstream}
        same_role = {name for name in others if name[0] == upstream[0]}
        item = pools.make_item(
            number, manual_clock, excluded=frozenset(same_role)
        )
        decision = place(scheduler, item)
        scheduler.apply(pools.make_event(decision, "failed", upstream))

    assert not state.health.usable(manual_clock.monotonic())
    manual_clock.advance(seconds(1.1))
    assert state.health.usable(manual_clock.monotonic())
    state.health.record_dispatch(manual_clock.monotonic())
    assert not state.health.usable(manual_clock.monotonic())


def test_slow_decode_engine_is_ejected(manual_clock):
    scheduler = make_scheduler(manual_clock)
    for number in range(6):
        decision = start(
            scheduler, manual_clock, pools.make_item(number, manual_clock)
        )
        manual_clock.advance(seconds(9 if decision.decode == "d1" else 2))
        scheduler.apply(
            pools.make_event(decision, "finished", decision.decode, 50)
        )

    now = manual_clock.monotonic()
    assert scheduler.decodes["d1"].health.ejections
    assert scheduler.decodes["d2"].health.usable(now)


def test_slow_prefill_engine_is_ejected(manual_clock):
    scheduler = make_scheduler(manual_clock)
    for number in range(8):
        decision = place(scheduler, pools.make_item(number, manual_clock))
        manual_clock.advance(seconds(0.4 if decision.prefill == "p1" else 0.1))
        scheduler.apply(
            pools.make_event(decision, "prefilled", decision.prefill)
        )
        scheduler.apply(pools.make_event(decision, "finished", "", 10))

    assert scheduler.prefills["p1"].health.ejections


@pytest.mark.matrix(
    invariant=5,
    fault="crashing request",
    step="decode",
    fails_without="count of crashes by request digest",
)
def test_only_the_request_that_crashed_twice_is_quarantined(manual_clock):
    scheduler = make_scheduler(manual_clock)
    for attempt in (1, 2):
        decision = place(
            scheduler,
            pools.make_item(1, manual_clock, attempt=attempt, digest="bad"),
        )
        scheduler.apply(pools.make_event(decision, "crashed", decision.decode))

    again = place(scheduler, pools.make_item(2, manual_clock, digest="bad"))
    other = place(scheduler, pools.make_item(3, manual_clock, digest="good"))

    assert again.code is results.QUARANTINED
    assert 599 < again.retry_after <= 600
    assert isinstance(other, items.Assignment)
    manual_clock.advance(seconds(601))
    assert isinstance(
        place(scheduler, pools.make_item(4, manual_clock, digest="bad")),
        items.Assignment,
    )


def crash_with_prefix(scheduler, clock, number, *prefix):
    """Places a request of its own whose engine crashes before it generates."""
    item = pools.make_item(
        number, clock, digest=f"g{number}", prefix_digests=prefix
    )
    decision = place(scheduler, item)
    if isinstance(decision, items.Assignment):
        scheduler.apply(pools.make_event(decision, "crashed", decision.decode))
        clock.advance(seconds(3))
    return decision


def test_requests_with_a_prefix_that_crashes_engines_are_quarantined(
    manual_clock,
):
    """Guards against requests, no two alike, that crash engine after engine."""
    scheduler = make_scheduler(manual_clock)
    decisions = [
        crash_with_prefix(scheduler, manual_clock, number, 1, 2, 100 + number)
        for number in range(4)
    ]

    assert isinstance(decisions[1], items.Assignment)
    assert decisions[2].code is results.QUARANTINED
    assert decisions[3].code is results.QUARANTINED
    assert decisions[3].retry_after > 0
    other = pools.make_item(9, manual_clock, digest="g9", prefix_digests=(1, 3))
    assert isinstance(place(scheduler, other), items.Assignment)


def test_prefix_of_a_request_that_generated_is_not_quarantined(manual_clock):
    """Guards against refusals of requests beside a crashing one."""
    scheduler = make_scheduler(manual_clock)
    for number in range(4):
        item = pools.make_item(
            number, manual_clock, digest=f"g{number}", prefix_digests=(1, 2)
        )
        decision = place(scheduler, item)
        assert isinstance(decision, items.Assignment)
        scheduler.apply(
            pools.make_event(decision, "crashed", decision.decode, 5)
        )
        manual_clock.advance(seconds(3))


@pytest.mark.matrix(
    invariant=5,
    fault="crashing request",
    step="decode",
    fails_without="blame of the request with the most crashes only",
)
def test_requests_on_the_engine_of_a_crashing_one_are_not_quarantined(
    manual_clock,
):
    engines = [pools.make_upstream("p1", "prefill", 1)]
    engines += [
        pools.make_upstream(f"d{number}", "decode", 2 + number, slots=10)
        for number in range(1, 4)
    ]
    scheduler = make_scheduler(manual_clock, engines)
    waiting = dict.fromkeys(range(12), 1)
    running = {}
    quarantined = set()
    done = set()
    crashes = 0
    for _ in range(200):
        for number, attempt in list(waiting.items()):
            item = pools.make_item(
                number, manual_clock, attempt=attempt, digest=f"g{number}"
            )
            decision = place(scheduler, item)
            if decision is None:
                scheduler.withdraw(item.key)
                continue
            del waiting[number]
            if isinstance(decision, items.Refusal):
                if decision.code is results.QUARANTINED:
                    quarantined.add(number)
                else:
                    waiting[number] = attempt + 1
                continue
            for step in ("prefilled", "transferred"):
                scheduler.apply(pools.make_event(decision, step))
            running[number] = decision
        manual_clock.advance(seconds(0.1))
        # Request 5 crashes its engine immediately, so no request finishes while
        # it runs.
        if running and 5 not in running:
            number = min(running)
            ended = running.pop(number)
            scheduler.apply(pools.make_event(ended, "finished", "", 50))
            done.add(number)
        if quarantined | done == set(range(12)):
            break
        if 5 not in running:
            continue
        crashes += 1
        crashed_engine = running[5].decode
        for number, decision in list(running.items()):
            if decision.decode == crashed_engine:
                scheduler.apply(
                    pools.make_event(decision, "crashed", crashed_engine)
                )
                del running[number]
                waiting[number] = decision.attempt + 1
        manual_clock.advance(seconds(2.5))

    assert quarantined == {5}
    assert len(done) == 11
    assert crashes <= 4


@pytest.mark.matrix(
    invariant=1,
    fault="kill",
    step="decode",
    fails_without="release of reservations that reports no longer show",
)
def test_load_reports_release_the_reservation_of_a_failed_host(
    manual_clock,
):
    scheduler = make_scheduler(manual_clock, make_small_pool(slots=1))
    start(scheduler, manual_clock, pools.make_item(1, manual_clock))
    for _ in range(3):
        manual_clock.advance(seconds(1))
        scheduler.apply_load_report(
            "d1", engine.LoadReport(0, 0, 64, 0, age=0.5)
        )

    assert not scheduler.assigned
    assert place(scheduler, pools.make_item(2, manual_clock))


@pytest.mark.matrix(
    invariant=1,
    fault="kill",
    step="prefill",
    fails_without="expiry of reservations without a transfer",
)
def test_reservation_without_a_transfer_expires(manual_clock):
    scheduler = make_scheduler(manual_clock, make_small_pool(slots=1))
    place(scheduler, pools.make_item(1, manual_clock))
    manual_clock.advance(seconds(8))
    scheduler.poll()

    assert not scheduler.assigned
    assert place(scheduler, pools.make_item(2, manual_clock))


@pytest.mark.matrix(
    invariant=1,
    fault="stalled transfer",
    step="transfer",
    fails_without="release of the reservation at a failure",
)
def test_stalled_transfer_releases_its_slot_and_is_retried_elsewhere(
    manual_clock,
):
    scheduler = make_scheduler(manual_clock, pools.make_pool(slots=1))
    first = start(
        scheduler, manual_clock, pools.make_item(1, manual_clock), False
    )
    scheduler.apply(pools.make_event(first, "failed", first.decode))
    again = place(
        scheduler,
        pools.make_item(
            1, manual_clock, attempt=2, excluded=frozenset({first.decode})
        ),
    )

    assert again.decode != first.decode
    assert not scheduler.decodes[first.decode].reservations
    assert scheduler.links.free_at(first.decode) == 0.0


@pytest.mark.matrix(
    invariant=8,
    fault="none",
    step="schedule",
    fails_without="check of the upstream's state",
)
@pytest.mark.parametrize("leaving", ["p1", "d1"])
def test_draining_engine_gets_no_new_work(manual_clock, leaving):
    scheduler = make_scheduler(manual_clock)
    draining = register.UpstreamState.DRAINING
    scheduler.set_upstreams(
        [
            entry._replace(state=draining) if entry.name == leaving else entry
            for entry in pools.make_pool()
        ]
    )
    used = set()
    for number in range(6):
        decision = start(
            scheduler, manual_clock, pools.make_item(number, manual_clock)
        )
        used |= {decision.prefill, decision.decode}

    assert leaving not in used


def test_request_without_an_eligible_engine_is_refused_immediately(
    manual_clock,
):
    scheduler = make_scheduler(manual_clock)
    excluded = frozenset({"d1", "d2"})

    refusal = place(
        scheduler, pools.make_item(1, manual_clock, excluded=excluded)
    )

    assert refusal.code is results.NO_UPSTREAM
