"""Tests that errors of the host itself are answered with their result code."""

from __future__ import annotations

import errno
import json

import gevent
import pytest

from coltsfootarch import results
from tests.fakes import gateways

COMPLETIONS = "/v1/completions"
REQUEST = {"model": "summary", "prompt": gateways.PROMPT, "max_tokens": 4}
LOCAL_ERRORS = [
    pytest.param(OSError(errno.EMFILE, "too many open files"), id="EMFILE"),
    pytest.param(OSError(errno.ENOMEM, "out of memory"), id="ENOMEM"),
    pytest.param(BrokenPipeError(errno.EPIPE, "broken pipe"), id="EPIPE"),
    pytest.param(ConnectionResetError(errno.ECONNRESET, "reset"), id="RESET"),
    pytest.param(TimeoutError("timed out"), id="timeout"),
    pytest.param(gevent.Timeout(1.0), id="gevent timeout"),
    pytest.param(MemoryError(), id="memory"),
]


@pytest.fixture
def gateway(fake_network):
    served = gateways.Gateway(fake_network)
    yield served
    served.close()


def raising(error):
    def call(*_):
        raise error

    return call


def code_of(answer):
    return json.loads(answer.read())["code"]


@pytest.mark.parametrize("error", LOCAL_ERRORS)
def test_call_is_answered_after_a_local_error(gateway, error):
    """Guards against a connection that is closed without an answer."""
    gateway.calls.run = raising(error)

    answer = gateway.request("GET", "/stock/items")

    assert answer.status == 500
    assert code_of(answer) == results.INTERNAL_ERROR.number
    assert gateway.requests.handles == {}


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("error", LOCAL_ERRORS)
def test_completion_is_answered_after_a_local_error(gateway, error, stream):
    """Guards against a connection that is closed without an answer."""
    gateway.engines.prefill = raising(error)

    answer = gateway.request("POST", COMPLETIONS, {**REQUEST, "stream": stream})

    assert answer.status == 500
    assert code_of(answer) == results.INTERNAL_ERROR.number
    gateway.wait_settled()
    assert gateway.requests.handles == {}


@pytest.mark.parametrize("error", LOCAL_ERRORS)
def test_stream_that_began_ends_with_an_error_after_a_local_one(gateway, error):
    """Guards against a stream that is cut without its last event."""
    stream = gateway.engines.stream

    def fail_later(key, request, offset):
        events = stream(key, request, offset)
        yield next(events)
        raise error

    gateway.engines.stream = fail_later

    answer = gateway.request("POST", COMPLETIONS, {**REQUEST, "stream": True})

    assert b"event: error" in answer.read()
    gateway.wait_settled()
    assert gateway.requests.handles == {}
