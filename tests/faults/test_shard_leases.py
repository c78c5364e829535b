"""Tests that a shard never has two holders, nor stays without one.

Two hosts that use a shard at the same time would each grant the account's whole
share. All hosts use one clock. A pause lasts at least as long as the timeout of
a probe, since a shorter pause only delays the answer.
"""

from __future__ import annotations

import pytest
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from coltsfootarch import clock
from coltsfootarch.protocol import messages
from coltsfootarch.zone import timing
from tests.fakes import fleet
from tests.fakes import network
from tests.fakes import tables

SETTLE_SECONDS = 15.0
MIN_PAUSE = timing.PROBE_TIMEOUT.total_seconds() + fleet.STEP
TWO_HOURS = 7200.0
# Time steps of the random sequences, chosen around the times of renewals, lease
# expiries and takeovers.
STEPS = (1, 2, 5, 9, 16, 30, 45, 60)


def make_fleet(**zones):
    return fleet.Fleet(
        clock.ManualClock(),
        tables.FakeTables(),
        network.FakeNetwork(),
        zones,
    )


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Random sequences of faults in two zones."""

    @stateful.initialize(
        first=strategies.integers(1, 3), second=strategies.integers(1, 3)
    )
    def start_hosts(self, first, second):
        self.fleet = make_fleet(regina=first, brandon=second)
        self.fleet.run(SETTLE_SECONDS)

    def pick(self, number, condition):
        hosts = [h for h in self.fleet.hosts.values() if condition(h)]
        return hosts[number % len(hosts)] if hosts else None

    @stateful.rule(
        steps=strategies.sampled_from(STEPS),
        reverse_order=strategies.booleans(),
    )
    def advance_clock(self, steps, reverse_order):
        self.fleet.run(steps * fleet.STEP, reverse_order)

    @stateful.rule(number=strategies.integers(0, 5))
    def pause(self, number):
        host = self.pick(number, lambda host: host.running)
        if host:
            self.fleet.pause(host.name)

    @stateful.rule(number=strategies.integers(0, 5))
    def resume(self, number):
        host = self.pick(number, lambda host: host.paused_at is not None)
        if host:
            paused_seconds = self.fleet.clock.monotonic() - host.paused_at
            self.fleet.run(max(0.0, MIN_PAUSE - paused_seconds))
            self.fleet.resume(host.name)

    @stateful.rule(number=strategies.integers(0, 5))
    def kill(self, number):
        host = self.pick(number, lambda host: not host.dead)
        if host:
            self.fleet.kill(host.name)

    @stateful.rule(number=strategies.integers(0, 5))
    def restart(self, number):
        host = self.pick(number, lambda host: host.dead)
        if host:
            self.fleet.restart(host.name)

    @stateful.rule(down=strategies.booleans())
    def switch_store(self, down):
        self.fleet.tables.down = down

    @stateful.rule(number=strategies.integers(0, 5), cut=strategies.booleans())
    def switch_store_of_one(self, number, cut):
        self.pick(number, lambda host: True).client.cut = cut

    @stateful.rule(
        number=strategies.integers(0, 5), count=strategies.integers(1, 3)
    )
    def lose_store_answers(self, number, count):
        self.pick(number, lambda host: True).client.lose_answers = count

    @stateful.rule()
    def cut_zones(self):
        groups = {"regina": [], "brandon": []}
        for host in self.fleet.hosts.values():
            groups[host.zone].append(host.address)
        self.fleet.network.cut_between(*groups.values())

    @stateful.rule(
        first=strategies.integers(0, 5), second=strategies.integers(0, 5)
    )
    def cut_one_way(self, first, second):
        source = self.pick(first, lambda host: True)
        target = self.pick(
            second, lambda host: host.zone == source.zone and host != source
        )
        cuts = self.fleet.network.cuts
        if target and (target.address, source.address) not in cuts:
            cuts.add((source.address, target.address))

    @stateful.rule()
    def heal_network(self):
        self.fleet.network.cuts.clear()

    @stateful.rule()
    def settle(self):
        self.fleet.network.cuts.clear()
        self.fleet.tables.down = False
        for host in self.fleet.hosts.values():
            host.client.cut = False
            host.client.lose_answers = 0
            if host.paused_at is not None:
                self.resume(0)
        for zone in self.fleet.zones:
            hosts = [h for h in self.fleet.hosts.values() if h.zone == zone]
            if all(host.dead for host in hosts):
                self.fleet.restart(hosts[0].name)
        self.fleet.run(SETTLE_SECONDS)
        for zone in self.fleet.zones:
            assert not self.fleet.free_shards(zone)


@pytest.mark.matrix(
    invariant=4,
    fault="any sequence of pauses, kills, cuts and store faults",
    step="use of the lease that the rate bound rests on",
    fails_without="clock check at every use",
)
def test_shard_has_at_most_one_holder_after_random_faults():
    stateful.run_state_machine_as_test(
        LeaseMachine,
        settings=settings(
            max_examples=120,
            stateful_step_count=25,
            # Shrinking a failure takes longer than a test may run.
            phases=[Phase.generate],
            derandomize=True,
            deadline=None,
            database=None,
        ),
    )


def expire_while_paused(zone):
    for phase in range(8):
        zone.run(phase * fleet.STEP)
        zone.pause("regina-0")
        zone.run(timing.SESSION_VALIDITY)
        assert not zone.held("regina-0")
        zone.run(20)
        zone.resume("regina-0")
        assert not zone.held("regina-0")
        assert not zone.free_shards("regina")
        zone.run(SETTLE_SECONDS)


def take_over_after_kill(zone):
    before = dict(zone.held("regina-0"))
    zone.kill("regina-0")
    zone.run(SETTLE_SECONDS)
    assert not zone.free_shards("regina")
    survivors = {**zone.held("regina-1"), **zone.held("regina-2")}
    for shard, epoch in before.items():
        assert survivors[shard] > epoch


def keep_leases_in_store_outage(zone):
    before = {name: zone.held(name) for name in zone.hosts}
    zone.tables.down = True
    zone.run(TWO_HOURS, step=1.0)
    assert {name: zone.held(name) for name in zone.hosts} == before


def kill_in_store_outage(zone):
    zone.tables.down = True
    zone.run(30)
    survivors = {name: zone.held(name) for name in ("regina-1", "regina-2")}
    zone.kill("regina-0")
    zone.run(60)
    assert {name: zone.held(name) for name in survivors} == survivors
    zone.tables.down = False
    zone.run(SETTLE_SECONDS)
    assert not zone.free_shards("regina")


def kill_all_but_one_in_store_outage(zone):
    zone.tables.down = True
    zone.run(30)
    before = zone.held("regina-2")
    zone.kill("regina-0")
    zone.kill("regina-1")
    zone.run(60)
    assert before
    assert zone.held("regina-2") == before


def cut_store_and_one_way(zone):
    """Without the store, a host needs a peer to acknowledge its lease."""
    host = zone.hosts["regina-0"]
    host.client.cut = True
    zone.network.cuts.add((host.address, zone.hosts["regina-1"].address))
    before = zone.held("regina-0")
    zone.run(60)
    assert zone.held("regina-0") == before
    zone.network.cuts.add((host.address, zone.hosts["regina-2"].address))
    zone.run(SETTLE_SECONDS)
    assert not zone.held("regina-0")
    assert not zone.free_shards("regina")


def cut_store_and_incoming_messages(zone):
    """A host that sends but receives no messages keeps its leases."""
    host = zone.hosts["regina-0"]
    host.client.cut = True
    before = zone.held("regina-0")
    for name in ("regina-1", "regina-2"):
        zone.network.cuts.add((zone.hosts[name].address, host.address))
    zone.run(60)
    assert zone.held("regina-0") == before


def lose_heartbeats(zone):
    """Heartbeats on old connections are lost; probes use new connections."""
    host = zone.hosts["regina-0"]
    host.client.cut = True
    zone.network.drop = lambda source, target, message: isinstance(
        message, messages.Heartbeat
    )
    before = zone.held("regina-0")
    zone.run(60)
    assert zone.held("regina-0") == before
    zone.pause("regina-0")
    zone.run(20)
    assert not zone.free_shards("regina")


def kill_acknowledging_peer(zone):
    """The peer that acknowledged last is killed and can't be asked."""
    for phase in range(8):
        host = zone.hosts["regina-0"]
        host.client.cut = True
        path = (host.address, zone.hosts["regina-1"].address)
        zone.network.cuts.add(path)
        zone.run(20 + phase * fleet.STEP)
        assert zone.held("regina-0")
        zone.kill("regina-2")
        zone.run(20)
        assert not zone.free_shards("regina")
        zone = make_fleet(regina=3)
        zone.run(SETTLE_SECONDS)


