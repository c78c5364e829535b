"""Guards against messages whose end two readers could see differently."""

from __future__ import annotations

import pytest

from coltsfootarch.http1 import messages
from coltsfootarch.http1 import readers


def request_reader(header=1000, body=100):
    return readers.RequestReader(header, body)


def test_requests_that_arrive_byte_by_byte_are_whole():
    reader = request_reader()
    data = b"POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"

    for number, byte in enumerate(data):
        reader.feed(bytes([byte]), float(number))

    (request,) = reader.complete
    assert (request.method, request.target) == ("POST", "/a?b")
    assert request.body == b"abc"
    assert request.received_at == 0.0
    assert request.keep_alive


def test_requests_in_one_read_are_told_apart():
    reader = request_reader()

    reader.feed(
        b"POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
        b"GET /b HTTP/1.1\r\nConnection: close\r\n\r\n",
        1.0,
    )

    assert [each.target for each in reader.complete] == ["/a", "/b"]
    assert not reader.complete[1].keep_alive


@pytest.mark.parametrize(
    ("data", "error"),
    [
        (b"GET / HTTP/1.1\r\nA: " + b"a" * 2000, readers.HeaderTooLargeError),
        (
            b"GET / HTTP/1.1\r\nA: " + b"a" * 2000 + b"\r\n\r\n",
            readers.HeaderTooLargeError,
        ),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
            readers.BodyTooLargeError,
        ),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"80\r\n" + b"a" * 128,
            readers.BodyTooLargeError,
        ),
        (b"GET / HTTP/1.1\nHost: a\n\n", readers.MalformedMessageError),
        (b"nonsense\r\n\r\n", readers.MalformedMessageError),
    ],
)
def test_bounds_and_framing_are_kept(data, error):
    with pytest.raises(error):
        request_reader().feed(data, 0.0)


def parts(data, ends=False):
    reader = readers.ResponseReader()
    reader.feed(data)
    complete = reader.feed_end() if ends else None
    return list(reader.parts), complete


def test_interim_responses_are_dropped():
    found, _ = parts(
        b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
    )

    assert [type(part) for part in found] == [
        messages.ResponseHead,
        bytes,
        type(None),
    ]


def test_response_without_a_length_ends_with_its_connection():
    found, complete = parts(b"HTTP/1.1 200 OK\r\n\r\nab", ends=True)

    assert found[1:] == [b"ab", None]
    assert complete
    assert not found[0].keep_alive


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    ],
)
def test_cut_responses_are_never_complete(data):
    found, complete = parts(data, ends=True)

    assert None not in found
    assert not complete


def test_garbage_is_no_response():
    with pytest.raises(readers.MalformedMessageError):
        parts(b"\x00\x01\x02 what\r\n\r\n")
