"""Measures the memory of a host's process while an upstream is faulty."""

from __future__ import annotations

import pathlib
import re

import gevent
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from soak import processes
from soak import run
from standins import runner as standin

pytestmark = pytest.mark.crowd

# Smallest memory of a users' machine.
MACHINE_BYTES = 128 * 1024 * 1024
CALLERS = 100
STREAMS = 40
# Three quarters of the memory of that machine.
MAX_STREAMS_BYTES = 96 * 1024 * 1024
SECONDS = 6.0
# The users' `revoke_ms`. The shorter time of the soak test refuses requests
# when a busy machine delays the confirmation of the keys.
KEY_CONFIRMATION_S = 5.0
KEY = "key-1"


def peak_bytes(program):
    """Returns the largest resident size of a process so far."""
    text = pathlib.Path(f"/proc/{program.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", text).group(1)) * 1024


def ask(host, method, target, request_id, **fields):
    """Returns the status of a response, 0 if it isn't complete."""
    values = {
        "Host": run.ROUTE_HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "4000",
        "Authorization": f"Bearer {KEY}",
        **{name.replace("_", "-"): value for name, value in fields.items()},
    }
    head = messages.render_head(f"{method} {target} HTTP/1.1", values.items())
    connection = client.Connection(host.listen, clocks.SystemClock())
    try:
        connection.start(2.0)
        connection.send(head, b"", 2.0)
        first = connection.read_part(5.0)
        while connection.read_part(5.0) is not None:
            pass
    except (
        client.ConnectError,
        client.BrokenConnectionError,
        client.ResponseTimeoutError,
    ):
        return 0
    finally:
        connection.close()
    return first.status


def ask_until(stop, statuses, host, name, method, target, **fields):
    number = 0
    while not stop.is_set():
        number += 1
        statuses.append(ask(host, method, target, f"{name}-{number}", **fields))
        gevent.sleep(0.01)


@pytest.mark.parametrize(
    ("faulty", "target", "fault"),
    [
        ("a-1", "/read/x", "endless body"),
        ("a-1", "/read/x", "endless head"),
        ("a-1", "/book/x", "endless body"),
        ("d-1", "/write/x", "endless body"),
    ],
)
def test_upstream_without_end_does_not_fill_a_host(
    tmp_path, monkeypatch, faulty, target, fault
):
    """Guards against many endless responses that end the process of a host."""
    monkeypatch.setattr(processes, "KEY_CONFIRMATION_S", KEY_CONFIRMATION_S)
    fleet = processes.Fleet(tmp_path, 1)
    (host,) = fleet.hosts
    try:
        fleet.start(run.configuration(1, [KEY]))
        for runner in fleet.runners:
            values = {"fault": fault} if runner.name == faulty else {}
            fleet.set_runner(runner, slots=CALLERS, **values)
        stop = gevent.event.Event()
        faulty_statuses, sound_statuses = [], []
        sound = "/write/y" if faulty.startswith("a") else "/read/y"
        generation = {"X_Token_Count": "100,20", "X_Model": "m"}
        method = "POST" if target.startswith("/book") else "GET"
        callers = [
            gevent.spawn(
                ask_until,
                stop,
                faulty_statuses,
                host,
                f"f{number}",
                method,
                target,
                **(generation if target.startswith("/write") else {}),
            )
            for number in range(CALLERS)
        ]
        callers.append(
            gevent.spawn(
                ask_until,
                stop,
                sound_statuses,
                host,
                "s",
                "GET",
                sound,
                **(generation if sound.startswith("/write") else {}),
            )
        )
        gevent.sleep(SECONDS)
        stop.set()
        gevent.joinall(callers, timeout=10.0)

        print(
            f"peak {peak_bytes(host) / 2**20:.0f} MB, sound "
            f"{len(sound_statuses)}, faulty {len(faulty_statuses)}"
        )
        assert host.process.poll() is None
        assert peak_bytes(host) < MACHINE_BYTES
        assert set(sound_statuses) == {200}
        assert 200 in faulty_statuses
    finally:
        fleet.close()


def test_streams_that_never_end_an_event_do_not_fill_a_host(
    tmp_path, monkeypatch
):
    """Guards against ended streams whose bytes are freed much later."""
    monkeypatch.setattr(processes, "KEY_CONFIRMATION_S", KEY_CONFIRMATION_S)
    fleet = processes.Fleet(tmp_path, 1)
    (host,) = fleet.hosts
    configuration = run.configuration(1, [KEY])
    for service in configuration["services"]:
        if "engine" in service:
            service["engine"]["slots"] = STREAMS
            service["engine"]["kv_capacity_tokens"] = STREAMS * 1000
    try:
        fleet.start(configuration)
        for runner in fleet.runners:
            fault = "endless body" if runner.stage == "decode" else ""
            fleet.set_runner(runner, slots=STREAMS, fault=fault)
        gevent.sleep(2 * standin.HEARTBEAT_INTERVAL_S)
        stop = gevent.event.Event()
        statuses = []
        callers = [
            gevent.spawn(
                ask_until,
                stop,
                statuses,
                host,
                f"s{number}",
                "GET",
                f"/write/{number}",
                X_Token_Count="100,20",
                X_Model="m",
            )
            for number in range(STREAMS)
        ]
        gevent.sleep(SECONDS)
        stop.set()
        gevent.joinall(callers, timeout=10.0)

        print(f"peak {peak_bytes(host) / 2**20:.0f} MB, ended {len(statuses)}")
        assert host.process.poll() is None
        assert peak_bytes(host) < MAX_STREAMS_BYTES
        assert statuses.count(502) >= STREAMS / 2
    finally:
        fleet.close()
