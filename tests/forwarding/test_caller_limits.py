"""Serves single requests at the limits, in odd forms, in calm."""

from __future__ import annotations

import pytest

from tests.fakes import crowds
from tests.platform import documents

MAX_BODY_BYTES = 4 * 1024 * 1024
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
