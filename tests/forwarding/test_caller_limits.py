"""Serves single requests at the limits, in odd forms, in calm.

Also bounds what one connection keeps in the system's buffers.
"""

from __future__ import annotations

import contextlib
import fcntl
import struct
import termios

import gevent
import pytest

from tests.fakes import crowds
from tests.platform import documents

MAX_BODY_BYTES = 4 * 1024 * 1024
# Bytes that one connection may keep unread.
MAX_UNREAD_BYTES = 128 * 1024
HEAD = (
    b"POST /read/a HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: r1\r\n"
    b"X-Deadline-Ms: 8000\r\nAuthorization: Bearer %s\r\n"
) % documents.KEY.encode()


@pytest.fixture
def limited(edge_host):
    """A host with the users' limits."""
    document = documents.configuration(version=2)
    document["limits"]["max_header_bytes"] = crowds.MAX_HEADER_BYTES
    document["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    edge_host.add_runner("i-1", "app")
    edge_host.configure(document)
    edge_host.start()
    return edge_host


def chunked(body, size):
    parts = [
        b"%x\r\n%b\r\n" % (size, body[start : start + size])
        for start in range(0, len(body), size)
    ]
    return b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(parts) + b"0\r\n"


@pytest.mark.parametrize(
    "line",
    [b"a:\r\n", b"a: b\r\n", b"X-Request-Model: " + b"c" * 100 + b"\r\n"],
    ids=["no value", "short", "long"],
)
def test_head_at_the_limit_is_served(limited, line):
    """Guards against a bound that a request within the limits meets."""
    room = crowds.MAX_HEADER_BYTES - len(HEAD) - 64
    head = HEAD + line * (room // (len(line) + 1))
    caller = limited.caller()
    caller.send_raw(head + b"Content-Length: 1\r\n\r\nx")

    assert caller.read().status == 200


@pytest.mark.parametrize(
    "encode",
    [
        lambda body: b"Content-Length: %d\r\n\r\n%b" % (len(body), body),
        lambda body: chunked(body, 16) + b"\r\n",
        lambda body: chunked(body, 65536) + b"a:b\r\n" * 2000 + b"\r\n",
    ],
    ids=["length", "small chunks", "trailers"],
)
def test_body_at_the_limit_is_served(limited, encode):
    """Guards against a bound that a request within the limits meets."""
    body = b"x" * MAX_BODY_BYTES
    caller = limited.caller()
    caller.send_raw(HEAD + encode(body))

    assert caller.read().status == 200

    (run,) = limited.runners["i-1"].runs
    assert len(run["body"]) == MAX_BODY_BYTES


def send_until_blocked(sock):
    """Sends as much as the host takes; returns the number of bytes."""
    sock.setblocking(False)
    sent = 0
    for _ in range(30):
        with contextlib.suppress(BlockingIOError):
            while True:
                sent += sock._sock.send(b"x" * 65536)
        gevent.sleep(0.02)
    queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    return sent - struct.unpack("i", queued)[0]


def test_bytes_that_are_not_read_stay_with_their_caller(limited):
    """Guards against buffers that fill a machine on which they count."""
    body = b"Content-Length: %d\r\n\r\n%b"
    caller = limited.caller()
    for _ in range(8):
        # The system enlarges the buffer of a connection that sends much.
        caller.send_raw(HEAD + body % (MAX_BODY_BYTES, b"x" * MAX_BODY_BYTES))
        assert caller.read().status == 200
    limited.runners["i-1"].work_s = 3.0
    caller.send_raw(HEAD + body % (0, b""))

    assert send_until_blocked(caller.sock) < MAX_UNREAD_BYTES
