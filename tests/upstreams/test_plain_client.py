"""Tests that no failure after sending is reported as "not run"."""

from __future__ import annotations

import contextlib
import datetime
import errno

import pytest
from urllib3.util import connection as util_connection

from coltsfootarch import errors
from coltsfootarch.upstreams import connection
from coltsfootarch.upstreams import plain_client
from standins import plain

SECOND = datetime.timedelta(seconds=1)
SHORT = datetime.timedelta(seconds=0.2)
BOOKING = plain_client.PlainRequest(
    "POST",
    "/bookings",
    (
        ("Content-Type", "application/json"),
        ("Connection", "keep-alive, X-Hop"),
        ("X-Hop", "1"),
        ("Te", "trailers"),
        ("Content-Length", "999"),
        ("X-Kept", "a"),
        ("X-Kept", "b"),
    ),
    b'{"booking_id": "b-1"}',
)


def send(address, request, timeout=SECOND):
    connection = plain_client.PlainConnector().connect(address, SECOND)
    with contextlib.closing(connection):
        return connection.send(request, timeout)


@pytest.mark.parametrize(
    ("cause", "expected"),
    [
        (ConnectionRefusedError(errno.ECONNREFUSED, "refused"), None),
        (ConnectionResetError(errno.ECONNRESET, "reset"), None),
        (TimeoutError("timed out"), errors.UpstreamSilentError),
        (OSError(errno.ETIMEDOUT, "no reply"), errors.UpstreamSilentError),
        (OSError(errno.EHOSTUNREACH, "no host"), errors.UpstreamSilentError),
        (OSError(errno.ENETUNREACH, "no route"), errors.UpstreamSilentError),
        (OSError(errno.EMFILE, "no descriptor"), errors.LocalConnectError),
        (OSError(errno.EADDRNOTAVAIL, "no port"), errors.LocalConnectError),
    ],
)
def test_failed_connection_tells_a_refusal_from_silence(
    monkeypatch, cause, expected
):
    """Guards against taking silence or a local error for a crash."""

    def fail(*_arguments, **_options):
        raise cause

    monkeypatch.setattr(util_connection, "create_connection", fail)
    with pytest.raises(errors.UpstreamConnectError) as raised:
        plain_client.PlainConnector().connect("127.0.0.1:9", SHORT)

    assert raised.type is (expected or errors.UpstreamConnectError)


def test_only_hop_by_hop_fields_are_removed(running, raw_server):
    service = running(plain.PlainStandin())
    answer = send(service.address, BOOKING)

    assert (answer.status, service.runs["b-1"]) == (201, 1)
    received = service.recorded[-1].headers
    assert received["x-kept"] == "a,b"
    assert received["host"] == service.address
    assert received["content-length"] == "21"
    assert not {"x-hop", "te", "connection"} & received.keys()

    address = raw_server(
        b"HTTP/1.1 404 X\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\n"
        b"Set-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"
    )
    answer = send(address, BOOKING)
    cookies = (("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"))
    assert answer == (404, cookies, b"no")


@pytest.mark.parametrize(
    ("fault", "expected"),
    [
        pytest.param(
            {"die_before_answer": 1},
            errors.UpstreamError,
            marks=pytest.mark.matrix(
                invariant=6,
                fault="kill",
                step="upstream, before its answer",
                fails_without="errors after sending apart from connect errors",
            ),
        ),
        ({"delay": 1.0}, errors.UpstreamTimeoutError),
    ],
    ids=["dies before the answer", "silent"],
)
def test_failure_after_sending_is_no_connect_error(running, fault, expected):
    service = running(plain.PlainStandin())
    service.apply_faults(fault)

    with pytest.raises(errors.UpstreamError) as caught:
        send(service.address, BOOKING, SHORT)

    assert type(caught.value) is expected
    assert service.runs["b-1"] == 1


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsh",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nsh\r\n",
        b"no HTTP\r\n\r\n",
        b"",
    ],
)
def test_truncated_response_is_an_error(raw_server, answer):
    with pytest.raises(errors.UpstreamError) as caught:
        send(raw_server(answer), BOOKING)

    assert type(caught.value) is errors.UpstreamError


def test_refused_connect_sends_nothing(running):
    service = running(plain.PlainStandin())
    service.apply_faults({"refuse": 60})

    with pytest.raises(errors.UpstreamConnectError):
        send(service.address, BOOKING)

    assert not service.runs


@pytest.mark.parametrize(
    "answer", [b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200 OK\r\n\r\n"]
)
def test_slowly_arriving_response_ends_at_the_deadline(raw_server, answer):
    """Received pieces of a response must not extend its deadline."""
    address = raw_server(answer, repeated=b"X: 1\r\n")

    with pytest.raises(errors.UpstreamTimeoutError):
        send(address, BOOKING, SHORT)


@pytest.mark.parametrize(
    "beginning",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: ",
        b"HTTP/1.1 200 OK\r\n\r\n\r\n",
    ],
)
def test_response_without_end_is_given_up_before_the_deadline(
    raw_server, monkeypatch, beginning
):
    """Guards against a response that fills the memory of the host."""
    monkeypatch.setattr(connection, "MAX_RESPONSE_BYTES", 200_000)
    address = raw_server(beginning, repeated=b"a" * 65536)

    with pytest.raises(errors.UpstreamError) as caught:
        send(address, BOOKING, datetime.timedelta(seconds=20))

    assert type(caught.value) is errors.UpstreamError
