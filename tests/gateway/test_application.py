"""Tests the HTTP interface with hostile, slow and disconnecting callers.

No refused or ended request may leave a handle, a charge or engine memory
behind. The WSGI application runs on a real loopback socket; only engines,
scheduler, limiter and configuration are fakes.
"""

from __future__ import annotations

import datetime
import http.client
import json

import gevent
import gevent.event
import pytest

from coltsfootarch import results
from coltsfootarch.gateway import body_input
from coltsfootarch.gateway import completions
from coltsfootarch.gateway import request_checks
from coltsfootarch.gateway import server
from tests.fakes import engines
from tests.fakes import gateways

WAIT = gateways.WAIT
SHORT = datetime.timedelta(milliseconds=100)
PROMPT = gateways.PROMPT
BODY = {"model": "summary", "prompt": PROMPT, "max_tokens": 4}
STREAMED = {**BODY, "stream": True}
COMPLETIONS = "/v1/completions"


@pytest.fixture
def gateway(fake_network):
    served = gateways.Gateway(fake_network)
    yield served
    served.close()


def events_of(data):
    """Returns (event name, id, data) of each server-sent event, as sent."""
    events = []
    for block in data.decode().strip().split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.split("\n"))
        body = json.loads(fields["data"])
        events.append((fields.get("event"), fields.get("id"), body))
    return events


def text_of(events):
    return "".join(body["text"] for name, _, body in events if name is None)


def encoded(**changes):
    body = json.dumps({**BODY, **changes}).encode()
    return [f"Content-Length: {len(body)}"], body


CHUNKED = "Transfer-Encoding: chunked"
LARGE = b"3e8\r\n" + b"x" * 1000 + b"\r\n"
INVALID_REQUESTS = {
    "unknown model": (*encoded(model="none"), results.UNKNOWN_MODEL),
    "broken JSON": (["Content-Length: 1"], b"{", results.INVALID_JSON),
    "unknown field": (*encoded(extra=1), results.INVALID_FIELD),
    "no tokens": (*encoded(max_tokens=0), results.INVALID_FIELD),
    "large body, declared": (
        ["Content-Length: 1001"],
        b"x" * 1001,
        results.BODY_TOO_LARGE,
    ),
    "huge body, declared": (
        ["Content-Length: 9999999999"],
        b"x",
        results.BODY_TOO_LARGE,
    ),
    "large body, chunked": (
        [CHUNKED],
        LARGE * 2 + b"0\r\n\r\n",
        results.BODY_TOO_LARGE,
    ),
    "malformed chunk": ([CHUNKED], b"zz\r\n{}\r\n", results.INVALID_FIELD),
    "two lengths": (
        ["Content-Length: 2", "Content-Length: 3"],
        b"{}",
        results.FORBIDDEN_HEADER,
    ),
    "length and chunks": (
        ["Content-Length: 2", CHUNKED],
        b"0\r\n\r\n",
        results.FORBIDDEN_HEADER,
    ),
    "other coding": (
        ["Transfer-Encoding: gzip, chunked"],
        b"0\r\n\r\n",
        results.FORBIDDEN_HEADER,
    ),
    "space before a colon": (
        ["Transfer-Encoding : chunked", "Content-Length: 2"],
        b"{}",
        results.FORBIDDEN_HEADER,
    ),
    "folded header": (
        ["Accept: a\r\n b", *encoded()[0]],
        encoded()[1],
        results.FORBIDDEN_HEADER,
    ),
    "zero byte in a header": (
        ["Accept: a\0b", *encoded()[0]],
        encoded()[1],
        results.FORBIDDEN_HEADER,
    ),
    "line without a colon": (
        ["Accept", *encoded()[0]],
        encoded()[1],
        results.FORBIDDEN_HEADER,
    ),
    "two keys": (
        ["Authorization: Bearer other", "Content-Length: 2"],
        b"{}",
        results.FORBIDDEN_HEADER,
    ),
    "long header": (
        [f"Resume-Token: {'x' * 5000}", "Content-Length: 2"],
        b"{}",
        results.FORBIDDEN_HEADER,
    ),
    "forged resume token": (
        ["Resume-Token: QUJD", *encoded()[0]],
        encoded()[1],
        results.INVALID_RESUME_TOKEN,
    ),
    "huge offset": (
        ["Resume-Token: QUJD", f"Last-Event-ID: {'9' * 4000}", *encoded()[0]],
        encoded()[1],
        results.INVALID_FIELD,
    ),
}


