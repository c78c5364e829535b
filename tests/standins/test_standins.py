"""Guards against stand-ins that don't show the failures they simulate."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import subprocess
import sys
import time

import gevent
import pytest
import urllib3

from standins import engine
from standins import engine_memory
from standins import engine_text
from standins import plain
from standins import weights

ROOT = pathlib.Path(__file__).parent.parent.parent


def test_output_depends_on_the_whole_prompt_and_can_be_continued():
    output = engine.expected_text("prompt", 10)
    first_tokens = engine.expected_text("prompt", 4)

    assert output == first_tokens + engine.expected_text("prompt", 6, 4)
    assert output != engine.expected_text("prompt!", 10)
    assert engine_text.original_prompt("prompt" + first_tokens, 4) == "prompt"


def test_decode_batch_respects_slots_and_priorities():
    """Guards against a decode engine that runs any number of requests."""
    profile = engine_memory.EngineProfile(slots=1)
    standin = engine.EngineStandin("decode", profile=profile)
    batch = standin.batch
    for number, priority in enumerate((0, 1)):
        submission = engine_memory.Submission(
            f"r{number}", 1, "h/1", "p", 1, priority, 0
        )
        generation = batch.submit(submission, {"address": "", "handle": ""})
        generation.set_state("waiting")

    batch.admit()

    assert batch.generations["r0"].state == "waiting"
    assert batch.generations["r1"].state == "running"


def test_http_calls_set_faults_and_return_recorded_headers(running):
    standin = running(plain.PlainStandin())
    base = f"http://{standin.address}"
    urllib3.request("POST", f"{base}/-/faults", json={"delay": 0.0})
    urllib3.request("GET", f"{base}/stock", headers={"X-Test": "1"})

    recorded = urllib3.request("GET", f"{base}/-/headers").json()["requests"]
    assert recorded[1]["path"] == "/stock"
    assert recorded[1]["headers"]["x-test"] == "1"


def test_plain_standin_accepts_connections_again_after_refuse(running):
    standin = running(plain.PlainStandin())
    standin.apply_faults({"refuse": 0.01})
    standin.relisten_greenlet.join(5)

    response = urllib3.request("GET", f"http://{standin.address}/stock")
    assert response.status == 200


def test_concurrent_weight_downloads_share_one_rate(running):
    standin = running(weights.WeightsStandin(rate=1e6))
    standin.sizes["model"] = 100_000
    url = f"http://{standin.address}/v1/weights/model"
    readers = [gevent.spawn(urllib3.request, "GET", url) for _ in range(2)]
    started = time.monotonic()
    gevent.joinall(readers, timeout=10)

    assert [len(reader.value.data) for reader in readers] == [100_000] * 2
    assert standin.link_free_at - started >= 0.2


@contextlib.contextmanager
def run_module(name, *options):
    """Runs a stand-in as a process; yields the process and its address."""
    command = [sys.executable, "-m", f"standins.{name}", *options]
    with subprocess.Popen(
        [*command, "--address", "127.0.0.1:0"],
        stdout=subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": f"{ROOT}/src:{ROOT}"},
    ) as process:
        address = process.stdout.readline().decode().split()[-1]
        try:
            yield process, address
        finally:
            process.kill()


@pytest.mark.parametrize(
    ("name", "options", "path"),
    [
        ("tables", [], "/-/headers"),
        ("objects", [], "/-/headers"),
        ("host_list", [], "/v1/hosts"),
        ("weights", [], "/-/headers"),
        ("plain", [], "/stock"),
        ("engine", ["--role", "decode"], "/v1/load"),
    ],
)
def test_module_runs_as_a_process(name, options, path):
    with run_module(name, *options) as (_process, address):
        response = urllib3.request("GET", f"http://{address}{path}")

    assert response.status == 200
    assert isinstance(json.loads(response.data), dict)


def test_crash_fault_ends_the_engine_process():
    with run_module("engine", "--role", "prefill") as (process, address):
        with pytest.raises(urllib3.exceptions.ProtocolError):
            urllib3.request(
                "POST",
                f"http://{address}/-/faults",
                json={"crash": True},
                retries=False,
            )
        assert process.wait(10) == 1
