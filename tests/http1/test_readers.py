"""Tests the HTTP/1.1 parsers, above all where a message ends.

Two parsers that disagree on the end of a message allow request smuggling.
"""

from __future__ import annotations

import tracemalloc

import pytest

from coltsfootarch.http1 import messages
from coltsfootarch.http1 import readers
from coltsfootarch.http1 import request_reader


def make_request_reader(max_header_bytes=1000, max_body_bytes=100):
    return request_reader.RequestReader(max_header_bytes, max_body_bytes)


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


def response_bytes(status, request_id, body):
    return messages.render_head(
        messages.status_line(status),
        [
            ("Content-Type", "text/plain"),
            ("X-Request-Id", request_id),
            ("Content-Length", str(len(body))),
            ("X-Server-Seal", f"seal of {request_id}"),
        ],
    ) + bytes(body)


def complete_responses(data, size):
    """Returns status, id and body of what a reader takes from segments."""
    reader = readers.ResponseReader()
    found = []
    head, body = None, b""
    for start in range(0, len(data), size):
        try:
            reader.feed(data[start : start + size])
        except readers.MalformedMessageError:
            break
    for part in reader.parts:
        if isinstance(part, messages.ResponseHead):
            head, body = part, b""
        elif part is not None:
            body += part
        else:
            request_id = messages.field_value(head.fields, "x-request-id")
            found.append((head.status, request_id, body))
    return found


@pytest.mark.parametrize("size", [1, 7, 100000])
@pytest.mark.parametrize("sound_status", [200, 500, 503])
@pytest.mark.parametrize("torn_status", [100, 200, 404, 503])
def test_torn_response_gives_nothing_to_the_next_one(
    torn_status, sound_status, size
):
    """Guards against a status, id or body that no peer sent together."""
    torn = response_bytes(torn_status, "a", b"first")
    sound = response_bytes(sound_status, "b", b"second")
    mixed = [
        (cut, response)
        for cut in range(1, len(torn))
        for response in complete_responses(torn[:cut] + sound, size)
        if response[1] == "b" and response != (sound_status, "b", b"second")
    ]

    assert mixed == []


def test_fields_that_name_a_protocol_are_accepted():
    found, _ = parse_response(
        b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nServer: HTTP/2\r\n"
        b"Content-Length: 0\r\n\r\n"
    )

    assert found[0].status == 200


def test_change_of_the_protocol_is_rejected():
    """Guards against an unexpected error after a peer's 101 response."""
    with pytest.raises(readers.MalformedMessageError):
        parse_response(
            b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\n"
            b"Upgrade: x\r\n\r\n"
        )


OFFER = (
    b"POST /book HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, Upgrade\r\n"
    b"Upgrade: h2c\r\nX-Request-Id: a\r\n"
)
OFFERS = {
    "sized": OFFER + b"Content-Length: 5\r\n\r\nhello",
    "chunked": OFFER
    + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("size", [1, 7, 1000])
@pytest.mark.parametrize("request_bytes", OFFERS.values(), ids=OFFERS)
def test_request_that_offers_another_protocol_keeps_its_body(
    request_bytes, size
):
    """Guards against a booking without its body and a 400 to no request."""
    reader = request_reader.RequestReader(4096, 4096)
    following = b"GET /next HTTP/1.1\r\nHost: x\r\n\r\n"
    data = request_bytes * 2 + following

    for start in range(0, len(data), size):
        reader.feed(data[start : start + size], float(start))

    assert [(each.target, each.body) for each in reader.complete] == [
        ("/book", b"hello"),
        ("/book", b"hello"),
        ("/next", b""),
    ]
    first = reader.complete[0]
    assert first.method == "POST"
    assert first.received_at == 0.0
    assert first.keep_alive
    assert ("X-Request-Id", "a") in first.fields
    assert "upgrade" not in [name.lower() for name, _ in first.fields]


def test_offer_without_a_body_is_one_request():
    """Guards against a second copy of a request that is parsed again."""
    reader = request_reader.RequestReader(4096, 4096)
    reader.feed(
        b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\n"
        b"Upgrade: websocket\r\n\r\n",
        0.0,
    )

    assert [each.target for each in reader.complete] == ["/a"]
    assert not reader.in_progress


def test_oversized_body_behind_an_offer_is_rejected():
    """Guards against a limit that an offer switches off."""
    reader = request_reader.RequestReader(4096, 4)
    with pytest.raises(readers.BodyTooLargeError):
        reader.feed(OFFERS["chunked"], 0.0)


def test_tunnel_is_rejected():
    """Guards against bytes of a tunnel that are taken for requests."""
    reader = request_reader.RequestReader(4096, 4096)
    with pytest.raises(readers.MalformedMessageError):
        reader.feed(b"CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n", 0.0)
    assert not reader.complete


@pytest.mark.parametrize("line", [b"a:\r\n", b"a:b\r\n", b"ab: cd\r\n"])
def test_head_of_short_lines_takes_little_more_than_its_bytes(line):
    """Guards against lines that are kept as many times their bytes."""
    reader = request_reader.RequestReader(16384, 4096)
    head = b"GET /a HTTP/1.1\r\n" + line * (12000 // len(line))
    tracemalloc.start()
    try:
        reader.feed(head, 0.0)
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()

    assert reader.in_progress
    assert held < 5 * len(head)

    reader.feed(b"\r\n", 0.0)
    (request,) = reader.complete
    assert len(request.fields) == 12000 // len(line)
    assert set(request.fields) == {
        (
            line.partition(b":")[0].decode(),
            line.partition(b":")[2].strip().decode(),
        )
    }


CHUNKED = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


def feed_parts(reader, data, size):
    for start in range(0, len(data), size):
        reader.feed(data[start : start + size], 0.0)


def test_trailers_are_no_fields_of_the_request():
    """Guards against a field behind the body that overrides one before it."""
    reader = make_request_reader()

    reader.feed(CHUNKED + b"1\r\nx\r\n0\r\n", 0.0)
    reader.feed(b"Authorization: Bearer x\r\nExpect: 100-continue\r\n", 0.0)
    assert not reader.complete
    reader.feed(b"\r\n", 0.0)

    (request,) = reader.complete
    assert request.fields == (("Transfer-Encoding", "chunked"),)
    assert not reader.expects_continue


@pytest.mark.parametrize(
    "sent",
    [
        b"1\r\nx\r\n0\r\n" + b"a:b\r\n" * 300,
        b"1\r\nx\r\n0\r\na: " + b"b" * 6000,
        b"1;" + b"a" * 1200,
        b"0" * 1200,
    ],
    ids=["lines", "line", "extension", "zeros"],
)
@pytest.mark.parametrize("size", [1, 100, 4096])
def test_chunk_framing_beyond_the_limit_of_a_head_is_rejected(sent, size):
    """Guards against bytes behind a head that no limit counts."""
    reader = make_request_reader()
    reader.feed(CHUNKED, 0.0)

    with pytest.raises(readers.HeaderTooLargeError):
        feed_parts(reader, sent, size)
    assert not reader.complete


@pytest.mark.parametrize("size", [1, 100, 4096])
def test_body_of_small_chunks_and_trailers_at_the_limit_is_complete(size):
    """Guards against a limit that a request within the others meets."""
    reader = make_request_reader(max_body_bytes=1000)
    chunk = b"00000001;extension=1\r\nx\r\n"
    sent = CHUNKED + chunk * 1000 + b"0\r\n" + b"a:b\r\n" * 166 + b"\r\n"

    feed_parts(reader, sent, size)

    (request,) = reader.complete
    assert request.body == b"x" * 1000