# Check that refuses each request. With the check disabled, the request was
# observed to pass.
FAILS_WITHOUT = {
    "large body, declared": "request_checks.read_body limit",
    "large body, chunked": "request_checks.read_body limit",
    "two lengths": "server.read_headers",
    "length and chunks": "server.read_headers",
    "other coding": "server.read_headers",
    "space before a colon": "server.read_headers",
    "folded header": "server.read_headers",
    "zero byte in a header": "server.read_headers",
    "line without a colon": "server.read_headers",
    "two keys": "request_checks.check_headers",
    "long header": "request_checks.check_headers",
    "huge offset": "check of the offset in a resume",
}


def invalid_request(name):
    if name not in FAILS_WITHOUT:
        return name
    marker = pytest.mark.matrix(
        invariant=6,
        fault=name,
        step="intake",
        fails_without=FAILS_WITHOUT[name],
    )
    return pytest.param(name, marks=marker)


@pytest.mark.parametrize("name", list(map(invalid_request, INVALID_REQUESTS)))
def test_invalid_request_is_refused_without_side_effects(
    gateway, monkeypatch, name
):
    monkeypatch.setattr(body_input, "DISCARD_TIMEOUT", SHORT)
    fields, body, code = INVALID_REQUESTS[name]

    answer, data = gateway.send_raw(
        gateway.request_head("POST", COMPLETIONS, *fields), body
    )

    assert answer.status == code.http_status
    assert answer.getheader("Result-Code") == str(code.number)
    assert json.loads(data)["execution"] == "not run"
    gateway.check_unchanged()


@pytest.mark.parametrize(
    ("method", "path", "code"),
    [
        ("GET", "/nowhere", results.UNKNOWN_ROUTE),
        ("GET", "/", results.UNKNOWN_ROUTE),
        ("GET", "/stock/%2e%2e/secret", results.UNKNOWN_ROUTE),
        ("GET", COMPLETIONS, results.UNKNOWN_ROUTE),
        ("DELETE", "/v1/requests/gw.1.99", results.UNKNOWN_REQUEST),
        ("DELETE", "/v1/requests/nonsense", results.UNKNOWN_REQUEST),
    ],
)
def test_unknown_target_is_refused_without_side_effects(
    gateway, method, path, code
):
    answer = gateway.request(method, path)

    assert answer.status == code.http_status
    assert json.loads(answer.read())["code"] == code.number
    gateway.check_unchanged()


@pytest.mark.matrix(
    invariant=3,
    fault="request in an unread body",
    step="intake",
    fails_without="BodyInput._discard",
)
@pytest.mark.parametrize(
    "fields", [[CHUNKED], ["Content-Length: 9999999"]], ids=str
)
def test_unread_body_is_never_parsed_as_a_request(gateway, monkeypatch, fields):
    monkeypatch.setattr(body_input, "DISCARD_TIMEOUT", SHORT)
    hidden = gateway.request_head("GET", "/stock/hidden")
    sock = gateway.connect()

    sock.sendall(gateway.request_head("POST", COMPLETIONS, *fields) + b"zz\r\n")
    sock.sendall(hidden)

    with sock.makefile("rb") as stream:
        received = stream.read()
    assert received.count(b"HTTP/1.1") == 1
    gateway.check_unchanged()


@pytest.mark.matrix(
    invariant=6,
    fault="slow caller",
    step="intake",
    fails_without="BODY_TIMEOUT",
)
@pytest.mark.parametrize("sent", [b"", b"{"])
def test_incomplete_body_is_refused_after_the_timeout(
    gateway, monkeypatch, sent
):
    monkeypatch.setattr(request_checks, "BODY_TIMEOUT", SHORT)
    monkeypatch.setattr(body_input, "DISCARD_TIMEOUT", SHORT)
    head = gateway.request_head("POST", COMPLETIONS, "Content-Length: 100")

    answer, data = gateway.send_raw(head, sent)

    assert answer.status == results.CLIENT_TOO_SLOW.http_status
    assert json.loads(data)["code"] == results.CLIENT_TOO_SLOW.number
    gateway.check_unchanged()


@pytest.mark.matrix(
    invariant=3,
    fault="key withdrawn",
    step="intake",
    fails_without="InflightRequests.end_invalid_keys",
)
def test_key_withdrawn_during_the_body_ends_the_request(gateway):
    fields, body = encoded()
    sock = gateway.connect()
    sock.sendall(gateway.request_head("POST", COMPLETIONS, *fields) + body[:5])
    gevent.spawn(wait_for_handle, gateway.requests).get(timeout=10)

    gateway.withdraw()
    sock.sendall(body[5:])

    answer = http.client.HTTPResponse(sock)
    answer.begin()
    assert answer.getheader("Result-Code") == str(results.KEY_WITHDRAWN.number)
    answer.read()
    gateway.check_unchanged()


