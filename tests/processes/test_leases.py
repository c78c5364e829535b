"""Guards shard leases against killed, paused and restarted hosts."""

from __future__ import annotations

import signal
import time

import pytest

from tests.processes import support

TAKEOVER_SECONDS = 15.0
SESSION_VALIDITY_SECONDS = 6.0
OBSERVED_SECONDS = 3.0


def holders(running, zone):
    return {
        record.holder
        for record in support.shard_records(running, zone).values()
    }


@pytest.mark.matrix(
    invariant=4,
    fault="kill entry host",
    step="shard lease",
    seen_red="takeover",
)
def test_zone_peer_takes_over_and_all_accounts_are_served(running_fleet):
    running = running_fleet
    support.wait_shards_spread(running)
    lost = support.held_by(running, "regina", "regina-1")
    running.processes["regina-1"].kill()
    callers = [support.Caller(running, account) for account in running.keys]

    def serve_and_look():
        for caller in callers:
            for host in ("regina-2", "saskatoon-1"):
                answer = caller.complete_whole(host, support.PROMPT, 4)
                assert answer.status == 200, answer.data
        shards = running.host_status("regina-2")["shards"]
        return len(shards) == support.ZONE_SHARDS

    took = running.wait_until(
        serve_and_look, "shards not taken over", TAKEOVER_SECONDS
    )

    print(f"takeover after {took:.1f} s")
    assert holders(running, "regina") == {"regina-2"}
    now = support.held_by(running, "regina", "regina-2")
    assert all(now[shard] > epoch for shard, epoch in lost.items())


@pytest.mark.matrix(
    invariant=4,
    fault="pause and resume, store down",
    step="shard lease",
    seen_red="end of the lease's validity",
)
def test_woken_host_uses_no_shard_while_it_cannot_renew(running_fleet):
    running = running_fleet
    support.wait_shards_spread(running)
    before = support.held_by(running, "regina", "regina-1")
    process = running.processes["regina-1"]
    process.send_signal(signal.SIGSTOP)
    running.fault(running.tables, down=True)
    running.wait_until(
        lambda: (
            running.host_status("regina-2")["confirmed_age"]
            > SESSION_VALIDITY_SECONDS + 1
        ),
        "the store is not down",
    )
    process.send_signal(signal.SIGCONT)

    woken_at = time.monotonic()
    while time.monotonic() - woken_at < OBSERVED_SECONDS:
        assert running.host_status("regina-1")["shards"] == []
    running.fault(running.tables, down=False)

    running.wait_until(
        lambda: running.host_status("regina-1")["shards"],
        "the woken host claims no shard",
    )
    after = support.held_by(running, "regina", "regina-1")
    used = running.host_status("regina-1")["shards"]
    assert set(used) <= set(after)
    assert all(after[shard] > before.get(shard, 0) for shard in used)


@pytest.mark.matrix(
    invariant=4,
    fault="lease expired while paused",
    step="shard lease",
    seen_red="end of the lease's validity",
)
def test_woken_host_uses_only_shards_that_its_rows_name(running_fleet):
    running = running_fleet
    support.wait_shards_spread(running)
    process = running.processes["regina-1"]
    process.send_signal(signal.SIGSTOP)
    took = running.wait_until(
        lambda: holders(running, "regina") == {"regina-2"},
        "shards not taken over",
        TAKEOVER_SECONDS,
    )
    print(f"takeover from a paused host after {took:.1f} s")
    process.send_signal(signal.SIGCONT)

    def look():
        used = running.host_status("regina-1")["shards"]
        rows = support.held_by(running, "regina", "regina-1")
        assert set(used) <= set(rows)
        return len(used) == support.ZONE_SHARDS // 2

    running.wait_until(look, "the woken host does not get its share")


@pytest.mark.matrix(
    invariant=4, fault="kill whole zone", step="shard lease", seen_red=""
)
def test_killed_zone_gets_its_shards_back_after_a_restart(running_fleet):
    running = running_fleet
    support.wait_shards_spread(running)
    epochs = {
        number: record.epoch
        for number, record in support.shard_records(running, "regina").items()
    }
    for host in ("regina-1", "regina-2"):
        running.processes[host].kill()
    caller = support.Caller(running)
    answer = caller.complete_whole("saskatoon-1", support.PROMPT, 4)
    assert answer.status == 200, answer.data
    for host in ("regina-1", "regina-2"):
        running.processes[host].wait()
        running.start_host(host)

    for host in ("regina-1", "regina-2"):
        running.wait_ready(host)
    support.wait_shards_spread(running)

    rows = support.shard_records(running, "regina")
    assert all(rows[number].epoch > epochs[number] for number in epochs)
    answer = caller.complete_whole("regina-1", support.PROMPT, 4)
    assert answer.status == 200, answer.data
