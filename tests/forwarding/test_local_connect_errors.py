"""Tests a host that lacks a descriptor once, while a prefill is silent."""

from __future__ import annotations

import errno
import math

import gevent

from coltsfootarch.http1 import client
from tests.forwarding import test_silent_streams

FAILURES = 2


def test_decode_engine_is_connected_again_after_a_local_error(
    engines, monkeypatch
):
    """Guards against an exchange that no later connection can use."""
    address = engines.runners["d-1"].address
    start = client.Connection.start
    failed, reconnects = [], []

    def start_with_errors(self, timeout):
        if self.address == address and reconnects:
            reconnects.append(address)
            if len(failed) < FAILURES:
                failed.append(address)
                error = OSError(errno.EMFILE, "Too many open files")
                raise client.LocalConnectError(str(error)) from error
        start(self, timeout)

    monkeypatch.setattr(client.Connection, "start", start_with_errors)
    engines.runners["p-1"].fall_silent(math.inf)
    test_silent_streams.prefer(engines, "d-1")
    stream = test_silent_streams.Stream(engines)
    engines.wait(lambda: engines.daemon.context.loads.load("p-1").requests)
    gevent.sleep(0.3)
    reconnects.append("from now on")
    engines.runners["d-1"].server.close_connections()

    stream.check()
    assert failed
