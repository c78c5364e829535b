"""Tests that no client account delays the requests of others."""

from __future__ import annotations

from coltsfootarch import clock
from coltsfootarch.scheduling import fair_queue
from tests.fakes import pools

CLOCK = clock.ManualClock()


def serve(queue, count):
    served = []
    for _ in range(count):
        item = queue.peek()
        queue.dequeue(item)
        served.append(item.account)
    return served


def test_flooding_account_gets_no_more_than_its_fair_share():
    queue = fair_queue.FairQueue()
    for number in range(50):
        queue.push(pools.make_item(f"f{number}", CLOCK, "flooding"))
    for number in range(10):
        queue.push(pools.make_item(f"o{number}", CLOCK, "other"))

    served = serve(queue, 20)

    assert served.count("other") == 10


def test_accounts_are_served_in_proportion_to_their_weights():
    queue = fair_queue.FairQueue()
    for number in range(40):
        queue.push(pools.make_item(f"h{number}", CLOCK, "heavy", weight=3.0))
        queue.push(pools.make_item(f"l{number}", CLOCK, "light", weight=1.0))

    served = serve(queue, 40)

    assert 29 <= served.count("heavy") <= 31


def test_lead_of_a_previously_idle_account_is_limited_by_its_credit():
    queue = fair_queue.FairQueue(credit=3 * 2100.0)
    for number in range(200):
        queue.push(pools.make_item(f"b{number}", CLOCK, "busy"))
    serve(queue, 100)
    for number in range(50):
        queue.push(pools.make_item(f"i{number}", CLOCK, "idle"))

    served = serve(queue, 20)

    # The credit covers three requests; then the accounts alternate.
    assert served.count("idle") <= 3 + 20 // 2


def test_priority_orders_the_requests_of_one_account_only():
    queue = fair_queue.FairQueue()
    queue.push(pools.make_item(1, CLOCK, "a"))
    queue.push(pools.make_item(2, CLOCK, "a", priority=5))
    queue.dequeue(queue.peek())
    queue.push(pools.make_item(3, CLOCK, "b"))
    queue.push(pools.make_item(4, CLOCK, "a", priority=9))

    order = []
    while queue:
        item = queue.peek()
        queue.dequeue(item)
        order.append(item.request_id)

    assert order == ["r3", "r4", "r1"]


def test_unused_tokens_are_refunded():
    queue = fair_queue.FairQueue()
    for number in range(4):
        queue.push(pools.make_item(f"a{number}", CLOCK, "a"))
        queue.push(pools.make_item(f"b{number}", CLOCK, "b"))
    serve(queue, 2)
    queue.charge("b", -500.0)

    assert queue.peek().account == "b"
