"""Tests requests through real processes, with kills and graceful stops."""

from __future__ import annotations

import json
import signal

import pytest

from standins import engine
from tests.processes import support


def test_streamed_completion_is_complete(running_fleet, caller):
    reader = support.StreamReader(
        caller.stream_completion("regina-1", support.PROMPT, 20)
    )

    done = reader.read_until("done")

    assert done["output_tokens"] == 20
    assert reader.text == engine.expected_text(support.PROMPT, 20)


def test_booking_sent_through_two_hosts_is_executed_once(running_fleet, caller):
    first = caller.book("regina-1", "b-1")
    second = caller.book("saskatoon-1", "b-1")

    assert (first.status, second.status) == (201, 201)
    assert second.headers["Idempotency-Replayed"] == "true"
    assert first.data == second.data
    assert support.count_executions(running_fleet, "b-1") == 1


@pytest.mark.matrix(
    invariant=5, fault="kill entry host", step="stream", fails_without=""
)
def test_caller_resumes_at_another_host_after_a_kill(running_fleet, caller):
    reader = support.StreamReader(
        caller.stream_completion("regina-1", support.PROMPT, 60)
    )
    reader.read_tokens(5)
    running_fleet.processes["regina-1"].kill()

    resumed = support.StreamReader(
        caller.stream_completion(
            "saskatoon-1",
            support.PROMPT,
            60,
            **{
                "Resume-Token": reader.token,
                "Last-Event-ID": str(reader.last_id),
            },
        )
    )
    done = resumed.read_until("done")

    assert done["output_tokens"] == 60
    text = reader.text + resumed.text
    assert text == engine.expected_text(support.PROMPT, 60)


@pytest.mark.matrix(
    invariant=5, fault="kill decode engine", step="stream", fails_without=""
)
def test_stream_continues_after_its_engine_is_killed(running_fleet, caller):
    reader = support.StreamReader(
        caller.stream_completion("regina-1", support.PROMPT, 60)
    )
    reader.read_tokens(5)
    holder = next(
        address
        for address in support.upstream_addresses(running_fleet, "decode")
        if json.loads(
            running_fleet.http.request(
                "GET", f"http://{address}/v1/requests"
            ).data
        )["requests"]
    )
    running_fleet.processes[holder].kill()

    done = reader.read_until("done")

    assert done is not None
    assert reader.text == engine.expected_text(support.PROMPT, 60)


@pytest.mark.matrix(
    invariant=9, fault="graceful stop", step="stream", fails_without=""
)
def test_graceful_stop_finishes_the_stream(running_fleet, caller):
    reader = support.StreamReader(
        caller.stream_completion("regina-1", support.PROMPT, 60)
    )
    reader.read_tokens(5)
    process = running_fleet.processes["regina-1"]
    process.send_signal(signal.SIGTERM)

    done = reader.read_until("done")

    assert done is not None
    assert reader.text == engine.expected_text(support.PROMPT, 60)
    assert process.wait(timeout=30) == 0


@pytest.mark.matrix(
    invariant=3,
    fault="key withdrawn while connected",
    step="stream",
    fails_without="",
)
def test_withdrawn_key_ends_its_stream_and_is_refused(running_fleet, caller):
    for address in support.upstream_addresses(running_fleet, "decode"):
        running_fleet.set_faults(address, slow_factor=10)
    reader = support.StreamReader(
        caller.stream_completion("regina-1", support.PROMPT, 400)
    )
    reader.read_tokens(5)
    key_id = caller.key.split("_")[1]

    running_fleet.command("key", "withdraw", key_id)
    error = reader.read_until("error")

    assert error["code"] == 2003
    for host in support.HOSTS:
        assert caller.book(host, "late").status == 401


@pytest.mark.matrix(
    invariant=7, fault="store down", step="claim", fails_without=""
)
def test_booking_is_refused_as_not_run_while_the_store_is_down(
    running_fleet, caller
):
    running_fleet.set_faults(running_fleet.tables, down=True)
    refused = caller.book("regina-1", "b-2")
    running_fleet.set_faults(running_fleet.tables, down=False)

    assert json.loads(refused.data)["execution"] == "not run"
    assert caller.book("regina-1", "b-2").status == 201
