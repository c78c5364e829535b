"""Guards against two holders of a shard, and against shards without one.

Two hosts that use one shard at the same instant would each grant the account's
whole share. All instants are those of one common clock. A pause is at least as
long as a probe waits, since a shorter one only delays the answer.
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

QUIET = 15.0
MIN_PAUSE = timing.PROBE_TIMEOUT.total_seconds() + fleet.STEP
TWO_HOURS = 7200.0
# Time steps of the random histories: around renewals, lapses and takeovers.
STEPS = (1, 2, 5, 9, 16, 30, 45, 60)


def make_fleet(**zones):
    return fleet.Fleet(
        clock.ManualClock(),
        tables.FakeTables(),
        network.FakeNetwork(),
        zones,
    )


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Faults in any order on two zones."""

    @stateful.initialize(
        first=strategies.integers(1, 3), second=strategies.integers(1, 3)
    )
    def start_hosts(self, first, second):
        self.fleet = make_fleet(regina=first, brandon=second)
        self.fleet.run(QUIET)

    def pick(self, number, condition):
        hosts = [h for h in self.fleet.hosts.values() if condition(h)]
        return hosts[number % len(hosts)] if hosts else None

    @stateful.rule(
        steps=strategies.sampled_from(STEPS), back=strategies.booleans()
    )
    def pass_time(self, steps, back):
        self.fleet.run(steps * fleet.STEP, back)

    @stateful.rule(number=strategies.integers(0, 5))
    def pause(self, number):
        host = self.pick(number, lambda host: host.running)
        if host:
            self.fleet.pause(host.name)

    @stateful.rule(number=strategies.integers(0, 5))
    def resume(self, number):
        host = self.pick(number, lambda host: host.paused_at is not None)
        if host:
            passed = self.fleet.clock.monotonic() - host.paused_at
            self.fleet.run(max(0.0, MIN_PAUSE - passed))
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
        self.fleet.run(QUIET)
        for zone in self.fleet.zones:
            assert not self.fleet.free_shards(zone)


@pytest.mark.matrix(
    invariant=4,
    fault="any sequence of pauses, kills, cuts and store faults",
    step="use of the lease that the rate bound rests on",
    seen_red="clock check at every use",
)
def test_at_most_one_holder_in_any_history():
    stateful.run_state_machine_as_test(
        LeaseMachine,
        settings=settings(
            max_examples=120,
            stateful_step_count=25,
            # Shrinking takes longer than a test may.
            phases=[Phase.generate],
            derandomize=True,
            deadline=None,
            database=None,
        ),
    )


def lapse_while_paused(zone):
    for phase in range(8):
        zone.run(phase * fleet.STEP)
        zone.pause("regina-0")
        zone.run(timing.SESSION_VALIDITY)
        assert not zone.held("regina-0")
        zone.run(20)
        zone.resume("regina-0")
        assert not zone.held("regina-0")
        assert not zone.free_shards("regina")
        zone.run(QUIET)


def take_over_after_kill(zone):
    before = dict(zone.held("regina-0"))
    zone.kill("regina-0")
    zone.run(QUIET)
    assert not zone.free_shards("regina")
    survivors = {**zone.held("regina-1"), **zone.held("regina-2")}
    for shard, epoch in before.items():
        assert survivors[shard] > epoch


def serve_through_store_outage(zone):
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
    zone.run(QUIET)
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
    """One host keeps its lease only while a peer acknowledges it."""
    host = zone.hosts["regina-0"]
    host.client.cut = True
    zone.network.cuts.add((host.address, zone.hosts["regina-1"].address))
    before = zone.held("regina-0")
    zone.run(60)
    assert zone.held("regina-0") == before
    zone.network.cuts.add((host.address, zone.hosts["regina-2"].address))
    zone.run(QUIET)
    assert not zone.held("regina-0")
    assert not zone.free_shards("regina")


def cut_store_and_deafen(zone):
    """A host that is heard but hears no one is not taken over."""
    host = zone.hosts["regina-0"]
    host.client.cut = True
    before = zone.held("regina-0")
    for name in ("regina-1", "regina-2"):
        zone.network.cuts.add((zone.hosts[name].address, host.address))
    zone.run(60)
    assert zone.held("regina-0") == before


def silence_connections(zone):
    """Heartbeats are lost on old connections; probes use new ones."""
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


def lose_the_acknowledging_peer(zone):
    """The last acknowledgement came from a host that can't be asked."""
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
        zone.run(QUIET)


def pause_without_store(zone):
    """A paused host must not extend what a peer may be about to take."""
    host = zone.hosts["regina-0"]
    host.client.cut = True
    zone.run(30)
    assert zone.held("regina-0")
    for _ in range(10):
        zone.pause("regina-0")
        zone.run(MIN_PAUSE)
        zone.resume("regina-0")
        zone.run(0.5)
    zone.run(QUIET)
    assert not zone.held("regina-0")
    assert not zone.free_shards("regina")


def pause_the_observer(zone):
    """What a host did not hear while it was paused proves nothing."""
    host = zone.hosts["regina-0"]
    zone.kill("regina-2")
    zone.run(QUIET)
    host.client.cut = True
    zone.network.cuts.add((zone.hosts["regina-1"].address, host.address))
    zone.run(4)
    zone.pause("regina-1")
    zone.run(20)
    assert zone.held("regina-0")
    zone.resume("regina-1")
    zone.run(30)
    assert zone.held("regina-0")


def lapse_where_store_is_unreachable(zone):
    """A running host without a valid session does not block a takeover."""
    zone.hosts["regina-0"].client.cut = True
    zone.pause("regina-0")
    zone.run(timing.SESSION_VALIDITY)
    zone.resume("regina-0")
    zone.run(QUIET)
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
    zone.run(QUIET)
    assert not zone.free_shards("regina")


def take_over_while_renewing(zone):
    """A renewal that arrives during the takeover wins or loses as a whole."""
    zone.pause("regina-0")
    host = zone.hosts["regina-0"]

    def resume_host(checks, writes):
        deletes = [write for write in writes if write.value is None]
        if deletes and host.paused_at is not None:
            zone.resume("regina-0")
            host.agent.tick()

    for name in ("regina-1", "regina-2"):
        zone.hosts[name].client.before_transact = resume_host
    zone.run(QUIET)
    assert host.paused_at is None
    assert not zone.free_shards("regina")


MATRIX = [
    (
        lapse_while_paused,
        "lease lapses while paused",
        "clock check at every use",
    ),
    (take_over_after_kill, "host killed", "version check of transactions"),
    (serve_through_store_outage, "store down for hours", "self-extension"),
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
        cut_store_and_deafen,
        "store cut and host deaf",
        "extension without live peers",
    ),
    (
        silence_connections,
        "store cut, connections silent",
        "direct probe before takeover",
    ),
    (
        lose_the_acknowledging_peer,
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
        lapse_where_store_is_unreachable,
        "lapsed and store cut",
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
                seen_red=seen_red,
            ),
        )
        for scenario, fault, seen_red in MATRIX
    ],
)
def test_one_holder_at_a_time(scenario):
    zone = make_fleet(regina=3)
    zone.run(QUIET)
    assert not zone.free_shards("regina")

    scenario(zone)
