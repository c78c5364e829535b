"""Guards against a peer that sends without a pause and stops a host."""

from __future__ import annotations

import time

import gevent
import pytest

from coltsfootarch.http1 import messages
from tests.fakes import floods
from tests.platform import documents

SIZES = {"X_Token_Count": "100,20", "X_Model": "m"}
FLOOD_S = 1.5
CHUNKS = {
    "whole events": b"11\r\nid: 1\ndata: xyz\n\n\r\n",
    "parts of an event": b"8\r\ndata: x\n\r\n",
}


class FloodingRunner:
    """Lets a runner answer its requests with chunks without end."""

    def __init__(self, runner, chunk):
        self.runner = runner
        self.chunk = chunk
        self.floods = []

    def answer(self, request_id, fields, connection):
        head = messages.render_head(
            messages.status_line(200),
            [
                *self.runner.response_fields(request_id),
                ("Transfer-Encoding", "chunked"),
            ],
        )
        flood = floods.Flood(connection.sock, head, self.chunk)
        self.floods.append(flood)
        flood.start()
        while connection.open:
            gevent.sleep(0.01)

    def close(self):
        for flood in self.floods:
            flood.close()


@pytest.fixture
def opened():
    """Floods to close at the end."""
    closing = []
    yield closing
    for flood in closing:
        flood.close()


def longest_answer_s(host, ends_at):
    """Asks a sound upstream again and again; returns the longest wait."""
    caller = host.caller()
    longest = 0.0
    while time.monotonic() < ends_at:
        started = time.monotonic()
        answer = caller.ask("/read/a")
        assert answer is not None
        assert answer.status == 200
        longest = max(longest, time.monotonic() - started)
        gevent.sleep(0.02)
    return longest


def request(target, request_id, method="GET", **fields):
    """Returns the bytes of a request."""
    lines = [
        ("Host", "api.example"),
        ("X-Request-Id", request_id),
        ("X-Deadline-Ms", "4000"),
        ("Authorization", f"Bearer {documents.KEY}"),
        *((name.replace("_", "-"), value) for name, value in fields.items()),
    ]
    return messages.render_head(f"{method} {target} HTTP/1.1", lines)


@pytest.mark.parametrize("chunk", CHUNKS.values(), ids=CHUNKS)
def test_calls_are_answered_beside_an_endless_stream(engines, opened, chunk):
    """Guards against a stream whose reader never lets others run."""
    engines.add_runner("i-1", "app")
    engines.wait(lambda: "i-1" in engines.daemon.upstreams.upstreams)
    for name in ("d-1", "d-2"):
        runner = engines.runners[name]
        flooding = FloodingRunner(runner, chunk)
        runner.generate = flooding.answer
        opened.append(flooding)
    engines.ask("/read/a")
    for number in range(3):
        head = request("/write/a", f"s{number}", **SIZES)
        caller = floods.Flood(engines.caller().sock, head, b"")
        opened.append(caller)
        caller.start()
    flooding = opened[:2]
    engines.wait(lambda: any(each.floods for each in flooding))

    longest = longest_answer_s(engines, time.monotonic() + FLOOD_S)

    assert longest < floods.MAX_GAP_S


def test_calls_are_answered_beside_an_endless_body(app, opened):
    """Guards against a body in small chunks whose reader stops the host."""
    runner = app.runners["i-2"]
    flooding = FloodingRunner(runner, b"1\r\nx\r\n")
    runner.call = lambda request_id, connection: flooding.answer(
        request_id, {}, connection
    )
    opened.append(flooding)
    app.runners["i-1"].fault = "full"
    for number in range(4):
        app.caller().send("/read/a", request_id=f"b{number}")
    app.wait(lambda: flooding.floods)
    app.runners["i-1"].fault = ""
    app.daemon.upstreams.reject("i-2")

    longest = longest_answer_s(app, time.monotonic() + FLOOD_S)

    assert longest < floods.MAX_GAP_S


REQUESTS = {
    "refused requests": (b"", b"GET /none/a HTTP/1.1\r\nHost: x\r\n\r\n"),
    "body of small chunks": (
        request("/read/a", "f", "POST", Transfer_Encoding="chunked"),
        b"1;aaaaa\r\nx\r\n",
    ),
}


@pytest.mark.parametrize(
    ("beginning", "repeated"), REQUESTS.values(), ids=REQUESTS
)
def test_calls_are_answered_beside_a_caller_without_a_pause(
    app, opened, beginning, repeated
):
    """Guards against a caller whose reader never lets others run."""
    callers = [app.caller() for _ in range(3)]
    for caller in callers:
        flood = floods.Flood(caller.sock, beginning, repeated)
        opened.append(flood)
        flood.start()

    longest = longest_answer_s(app, time.monotonic() + FLOOD_S)

    assert longest < floods.MAX_GAP_S
