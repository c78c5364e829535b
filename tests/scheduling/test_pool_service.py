"""Tests of the pool service and its client.

They guard against two schedulers for one pool, decisions after the lease has
ended, assignments to leaving upstreams, and requests that fail because the
pool's home is unreachable.
"""

from __future__ import annotations

import datetime

import gevent
import pytest

from coltsfootarch import errors
from coltsfootarch import results
from coltsfootarch.protocol import messages
from coltsfootarch.scheduling import local_schedulers
from coltsfootarch.scheduling import pool_service
from coltsfootarch.scheduling import scheduler_client
from coltsfootarch.zone import interfaces
from tests.fakes import pools

HOME = pools.FakeHome()


class Site:
    """A home host and an entry host of one zone."""

    def __init__(self, clock, network):
        self.clock = clock
        self.network = network
        self.register = pools.make_register(pools.make_pool())
        self.leaving = set()
        self.unreachable = set()
        self.leases = pools.FakeLeases(clock)
        self.leases.epochs[HOME.shard] = 7
        self.holders = pools.FakeHolders()
        self.holders.found[HOME] = interfaces.Holder("h1", 1, "h1:1", 7)
        self.home = self.make_service("h1", self.leases)
        self.home.start()
        self.entry = self.make_client("h2")

    def make_service(self, host, leases):
        return pool_service.PoolService(
            self.clock,
            self.network.endpoint(host, 1, "regina", f"{host}:1"),
            leases,
            lambda: self.register,
            lambda name, scope: HOME,
            "regina",
            lambda: self.leaving,
        )

    def make_client(self, host):
        own = self.make_service(host, pools.FakeLeases(self.clock))
        return scheduler_client.SchedulerClient(
            self.clock,
            own.network,
            self.holders,
            lambda: self.register,
            lambda name, scope: HOME,
            own.network.sender,
            own,
            local_schedulers.LocalSchedulers(
                self.clock,
                lambda: self.register,
                lambda: self.leaving,
                lambda address: address not in self.unreachable,
            ),
        )

    def schedule(self, number, **values):
        return self.entry.schedule(
            "summaries", pools.make_item(number, self.clock, **values)
        )

    def home_scheduler(self):
        (held,) = self.home.held.values()
        return held.runner.scheduler


@pytest.fixture
def site(manual_clock, fake_network):
    return Site(manual_clock, fake_network)


def test_home_assigns_and_receives_state_changes(site):
    assignment = site.schedule(1)
    assert site.home_scheduler().assigned

    site.entry.notify(pools.make_event(assignment, "prefilled"))
    site.entry.notify(pools.make_event(assignment, "transferred"))
    assert not site.home_scheduler().decodes[assignment.decode].running
    site.clock.advance(datetime.timedelta(seconds=0.03))
    site.entry.tick()
    assert site.home_scheduler().decodes[assignment.decode].running == 1

    site.entry.notify(pools.make_event(assignment, "cancelled"))
    assert not site.home_scheduler().assigned
    assert not site.entry.routes


def test_waiting_request_is_assigned_when_capacity_is_released(site):
    site.register = pools.make_register(pools.make_pool(slots=1))
    first = site.schedule(1)
    site.schedule(2)
    blocked_request = gevent.spawn(site.schedule, 3)
    gevent.sleep(0)
    assert not blocked_request.ready()

    site.entry.notify(pools.make_event(first, "cancelled"))

    assert blocked_request.get(timeout=5).request_id == "r3"


@pytest.mark.matrix(
    invariant=1,
    fault="caller cancel",
    step="schedule",
    fails_without="SchedulerClient.withdrawing",
)
def test_request_whose_wait_is_interrupted_gets_no_slot(site):
    site.register = pools.make_register(pools.make_pool(slots=1))
    first = site.schedule(1)
    second = site.schedule(2)
    blocked_request = gevent.spawn(site.schedule, 3)
    gevent.sleep(0)

    blocked_request.kill(errors.RefusedError(results.CLIENT_CANCELLED))
    site.entry.notify(pools.make_event(first, "cancelled"))

    assert {key.request_id for key in site.home_scheduler().assigned} == {
        second.request_id
    }
    assert len(site.entry.routes) == 1


