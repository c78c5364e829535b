"""Guards edits against paused hosts, store outages and other operators."""

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


def drain(document, *names):
    """Returns a register in which upstreams are draining."""
    for name in names:
        document = re.sub(
            rf'^(name = "{name}")$',
            r'\1\nstate = "draining"',
            document,
            flags=re.MULTILINE,
        )
    return document


def withdraw(document, key):
    """Returns a register without a key."""
    key_id = key.split("_")[1]
    return re.sub(
        rf'\[\[client_account\.key\]\]\nkey_id = "{key_id}"\n.*\n.*\n',
        "",
        document,
    )


def work_received(running, names):
    """Returns how many requests for work the upstreams have received."""
    return sum(
        entry["path"] in WORK_PATHS
        for upstream in running.register["upstream"]
        if upstream["name"] in names
        for entry in support.recorded(running, upstream["address"])
    )


def newest_version(running):
    printed = running.command("config", "status", check=False).stdout
    return int(re.search(r"newest version (\d+)", printed).group(1))


@pytest.mark.matrix(
    invariant=10,
    fault="pause and resume",
    step="edit",
    seen_red="confirmation before new work",
)
@pytest.mark.matrix(
    invariant=8, fault="pause and resume", step="dispatch", seen_red=""
)
def test_woken_host_answers_its_first_requests_under_the_new_version(
    running_fleet,
):
    running = running_fleet
    caller = support.Caller(running)
    withdrawn = support.Caller(running, "depot")
    assert withdrawn.read_stock("saskatoon-1").status == 200
    process = running.processes["saskatoon-1"]
    process.send_signal(signal.SIGSTOP)
    edited = withdraw(drain(running.document, *DRAINED), withdrawn.key)

    # Longer than `freshness`, so that the host has to confirm when it wakes.
    printed = running.apply(edited, base=1, wait="6s")
    assert printed.returncode == NOT_ACCEPTED, printed.stderr
    assert "committed, waiting for zone saskatoon" in printed.stdout
    assert "accepted" not in printed.stdout
    received = work_received(running, DRAINED)
    late = [support.spawn(withdrawn.read_stock, "saskatoon-1")]
    late += [support.spawn(caller.read_stock, "saskatoon-1") for _ in range(8)]
    summary = support.spawn(
        caller.complete_whole, "saskatoon-1", support.PROMPT, 4
    )
    process.send_signal(signal.SIGCONT)
    woken_at = time.monotonic()
    statuses = [answer.get().status for answer in late]
    assert summary.get().status == 200
    running.wait_until(
        lambda: (
            running.command("config", "status", check=False).returncode == 0
        ),
        "the edit is not accepted",
        ACCEPTED_SECONDS,
    )

    print(f"accepted {time.monotonic() - woken_at:.1f} s after waking")
    assert statuses == [401] + [200] * 8
    assert work_received(running, DRAINED) == received


def test_edit_is_refused_and_traffic_goes_on_without_the_store(shared_fleet):
    running = shared_fleet
    caller = support.Caller(running)
    version = newest_version(running)
    support.wait_directory_settled(running)
    running.fault(running.tables, down=True)
    refused = running.apply(running.document, base=version)
    served = [
        caller.complete_whole(host, support.PROMPT, 4) for host in support.HOSTS
    ]
    read = [caller.read_stock(host) for host in support.HOSTS]
    running.fault(running.tables, down=False)

    assert refused.returncode not in (0, NOT_ACCEPTED)
    assert "committed" not in refused.stdout
    assert [answer.status for answer in served + read] == [200] * 6
    assert newest_version(running) == version


@pytest.mark.matrix(
    invariant=10, fault="concurrent operators", step="edit", seen_red=""
)
def test_losing_operator_is_told_which_version_won(shared_fleet):
    running = shared_fleet
    version = newest_version(running)
    edits = [f"{running.document}\n# {name}\n" for name in ("a", "b", "c")]
    started = time.monotonic()

    with futures.ThreadPoolExecutor() as pool:
        printed = list(
            pool.map(lambda edit: running.apply(edit, version, "20s"), edits)
        )

    print(f"accepted after {time.monotonic() - started:.1f} s")
    won = [entry for entry in printed if entry.returncode == 0]
    lost = [entry for entry in printed if entry.returncode != 0]
    assert len(won) == 1, [entry.stderr for entry in printed]
    assert won[0].stdout.rstrip().endswith("accepted")
    for entry in lost:
        assert "6007" in entry.stderr
        assert str(version + 1) in entry.stderr
    assert newest_version(running) == version + 1


@pytest.mark.matrix(
    invariant=10,
    fault="kill, store down",
    step="start",
    seen_red="question to peers without a version",
)
def test_host_restarted_without_the_store_asks_a_zone_peer(running_fleet):
    running = running_fleet
    support.wait_shards_spread(running)
    edited = running.apply(f"{running.document}\n# edit\n", 1, "20s")
    assert edited.returncode == 0, edited.stdout
    running.fault(running.tables, down=True)
    running.processes["regina-1"].kill()
    running.processes["regina-1"].wait()
    running.start_host("regina-1")

    running.wait_ready("regina-1")

    assert running.host_status("regina-1")["config_version"] == 2
    answer = support.Caller(running).read_stock("regina-1")
    assert answer.status == 200, answer.data