def pause_without_store(zone):
    """A paused host must not extend a lease that a peer may take over."""
    host = zone.hosts["regina-0"]
    host.client.cut = True
    zone.run(30)
    assert zone.held("regina-0")
    for _ in range(10):
        zone.pause("regina-0")
        zone.run(MIN_PAUSE)
        zone.resume("regina-0")
        zone.run(0.5)
    zone.run(SETTLE_SECONDS)
    assert not zone.held("regina-0")
    assert not zone.free_shards("regina")


def pause_the_observer(zone):
    """Messages that a host missed while paused don't count as lost."""
    host = zone.hosts["regina-0"]
    zone.kill("regina-2")
    zone.run(SETTLE_SECONDS)
    host.client.cut = True
    zone.network.cuts.add((zone.hosts["regina-1"].address, host.address))
    zone.run(4)
    zone.pause("regina-1")
    zone.run(20)
    assert zone.held("regina-0")
    zone.resume("regina-1")
    zone.run(30)
    assert zone.held("regina-0")


def expire_without_store(zone):
    """A running host without a valid session doesn't prevent a takeover."""
    zone.hosts["regina-0"].client.cut = True
    zone.pause("regina-0")
    zone.run(timing.SESSION_VALIDITY)
    zone.resume("regina-0")
    zone.run(SETTLE_SECONDS)
    assert not zone.free_shards("regina")


