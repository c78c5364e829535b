"""Guards against wrong handling of sessions, shard leases and heads."""

from __future__ import annotations

import collections
import datetime

import pytest

from coltsfootarch import errors
from coltsfootarch.protocol import messages
from coltsfootarch.storage import tables
from coltsfootarch.zone import records
from coltsfootarch.zone import timing
from tests.fakes import fleet


@pytest.fixture
def make(manual_clock, fake_tables, fake_network):
    def make_fleet(shards=4, **zones):
        made = fleet.Fleet(
            manual_clock, fake_tables, fake_network, zones, shards
        )
        made.run(15)
        return made

    return make_fleet


def session_row(cluster, name):
    row = cluster.tables.rows[("hosts", f"{cluster.hosts[name].zone}/{name}")]
    return records.decode_session(row.value)


def test_shards_are_balanced_evenly_when_hosts_join(make):
    cluster = make(shards=8, regina=1)
    assert len(cluster.held("regina-0")) == 8
    assert not cluster.hosts["regina-0"].agent.leases.acquired_by_takeover(0)

    for number in (1, 2):
        cluster.add(f"regina-{number}", "regina")
        cluster.run(fleet.STEP)
    cluster.run(20)

    counts = sorted(len(cluster.held(name)) for name in cluster.hosts)
    assert counts == [2, 3, 3]
    assert not cluster.free_shards("regina")
    # A failed release would make the first host claim the shard again.
    acquired = [name for name, _, _ in cluster.acquired]
    assert acquired.count("regina-0") == 8
    joined = cluster.hosts["regina-1"].agent.leases
    # Grants of the host that released them may still be in use.
    assert not any(
        joined.acquired_by_takeover(shard) for shard in cluster.held("regina-1")
    )


@pytest.mark.matrix(
    invariant=4,
    fault="hand-over lost",
    step="claim of a released shard",
    fails_without="acquired_by_takeover only after a takeover",
)
def test_released_shard_is_not_acquired_by_takeover(make):
    """Guards against a ledger that refills while old grants are in use."""
    cluster = make(regina=2)
    cluster.run(20)
    before = cluster.held("regina-0")

    cluster.hosts["regina-0"].agent.hand_over()
    cluster.run(10)

    successor = cluster.hosts["regina-1"].agent.leases
    assert before.keys() <= cluster.held("regina-1").keys()
    assert not any(successor.acquired_by_takeover(shard) for shard in before)


@pytest.mark.matrix(
    invariant=4,
    fault="store down, host restarted",
    step="lookup of ledgers",
    fails_without="directory from a zone peer",
)
def test_host_restarted_in_a_store_outage_finds_the_holders(make):
    """Guards against a host that becomes ready but refuses every request.

    Without the directory it finds no ledger and no scheduler.
    """
    cluster = make(regina=2)
    cluster.run(20)
    cluster.kill("regina-0")
    cluster.run(20)
    cluster.tables.down = True
    cluster.run(5)

    cluster.restart("regina-0")
    cluster.run(10)

    restarted = cluster.hosts["regina-0"].agent
    holders = {
        restarted.holders.holder("regina", shard).host
        for shard in cluster.held("regina-1")
    }
    assert holders == {"regina-1"}
    assert not cluster.held("regina-0")

    cluster.tables.down = False
    cluster.run(30)
    assert cluster.held("regina-0")


def test_shard_of_a_dead_host_is_acquired_by_takeover(make):
    cluster = make(regina=2)
    cluster.run(20)
    before = cluster.held("regina-0")

    cluster.kill("regina-0")
    cluster.run(20)

    successor = cluster.hosts["regina-1"].agent.leases
    assert before.keys() <= cluster.held("regina-1").keys()
    assert all(successor.acquired_by_takeover(shard) for shard in before)


def test_handed_over_shard_is_claimed_within_a_heartbeat_interval(make):
    cluster = make(shards=16, regina=1)
    limit = timing.HEARTBEAT_INTERVAL
    free_for = longest = 0.0
    for phase in range(8):
        cluster.run(phase * fleet.STEP)
        cluster.add(f"regina-{phase + 1}", "regina")
        for _ in range(60):
            cluster.run(fleet.STEP)
            free = cluster.free_shards("regina")
            free_for = free_for + fleet.STEP if free else 0.0
            longest = max(longest, free_for)

    assert 0 < longest < limit


