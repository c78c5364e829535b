"""Guards against a peer that sends without a pause and stops all others."""

from __future__ import annotations

import datetime
import time

import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import client
from coltsfootarch.storage import http_channel
from coltsfootarch.upstreams import connection as connections
from tests.fakes import floods

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"
READ_S = 1.5
DOCUMENTS = {
    "whole events": (CHUNKED, b"11\r\nid: 1\ndata: xyz\n\n\r\n"),
    "parts of an event": (CHUNKED, b"8\r\ndata: x\n\r\n"),
    "sized body": (SIZED, b"x"),
}


@pytest.fixture
def flood(request):
    server = floods.FloodServer(*request.param)
    server.start()
    yield server
    server.close()


@pytest.fixture
def gaps():
    recorder = floods.GapRecorder()
    recorder.start()
    yield recorder
    recorder.greenlet.kill()


@pytest.mark.parametrize(
    "flood", DOCUMENTS.values(), ids=DOCUMENTS, indirect=True
)
def test_others_run_while_a_response_never_pauses(flood, gaps):
    """Guards against a connection whose reader never lets others run."""
    connection = client.Connection(flood.address, clocks.SystemClock())
    connection.start(1.0)
    connection.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"", 1.0)
    deadline = time.monotonic() + READ_S

    while time.monotonic() < deadline:
        connection.read_part(1.0)
    gaps.close()
    connection.close()

    assert gaps.longest_s < floods.MAX_GAP_S


@pytest.mark.parametrize(
    "flood", DOCUMENTS.values(), ids=DOCUMENTS, indirect=True
)
def test_others_run_while_a_response_to_the_own_interface_never_pauses(
    flood, gaps
):
    """Guards against a reader of urllib3 that never lets others run."""
    second = datetime.timedelta(seconds=1)
    deadline = connections.Deadline(clocks.SystemClock(), second)
    connection = connections.UpstreamConnection(flood.address, second)
    connection.send("GET", "/", {}, None, deadline)
    ends_at = time.monotonic() + READ_S

    while time.monotonic() < ends_at:
        deadline.restart()
        connection.read(deadline)
    gaps.close()
    connection.close()

    assert gaps.longest_s < floods.MAX_GAP_S


UNPARSED = {
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"X: a\r\n"),
}


@pytest.mark.parametrize(
    "flood", UNPARSED.values(), ids=UNPARSED, indirect=True
)
def test_endless_head_or_trailers_end_at_the_timeout(flood, gaps):
    """Guards against a timeout that can't fire while urllib3 reads."""
    channel = http_channel.HttpChannel(
        flood.address, datetime.timedelta(seconds=1)
    )
    started = time.monotonic()

    with pytest.raises(http_channel.urllib3.exceptions.HTTPError):
        channel.call("GET", "/")
    gaps.close()
    channel.close()

    assert time.monotonic() - started < 2.0
    assert gaps.longest_s < floods.MAX_GAP_S
