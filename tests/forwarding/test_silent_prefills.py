"""Tests generations whose prefill engine is silent for a while."""

from __future__ import annotations

import gevent
import pytest

from coltsfootarch.forwarding import prefill_stage
from tests.platform import documents

SIZES = {"X_Token_Count": "1000,500", "X_Model": "m"}
# A silence of 1.2 s or more, scaled down with the timeout below.
SILENCE_S = 0.8
TIMEOUT_S = 0.2


def ask(edge_host, target="/write/a", request_id="r1"):
    body = f"prompt of {request_id}".encode()
    return edge_host.ask(target, "POST", body, request_id=request_id, **SIZES)


def tokens(response):
    return [
        int(line.rpartition(b" ")[2])
        for line in response.body.splitlines()
        if line.startswith(b"data:")
    ]


def prefer(edge_host, name):
    """Adds load to all other decode engines, so that this one is chosen."""
    for other in ("d-1", "d-2"):
        if other != name:
            edge_host.daemon.context.loads.add(other, 500)


def local_prefill_counts(edge_host):
    loads = edge_host.daemon.context.loads
    return [loads.load(f"{name}/prompt").requests for name in ("d-1", "d-2")]


def block_local_prefills(edge_host):
    """Makes both decode engines look as if they prefilled a prompt."""
    for name in ("d-1", "d-2"):
        edge_host.daemon.context.loads.add(f"{name}/prompt", 1000)


def spend_retry_budget(edge_host, monkeypatch):
    monkeypatch.setattr(
        edge_host.daemon.context.budget, "spend", lambda service: False
    )


@pytest.fixture
def silent(engines, monkeypatch):
    """Engines whose prefill engine answers after `SILENCE_S`."""
    monkeypatch.setattr(prefill_stage, "PREFILL_TIMEOUT_S", TIMEOUT_S)
    engines.runners["p-1"].work_s = SILENCE_S
    prefer(engines, "d-1")
    return engines


@pytest.fixture
def many_hosts(monkeypatch, silent):
    """Makes the host assume that many others also place requests."""
    monkeypatch.setattr(
        silent.daemon.context.engine_placer.sampler, "hosts", lambda: 70
    )


def test_engine_that_closed_its_connection_meanwhile_is_connected_again(
    silent, monkeypatch
):
    """Guards against a request refused although its engine takes it."""
    spend_retry_budget(silent, monkeypatch)
    pending = gevent.spawn(ask, silent)
    gevent.sleep(TIMEOUT_S / 2)

    silent.runners["d-1"].server.close_connections()

    response = pending.get(timeout=3)
    assert (response.status, tokens(response)) == (200, [1, 2, 3, 4])
    assert silent.runs() == {"d-1": ["r1"]}


def test_engine_that_is_gone_meanwhile_is_replaced_without_a_retry(
    silent, monkeypatch
):
    """Guards against a prefill that is given up before its replacement."""
    spend_retry_budget(silent, monkeypatch)
    pending = gevent.spawn(ask, silent)
    gevent.sleep(TIMEOUT_S / 2)

    silent.runners["d-1"].close()

    response = pending.get(timeout=3)
    assert (response.status, tokens(response)) == (200, [1, 2, 3, 4])
    assert silent.runs() == {"d-2": ["r1"]}
    assert len(silent.runners["p-1"].handles) == 1


def test_engine_that_drains_meanwhile_is_replaced_without_a_retry(
    silent, monkeypatch
):
    """Guards against a refusal after a change of the registrations."""
    monkeypatch.setattr(prefill_stage, "PREFILL_TIMEOUT_S", 1.2)
    silent.runners["p-1"].work_s = 1.8
    spend_retry_budget(silent, monkeypatch)
    pending = gevent.spawn(ask, silent)
    silent.wait(lambda: silent.runners["p-1"].arrivals)

    silent.runners["d-1"].state = "draining"
    silent.register(silent.runners["d-1"])
    silent.wait(lambda: not silent.daemon.context.directory.is_serving("d-1"))

    response = pending.get(timeout=3)
    assert (response.status, tokens(response)) == (200, [1, 2, 3, 4])
    assert silent.runs() == {"d-2": ["r1"]}


def test_silent_prefill_leaves_the_attempts_of_the_decode_stage(silent):
    """Guards against a stream cut for want of an attempt to resume it."""
    silent.runners["d-1"].fault = "crash"

    response = ask(silent)

    assert response.complete
    assert tokens(response) == [1, 2, 3, 4]
    assert silent.runs() == {"d-1": ["r1"], "d-2": ["r1"]}


