"""Tests that ended requests are freed without the garbage collector."""

from __future__ import annotations

import gc

import pytest

from coltsfootarch.forwarding import calls
from coltsfootarch.forwarding import limited_reader
from coltsfootarch.forwarding import upstream_exchange
from coltsfootarch.http1 import events

# What holds the bytes of requests and responses.
HOLDERS = (
    calls.CallerRequest,
    events.EventSplitter,
    upstream_exchange.UpstreamExchange,
)
GENERATION = {"X_Token_Count": "100,20", "X_Model": "m"}


def holders():
    """Returns the names of the classes of all objects that hold bytes."""
    return [
        type(each).__name__
        for each in gc.get_objects()
        if type(each) in HOLDERS
    ]


@pytest.fixture
def without_collector():
    """Disables the garbage collector during a test."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize(
    "fault", ["", "crash", "reset", "stall", "hang", "full", "endless body"]
)
@pytest.mark.parametrize("faulty", [("d-1", "i-1"), ("d-1", "d-2", "i-1")])
@pytest.mark.parametrize("target", ["/read/a", "/write/a"])
def test_ended_request_is_freed_at_once(
    engines, without_collector, target, faulty, fault
):
    """Guards against reference cycles that keep bytes until a collection."""
    engines.add_runner("i-1", "app")
    for name in faulty:
        engines.runners[name].fault = fault
    known = len(holders())
    generation = GENERATION if target.startswith("/write") else {}

    caller = engines.caller()
    caller.ask(target, "POST", b"a" * 1000, X_Deadline_Ms="2500", **generation)

    caller.close()
    engines.wait(lambda: not engines.daemon.caller_listener.connections)
    assert holders()[known:] == []


@pytest.mark.parametrize("body", [b"", b"a" * 1000])
def test_request_of_a_caller_that_left_is_freed_at_once(
    engines, without_collector, body
):
    """Guards against bodies of closed connections that are kept."""
    listener = engines.daemon.caller_listener
    caller = engines.caller()
    caller.send_raw(
        b"POST /read/a HTTP/1.1\r\nHost: api.example\r\n"
        b"Content-Length: 2000\r\n" + (b"\r\n" + body if body else b"X-A")
    )
    engines.wait(
        lambda: any(each.reader.in_progress for each in listener.connections)
    )

    caller.close()
    engines.wait(lambda: not listener.connections)

    closed = [
        each
        for each in gc.get_objects()
        if type(each) is limited_reader.LimitedReader and each.in_progress
    ]
    kept = [(list(each.held), bytes(each.body), each.fields) for each in closed]
    assert kept == [([], b"", [])] * len(closed)


@pytest.mark.parametrize(
    "sent",
    [
        b"GET /read/a HTTP/1.1\r\nHost: api.example\r\n" + b"a:b\r\n" * 4000,
        b"\r\n" * 10000,
        b"not HTTP\r\n\r\n",
    ],
    ids=["head", "empty lines", "malformed"],
)
def test_refused_connection_is_freed_at_once(engines, without_collector, sent):
    """Guards against refused callers that leave a reader for each of them."""
    listener = engines.daemon.caller_listener
    known = sum(
        type(each) is limited_reader.LimitedReader for each in gc.get_objects()
    )
    caller = engines.caller()
    caller.send_raw(sent)
    answer = caller.read()
    assert answer.status in (400, 431)

    caller.close()
    engines.wait(lambda: not listener.connections)

    kept = sum(
        type(each) is limited_reader.LimitedReader for each in gc.get_objects()
    )
    assert kept == known