def wait_for_handle(requests):
    while not requests.handles:
        gevent.sleep(0)


@pytest.mark.matrix(
    invariant=3,
    fault="key withdrawn",
    step="keep-alive",
    fails_without="authentication of each request",
)
def test_withdrawn_key_is_refused_on_an_open_connection(gateway):
    connection = gateway.http()
    first = gateway.request("GET", "/stock/a", via=connection)
    assert (first.status, first.read()) == (200, b"ok")

    gateway.withdraw()
    second = gateway.request("GET", "/stock/a", via=connection)

    assert second.status == results.INVALID_KEY.http_status
    assert len(gateway.calls.calls) == 1


@pytest.mark.matrix(
    invariant=3,
    fault="smuggled headers",
    step="forward",
    fails_without="request_checks.upstream_headers",
)
def test_forged_headers_do_not_reach_an_instance(gateway):
    forbidden = {
        "X-Client-Account": "b",
        "X_Client_Account": "b",
        "X-Forwarded-For": "10.0.0.1",
        "X-Request-Id": "forged",
        "Forwarded": "for=10.0.0.1",
        "Cookie": "session",
        "Host": "elsewhere",
        "Accept": "text/plain",
    }

    gateway.request("GET", "/stock/a?x=1", headers=forbidden).read()

    (call,) = gateway.calls.calls
    assert call.account == "a"
    assert call.request.path == "/a?x=1"
    assert dict(call.request.headers) == {
        "Accept": "text/plain",
        "X-Client-Account": "a",
        "X-Request-Id": call.request_id,
    }


def test_refusal_contains_code_and_retry_time(gateway):
    gateway.fault_plan.faults["reserve"].append("refused")

    answer = gateway.request("POST", COMPLETIONS, STREAMED)

    code = results.RATE_EXCEEDED
    assert answer.status == code.http_status
    assert answer.getheader("Result-Code") == str(code.number)
    assert answer.getheader("Retry-After") == "1"
    assert json.loads(answer.read()) == {
        "code": code.number,
        "name": code.name,
        "message": code.summary,
        "execution": "not run",
        "request_id": answer.getheader("X-Request-Id"),
        "retry_after": 1.0,
    }


def test_streamed_answer_has_events_in_order(gateway):
    answer = gateway.request("POST", COMPLETIONS, STREAMED)
    events = events_of(answer.read())

    assert answer.getheader("Content-Type") == "text/event-stream"
    assert [name for name, _, _ in events] == ["start", *[None] * 4, "done"]
    assert [number for _, number, _ in events[1:-1]] == list("1234")
    assert text_of(events) == engines.expected_text(0, 4)
    assert events[-1][2]["output_tokens"] == 4
    gateway.wait_settled()
    gateway.check_released()


def test_unstreamed_answer_is_one_json_body(gateway):
    answer = gateway.request("POST", COMPLETIONS, BODY)

    assert json.loads(answer.read())["text"] == engines.expected_text(0, 4)
    gateway.check_released()


@pytest.mark.matrix(
    invariant=1,
    fault="caller leaves",
    step="mid-stream",
    fails_without="CompletionPipeline.cancel_later_unless_resumed",
)
def test_caller_that_disconnects_frees_engine_and_handle(gateway):
    gateway.block_at("mid-stream")
    connection = gateway.http()
    body = {**STREAMED, "max_tokens": 2000}
    answer = gateway.request("POST", COMPLETIONS, body, via=connection)
    assert gateway.blocked.wait(WAIT.total_seconds())

    answer.close()
    connection.close()
    gateway.unblock.set()

    gateway.wait_settled()
    gateway.check_released()
    assert len(gateway.engines.cancelled) == 1
    prompt = completions.count_tokens(PROMPT)
    assert gateway.limiter.settled == [(1, prompt + 2000)]


