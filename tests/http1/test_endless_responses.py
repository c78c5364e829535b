"""Guards against responses without end that fill memory or hold a request."""

from __future__ import annotations

import itertools
import time

import gevent
import pytest

from coltsfootarch import clock as clocks
from coltsfootarch.http1 import client
from coltsfootarch.http1 import readers
from standins import http

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"


class EndlessHandler:
    """Sends a beginning and then the same bytes until the client closes."""

    def __init__(self, beginning, repeated):
        self.beginning = beginning
        self.repeated = repeated
        self.sent_bytes = 0

    def handle(self, request, connection):
        connection.send(self.beginning)
        while connection.open:
            connection.send(self.repeated)
            self.sent_bytes += len(self.repeated)
            gevent.sleep(0)


def read_until_failure(connection):
    for _ in itertools.count():
        connection.read_part(10.0)


@pytest.mark.parametrize(
    ("beginning", "repeated"),
    [
        (b"", b"HTTP/1.1 200 " + b"a" * 4000),
        (STATUS + b"X: ", b"a" * 4000),
        (STATUS, b"X: a\r\n" * 800),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
        (CHUNKED + b"1;", b"a" * 4000),
        (CHUNKED + b"0\r\n", b"X: a\r\n" * 800),
    ],
    ids=[
        "status line",
        "field value",
        "fields",
        "interim responses",
        "chunk extension",
        "trailer fields",
    ],
)
def test_bytes_without_end_that_yield_no_body_break_the_connection(
    beginning, repeated
):
    handler = EndlessHandler(beginning, repeated)
    server = http.Server(handler)
    server.start()
    connection = client.Connection(server.address, clocks.SystemClock())
    connection.start(1.0)
    connection.send(REQUEST, b"", 1.0)
    started = time.monotonic()

    with pytest.raises(client.BrokenConnectionError):
        read_until_failure(connection)

    assert time.monotonic() - started < 5
    assert handler.sent_bytes < 100 * readers.MAX_UNPARSED_BYTES
    server.close()


def test_head_up_to_the_limit_is_accepted():
    reader = readers.ResponseReader()
    value = b"a" * (readers.MAX_UNPARSED_BYTES // 2)

    reader.feed(STATUS + b"X: " + value)
    reader.feed(b"\r\nContent-Length: 2\r\n\r\nab")

    assert [len(part) for part in reader.parts if isinstance(part, bytes)] == [
        2
    ]


def test_head_with_too_many_fields_is_rejected():
    """Guards against short fields that take many times their bytes."""
    reader = readers.ResponseReader()
    fields = b"X: a\r\n" * (readers.MAX_RESPONSE_FIELDS + 1)

    with pytest.raises(readers.HeaderTooLargeError):
        reader.feed(STATUS + fields + b"\r\n")