def test_prompt_that_an_engine_takes_over_counts_as_its_local_prefill(silent):
    """Guards against two prompts in a row between an engine's events."""
    silent.runners["d-1"].event_gap_s = 0.2
    pending = gevent.spawn(ask, silent)
    silent.wait(silent.runs)

    assert local_prefill_counts(silent) == [1, 0]

    assert pending.get(timeout=3).complete
    silent.wait(lambda: local_prefill_counts(silent) == [0, 0])


def test_silent_prefill_is_used_if_no_engine_can_take_it_over(silent):
    """Guards against prompts that pile up between an engine's events."""
    block_local_prefills(silent)

    response = ask(silent)

    assert tokens(response) == [1, 2, 3, 4]
    (run,) = silent.runners["d-1"].runs
    (handle,) = silent.runners["p-1"].handles
    address = silent.runners["p-1"].address
    assert run["fields"]["x-kv-source"] == f"{address}/{handle}"


def test_engine_takes_a_prompt_over_as_soon_as_it_has_room(silent):
    """Guards against a prefill that is waited for to the end of the call."""
    silent.runners["p-1"].fault = "mute"
    block_local_prefills(silent)
    pending = gevent.spawn(ask, silent)
    gevent.sleep(SILENCE_S)
    assert not silent.runs()

    silent.daemon.context.loads.remove("d-1/prompt", 1000)

    assert tokens(pending.get(timeout=2)) == [1, 2, 3, 4]
    assert silent.runs() == {"d-1": ["r1"]}


@pytest.mark.usefixtures("many_hosts")
def test_reservation_that_lapsed_meanwhile_is_renewed(silent):
    """Guards against a request sent with a reservation that has ended."""
    document = documents.configuration(version=2)
    document["services"][0]["engine"]["hold_ms"] = 250.0
    silent.configure(document)
    silent.wait(lambda: silent.daemon.policy_tracker.policy.version == 2)
    block_local_prefills(silent)

    response = ask(silent)

    assert tokens(response) == [1, 2, 3, 4]
    (run,) = silent.runners["d-1"].runs
    assert run["fields"]["x-kv-hold"] == "k2"


@pytest.mark.usefixtures("many_hosts")
def test_prefill_result_goes_elsewhere_if_the_reservation_is_not_renewed(
    silent, monkeypatch
):
    """Guards against a prompt sent to an engine that became full."""
    spend_retry_budget(silent, monkeypatch)
    document = documents.configuration(version=2)
    document["services"][0]["engine"]["hold_ms"] = 150.0
    silent.configure(document)
    silent.wait(lambda: silent.daemon.policy_tracker.policy.version == 2)
    pending = gevent.spawn(ask, silent)
    silent.wait(lambda: silent.runners["d-1"].reservations)

    silent.runners["d-1"].fault = "full"

    response = pending.get(timeout=3)
    assert tokens(response) == [1, 2, 3, 4]
    assert silent.runs() == {"d-2": ["r1"]}
    assert len(silent.runners["p-1"].handles) == 1


def test_late_prefill_result_is_freed(silent):
    """Guards against memory that a result occupies until it expires."""
    response = ask(silent)

    assert tokens(response) == [1, 2, 3, 4]
    (run,) = silent.runners["d-1"].runs
    assert "x-kv-source" not in run["fields"]
    prefill = silent.runners["p-1"]
    silent.wait(lambda: prefill.freed)
    assert prefill.freed == list(prefill.handles)
    assert not silent.daemon.context.loads.load("p-1").requests


def test_many_requests_survive_a_silence_one_after_another(silent, monkeypatch):
    """Guards against requests lost when all of them need an engine at once."""
    spend_retry_budget(silent, monkeypatch)
    for name in ("d-1", "d-2"):
        silent.runners[name].event_gap_s = 0.05
    most = [0, 0]

    def watch():
        while True:
            most[:] = map(max, most, local_prefill_counts(silent))
            gevent.sleep(0.005)

    watcher = gevent.spawn(watch)
    pending = []
    for number in range(6):
        pending.append(gevent.spawn(ask, silent, request_id=f"r{number}"))
        gevent.sleep(0.05)
    responses = [each.get(timeout=4) for each in pending]
    watcher.kill()

    assert [tokens(each) for each in responses] == [[1, 2, 3, 4]] * 6
    assert most == [1, 1]


def test_silent_prefill_ends_when_its_caller_disconnects(silent):
    """Guards against work for a caller that has left."""
    silent.runners["p-1"].fault = "mute"
    block_local_prefills(silent)
    caller = silent.caller()
    caller.send("/write/a", "POST", b"prompt", **SIZES)
    prefill = silent.runners["p-1"].server
    silent.wait(lambda: silent.runners["p-1"].arrivals)
    gevent.sleep(2 * TIMEOUT_S)
    assert prefill.connections

    caller.close()

    silent.wait(lambda: not prefill.connections)
    assert not silent.runs()
