"""Tests shard leases when hosts are killed, paused and restarted."""

from __future__ import annotations

import signal
import time

import pytest

from tests.processes import support

TAKEOVER_SECONDS = 15.0
SESSION_VALIDITY_SECONDS = 6.0
OBSERVED_SECONDS = 3.0


def holders(fleet, zone):
    return {
        record.holder for record in support.shard_records(fleet, zone).values()
    }


@pytest.mark.matrix(
    invariant=4,
    fault="kill entry host",
    step="shard lease",
    fails_without="takeover",
)
def test_zone_peer_takes_over_shards_and_all_accounts_are_served(running_fleet):
    fleet = running_fleet
    support.wait_shards_spread(fleet)
    previous_epochs = support.epochs_held_by(fleet, "regina", "regina-1")
    fleet.processes["regina-1"].kill()
    callers = [support.Caller(fleet, account) for account in fleet.keys]

    def all_shards_taken_over():
        for caller in callers:
            for host in ("regina-2", "saskatoon-1"):
                answer = caller.request_completion(host, support.PROMPT, 4)
                assert answer.status == 200, answer.data
        shards = fleet.host_status("regina-2")["shards"]
        return len(shards) == support.ZONE_SHARDS

    took = fleet.wait_until(
        all_shards_taken_over, "shards not taken over", TAKEOVER_SECONDS
    )

    print(f"takeover after {took:.1f} s")
    assert holders(fleet, "regina") == {"regina-2"}
    epochs = support.epochs_held_by(fleet, "regina", "regina-2")
    assert all(
        epochs[shard] > epoch for shard, epoch in previous_epochs.items()
    )


@pytest.mark.matrix(
    invariant=4,
    fault="pause and resume, store down",
    step="shard lease",
    fails_without="end of the lease's validity",
)
def test_resumed_host_uses_no_shard_while_it_cannot_renew(running_fleet):
    fleet = running_fleet
    support.wait_shards_spread(fleet)
    before = support.epochs_held_by(fleet, "regina", "regina-1")
    process = fleet.processes["regina-1"]
    process.send_signal(signal.SIGSTOP)
    fleet.set_faults(fleet.tables, down=True)
    fleet.wait_until(
        lambda: (
            fleet.host_status("regina-2")["confirmed_age"]
            > SESSION_VALIDITY_SECONDS + 1
        ),
        "the store is not down",
    )
    process.send_signal(signal.SIGCONT)

    resumed_at = time.monotonic()
    while time.monotonic() - resumed_at < OBSERVED_SECONDS:
        assert fleet.host_status("regina-1")["shards"] == []
    fleet.set_faults(fleet.tables, down=False)

    fleet.wait_until(
        lambda: fleet.host_status("regina-1")["shards"],
        "the resumed host claims no shard",
    )
    after = support.epochs_held_by(fleet, "regina", "regina-1")
    used = fleet.host_status("regina-1")["shards"]
    assert set(used) <= set(after)
    assert all(after[shard] > before.get(shard, 0) for shard in used)


@pytest.mark.matrix(
    invariant=4,
    fault="lease expired while paused",
    step="shard lease",
    fails_without="end of the lease's validity",
)
def test_resumed_host_uses_only_shards_that_it_holds_in_the_store(
    running_fleet,
):
    fleet = running_fleet
    support.wait_shards_spread(fleet)
    process = fleet.processes["regina-1"]
    process.send_signal(signal.SIGSTOP)
    took = fleet.wait_until(
        lambda: holders(fleet, "regina") == {"regina-2"},
        "shards not taken over",
        TAKEOVER_SECONDS,
    )
    print(f"takeover from a paused host after {took:.1f} s")
    process.send_signal(signal.SIGCONT)

    def has_half_of_the_shards():
        used = fleet.host_status("regina-1")["shards"]
        rows = support.epochs_held_by(fleet, "regina", "regina-1")
        assert set(used) <= set(rows)
        return len(used) == support.ZONE_SHARDS // 2

    fleet.wait_until(
        has_half_of_the_shards, "the resumed host does not get its share"
    )


@pytest.mark.matrix(
    invariant=4, fault="kill whole zone", step="shard lease", fails_without=""
)
def test_restarted_zone_holds_its_shards_again(running_fleet):
    fleet = running_fleet
    support.wait_shards_spread(fleet)
    epochs = {
        number: record.epoch
        for number, record in support.shard_records(fleet, "regina").items()
    }
    for host in ("regina-1", "regina-2"):
        fleet.processes[host].kill()
    caller = support.Caller(fleet)
    answer = caller.request_completion("saskatoon-1", support.PROMPT, 4)
    assert answer.status == 200, answer.data
    for host in ("regina-1", "regina-2"):
        fleet.processes[host].wait()
        fleet.start_host(host)

    for host in ("regina-1", "regina-2"):
        fleet.wait_ready(host)
    support.wait_shards_spread(fleet)

    rows = support.shard_records(fleet, "regina")
    assert all(rows[number].epoch > epochs[number] for number in epochs)
    answer = caller.request_completion("regina-1", support.PROMPT, 4)
    assert answer.status == 200, answer.data
