"""Guards against header fields that callers or runners must not receive."""

from __future__ import annotations

import pytest

from coltsfootarch.fleet import upstreams
from coltsfootarch.forwarding import calls
from coltsfootarch.http1 import messages
from coltsfootarch.platform import wire

RUNNER = upstreams.Upstream("i-1", "llm", "10.0.0.1:80", "north", True, 8)


def request(*fields, method="POST", body=b"prompt"):
    return messages.Request(
        method, "/write/a?b=c", fields, body, True, received_at=5.0
    )


def encode(raw, **changes):
    """Returns the request line and the header fields sent to a runner."""
    delivery = calls.Delivery(RUNNER, "acme", 1.5)._replace(**changes)
    decoded = wire.decode_caller(raw)
    head = wire.RunnerWire().encode(decoded, delivery).decode()
    lines = head.split("\r\n")
    assert lines[-2:] == ["", ""]
    return lines[0], dict(line.split(": ", 1) for line in lines[1:-2])


def test_caller_fields_are_decoded():
    decoded = wire.decode_caller(
        request(
            ("Host", "api.example"),
            ("x-request-id", "r1"),
            ("Authorization", "Bearer secret"),
            ("X-Token-Count", "1460,80"),
            ("X-Length-Hint", "40"),
            ("X-Deadline-Ms", "2500"),
            ("Last-Event-Id", "12"),
        )
    )

    assert (decoded.id, decoded.key, decoded.host) == (
        "r1",
        "secret",
        "api.example",
    )
    assert (decoded.prompt_tokens, decoded.output_tokens) == (1460, 80)
    assert decoded.likely_output_tokens == 40
    assert decoded.deadline_s == 2.5
    assert decoded.resume_after == "12"
    assert decoded.path == "/write/a"


@pytest.mark.parametrize("value", ["", "many", "1,2,3", "-4,5", "1.5"])
def test_invalid_token_counts_are_read_as_zero(value):
    assert wire.decode_size(value) == (0, 0)


def test_key_and_reserved_fields_of_callers_never_reach_a_runner():
    reserved = [
        ("Authorization", "Bearer secret"),
        ("X-Tenant", "other"),
        ("X-Stage", "prefill"),
        ("X-Kv-Source", "10.0.0.9:80/h"),
        ("X-Kv-Hold", "h"),
        ("X-Kv-Backup", "10.0.0.9:80"),
        ("X-Pin-Ms", "1000"),
        ("Kv-Fetch", "10.0.0.9:80"),
        ("X-Request-Priority", "0"),
        ("X-Expect-Instance", "i-9"),
        ("X-Expect-Version", "3"),
        ("X-Deadline-Ms", "99999"),
        ("Connection", "X-Private"),
        ("X-Private", "hop"),
        ("Transfer-Encoding", "chunked"),
    ]

    line, fields = encode(request(("Host", "api.example"), *reserved))

    assert line == "POST /write/a?b=c HTTP/1.1"
    assert fields == {
        "Host": "api.example",
        "X-Deadline-Ms": "1500",
        "X-Expect-Instance": "i-1",
        "X-Tenant": "acme",
        "Content-Length": "6",
    }


def test_size_and_prompt_fields_are_forwarded_unchanged():
    forwarded = {
        "Host": "api.example",
        "X-Request-Id": "r1",
        "X-Model": "m",
        "X-Token-Count": "10,5",
        "X-Prefix-Hash": "aa:4,bb:6",
    }

    _, fields = encode(request(*forwarded.items()))

    assert forwarded.items() <= fields.items()


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("aa:4,bb:6,cc:1", ("aa", "bb")),
        (" aa:4 , bb:6,cc:1", ("aa", "bb")),
        ("cc:1", ()),
        ("", ()),
        ("aa,bb", ("aa",)),
        (f"{'a' * 40}:4,bb:1,cc:1", ("bb",)),
        (",,,", ()),
    ],
)
def test_last_part_of_a_prompt_is_not_shared(value, expected):
    raw = request(("Host", "h"), ("X-Prefix-Hash", value))

    assert wire.decode_caller(raw).shared_parts == expected