def test_each_host_writes_one_renewal_every_two_seconds(make):
    cluster = make(shards=64, regina=2)
    # Balancing releases at most one shard a second.
    cluster.run(60)
    before = cluster.tables.writes

    cluster.run(20)

    assert cluster.tables.writes - before == pytest.approx(20, abs=2)


def test_lost_answers_of_renewals_keep_the_session(make):
    cluster = make(regina=2)
    before = cluster.held("regina-0")
    for _ in range(20):
        cluster.hosts["regina-0"].client.lose_answers = 1
        cluster.run(2)

    assert cluster.held("regina-0") == before
    session = cluster.hosts["regina-0"].agent.session
    assert session.store_valid()


def test_claim_with_a_lost_answer_is_recognised_as_successful(make):
    cluster = make(regina=1)
    host = cluster.add("brandon-0", "brandon")
    cluster.zones["brandon"] = 4

    def lose_claims(checks, writes):
        claims = [w for w in writes if w.table == records.SHARDS]
        host.client.lose_answers = 1 if claims else 0

    host.client.before_transact = lose_claims
    cluster.run(5)

    assert cluster.held("brandon-0") == dict.fromkeys(range(4), 1)
    assert not host.agent.leases.acquired_by_takeover(0)


def test_new_configuration_is_reported_at_once(make):
    cluster = make(regina=1)
    cluster.hosts["regina-0"].config_version = 7

    cluster.run(2 * timing.RENEWAL_RETRY_INTERVAL)

    assert session_row(cluster, "regina-0").config_version == 7


def test_leases_are_invalid_after_a_gap_of_the_session_validity(make):
    cluster = make(regina=1)
    leases = cluster.hosts["regina-0"].agent.leases
    held = len(leases.held)
    assert leases.remaining(0) > 0

    cluster.clock.advance(datetime.timedelta(seconds=timing.SESSION_VALIDITY))

    assert leases.epoch(0) is None
    assert leases.acquired_at(0) is None
    assert leases.remaining(0) == 0.0
    cluster.run(1)
    assert len(cluster.lost) == held
    assert cluster.held("regina-0") == dict.fromkeys(range(4), 2)


def test_pause_ends_self_extension_until_the_next_renewal(make):
    cluster = make(regina=1)
    cluster.hosts["regina-0"].client.cut = True
    cluster.run(4)
    cluster.clock.advance(
        datetime.timedelta(seconds=timing.MAX_TICK_GAP + fleet.STEP)
    )
    cluster.run(6)
    assert not cluster.held("regina-0")

    cluster.hosts["regina-0"].client.cut = False
    cluster.run(1)
    assert cluster.held("regina-0")


def test_paused_observer_restarts_its_observation(make):
    cluster = make(regina=2)
    cluster.kill("regina-0")
    cluster.run(6)
    monitor = cluster.hosts["regina-1"].agent.takeover_monitor
    [before] = monitor.suspicions.values()

    cluster.clock.advance(
        datetime.timedelta(seconds=timing.MAX_OBSERVER_GAP + fleet.STEP)
    )
    cluster.run(fleet.STEP)

    [after] = monitor.suspicions.values()
    assert after.unchanged_since > before.unchanged_since + 2
    assert after.unanswered_since > before.unanswered_since + 2


def test_restarted_host_waits_for_its_earlier_session_to_expire(make):
    cluster = make(regina=1)
    cluster.kill("regina-0")
    cluster.run(1)
    cluster.restart("regina-0")

    cluster.run(timing.TAKEOVER_AFTER - 1)
    assert not cluster.held("regina-0")
    cluster.run(3)
    assert cluster.held("regina-0") == dict.fromkeys(range(4), 2)


def test_new_host_in_a_store_outage_finds_holders_but_gets_no_shards(make):
    cluster = make(regina=2)
    cluster.tables.down = True

    new_host = cluster.add("regina-2", "regina")
    cluster.run(30)

    assert not cluster.held("regina-2")
    assert set(new_host.agent.membership.zone_peers()) == {
        "regina-0",
        "regina-1",
    }
    for shard in range(cluster.zones["regina"]):
        holder = new_host.agent.holders.holder("regina", shard)
        assert shard in cluster.held(holder.host)
    assert not cluster.free_shards("regina")


