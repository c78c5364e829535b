"""Tests edits under paused hosts, store outages and concurrent operators."""

from __future__ import annotations

import re
import signal
import time
from concurrent import futures

import pytest

from tests.processes import support

NOT_ACCEPTED = 3
ACCEPTED_SECONDS = 11.0
DRAINED = ("loans-2", "decode-2")
WORK_PATHS = {"/stock", "/bookings", "/v1/decode"}


def drain_upstreams(document, *names):
    """Returns the register with upstreams set to draining."""
    for name in names:
        document = re.sub(
            rf'^(name = "{name}")$',
            r'\1\nstate = "draining"',
            document,
            flags=re.MULTILINE,
        )
    return document


def withdraw_key(document, key):
    """Returns the register without a client account's key."""
    key_id = key.split("_")[1]
    return re.sub(
        rf'\[\[client_account\.key\]\]\nkey_id = "{key_id}"\n.*\n.*\n',
        "",
        document,
    )


def work_received(fleet, names):
    """Returns how many requests with work upstreams have received."""
    return sum(
        request["path"] in WORK_PATHS
        for upstream in fleet.register["upstream"]
        if upstream["name"] in names
        for request in support.recorded_requests(fleet, upstream["address"])
    )


def newest_version(fleet):
    output = fleet.command("config", "status", check=False).stdout
    return int(re.search(r"newest version (\d+)", output).group(1))


@pytest.mark.matrix(
    invariant=10,
    fault="pause and resume",
    step="edit",
    fails_without="confirmation before new work",
)
@pytest.mark.matrix(
    invariant=8, fault="pause and resume", step="dispatch", fails_without=""
)
def test_resumed_host_applies_the_new_version_to_its_first_requests(
    running_fleet,
):
    fleet = running_fleet
    caller = support.Caller(fleet)
    withdrawn = support.Caller(fleet, "depot")
    assert withdrawn.read_stock("saskatoon-1").status == 200
    process = fleet.processes["saskatoon-1"]
    process.send_signal(signal.SIGSTOP)
    edited = withdraw_key(
        drain_upstreams(fleet.document, *DRAINED), withdrawn.key
    )

    # The wait is longer than `freshness`, so that the host has to confirm its
    # version after it resumes.
    applied = fleet.apply(edited, base=1, wait="6s")
    assert applied.returncode == NOT_ACCEPTED, applied.stderr
    assert "committed, waiting for zone saskatoon" in applied.stdout
    assert "accepted" not in applied.stdout
    received = work_received(fleet, DRAINED)
    pending_reads = [support.spawn(withdrawn.read_stock, "saskatoon-1")]
    pending_reads += [
        support.spawn(caller.read_stock, "saskatoon-1") for _ in range(8)
    ]
    summary = support.spawn(
        caller.request_completion, "saskatoon-1", support.PROMPT, 4
    )
    process.send_signal(signal.SIGCONT)
    resumed_at = time.monotonic()
    statuses = [answer.get().status for answer in pending_reads]
    assert summary.get().status == 200
    fleet.wait_until(
        lambda: fleet.command("config", "status", check=False).returncode == 0,
        "the edit is not accepted",
        ACCEPTED_SECONDS,
    )

    print(f"accepted {time.monotonic() - resumed_at:.1f} s after resuming")
    assert statuses == [401] + [200] * 8
    assert work_received(fleet, DRAINED) == received


def test_edits_are_refused_but_requests_served_without_the_store(shared_fleet):
    fleet = shared_fleet
    caller = support.Caller(fleet)
    version = newest_version(fleet)
    support.wait_directory_settled(fleet)
    fleet.set_faults(fleet.tables, down=True)
    refused = fleet.apply(fleet.document, base=version)
    served = [
        caller.request_completion(host, support.PROMPT, 4)
        for host in support.HOSTS
    ]
    read = [caller.read_stock(host) for host in support.HOSTS]
    fleet.set_faults(fleet.tables, down=False)

    assert refused.returncode not in (0, NOT_ACCEPTED)
    assert "committed" not in refused.stdout
    assert [answer.status for answer in served + read] == [200] * 6
    assert newest_version(fleet) == version


@pytest.mark.matrix(
    invariant=10, fault="concurrent operators", step="edit", fails_without=""
)
def test_conflicting_edits_are_refused_with_the_committed_version(shared_fleet):
    fleet = shared_fleet
    version = newest_version(fleet)
    edits = [f"{fleet.document}\n# {name}\n" for name in ("a", "b", "c")]
    started = time.monotonic()

    with futures.ThreadPoolExecutor() as pool:
        results = list(
            pool.map(lambda edit: fleet.apply(edit, version, "20s"), edits)
        )

    print(f"accepted after {time.monotonic() - started:.1f} s")
    accepted = [result for result in results if result.returncode == 0]
    refused = [result for result in results if result.returncode != 0]
    assert len(accepted) == 1, [result.stderr for result in results]
    assert accepted[0].stdout.rstrip().endswith("accepted")
    for result in refused:
        assert "6007" in result.stderr
        assert str(version + 1) in result.stderr
    assert newest_version(fleet) == version + 1


@pytest.mark.matrix(
    invariant=10,
    fault="kill, store down",
    step="start",
    fails_without="question to peers without a version",
)
def test_host_restarted_without_the_store_gets_the_version_from_a_peer(
    running_fleet,
):
    fleet = running_fleet
    support.wait_shards_spread(fleet)
    edited = fleet.apply(f"{fleet.document}\n# edit\n", 1, "20s")
    assert edited.returncode == 0, edited.stdout
    fleet.set_faults(fleet.tables, down=True)
    fleet.processes["regina-1"].kill()
    fleet.processes["regina-1"].wait()
    fleet.start_host("regina-1")

    fleet.wait_ready("regina-1")

    assert fleet.host_status("regina-1")["config_version"] == 2
    answer = support.Caller(fleet).read_stock("regina-1")
    assert answer.status == 200, answer.data