def test_prefill_and_decode_carry_their_fields():
    raw = request(("Host", "h"), ("Last-Event-Id", "3"))
    source = calls.KvCacheSource("10.0.0.2:80", "h1")

    _, prefill = encode(raw, prefill_only=True, resume_after="3")
    _, decode = encode(raw, kv_cache_source=source, resume_after="7")

    assert prefill["X-Stage"] == "prefill"
    assert "Last-Event-Id" not in prefill
    assert decode["X-Kv-Source"] == "10.0.0.2:80/h1"
    assert decode["Last-Event-Id"] == "7"


def test_requests_without_a_body_carry_no_length():
    _, fields = encode(request(("Host", "h"), method="GET", body=b""))

    assert "Content-Length" not in fields


def answer(status, *fields):
    head = messages.ResponseHead(status, fields, True, True)
    return wire.RunnerWire().decode(head)


def test_request_counts_as_not_run_only_if_the_runner_says_so():
    assert answer(503, ("X-Not-Executed", "1")).not_run
    assert answer(421, ("X-Instance-Id", "i-2")).not_run
    assert not answer(503).not_run
    assert not answer(429).not_run


def test_answer_is_from_another_instance_only_if_its_id_differs():
    other = answer(421, ("X-Instance-Id", "i-2"))
    # The same runner also answers 421 if it has another stage.
    same = answer(421, ("X-Instance-Id", "i-1"))

    assert other.is_from_other_upstream(RUNNER)
    assert not same.is_from_other_upstream(RUNNER)
    assert not answer(421).is_from_other_upstream(RUNNER)


def test_seal_is_forwarded_load_is_decoded_and_framing_is_dropped():
    decoded = answer(
        200,
        ("X-Server-Seal", "s"),
        ("X-Server-Load", "3,1,8"),
        ("Transfer-Encoding", "chunked"),
        ("Connection", "close"),
    )

    assert ("X-Server-Seal", "s") in decoded.fields
    assert decoded.load == calls.ReportedLoad(3, 1, 8)
    assert decoded.closing
    assert not decoded.leaving
    names = {name for name, _ in decoded.fields}
    assert names.isdisjoint({"Transfer-Encoding", "Connection"})


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"handle": 4}', b"\xff"])
def test_prefill_answer_without_a_handle_decodes_to_empty(body):
    assert wire.RunnerWire().decode_prefill(body) == ""


@pytest.mark.parametrize(
    ("name", "value", "attribute", "expected"),
    [
        ("Server-Leaving", "1", "leaving", True),
        ("Server-Leaving", "0", "leaving", False),
        ("Server-Limit", "2.7", "limit_per_s", 2.7),
        ("Server-Limit", "many", "limit_per_s", None),
        ("Server-Limit", "inf", "limit_per_s", None),
        ("Server-Limit", "-1", "limit_per_s", None),
        ("Retry-After", "0.5", "retry_after_s", 0.5),
        ("Retry-After", "Fri, 31 Dec 1999 23:59:59 GMT", "retry_after_s", None),
        ("X-Other", "1", "retry_after_s", None),
    ],
)
def test_state_of_a_runner_is_decoded(name, value, attribute, expected):
    """Guards against a response that ends in an error for an odd value."""
    assert getattr(answer(503, (name, value)), attribute) == expected


@pytest.mark.parametrize(
    ("fields", "resumed_id"),
    [
        ((), ""),
        ((("Resumes", "r-1"),), "r-1"),
        ((("resumes", " r-1 "), ("Resumes", "r-1")), "r-1"),
        ((("Resumes", "r-1"), ("Resumes", "r-2")), ""),
        ((("Resumes", "r" * 201),), ""),
        ((("Resumes", ""),), ""),
    ],
)
def test_stream_that_is_taken_up_is_named_once(fields, resumed_id):
    """Guards against a stream that is chosen among several named ones."""
    assert wire.decode_caller(request(*fields)).resumed_id == resumed_id


@pytest.mark.parametrize(
    ("body", "parts"),
    [
        (b'{"held":[["","aa",5,"m"],["","bb",0,"m"]],"next":1}', {"aa"}),
        (b'{"held":[["","aa"]]}', set()),
        (b'{"held":3}', set()),
        (b"not json", set()),
    ],
)
def test_parts_that_a_runner_holds_are_decoded(body, parts):
    """Guards against an unreadable list that is taken for an answer."""
    assert wire.RunnerWire().decode_held_parts(body) == parts


def test_own_part_is_the_last_one():
    raw = request(("X-Prefix-Hash", "aa:800,bb:410,cc:250"))

    assert wire.decode_caller(raw).own_part == "cc"