def test_entry_host_gets_the_result_code_of_a_refusal(site):
    with pytest.raises(errors.RefusedError) as caught:
        site.schedule(1, excluded=frozenset({"p1", "p2"}))

    assert caught.value.code is results.NO_UPSTREAM


def test_host_without_the_lease_refuses_as_not_home(site):
    site.leases.epochs.clear()
    request = scheduler_client.request_for(
        "summaries", "prairie", 3, pools.make_item(1, site.clock), 1.4
    )

    assert site.home.schedule(request).refusal == results.NOT_HOME.number


@pytest.mark.matrix(
    invariant=8,
    fault="pause",
    step="schedule",
    fails_without="check of the lease before the assignment is delivered",
)
def test_home_paused_while_a_request_waits_assigns_nothing(site):
    site.register = pools.make_register(pools.make_pool(slots=1))
    first = site.schedule(1)
    second = site.schedule(2)
    request = scheduler_client.request_for(
        "summaries", "prairie", 3, pools.make_item(3, site.clock), 1.4
    )
    blocked_request = gevent.spawn(site.home.schedule, request)
    gevent.sleep(0)
    # The lease expires during the pause; delayed events arrive after the host
    # has resumed.
    held = next(iter(site.home.held.values()))
    site.leases.epochs.clear()
    held.runner.apply(
        [
            pools.make_event(first, "cancelled"),
            pools.make_event(second, "cancelled"),
        ]
    )

    reply = blocked_request.get(timeout=5)
    assert (reply.refusal, reply.decode) == (results.NOT_HOME.number, "")


@pytest.mark.matrix(
    invariant=8,
    fault="pause",
    step="schedule",
    fails_without="reading of the leaving list before each decision",
)
@pytest.mark.parametrize("name", ["p1", "d1"])
def test_upstream_that_left_during_a_pause_is_not_assigned(site, name):
    site.schedule(0)
    site.clock.advance(datetime.timedelta(seconds=3600))
    site.leaving = {site.register.upstreams[name].address}

    used = set()
    for number in range(1, 5):
        assignment = site.schedule(number)
        used |= {assignment.prefill, assignment.decode}
        site.entry.notify(pools.make_event(assignment, "cancelled"))

    assert name not in used


@pytest.mark.matrix(
    invariant=5,
    fault="kill",
    step="schedule",
    fails_without="fallback to the scheduler in the own process",
)
@pytest.mark.parametrize(
    "fault", ["dead", "no holder", "not home", "partition"]
)
def test_entry_host_schedules_locally_when_the_home_is_unreachable(site, fault):
    if fault == "dead":
        site.network.dead.add("h1:1")
    if fault == "no holder":
        site.holders.found.clear()
    if fault == "not home":
        site.leases.epochs.clear()
    if fault == "partition":
        site.network.cut_between(["h1:1"], ["h2:1"])
    site.unreachable = {site.register.upstreams["d1"].address}

    assignment = site.schedule(1)

    assert assignment.decode == "d2"
    assert site.entry.fallbacks == 1
    site.entry.notify(pools.make_event(assignment, "cancelled"))
    assert not site.entry.local.schedulers()[0].assigned


def test_unreachable_home_gets_one_request_per_pause(site):
    site.network.dead.add("h1:1")
    site.schedule(1)
    sent = site.network.sent
    site.schedule(2)
    assert site.network.sent == sent

    site.network.dead.clear()
    site.clock.advance(datetime.timedelta(seconds=2.1))
    site.schedule(3)
    assert site.entry.fallbacks == 2


def test_reply_for_another_request_is_rejected(site):
    wrong = messages.ScheduleReply("r9", 1, "p1", "d1", 0, 0.0)
    endpoint = site.network.endpoints["h1:1"]
    endpoint.register(messages.ScheduleRequest, lambda sender, asked: wrong)

    assert site.schedule(1).request_id == "r1"
    assert site.entry.fallbacks == 1