def hand_over_at_stop(zone):
    leases = zone.hosts["regina-0"].agent.leases
    handed = []
    leases.hand_over_listeners.append(
        lambda shard, epoch, successor: handed.append(
            (shard, leases.epoch(shard), successor.host)
        )
    )
    before = zone.held("regina-0")
    zone.hosts["regina-0"].agent.hand_over()
    assert not zone.held("regina-0")
    assert [entry[:2] for entry in handed] == [(n, None) for n in before]
    zone.kill("regina-0")
    zone.run(timing.POLL_INTERVAL + 2 * fleet.STEP)
    assert not zone.free_shards("regina")
    for shard, _, successor in handed:
        assert shard in zone.held(successor)


def hand_over_in_store_outage(zone):
    zone.tables.down = True
    zone.hosts["regina-0"].agent.hand_over()
    assert not zone.held("regina-0")
    zone.kill("regina-0")
    zone.tables.down = False
    zone.run(SETTLE_SECONDS)
    assert not zone.free_shards("regina")


def take_over_while_renewing(zone):
    """A renewal during a takeover either fully succeeds or fully fails."""
    zone.pause("regina-0")
    host = zone.hosts["regina-0"]

    def resume_host(checks, writes):
        deletes = [write for write in writes if write.value is None]
        if deletes and host.paused_at is not None:
            zone.resume("regina-0")
            host.agent.tick()

    for name in ("regina-1", "regina-2"):
        zone.hosts[name].client.before_transact = resume_host
    zone.run(SETTLE_SECONDS)
    assert host.paused_at is None
    assert not zone.free_shards("regina")


SCENARIOS = [
    (
        expire_while_paused,
        "lease expires while paused",
        "clock check at every use",
    ),
    (take_over_after_kill, "host killed", "version check of transactions"),
    (keep_leases_in_store_outage, "store down for hours", "self-extension"),
    (kill_in_store_outage, "store down, then host killed", "takeover"),
    (
        kill_all_but_one_in_store_outage,
        "store down, one host left",
        "extension without live peers",
    ),
    (
        cut_store_and_one_way,
        "store and peers cut from host",
        "acknowledgement before self-extension",
    ),
    (
        cut_store_and_incoming_messages,
        "store cut, host receives no messages",
        "extension without live peers",
    ),
    (
        lose_heartbeats,
        "store cut, heartbeats lost on open connections",
        "direct probe before takeover",
    ),
    (
        kill_acknowledging_peer,
        "store cut, peer killed",
        "5 s of unanswered probes",
    ),
    (
        pause_without_store,
        "store cut and host paused",
        "clock check at every use",
    ),
    (
        pause_the_observer,
        "store cut, observer paused",
        "extension without live peers",
    ),
    (
        expire_without_store,
        "lease expired and store cut",
        "probe answer without session",
    ),
    (hand_over_at_stop, "graceful stop", "release at a stop"),
    (hand_over_in_store_outage, "graceful stop, store down", "takeover"),
    (
        take_over_while_renewing,
        "renewal during takeover",
        "version check of transactions",
    ),
]


@pytest.mark.parametrize(
    "scenario",
    [
        pytest.param(
            scenario,
            id=scenario.__name__,
            marks=pytest.mark.matrix(
                invariant=4,
                fault=fault,
                step="use of the lease that the rate bound rests on",
                fails_without=fails_without,
            ),
        )
        for scenario, fault, fails_without in SCENARIOS
    ],
)
def test_shard_has_one_holder_after_each_fault(scenario):
    zone = make_fleet(regina=3)
    zone.run(SETTLE_SECONDS)
    assert not zone.free_shards("regina")

    scenario(zone)
