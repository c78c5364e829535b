"""Measures a host of the product's interface before many faulty callers.

Each test asserts that the host lives, that its memory and descriptors stay
bounded, and that an ordinary completion is answered afterwards.
"""

from __future__ import annotations

import pathlib
import re
import time

import gevent
import pytest

from tests.fakes import crowds
from tests.processes import support

pytestmark = pytest.mark.crowd

HOST = "regina-1"
CALLERS = 100
# Three quarters of the memory of the smallest users' machine.
MAX_BYTES = 96 * 1024 * 1024
MAX_DESCRIPTORS = 100
SECONDS = 6.0
LEAVE_S = 15.0
# `max_body_bytes` of the rules.
MAX_BODY_BYTES = 1024 * 1024
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n"


def head(fleet):
    key = fleet.keys["regina-general"]
    return (
        "POST /v1/completions HTTP/1.1\r\nHost: host\r\n"
        f"Authorization: Bearer {key}\r\nContent-Type: application/json\r\n"
    ).encode()


@pytest.mark.parametrize(
    ("beginning", "repeated", "is_ended"),
    [
        ((b"a: " + b"b" * 60000 + b"\r\n") * 90, b"", False),
        (b"", b"a: b\r\n", True),
        (CHUNKED + b"0\r\n", b"a:b\r\n", True),
        (CHUNKED, b"1;" + b"a" * 8000 + b"\r\nx\r\n", True),
        (
            b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
            + b"x" * (MAX_BODY_BYTES - 1),
            b"",
            False,
        ),
        (
            b"Transfer-Encoding: chunked\r\n\r\n"
            + (b"1000\r\n" + b"x" * 4096 + b"\r\n") * 255,
            b"",
            False,
        ),
    ],
    ids=[
        "long lines",
        "many lines",
        "trailers",
        "extensions",
        "open bodies",
        "open chunked bodies",
    ],
)
def test_crowd_does_not_fill_a_host(
    running_fleet, beginning, repeated, is_ended
):
    """Guards against parts of requests that no limit counts together."""
    form = crowds.Form("crowd", head(running_fleet) + beginning, repeated)
    crowd = crowds.Floods(running_fleet.addresses[HOST].listen, CALLERS, form)
    process = running_fleet.processes[HOST]
    folder = pathlib.Path(f"/proc/{process.pid}")
    most_descriptors = 0
    crowd.start()
    try:
        deadline = time.monotonic() + SECONDS
        while time.monotonic() < deadline:
            assert process.poll() is None
            opened = len(list((folder / "fd").iterdir()))
            most_descriptors = max(most_descriptors, opened)
            gevent.sleep(0.05)
    finally:
        crowd.close()

    text = (folder / "status").read_text()
    peak = int(re.search(r"VmHWM:\s+(\d+) kB", text).group(1)) * 1024
    print(
        f"peak {peak / 2**20:.0f} MB, {crowd.connections} connections, "
        f"{crowd.sent_bytes / 2**20:.0f} MB sent, {most_descriptors} "
        "descriptors"
    )
    assert process.poll() is None
    assert most_descriptors < 3 * CALLERS + MAX_DESCRIPTORS
    deadline = time.monotonic() + LEAVE_S
    while len(list((folder / "fd").iterdir())) >= MAX_DESCRIPTORS:
        assert time.monotonic() < deadline
        gevent.sleep(0.1)
    caller = support.Caller(running_fleet)
    answer = caller.request_completion(HOST, support.PROMPT, 4)
    assert answer.status == 200
    assert not is_ended or crowd.connections > CALLERS
    assert peak < MAX_BYTES
