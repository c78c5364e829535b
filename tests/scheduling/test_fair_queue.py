"""Guards against one client account slowing the requests of others."""

from __future__ import annotations

from coltsfootarch import clock
from coltsfootarch.scheduling import fair_queue
from tests.fakes import pools

CLOCK = clock.ManualClock()


def serve(queue, count):
    served = []
    for _ in range(count):
        item = queue.first()
        queue.take(item)
        served.append(item.account)
    return served


def test_account_with_five_times_the_requests_gets_no_more_than_its_share():
    queue = fair_queue.FairQueue()
    for number in range(50):
        queue.push(pools.make_item(f"f{number}", CLOCK, "flooding"))
    for number in range(10):
        queue.push(pools.make_item(f"o{number}", CLOCK, "other"))

    served = serve(queue, 20)

    assert served.count("other") == 10


def test_weights_divide_the_service():
    queue = fair_queue.FairQueue()
    for number in range(40):
        queue.push(pools.make_item(f"h{number}", CLOCK, "heavy", weight=3.0))
        queue.push(pools.make_item(f"l{number}", CLOCK, "light", weight=1.0))

    served = serve(queue, 40)

    assert 29 <= served.count("heavy") <= 31


def test_idle_account_gains_no_more_than_its_credit():
    queue = fair_queue.FairQueue(credit=3 * 2100.0)
    for number in range(200):
        queue.push(pools.make_item(f"b{number}", CLOCK, "busy"))
    serve(queue, 100)
    for number in range(50):
        queue.push(pools.make_item(f"i{number}", CLOCK, "idle"))

    served = serve(queue, 20)

    # Three requests ahead, then every other one.
    assert served.count("idle") <= 3 + 20 // 2


def test_priority_orders_the_requests_of_one_account_only():
    queue = fair_queue.FairQueue()
    queue.push(pools.make_item(1, CLOCK, "a"))
    queue.push(pools.make_item(2, CLOCK, "a", priority=5))
    queue.take(queue.first())
    queue.push(pools.make_item(3, CLOCK, "b"))
    queue.push(pools.make_item(4, CLOCK, "a", priority=9))

    order = []
    while queue:
        item = queue.first()
        queue.take(item)
        order.append(item.request_id)

    assert order == ["r3", "r4", "r1"]


def test_unused_tokens_are_refunded():
    queue = fair_queue.FairQueue()
    for number in range(4):
        queue.push(pools.make_item(f"a{number}", CLOCK, "a"))
        queue.push(pools.make_item(f"b{number}", CLOCK, "b"))
    serve(queue, 2)
    queue.charge("b", -500.0)

    assert queue.first().account == "b"