@pytest.mark.matrix(
    invariant=1,
    fault="caller does not read",
    step="mid-stream",
    fails_without="SOCKET_TIMEOUT",
)
def test_caller_that_does_not_read_is_disconnected(gateway, monkeypatch):
    monkeypatch.setattr(server, "SOCKET_TIMEOUT", SHORT)
    monkeypatch.setattr(engines, "expected_text", lambda *_: "x" * 100_000)
    gateway.engines.check_prompt = lambda _request: None
    body = json.dumps({**STREAMED, "max_tokens": 500}).encode()
    sock = gateway.connect(receive_buffer=4096)

    head = gateway.request_head(
        "POST", COMPLETIONS, f"Content-Length: {len(body)}"
    )
    sock.sendall(head + body)
    gevent.spawn(wait_for_handle, gateway.requests).get(timeout=10)

    gateway.wait_settled()
    gateway.check_released()
    prompt = completions.count_tokens(PROMPT)
    assert gateway.limiter.settled == [(1, prompt + 500)]


@pytest.mark.matrix(
    invariant=1,
    fault="caller cancels",
    step="blocked write",
    fails_without="GatewayApplication.close_events",
)
def test_cancel_during_a_blocked_write_frees_the_engine_at_once(
    gateway, monkeypatch
):
    blocked = gevent.event.Event()
    write = server.ConnectionHandler.write

    def block_write(self, data):
        if b"t1 " in data:
            blocked.set()
            gevent.event.Event().wait(WAIT.total_seconds())
        write(self, data)

    monkeypatch.setattr(server.ConnectionHandler, "write", block_write)
    streaming = gateway.request("POST", COMPLETIONS, STREAMED)
    assert blocked.wait(WAIT.total_seconds())
    started_at = gateway.clock.monotonic()

    path = f"/v1/requests/{streaming.getheader('X-Request-Id')}"
    assert gateway.request("DELETE", path).status == 204

    gateway.wait_settled()
    gateway.check_released()
    assert gateway.clock.monotonic() == started_at
    prompt = completions.count_tokens(PROMPT)
    assert gateway.limiter.settled == [(1, prompt + 2)]


@pytest.mark.matrix(
    invariant=1,
    fault="caller cancels",
    step="mid-stream",
    fails_without="account check of InflightRequests.end",
)
def test_delete_ends_only_requests_of_the_same_account(gateway):
    gateway.block_at("mid-stream")
    answer = gateway.request("POST", COMPLETIONS, STREAMED)
    request_id = answer.getheader("X-Request-Id")
    assert gateway.blocked.wait(WAIT.total_seconds())
    path = f"/v1/requests/{request_id}"

    other = gateway.request("DELETE", path, key=gateway.other_account_key)
    assert other.status == results.UNKNOWN_REQUEST.http_status
    assert request_id in gateway.requests.handles
    assert gateway.request("DELETE", path).status == 204

    name, _, body = events_of(answer.read())[-1]
    assert (name, body["code"]) == ("error", results.CLIENT_CANCELLED.number)
    gateway.wait_settled()
    gateway.check_released()


def start_event_of_finished_answer(gateway):
    """Returns the data of the start event of a stream that was read whole."""
    answer = gateway.request("POST", COMPLETIONS, STREAMED)
    events = events_of(answer.read())
    return events[0][2]


@pytest.mark.matrix(
    invariant=5,
    fault="engine gone at a resume",
    step="resume",
    fails_without="restart of a resume",
)
def test_resume_starts_over_when_the_engine_has_lost_the_answer(gateway):
    token = start_event_of_finished_answer(gateway)["resume_token"]

    answer = gateway.request(
        "POST",
        COMPLETIONS,
        STREAMED,
        headers={"Resume-Token": token, "Last-Event-ID": "2"},
    )

    events = events_of(answer.read())
    assert [name for name, _, _ in events[:2]] == ["restart", "start"]
    assert text_of(events) == engines.expected_text(0, 4)
    gateway.wait_settled()
    gateway.check_released()


@pytest.mark.parametrize("cancelled", [False, True])
@pytest.mark.matrix(
    invariant=1,
    fault="caller cancels",
    step="resume",
    fails_without="id of a resumed answer",
)
def test_resumed_answer_continues_and_can_be_cancelled(gateway, cancelled):
    gateway.block_at("last token")
    first = gateway.request("POST", COMPLETIONS, STREAMED)
    while not (data := first.readline()).startswith(b"data"):
        pass
    token = json.loads(data[6:])["resume_token"]
    assert gateway.blocked.wait(WAIT.total_seconds())
    gateway.blocked.clear()
    gateway.block_at("last token")

    second = gateway.request(
        "POST",
        COMPLETIONS,
        STREAMED,
        headers={"Resume-Token": token, "Last-Event-ID": "1"},
    )
    assert gateway.blocked.wait(WAIT.total_seconds())
    if cancelled:
        request_id = second.getheader("X-Request-Id")
        path = f"/v1/requests/{request_id}"
        assert gateway.request("DELETE", path).status == 204
    gateway.unblock.set()

    events = events_of(second.read())
    first.read()
    assert events[0][2]["request_id"] == second.getheader("X-Request-Id")
    assert events[-1][0] == ("error" if cancelled else "done")
    gateway.wait_settled()
    gateway.check_released()


