"""Tests the HTTP/1.1 parsers, above all where a message ends.

Two parsers that disagree on the end of a message allow request smuggling.
"""

from __future__ import annotations

import pytest

from coltsfootarch.http1 import messages
from coltsfootarch.http1 import readers


def make_request_reader(max_header_bytes=1000, max_body_bytes=100):
    return readers.RequestReader(max_header_bytes, max_body_bytes)


def test_request_that_arrives_byte_by_byte_is_complete():
    reader = make_request_reader()
    data = b"POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"

    for number, byte in enumerate(data):
        reader.feed(bytes([byte]), float(number))

    (request,) = reader.complete
    assert (request.method, request.target) == ("POST", "/a?b")
    assert request.body == b"abc"
    assert request.received_at == 0.0
    assert request.keep_alive


def test_requests_in_one_read_are_separated():
    reader = make_request_reader()

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
def test_oversized_and_malformed_requests_are_rejected(data, error):
    with pytest.raises(error):
        make_request_reader().feed(data, 0.0)


def parse_response(data, closed=False):
    reader = readers.ResponseReader()
    reader.feed(data)
    complete = reader.feed_end() if closed else None
    return list(reader.parts), complete


def test_interim_responses_are_discarded():
    found, _ = parse_response(
        b"HTTP/1.1 100 Continue\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
    )

    assert [type(part) for part in found] == [
        messages.ResponseHead,
        bytes,
        type(None),
    ]


def test_response_without_a_length_ends_when_the_connection_closes():
    found, complete = parse_response(b"HTTP/1.1 200 OK\r\n\r\nab", closed=True)

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
def test_truncated_responses_are_never_complete(data):
    found, complete = parse_response(data, closed=True)

    assert None not in found
    assert not complete


def test_malformed_response_is_rejected():
    with pytest.raises(readers.MalformedMessageError):
        parse_response(b"\x00\x01\x02 what\r\n\r\n")
