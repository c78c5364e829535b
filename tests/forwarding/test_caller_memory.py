"""Measures the memory of a host's process while callers are faulty."""

from __future__ import annotations

import contextlib

import gevent
import pytest
from gevent import socket as gevent_socket

from coltsfootarch.http1 import client
from coltsfootarch.http1 import messages
from soak import processes
from soak import run
from tests.forwarding import test_process_memory

pytestmark = pytest.mark.crowd

# Three quarters of the memory of the smallest users' machine.
MAX_BYTES = 96 * 1024 * 1024
CALLERS = 100
PIPELINED = 80
BODY_BYTES = 12 * 1024
LEAVING_CALLERS = 20
PART_BYTES = 1_000_000
MAX_BODY_BYTES = 4 * 1024 * 1024
PIECE_BYTES = 64 * 1024


def request_head(
    request_id, body_bytes, target="/read/x", key=test_process_memory.KEY
):
    """Returns the encoded head of a request with a body."""
    fields = (
        ("Host", run.ROUTE_HOST),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", "4000"),
        ("Authorization", f"Bearer {key}"),
        ("Content-Length", str(body_bytes)),
    )
    return messages.render_head(f"POST {target} HTTP/1.1", fields)


def send_all(sock, host, name):
    """Sends requests without reading their responses."""
    sock.connect(client.split_address(host.listen))
    with contextlib.suppress(OSError):
        for number in range(PIPELINED):
            head = request_head(f"{name}-{number}", BODY_BYTES)
            sock.sendall(head + b"a" * BODY_BYTES)


def test_pipelined_requests_do_not_fill_a_host(tmp_path, monkeypatch):
    """Guards against requests that are read long before their turn."""
    monkeypatch.setattr(
        processes,
        "KEY_CONFIRMATION_S",
        test_process_memory.KEY_CONFIRMATION_S,
    )
    fleet = processes.Fleet(tmp_path, 1)
    (host,) = fleet.hosts
    sockets = [gevent_socket.socket() for _ in range(CALLERS)]
    try:
        fleet.start(run.configuration(1, [test_process_memory.KEY]))
        for runner in fleet.runners:
            fleet.set_runner(runner, slots=CALLERS)
        callers = [
            gevent.spawn(send_all, sock, host, f"p{number}")
            for number, sock in enumerate(sockets)
        ]
        gevent.joinall(callers, timeout=test_process_memory.SECONDS)
        gevent.sleep(2.0)

        peak = test_process_memory.peak_bytes(host)
        print(f"peak {peak / 2**20:.0f} MB, ended {len(host.ended_requests())}")
        assert host.process.poll() is None
        assert peak < MAX_BYTES
        assert host.ended_requests()
    finally:
        for sock in sockets:
            sock.close()
        fleet.close()


def leave_until(stop, left, host, name):
    """Sends parts of bodies and disconnects each time."""
    while not stop.is_set():
        sock = gevent_socket.socket()
        with contextlib.suppress(OSError):
            sock.connect(client.split_address(host.listen))
            head = request_head(f"{name}-{len(left)}", MAX_BODY_BYTES)
            sock.sendall(head + b"a" * PART_BYTES)
            left.append(name)
        sock.close()
        gevent.sleep(0.01)


def test_callers_that_leave_within_a_body_do_not_fill_a_host(
    tmp_path, monkeypatch
):
    """Guards against bodies of closed connections that are freed much later."""
    monkeypatch.setattr(
        processes,
        "KEY_CONFIRMATION_S",
        test_process_memory.KEY_CONFIRMATION_S,
    )
    fleet = processes.Fleet(tmp_path, 1)
    (host,) = fleet.hosts
    configuration = run.configuration(1, [test_process_memory.KEY])
    configuration["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    try:
        fleet.start(configuration)
        stop = gevent.event.Event()
        left = []
        callers = [
            gevent.spawn(leave_until, stop, left, host, f"l{number}")
            for number in range(LEAVING_CALLERS)
        ]
        gevent.sleep(test_process_memory.SECONDS)
        stop.set()
        gevent.joinall(callers, timeout=10.0)

        peak = test_process_memory.peak_bytes(host)
        print(f"peak {peak / 2**20:.0f} MB, left {len(left)}")
        assert host.process.poll() is None
        assert peak < MAX_BYTES
        assert len(left) > LEAVING_CALLERS
    finally:
        fleet.close()


def send_most(sock, host, head):
    """Sends a request but for the last byte of its body."""
    sock.connect(client.split_address(host.listen))
    with contextlib.suppress(OSError):
        sock.sendall(head)
        for _ in range(MAX_BODY_BYTES // PIECE_BYTES - 1):
            sock.sendall(b"a" * PIECE_BYTES)
        sock.sendall(b"a" * (PIECE_BYTES - 1))


@pytest.mark.parametrize(
    ("target", "key"),
    [
        ("/read/x", test_process_memory.KEY),
        ("/read/x", "unknown"),
        ("/unknown/x", test_process_memory.KEY),
    ],
)
def test_bodies_without_their_end_do_not_fill_a_host(
    tmp_path, monkeypatch, target, key
):
    """Guards against large bodies that are bounded one by one only."""
    monkeypatch.setattr(
        processes,
        "KEY_CONFIRMATION_S",
        test_process_memory.KEY_CONFIRMATION_S,
    )
    fleet = processes.Fleet(tmp_path, 1)
    (host,) = fleet.hosts
    configuration = run.configuration(1, [test_process_memory.KEY])
    configuration["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    sockets = [gevent_socket.socket() for _ in range(CALLERS)]
    try:
        fleet.start(configuration)
        callers = [
            gevent.spawn(
                send_most,
                sock,
                host,
                request_head(f"m{number}", MAX_BODY_BYTES, target, key),
            )
            for number, sock in enumerate(sockets)
        ]
        gevent.joinall(callers, timeout=test_process_memory.SECONDS)

        peak = test_process_memory.peak_bytes(host)
        print(f"peak {peak / 2**20:.0f} MB")
        assert host.process.poll() is None
        assert peak < MAX_BYTES
        assert test_process_memory.ask(host, "GET", "/read/y", "small") == 200
    finally:
        for sock in sockets:
            sock.close()
        fleet.close()