class FailingPipeline:
    """Pipeline whose answers fail with an error unknown to the package."""

    def __init__(self, events):
        self.events = events

    def run(self, *_):
        yield from self.events
        if self.events is not EMPTY:
            raise KeyError("unexpected")


EMPTY = ()
STARTED_ONLY = [completions.Started("gw.1.1", "token")]


@pytest.mark.parametrize(
    ("events", "code"),
    [
        pytest.param(EMPTY, results.UPSTREAM_FAILED, id="no event"),
        pytest.param(
            [],
            results.INTERNAL_ERROR,
            id="error at first",
            marks=pytest.mark.matrix(
                invariant=9,
                fault="unexpected error",
                step="first event",
                fails_without="closing of the handle on any error",
            ),
        ),
        pytest.param(STARTED_ONLY, results.INTERNAL_ERROR, id="error later"),
    ],
)
def test_unexpected_error_leaves_no_request_in_progress(gateway, events, code):
    gateway.application.completion_pipeline = FailingPipeline(events)

    answer = gateway.request("POST", COMPLETIONS, STREAMED)
    data = answer.read()

    body = events_of(data)[-1][2] if events else json.loads(data)
    assert body["code"] == code.number
    assert gateway.requests.handles == {}


@pytest.mark.matrix(
    invariant=9,
    fault="graceful shutdown",
    step="drain",
    fails_without="GatewayServer.drain",
)
def test_drain_answers_on_open_connections_and_closes_them(gateway):
    idle, busy = gateway.http(), gateway.http()
    gateway.request("GET", "/stock/a", via=idle).read()
    gateway.block_at("mid-stream")
    streaming = gateway.request("POST", COMPLETIONS, STREAMED, via=busy)
    assert gateway.blocked.wait(WAIT.total_seconds())

    gateway.server.drain()
    gateway.server.stop_accepting()
    answer = gateway.request("GET", "/stock/a", via=idle)
    gateway.unblock.set()

    assert answer.getheader("Connection") == "close"
    assert answer.read() == b"ok"
    assert text_of(events_of(streaming.read())) == engines.expected_text(0, 4)
    gateway.wait_settled()


@pytest.mark.matrix(
    invariant=9,
    fault="graceful shutdown",
    step="answer",
    fails_without="GatewayServer.wait_answered",
)
def test_shutdown_waits_for_an_answer_that_is_being_written(gateway):
    gateway.calls.body = b"x" * 20_000_000
    sock = gateway.connect(receive_buffer=4096)
    sock.sendall(gateway.request_head("GET", "/stock/a"))
    answer = http.client.HTTPResponse(sock)
    answer.begin()
    assert gateway.requests.wait_idle(WAIT)

    def stop():
        gateway.server.stop_accepting()
        gateway.server.wait_answered()
        gateway.server.close()

    stopping = gevent.spawn(stop)
    assert answer.read() == gateway.calls.body
    stopping.get(timeout=WAIT.total_seconds())


def send_slowly(sock):
    """Sends single bytes until the connection is closed."""
    closed = gevent.event.Event()
    try:
        while not closed.wait(SHORT.total_seconds() / 10):
            sock.sendall(b"x")
    except OSError:
        return


@pytest.mark.parametrize("sent", [b"GET /-/live HT", b"GET / HTTP/1.1\r\nA: "])
@pytest.mark.matrix(
    invariant=6,
    fault="slow caller",
    step="headers",
    fails_without="time limits of ConnectionHandler",
)
def test_incomplete_headers_close_the_connection(gateway, monkeypatch, sent):
    monkeypatch.setattr(server, "HEADER_TIMEOUT", SHORT)
    monkeypatch.setattr(server, "SOCKET_TIMEOUT", SHORT)
    sock = gateway.connect()
    sock.sendall(sent)
    sender = gevent.spawn(send_slowly, sock)

    with sock.makefile("rb") as stream:
        assert b"200" not in stream.read()
    sender.get(timeout=WAIT.total_seconds())
    gateway.check_unchanged()
