"""Tests that stage orders are needed, claimed, and sent by only one host."""

from __future__ import annotations

import datetime

import pytest

from coltsfootarch import errors
from coltsfootarch.fleet import active_policy
from coltsfootarch.fleet import hosts
from coltsfootarch.fleet import stage_orders
from coltsfootarch.fleet import upstreams
from coltsfootarch.scheduling import backlog
from coltsfootarch.scheduling import dispatch_queue
from coltsfootarch.scheduling import engine_placement
from coltsfootarch.scheduling import load_view
from coltsfootarch.scheduling import local_prefill
from coltsfootarch.scheduling import outcomes
from coltsfootarch.scheduling import stage_balance
from tests.fleet import builders


class Claims:
    """Grants a claim if the gap has passed; can be slow or raise an error."""

    def __init__(self, clock):
        self.clock = clock
        self.granted = []
        self.delay = 0.0
        self.error = None

    def claim(self, service, holder, gap_s):
        now = self.clock.monotonic()
        if self.error is not None:
            raise self.error
        if self.granted and now - self.granted[-1] < gap_s:
            return None
        self.granted.append(now)
        self.clock.advance(datetime.timedelta(seconds=self.delay))
        return stage_orders.Claim(holder, len(self.granted), now)


class Orders:
    def __init__(self):
        self.sent = []

    def change_stage(self, engine, stage, claim):
        self.sent.append((engine.id, stage, claim.holder, claim.fence))
        return "202"


@pytest.fixture
def claims(manual_clock):
    return Claims(manual_clock)


@pytest.fixture
def orders():
    return Orders()


@pytest.fixture
def make_controller(manual_clock, claims, orders):
    def make(name, peers=()):
        directory = builders.directory(
            manual_clock, builders.decode("d-1"), builders.decode("d-2")
        )
        tracker = active_policy.PolicyTracker(manual_clock)
        tracker.policy = builders.make_policy()
        loads = load_view.LoadView(manual_clock)
        outcome_tracker = outcomes.OutcomeTracker(manual_clock)
        placer = engine_placement.EnginePlacer(
            directory,
            loads,
            outcome_tracker,
            "north",
            None,
            local_prefill.PrefillTimes(),
        )
        own = hosts.HostRecord(name, "10.0.0.1:1", "north", 1, 0)
        peer_directory = hosts.HostDirectory(own, manual_clock)
        peer_directory.apply([own])
        for peer in peers:
            peer_directory.record_report(peer, "10.0.0.2:1", 1)
        return stage_orders.StageController(
            tracker,
            directory,
            stage_balance.StageBalancer(),
            dispatch_queue.DispatchQueue(
                placer, loads, backlog.Backlog(manual_clock), manual_clock
            ),
            peer_directory,
            claims,
            orders,
            outcome_tracker,
            manual_clock,
        )

    return make


def check_for(controller, clock, seconds):
    for _ in range(int(seconds / stage_orders.CHECK_INTERVAL_S)):
        controller.check()
        clock.advance(datetime.timedelta(seconds=stage_orders.CHECK_INTERVAL_S))


def test_lasting_imbalance_causes_one_order(
    make_controller, manual_clock, orders
):
    controller = make_controller("h1")

    check_for(controller, manual_clock, 8)

    assert orders.sent == [("d-1", upstreams.Stage.PREFILL, "h1", 1)]
    # The engine refuses requests until it has changed its stage; no further
    # claim is made before that.
    assert controller.next_claim_at["llm"] > manual_clock.monotonic()


def test_short_imbalance_causes_no_order(make_controller, manual_clock, orders):
    controller = make_controller("h1")
    controller.check()
    manual_clock.advance(datetime.timedelta(seconds=0.5))
    controller.directory.update([builders.prefill("p-1")], [])
    check_for(controller, manual_clock, 8)

    assert not orders.sent


def test_engine_that_was_unreachable_is_not_replaced_by_another(
    make_controller, manual_clock, orders
):
    """The engine is unreachable after the order and returns with its old stage.

    It changes later, so that an order to another engine would be one too many.
    """
    controller = make_controller("h1")
    check_for(controller, manual_clock, 2)
    assert [engine for engine, *_ in orders.sent] == ["d-1"]

    controller.directory.update([builders.decode("d-3")], ["d-1"])
    check_for(controller, manual_clock, 8.5)
    controller.directory.update([builders.decode("d-1")], [])
    controller.queue.loads.add("d-1", 100)
    check_for(controller, manual_clock, 3)

    assert [engine for engine, *_ in orders.sent] == ["d-1"]


def test_order_without_effect_is_sent_again(
    make_controller, manual_clock, orders
):
    controller = make_controller("h1")

    check_for(controller, manual_clock, 25)

    assert [engine for engine, *_ in orders.sent] == ["d-1", "d-1"]


def test_second_host_sends_no_order_after_the_first(
    make_controller, manual_clock, orders
):
    one, two = make_controller("h1"), make_controller("h2")
    for _ in range(16):
        one.check()
        two.check()
        manual_clock.advance(datetime.timedelta(seconds=0.5))

    assert len(orders.sent) == 1


def test_host_with_higher_rank_waits_for_the_first(
    make_controller, manual_clock, orders
):
    controller = make_controller("h2", peers=["h1"])

    for _ in range(int(stage_orders.MIN_IMBALANCE_S) + 1):
        controller.peers.record_report("h1", "10.0.0.2:1", 1)
        check_for(controller, manual_clock, 1)

    assert not orders.sent


def test_claim_granted_late_is_not_used(
    make_controller, manual_clock, orders, claims
):
    """The next holder of the claim may have sent orders meanwhile."""
    claims.delay = stage_orders.CLAIM_VALIDITY_S + 0.1

    check_for(make_controller("h1"), manual_clock, 3)

    assert not orders.sent


def test_claim_with_unknown_outcome_is_not_used(
    make_controller, manual_clock, orders, claims
):
    claims.error = errors.TableUnavailableError()
    controller = make_controller("h1")

    with pytest.raises(errors.TableUnavailableError):
        check_for(controller, manual_clock, 3)

    assert not orders.sent
