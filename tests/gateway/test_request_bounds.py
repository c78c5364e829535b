"""Tests bounds on what callers make a host of the product's interface hold."""

from __future__ import annotations

import json

import pytest

from coltsfootarch import results
from tests.fakes import gateways

BODY_BYTES = 1000
CHUNKED = "Transfer-Encoding: chunked"
COMPLETION = json.dumps(
    {"model": "summary", "prompt": gateways.PROMPT, "max_tokens": 4}
).encode()


@pytest.fixture
def gateway(fake_network):
    served = gateways.Gateway(fake_network)
    yield served
    served.close()


def booking(gateway, *fields):
    return gateway.request_head(
        "POST", "/stock/a", "Idempotency-Key: k", *fields
    )


def test_head_beyond_its_limit_is_refused(gateway):
    """Guards against header lines that only end with their number."""
    lines = ["A: " + "b" * 30_000] * 2 + ["A: " + "b" * 10_000]

    answer, _ = gateway.send_raw(booking(gateway, *lines)[:-2])

    assert answer.status == 431
    gateway.check_unchanged()


def test_head_below_its_limit_is_read(gateway):
    """Guards against a bound that ordinary requests meet."""
    lines = [f"A{number}: " + "b" * 600 for number in range(90)]

    answer, _ = gateway.send_raw(
        booking(gateway, *lines, "Content-Length: 1"), b"x"
    )

    assert answer.status == 200


@pytest.mark.parametrize(
    "sent",
    [
        b"1\r\nx\r\n0\r\n" + b"a:b\r\n" * 4000,
        (b"1;" + b"a" * 8000 + b"\r\nx\r\n") * 3,
    ],
    ids=["trailers", "extensions"],
)
def test_booking_with_too_much_framing_has_not_run(gateway, sent):
    """Guards against lines behind a body that no limit counts."""
    answer, data = gateway.send_raw(booking(gateway, CHUNKED), sent)

    assert answer.status == results.INVALID_FIELD.http_status
    assert json.loads(data)["execution"] == "not run"
    gateway.check_unchanged()


def test_body_of_small_chunks_is_read(gateway):
    """Guards against a bound that a body within its limit meets."""
    chunks = b"1;a=b\r\nx\r\n" * BODY_BYTES + b"0\r\na: b\r\n\r\n"

    answer, _ = gateway.send_raw(booking(gateway, CHUNKED), chunks)

    assert answer.status == 200
    (call,) = gateway.calls.calls
    assert call.request.body == b"x" * BODY_BYTES


@pytest.mark.parametrize("size", [0, BODY_BYTES])
def test_request_without_memory_for_it_has_not_run(gateway, size):
    """Guards against requests that each keep their limit and fill a host."""
    memory = gateway.server.memory
    memory.capacity = 100
    holding = memory.open(lambda: None)
    holding.take(10_000)
    head = booking(gateway, f"Content-Length: {size}")

    answer, _ = gateway.send_raw(head, b"x" * size)

    assert answer.status == results.OVERLOADED.http_status
    assert float(answer.getheader("Retry-After")) > 0
    gateway.check_unchanged()

    holding.close()
    memory.capacity = 10_000
    answer, _ = gateway.send_raw(head, b"x" * size)
    assert answer.status == 200


def test_ended_requests_use_no_memory(gateway):
    """Guards against a bound that shrinks with each caller."""
    connection = gateway.http()
    for _ in range(3):
        answer = gateway.request(
            "POST",
            "/v1/completions",
            json.loads(COMPLETION),
            via=connection,
        )
        answer.read()
    gateway.wait_settled()

    assert gateway.server.memory.used == 0