def test_edits_wait_for_a_host_with_a_session_or_while_the_store_is_down(make):
    cluster = make(regina=1)
    new_host = cluster.add("regina-1", "regina")
    assert not new_host.agent.awaited_by_edits
    cluster.run(fleet.STEP)
    assert new_host.agent.awaited_by_edits

    cluster.tables.down = True
    late = cluster.add("regina-2", "regina")
    assert not late.agent.awaited_by_edits
    cluster.run(fleet.STEP)
    assert late.agent.awaited_by_edits


def test_refresh_finds_a_host_that_has_just_started(make):
    cluster = make(regina=1)
    directory = cluster.hosts["regina-0"].agent.directory
    cluster.run(timing.REFRESH_INTERVAL)
    new_host = cluster.add("regina-1", "regina")
    new_host.agent.session.renew()
    name = ("regina-1", new_host.agent.sender.incarnation)
    assert directory.address_of(*name) is None

    reads = cluster.tables.reads
    directory.refresh()
    assert directory.address_of(*name) == new_host.address
    after = cluster.tables.reads
    directory.refresh()
    assert reads < after == cluster.tables.reads


def test_directory_is_reread_only_after_a_change(make):
    cluster = make(regina=1, brandon=1)
    host = cluster.hosts["regina-0"]
    before = cluster.tables.reads
    cluster.run(20)
    assert cluster.tables.reads - before <= 2 * 11

    epoch = cluster.held("brandon-0")[0]
    address = cluster.hosts["brandon-0"].address
    holder = host.agent.holders.holder("brandon", 0)
    assert (holder.host, holder.address, holder.epoch) == (
        "brandon-0",
        address,
        epoch,
    )
    assert host.agent.holders.live_hosts("brandon") == 1
    assert host.agent.holders.is_live("brandon-0", holder.incarnation)
    assert not host.agent.holders.is_live("brandon-0", 99)


def test_newer_heads_of_a_peer_make_a_poll_due_earlier(make):
    cluster = make(regina=2)
    agent = cluster.hosts["regina-0"].agent
    agent.directory.poll()
    due = agent.directory.next_poll_at

    agent.membership.record_heartbeat(
        cluster.hosts["regina-1"].agent.sender,
        messages.Heartbeat(9, messages.Heads(9, {"brandon": 1}), 0.0, 0),
    )

    assert agent.directory.next_poll_at < due
    assert agent.newest_config_version == 9


def test_change_based_on_an_outdated_view_conflicts(make):
    cluster = make(regina=2)
    directory = cluster.hosts["regina-0"].agent.directory
    directory.views["regina"] = directory.own_view._replace(head_version=1)

    with pytest.raises(errors.TransactionConflictError):
        directory.commit_changes(
            [], [tables.Write(records.SHARDS, "x/0001", b"")]
        )
    directory.poll()

    assert directory.own_view.head_version > 1


def test_each_host_sends_to_and_monitors_four_ring_neighbours(make):
    cluster = make(shards=8, regina=9)
    targets = collections.Counter()
    for host in cluster.hosts.values():
        membership = host.agent.membership
        successors = membership.successors()
        assert len(successors) == timing.HEARTBEAT_PEERS
        assert host.name not in successors
        targets.update(successors)
        watched = {record.host for record in membership.predecessors()}
        assert len(watched) == timing.HEARTBEAT_PEERS

    assert set(targets.values()) == {timing.HEARTBEAT_PEERS}


def test_loss_of_all_ring_successors_in_an_outage_keeps_the_lease(make):
    cluster = make(shards=8, regina=9)
    membership = cluster.hosts["regina-0"].agent.membership
    before = cluster.held("regina-0")
    cluster.tables.down = True
    for name in membership.successors():
        cluster.kill(name)
    cluster.run(60)

    assert before
    assert cluster.held("regina-0") == before


def test_runs_of_a_background_task_do_not_overlap(make):
    cluster = make(regina=1)
    started = []
    renewal = cluster.hosts["regina-0"].agent.renewal_task
    renewal.spawn = started.append

    assert renewal.start()
    assert not renewal.start()
    started[0]()

    assert renewal.start()
